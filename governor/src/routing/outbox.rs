//! Orders on their way to the relay: calls in order, one at a time, each until its outcome is known.

use crate::protocol::relay::{self, Answer, Order};
use std::collections::VecDeque;

#[derive(Default)]
pub struct Outbox {
    calls: VecDeque<Vec<String>>,
    flying: bool,
    /// The relay is out of reach or takes nothing yet; the next attempt waits a little.
    held: bool,
}

impl Outbox {
    /// Nothing is open: newer orders may be made.
    pub fn is_clear(&self) -> bool {
        self.calls.is_empty()
    }

    /// One reply is one call, unless it is too large.
    pub fn put(&mut self, orders: &[Order]) {
        let (mut call, mut bytes) = (Vec::new(), 0);
        for order in orders.iter().map(Order::encode) {
            if bytes + order.len() + 1 > relay::CALL_LIMIT {
                self.calls.push_back(std::mem::take(&mut call));
                bytes = 0;
            }
            bytes += order.len() + 1;
            call.push(order);
        }
        if !call.is_empty() {
            self.calls.push_back(call);
        }
    }

    /// The call to make now, if none is being made.
    pub fn next(&mut self) -> Option<String> {
        if self.flying || self.held {
            return None;
        }
        let call = self.calls.front()?;
        self.flying = true;
        Some(relay::encode_call(call))
    }

    /// It failed, or was turned away: it stays the first, for what is newer must not overtake it.
    pub fn failed(&mut self) {
        self.flying = false;
    }

    pub fn hold(&mut self) {
        self.held = true;
    }

    pub fn release(&mut self) {
        self.held = false;
    }

    /// What the relay took leaves. The order at which it stopped is skipped and returned: said again it would
    /// stop there for ever.
    pub fn answered(&mut self, answer: &Answer) -> Option<String> {
        if !std::mem::take(&mut self.flying) {
            return None;
        }
        let call = self.calls.front_mut()?;
        let taken = match answer {
            Answer::NotNow(_) => return None,
            Answer::Taken(n) => *n,
            Answer::Unusable(_) => call.len(),
        };
        let refused = call.get(taken).cloned();
        call.drain(..(taken + 1).min(call.len()));
        if call.is_empty() {
            self.calls.pop_front();
        }
        refused
    }
}
