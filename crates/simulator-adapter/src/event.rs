//! An event of a batch: an array of its name and its values, in a fixed order.

use serde_json::Value;
use thiserror::Error;

/// The reason why an event can't be carried out.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EventError {
    /// The event is not an array.
    #[error("event is not an array")]
    NotAnArray,
    /// The event does not begin with a name.
    #[error("event has no name")]
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
    #[error("event {0}: instance has not been started")]
    NotStarted(String),
    /// The scope of a list is unknown.
    #[error("event members: unknown value of field mode: {0}")]
    UnknownMode(String),
    /// A table line without a preceding event that grants the slice.
    #[error("event recorded: no charge event before it")]
    StrayTableLine,
    /// The event's name is unknown.
    #[error("event {0}: unknown event")]
    UnknownEvent(String),
}

/// The name and the values of an event.
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

    /// Returns the value, or an error that names its field.
    pub fn require<T>(&self, field: &'static str, value: Option<T>) -> Result<T, EventError> {
        value.ok_or_else(|| EventError::InvalidField { event: self.name.into(), field })
    }

    /// Returns the value at an index; null if there is none.
    pub fn value(&self, index: usize) -> &'a Value {
        self.values.get(index).unwrap_or(&Value::Null)
    }

    /// Returns a non-negative integer.
    pub fn unsigned(&self, index: usize, field: &'static str) -> Result<u64, EventError> {
        self.require(field, self.value(index).as_u64())
    }

    /// Returns the id of a replica, slice or proxy.
    pub fn id(&self, index: usize, field: &'static str) -> Result<u32, EventError> {
        let id = self.value(index).as_u64().and_then(|id| u32::try_from(id).ok());
        self.require(field, id)
    }

    /// Returns a finite non-negative number.
    pub fn number(&self, index: usize, field: &'static str) -> Result<f64, EventError> {
        let number = self.value(index).as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        self.require(field, number)
    }

    pub fn boolean(&self, index: usize, field: &'static str) -> Result<bool, EventError> {
        self.require(field, self.value(index).as_bool())
    }

    pub fn text(&self, index: usize, field: &'static str) -> Result<&'a str, EventError> {
        self.require(field, self.value(index).as_str())
    }
}
