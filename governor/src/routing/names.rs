//! The decisions know servers by number; discovery, collectors and the relay by name.

use std::collections::BTreeMap;
use whinwall::interface::ServerId;

#[derive(Default)]
pub struct Names {
    numbers: BTreeMap<String, ServerId>,
    names: Vec<String>,
}

impl Names {
    /// The number of a server that the list or the store names; a new one gets the next.
    pub fn number(&mut self, name: &str) -> ServerId {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as ServerId;
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }

    /// Reports invent no servers.
    pub fn known(&self, name: &str) -> Option<ServerId> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, number: ServerId) -> Option<String> {
        self.names.get(number as usize).cloned()
    }
}
