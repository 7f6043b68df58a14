//! The relay: a store of tables, and the channel to the proxies with its pace, heads and queue.

use crate::proxy::{Obeyed, Table};
use crate::sizes::Sizes;
use crate::{ProxyIx, ReplicaIx, SliceIx};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use whinwall_policy::time::{Moment, Span};

/// What one proxy is sent at once.
#[derive(Clone, Debug)]
pub struct Message {
    pub proxy: ProxyIx,
    pub orders: Arc<Vec<Obeyed>>,
    pub version: Option<u16>,
    lines: f64,
}

/// One controller's part of the relay.
#[derive(Default)]
pub struct Channel {
    waiting: VecDeque<(Moment, Message)>,
    lines: f64,
    free: Moment,
    /// The pace as a part of the usual one.
    pub slow: f64,
    /// When messages went to each proxy of late.
    written: BTreeMap<ProxyIx, VecDeque<Moment>>,
}

impl Channel {
    pub fn new() -> Self {
        Channel { slow: 1.0, ..Channel::default() }
    }

    /// Puts a call's orders on their way to all; says when each arrives, and what of rule 5 it breaks.
    pub fn send(
        &mut self,
        now: Moment,
        proxies: impl Iterator<Item = ProxyIx>,
        orders: &Arc<Vec<Obeyed>>,
        version: Option<u16>,
        sizes: &Sizes,
    ) -> Vec<String> {
        let mut broken = Vec::new();
        let lines = sizes.head + orders.len() as f64 + f64::from(u8::from(version.is_some()));
        for proxy in proxies {
            self.free = self.free.max(now) + Span::ms(1000).times(lines / (sizes.pace * self.slow));
            self.waiting.push_back((self.free, Message { proxy, orders: orders.clone(), version, lines }));
            self.lines += lines;
            let written = self.written.entry(proxy).or_default();
            written.push_back(now);
            while written.front().is_some_and(|at| now - *at > sizes.message_window) {
                written.pop_front();
            }
            if sizes.message_cap > 0 && written.len() > sizes.message_cap as usize {
                broken.push(format!("{} messages to proxy {proxy} within the window", written.len()));
            }
        }
        if self.lines > sizes.queue_cap {
            broken.push(format!("{} lines wait", self.lines));
        }
        broken
    }

    pub fn next(&self) -> Option<Moment> {
        self.waiting.front().map(|(at, _)| *at)
    }

    pub fn arrives(&mut self, now: Moment) -> Option<Message> {
        let (_, message) = self.waiting.pop_front_if(|(at, _)| *at <= now)?;
        self.lines -= message.lines;
        Some(message)
    }

    /// What is under way to a proxy that has left goes nowhere.
    pub fn left(&mut self, proxy: ProxyIx) {
        self.waiting.retain(|(_, message)| message.proxy != proxy);
        self.lines = self.waiting.iter().map(|(_, message)| message.lines).sum();
    }

    /// The controller is gone, and so is its queue.
    pub fn lost(&mut self) {
        (self.waiting, self.lines) = (VecDeque::new(), 0.0);
    }

    pub fn lines(&self) -> f64 {
        self.lines
    }
}

/// The orders of a call as proxies obey them, and its version; none where it can't be read.
pub fn read(
    call: &str,
    names: &BTreeMap<String, ReplicaIx>,
    kinds: &[&str],
) -> Option<(Vec<Obeyed>, Option<u16>)> {
    let (mut orders, mut version) = (Vec::new(), None);
    for order in call.strip_prefix("APPLY ")?.split(';') {
        match order.split(',').collect::<Vec<_>>()[..] {
            ["SET", slice, replica, weight] => orders.push(Obeyed::Line {
                slice: slice.parse().ok()?,
                replica: *names.get(replica)?,
                weight: weight.parse().ok()?,
            }),
            ["OUT", replica] => orders.push(Obeyed::Withdraw { replica: *names.get(replica)?, out: true }),
            ["IN", replica] => orders.push(Obeyed::Withdraw { replica: *names.get(replica)?, out: false }),
            ["LIMIT", slice, request_classes, share, retries] => {
                let slice = if slice == "*" { None } else { Some(slice.parse().ok()?) };
                let meant = |kind: &&str| {
                    request_classes == "*" || request_classes.split('+').any(|named| named == *kind)
                };
                let kinds =
                    kinds.iter().enumerate().filter(|(_, kind)| meant(kind)).map(|(n, _)| n).collect();
                orders.push(Obeyed::Level {
                    slice,
                    kinds,
                    share: share.parse().ok()?,
                    retries: retries.parse().ok()?,
                });
            }
            ["SYNC", number, _] => version = Some(number.parse().ok()?),
            _ => return None,
        }
    }
    Some((orders, version))
}

/// Tables as the store has them.
#[derive(Clone, Default)]
pub struct Store(pub BTreeMap<SliceIx, Arc<Table>>);

impl Store {
    /// Whether an order gives a slice a whole line on a replica that has none yet.
    pub fn is_move(&self, order: &Obeyed) -> bool {
        let Obeyed::Line { slice, replica, weight } = order else { return false };
        let held = self.0.get(slice).and_then(|table| table.get(replica)).copied().unwrap_or(0.0);
        *weight >= 1.0 && held < 1.0
    }

    pub fn carry_out(&mut self, order: &Obeyed) {
        if let Obeyed::Line { slice, replica, weight } = order {
            let table = Arc::make_mut(self.0.entry(*slice).or_default());
            match *weight > 0.0 {
                true => _ = table.insert(*replica, *weight),
                false => _ = table.remove(replica),
            }
        }
    }
}
