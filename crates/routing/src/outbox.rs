//! Orders on their way to the relay: calls in order, one at a time, each until its outcome is known.

use std::collections::{BTreeSet, VecDeque};
use whinwall_policy::api::SliceId;
use whinwall_protocol::relay::{self, Command, SyncScope};

#[derive(Default)]
pub struct Outbox {
    calls: VecDeque<Vec<Written>>,
    state: State,
    /// Failures in a row.
    failures: u32,
    /// The last attempt at the call that is now the first may have been carried out, or was in part.
    unclear: bool,
    /// A proxy has acked the version of what is open: all of it was carried out.
    proven: bool,
    /// The relay has stopped once at the order that is now the first.
    refused: bool,
    /// Slices that have changed hands since the call now being made was sent.
    changed_hands: BTreeSet<SliceId>,
}

/// An order as the relay reads it, and what must be known of it.
struct Written {
    text: String,
    slice: Option<SliceId>,
    version: Option<u16>,
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
        self.calls.iter().all(Vec::is_empty)
    }

    /// One reply is one call, unless it is too large. Of the pieces the last alone has the version, and asks all
    /// proxies to answer: some may have got an earlier piece only, and a version by itself reaches none. Comes only
    /// while nothing is open.
    pub fn put(&mut self, orders: &[Command]) {
        (self.calls, self.refused, self.unclear, self.proven) = (VecDeque::new(), false, false, false);
        let (mut call, mut bytes) = (Vec::new(), 0);
        for order in orders {
            let is_alone = !self.calls.is_empty() || call.is_empty();
            let scope = if is_alone { SyncScope::AllProxies } else { SyncScope::ReachedProxies };
            let text = order.encode(scope);
            if bytes + text.len() + 1 > relay::MAX_REQUEST_BYTES {
                self.calls.push_back(std::mem::take(&mut call));
                bytes = 0;
            }
            bytes += text.len() + 1;
            call.push(Written { text, slice: order.slice(), version: order.version() });
        }
        self.calls.extend((!call.is_empty()).then_some(call));
    }

    /// What waits for this slice was ordered for a table that is no longer there. The call that is being made
    /// is out of reach, but will not be repeated with it.
    pub fn changed_hands(&mut self, slice: SliceId) {
        let flying = self.state == State::Flying;
        for call in self.calls.iter_mut().skip(usize::from(flying)) {
            call.retain(|order| order.slice != Some(slice));
        }
        if flying {
            self.changed_hands.insert(slice);
        }
    }

    /// The slices whose tables are about to change by what waits here.
    pub fn slices(&self) -> BTreeSet<SliceId> {
        self.calls.iter().flatten().filter_map(|order| order.slice).collect()
    }

    /// The call to make now, if none is being made; on a fresh connection where the last attempt failed.
    pub fn next(&mut self) -> Option<(String, bool)> {
        if self.state != State::Idle {
            return None;
        }
        self.calls.retain(|call| !call.is_empty());
        let texts: Vec<_> = self.calls.front()?.iter().map(|order| order.text.as_str()).collect();
        (self.state, self.unclear) = (State::Flying, false);
        Some((relay::encode_request(&texts), self.failures > 0))
    }

    pub fn release(&mut self) {
        if self.state == State::Held {
            self.state = State::Idle;
        }
    }

    /// The attempt failed, or was turned away: the call stays the first, for what is newer must not overtake
    /// it. True where the next attempt is to wait: a second failure in a row is no mere closed connection.
    pub fn failed(&mut self, may_be_done: bool) -> bool {
        self.failures += 1;
        self.unclear = may_be_done;
        let waits = self.failures > 1;
        self.state = if waits { State::Held } else { State::Idle };
        self.forget_crossed();
        waits
    }

    /// The version of what is to be said again though it may have been carried out.
    pub fn unclear(&self) -> Option<u16> {
        self.version().filter(|_| self.unclear && self.state == State::Idle)
    }

    /// An ack proves that the call was carried out, whatever became of its answer: it need not be said again.
    pub fn acked(&mut self, version: u16) {
        self.proven |= self.version() == Some(version);
    }

    pub fn forget_proven(&mut self) {
        if self.proven && self.unclear {
            self.put(&[]);
            (self.state, self.failures) = (State::Idle, 0);
        }
    }

    pub fn hold(&mut self) {
        self.state = State::Held;
    }

    /// Whether slices of the call being made changed hands since it was sent: if it still met them, it
    /// changed a table after its lines were told.
    pub fn is_crossed(&self) -> bool {
        let slices = self.calls.front().into_iter().flatten().filter_map(|order| order.slice);
        slices.into_iter().any(|slice| self.changed_hands.contains(&slice))
    }

    /// Leaves those slices out of what is said again.
    fn forget_crossed(&mut self) {
        let crossed = std::mem::take(&mut self.changed_hands);
        let call = self.calls.front_mut().into_iter();
        call.for_each(|call| call.retain(|order| order.slice.is_none_or(|slice| !crossed.contains(&slice))));
    }

    /// The version of the reply that is open.
    pub fn version(&self) -> Option<u16> {
        self.calls.iter().flatten().find_map(|order| order.version)
    }

    /// How many orders the call has that is being made.
    pub fn sent(&self) -> usize {
        self.calls.front().map_or(0, Vec::len)
    }

    /// So many orders were taken, and leave. The rest is said again, for the figure may be wrong, and an
    /// order sets a state. One at which the relay stops twice is skipped and returned, with all that it orders of its
    /// slice: it would stop there for ever.
    pub fn taken(&mut self, many: usize) -> Option<String> {
        (self.state, self.failures) = (State::Idle, 0);
        let call = self.calls.front_mut()?;
        call.drain(..many.min(call.len()));
        let skips = many == 0 && self.refused && !call.is_empty();
        let skipped = skips.then(|| call.remove(0));
        // What it would have gone with may empty a table that it was to fill.
        let slice = skipped.as_ref().and_then(|order| order.slice);
        call.retain(|order| slice.is_none() || order.slice != slice);
        self.refused = !skips && !call.is_empty();
        // What stood has gone out as a message of its own: the rest is weighed like a repeat.
        self.unclear = many > 0 && !call.is_empty();
        self.forget_crossed();
        skipped.map(|order| order.text)
    }

    /// The relay can't read the call.
    pub fn dropped(&mut self) {
        (self.state, self.failures) = (State::Idle, 0);
        self.changed_hands.clear();
        self.calls.pop_front();
    }
}
