//! Aggregation of collector reports: what each governor's subset needs, summed over zones, within a byte budget.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
