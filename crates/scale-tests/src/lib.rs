//! Harness of the scale tests behind `docs/CAPACITY.md`: `one` measures one real controller process against paced
//! stand-ins, `many` runs real processes beside simulated controllers, `decisions` sweeps the number of controllers
//! in the emulator. `process` starts and observes a controller, `stand_ins` plays what it connects to, `fit` and
//! `results` turn measurements into figures, tables and charts.
#![warn(clippy::unwrap_used)]

pub mod decisions;
pub mod fit;
pub mod many;
pub mod one;
pub mod process;
pub mod results;
pub mod stand_ins;
