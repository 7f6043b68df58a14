//! Many governors: real processes beside in-process ones, and fleet-wide events.
