//! The relay: its watch, its requests, the store and the channel to the proxies.

use super::{replica_name, Day, Step, MUTE, WAY};
use crate::channel;
use crate::proxy::Obeyed;
use std::sync::Arc;
use whinwall_protocol::relay::{decode_event, Response};
use whinwall_routing::Event;
use whinwall_transport::{RequestError, StreamError};

impl Day {
    pub(super) fn news(&mut self, at: usize, line: &str) {
        if let Some(wire) = &mut self.controllers[at].wire {
            return wire.news(line);
        }
        let event = Event::Relay(decode_event(line).expect("our own news"));
        self.tell(at, event);
    }

    pub(super) fn follow_news(&mut self, at: usize) {
        let incarnation = self.controllers[at].incarnation;
        if self.relay_away {
            self.controllers[at].follows = false;
            let lost = Event::WatchLost(StreamError::Unreachable("away".into()));
            return self.after(WAY, Step::To(at, incarnation, Box::new(lost)));
        }
        self.controllers[at].follows = true;
        let mut lines = vec!["OK".to_string()];
        let joined = self.proxies.iter().enumerate().filter(|(_, proxy)| proxy.has_stream(at));
        lines.extend(joined.map(|(n, _)| format!("* SUBSCRIBE {n} {} 1.0 1", self.sizes.zone(n))));
        for (slice, table) in self.store.0.iter().filter(|(slice, _)| self.is_of(**slice, at)) {
            lines.push(format!("* GRANT {slice} 1"));
            lines.extend(
                table
                    .iter()
                    .map(|(replica, weight)| format!("* ROW {slice} {} {weight}", replica_name(*replica))),
            );
        }
        lines.push("*".into());
        for line in lines {
            self.after(WAY, Step::RelayEvent(at, incarnation, line));
        }
    }

    pub(super) fn call(&mut self, at: usize, line: &str) {
        let incarnation = self.controllers[at].incarnation;
        if self.relay_away {
            let outcome = Err(RequestError::NotSent(StreamError::Unreachable("away".into())));
            return self.after(WAY, Step::To(at, incarnation, Box::new(Event::RelayReply(outcome))));
        }
        let kinds: Vec<_> = self.sizes.kinds.iter().map(|kind| kind.name).collect();
        let many = line.split(';').count();
        let meddled = self.meddler.map(|meddler| {
            let orders = line.trim_start_matches("APPLY ").split(';').flat_map(meddler);
            format!("APPLY {}", orders.collect::<Vec<_>>().join(";"))
        });
        let line = meddled.as_deref().unwrap_or(line);
        let Some((orders, version)) = channel::read(line, &self.names, &kinds) else {
            let outcome = Ok(Response::Rejected("bad_request".into()));
            return self.after(WAY, Step::To(at, incarnation, Box::new(Event::RelayReply(outcome))));
        };
        self.outcome.orders += orders.len() as u64;
        self.rules.ordered(self.now, line.trim_start_matches("APPLY ").split(';').map(String::from));
        if self.about.is_some() {
            let orders: Vec<_> = line.trim_start_matches("APPLY ").split(';').map(String::from).collect();
            orders.iter().for_each(|order| self.line(order, || format!("order {order}")));
        }
        for order in &orders {
            self.outcome.moves += u64::from(self.store.is_move(order));
            self.store.carry_out(order);
            if let Obeyed::Line { slice, .. } = order {
                if self.store.0[slice].is_empty() {
                    self.rules.broken(
                        1,
                        self.now,
                        format!("slice {slice} is left bare in the store"),
                        &slice.to_string(),
                    );
                }
            }
        }
        let joined: Vec<_> = (0..self.proxies.len()).filter(|n| self.proxies[*n].has_stream(at)).collect();
        let orders = Arc::new(orders);
        let channel = &mut self.controllers[at].channel;
        let broken = channel.send(self.now, joined.into_iter(), &orders, version, &self.sizes);
        self.outcome.most_lines = self.outcome.most_lines.max(channel.lines());
        let next = channel.next();
        broken.into_iter().for_each(|what| self.rules.broken(5, self.now, what, ""));
        next.into_iter().for_each(|due| self.after(due - self.now, Step::Channel(at)));
        let garbled = self.garbled > 0.0 && self.random.draw() < self.garbled;
        let (pause, outcome) = match () {
            _ if self.relay_mute => (MUTE, Err(RequestError::OutcomeUnknown(StreamError::TimedOut))),
            _ if garbled => {
                (WAY, Err(RequestError::OutcomeUnknown(StreamError::Unreadable("garbled".into()))))
            }
            _ => (WAY, Ok(Response::Accepted(many))),
        };
        self.after(pause, Step::To(at, incarnation, Box::new(Event::RelayReply(outcome))));
    }

    pub(super) fn channel(&mut self, at: usize) {
        while let Some(message) = self.controllers[at].channel.arrives(self.now) {
            let proxy = &mut self.proxies[message.proxy];
            if !proxy.has_stream(at) {
                continue;
            }
            message.orders.iter().for_each(|order| proxy.obey(at, order));
            if let (Some(version), true) = (message.version, self.controllers[at].follows) {
                self.news(at, &format!("* ACK {} {version}", message.proxy));
            }
        }
        if let Some(due) = self.controllers[at].channel.next() {
            self.after(due - self.now, Step::Channel(at));
        }
    }
}
