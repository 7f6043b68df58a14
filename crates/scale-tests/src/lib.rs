//! Harness of the scale tests behind `docs/CAPACITY.md`: `one` measures one real controller process against
//! rate-limited fakes, `many` runs real processes together with simulated controllers, `decisions` sweeps the number of
//! controllers in the emulator. `programs` finds and builds programs,
//! `process` starts and observes them, `fakes` contains the fake peers that it
//! connects to, `fit` and `results` turn measurements into regression fits, tables and charts.
#![warn(clippy::unwrap_used)]

pub mod decisions;
pub mod fakes;
pub mod fit;
pub mod many;
pub mod one;
pub mod process;
pub mod programs;
pub mod results;
