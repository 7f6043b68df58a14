//! Sweeps of the number of governors in the emulator.
