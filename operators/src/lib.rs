//! The operators' own file. `tree` reads XML into elements that know their place, `file` makes of them what
//! the program goes by; its schema is `deploy/operators.xsd`.
#![forbid(unsafe_code)]

pub mod file;
pub mod tree;

pub use file::{Doors, LogForm, OperatorsFile};
pub use tree::Wrong;
