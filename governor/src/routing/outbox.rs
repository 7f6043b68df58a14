//! Orders on their way to the relay: calls in order, one at a time, each until its outcome is known.

use crate::protocol::relay::{self, Order};
use std::collections::{BTreeSet, VecDeque};
use whinwall::interface::SliceId;

#[derive(Default)]
pub struct Outbox {
    calls: VecDeque<Vec<Order>>,
    state: State,
    /// Failures in a row.
    failures: u32,
    /// Slices that have changed hands since what waits was ordered.
    changed_hands: BTreeSet<SliceId>,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Idle,
    Flying,
    /// The relay is out of reach or takes nothing yet; the next attempt waits a little.
    Held,
}

impl Outbox {
    /// Nothing is open: newer orders may be made.
    pub fn is_clear(&self) -> bool {
        self.calls.is_empty()
    }

    /// One reply is one call, unless it is too large. Of the pieces the last alone has the mark, and asks all
    /// proxies to answer: some may have got an earlier piece only.
    pub fn put(&mut self, mut orders: Vec<Order>) {
        let (mut call, mut bytes) = (Vec::new(), 0);
        let whole: usize = orders.iter().map(|order| order.encode().len() + 1).sum();
        for order in &mut orders {
            if let Order::Mark { of_all, .. } = order {
                *of_all = whole > relay::CALL_LIMIT;
            }
        }
        for order in orders {
            let length = order.encode().len() + 1;
            if bytes + length > relay::CALL_LIMIT {
                self.calls.push_back(std::mem::take(&mut call));
                bytes = 0;
            }
            bytes += length;
            call.push(order);
        }
        self.calls.extend((!call.is_empty()).then_some(call));
    }

    /// What waits for this slice was ordered for a table that is no longer there.
    pub fn changed_hands(&mut self, slice: SliceId) {
        if !self.is_clear() {
            self.changed_hands.insert(slice);
        }
    }

    /// The slices whose tables are about to change by what waits here.
    pub fn slices(&self) -> BTreeSet<SliceId> {
        self.calls.iter().flatten().filter_map(Order::slice).collect()
    }

    /// The call to make now, if none is being made; on a fresh connection where the last attempt failed.
    pub fn next(&mut self) -> Option<(String, bool)> {
        if self.state != State::Idle {
            return None;
        }
        let stale = std::mem::take(&mut self.changed_hands);
        for call in self.calls.iter_mut().filter(|_| !stale.is_empty()) {
            call.retain(|order| order.slice().is_none_or(|slice| !stale.contains(&slice)));
        }
        self.calls.retain(|call| !call.is_empty());
        let call = relay::encode_call(self.calls.front()?);
        self.state = State::Flying;
        Some((call, self.failures > 0))
    }

    pub fn release(&mut self) {
        if self.state == State::Held {
            self.state = State::Idle;
        }
    }

    /// The attempt failed, or was turned away: the call stays the first, for what is newer must not overtake
    /// it. True where the next attempt is to wait: a second failure in a row is no mere closed connection.
    pub fn failed(&mut self) -> bool {
        self.failures += 1;
        let waits = self.failures > 1;
        self.state = if waits { State::Held } else { State::Idle };
        waits
    }

    /// The mark of the call that is open.
    pub fn mark(&self) -> Option<u16> {
        self.calls.front()?.iter().find_map(|order| match order {
            Order::Mark { number, .. } => Some(*number),
            _ => None,
        })
    }

    /// So many orders were taken, and leave. The one at which the relay stopped is skipped and returned: said
    /// again, it would stop there for ever.
    pub fn taken(&mut self, many: usize) -> Option<Order> {
        (self.state, self.failures) = (State::Idle, 0);
        let call = self.calls.front_mut()?;
        let refused = call.drain(..(many.saturating_add(1)).min(call.len())).nth(many);
        if call.is_empty() {
            self.calls.pop_front();
        }
        refused
    }

    /// The relay can't read the call.
    pub fn dropped(&mut self) {
        (self.state, self.failures) = (State::Idle, 0);
        self.calls.pop_front();
    }
}
