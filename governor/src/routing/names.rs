//! The decisions know servers by number; discovery, collectors and the relay by name.

use std::collections::BTreeMap;
use whinwall::interface::ServerId;

#[derive(Default)]
pub struct Names {
    numbers: BTreeMap<String, ServerId>,
    names: BTreeMap<ServerId, String>,
    /// No number is given twice: a server must not come back under another's.
    next: ServerId,
}

impl Names {
    /// The number of a server that the list or the store names; a new one gets the next.
    pub fn number(&mut self, name: &str) -> ServerId {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.next;
        self.next += 1;
        self.names.insert(number, name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }

    /// Reports invent no servers.
    pub fn known(&self, name: &str) -> Option<ServerId> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, number: ServerId) -> Option<String> {
        self.names.get(&number).cloned()
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Forgets all others.
    pub fn keep(&mut self, needed: impl Fn(ServerId) -> bool) {
        self.names.retain(|number, _| needed(*number));
        self.numbers.retain(|_, number| needed(*number));
    }
}
