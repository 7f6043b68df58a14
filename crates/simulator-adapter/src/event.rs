//! One event of a batch: an array of its name and its values, in a fixed order.

use serde_json::Value;
use thiserror::Error;

/// Why an event is not carried out.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EventError {
    /// It is no array.
    #[error("an event is not an array")]
    NotAnArray,
    /// It does not begin with a name.
    #[error("an event has no name")]
    NoName,
    /// A field is missing or has the wrong type.
    #[error("event {event}: field {field} is missing or malformed")]
    InvalidField {
        /// The event's name.
        event: String,
        /// The field's name.
        field: &'static str,
    },
    /// The instance has not been started.
    #[error("event {0}: this instance has not been started")]
    NotStarted(String),
    /// The scope of a list is not known.
    #[error("event members: field mode is unknown: {0}")]
    UnknownMode(String),
    /// A line of a table without the event that grants the slice.
    #[error("event recorded: it follows no charge")]
    StrayTableLine,
    /// An event of an unknown name.
    #[error("event {0}: it is not known")]
    Unknown(String),
}

/// The name and the values of one event.
pub struct Event<'a> {
    pub name: &'a str,
    values: &'a [Value],
}

impl<'a> Event<'a> {
    pub fn decode(raw: &'a Value) -> Result<Self, EventError> {
        let items = raw.as_array().ok_or(EventError::NotAnArray)?;
        let name = items.first().and_then(Value::as_str).ok_or(EventError::NoName)?;
        Ok(Event { name, values: &items[1..] })
    }

    /// The value, or the error that names its field.
    pub fn require<T>(&self, field: &'static str, value: Option<T>) -> Result<T, EventError> {
        value.ok_or_else(|| EventError::InvalidField { event: self.name.into(), field })
    }

    /// The value at a position; null where there is none.
    pub fn value(&self, index: usize) -> &'a Value {
        self.values.get(index).unwrap_or(&Value::Null)
    }

    /// A whole number from 0 on.
    pub fn whole(&self, index: usize, field: &'static str) -> Result<u64, EventError> {
        self.require(field, self.value(index).as_u64())
    }

    /// An id of a replica, slice or proxy.
    pub fn id(&self, index: usize, field: &'static str) -> Result<u32, EventError> {
        let id = self.value(index).as_u64().and_then(|id| u32::try_from(id).ok());
        self.require(field, id)
    }

    /// A finite number from 0 on.
    pub fn number(&self, index: usize, field: &'static str) -> Result<f64, EventError> {
        let number = self.value(index).as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        self.require(field, number)
    }

    pub fn flag(&self, index: usize, field: &'static str) -> Result<bool, EventError> {
        self.require(field, self.value(index).as_bool())
    }

    pub fn text(&self, index: usize, field: &'static str) -> Result<&'a str, EventError> {
        self.require(field, self.value(index).as_str())
    }
}
