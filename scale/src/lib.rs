//! Harness of the scale tests behind `docs/CAPACITY.md`: `one` measures one real governor process against paced
//! stand-ins, `many` runs real processes beside in-process governors, `decisions` sweeps the number of governors
//! in the emulator.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decisions;
pub mod many;
pub mod one;
