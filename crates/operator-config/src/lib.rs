//! The operators' own file. `tree` reads XML into elements that know their place, `file` makes of them what
//! the program goes by, `subsetting` a part of that; its schema is `deploy/operators.xsd`.
#![forbid(unsafe_code)]

pub mod file;
pub mod subsetting;
pub mod tree;

pub use file::{Doors, LogForm, OperatorsFile};
pub use subsetting::{AggregatorMember, ControllerMember, SubsettingConfig, UnknownMember};
pub use tree::Wrong;
