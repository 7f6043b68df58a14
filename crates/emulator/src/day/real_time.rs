//! A day played in real time against controllers that are programs of their own.

use super::{Day, Outcome};
use whinwall_policy::time::Moment;
use whinwall_protocol::collector::{DemandReport, EndpointReport, Message};
use whinwall_protocol::relay::Response;
use whinwall_routing::Event;
use whinwall_transport::StreamError;

/// Where a controller is a program of its own: what is said to it goes out as lines, on whatever ways there
/// are.
pub trait Wire {
    fn news(&mut self, line: &str);
    fn cut_news(&mut self);
    fn list(&mut self, line: &str);
    fn cut_list(&mut self);
    fn report(&mut self, zone: usize, line: &str);
    /// To the call that is open; none where it gets no answer.
    fn answer(&mut self, line: Option<&str>);
}

/// What such a program has said.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// It asks for the news, or for the list.
    Watch,
    List,
    Call(String),
}

/// An event in the words of the protocol.
pub(super) fn say(wire: &mut dyn Wire, event: Event) {
    match event {
        Event::Message { from, message: Message::EndpointReport(met) } => {
            let EndpointReport { zone, replica, attempts, failed, mean_latency_ms, window_ms, missing: _ } =
                met;
            let line = serde_json::json!({"@type": "LOAD", "az": zone, "host": replica, "n": attempts, "bad": failed,
                "avg": mean_latency_ms, "window": window_ms});
            wire.report(from as usize, &line.to_string());
        }
        Event::Message { from, message: Message::DemandReport(asked) } => {
            let DemandReport { slice, request_class, requests, failed, window_ms, missing: _ } = asked;
            let line = serde_json::json!({"@type": "SHARD", "partition": slice, "kind": request_class, "n": requests,
                "bad": failed, "window": window_ms});
            wire.report(from as usize, &line.to_string());
        }
        Event::RelayReply(Ok(Response::Accepted(many))) => wire.answer(Some(&format!("OK {many}"))),
        Event::RelayReply(Ok(Response::Retryable(why) | Response::Rejected(why))) => {
            wire.answer(Some(&format!("ERR {why}")))
        }
        Event::RelayReply(Err(_)) => wire.answer(None),
        Event::WatchLost(_) => wire.cut_news(),
        Event::RegistryLost(_) => wire.cut_list(),
        _ => {}
    }
}

impl Day {
    pub fn seat(&mut self, at: usize, wire: Box<dyn Wire>) {
        self.controllers[at].wire = Some(wire);
    }

    pub fn begins_now(&mut self) -> Moment {
        self.begin()
    }

    /// What is due by now is done; when the next is.
    pub fn catch_up(&mut self, now: Moment) -> Option<Moment> {
        while self.due().is_some_and(|at| at <= now) {
            self.now = self.due().unwrap_or(now);
            self.go_on();
        }
        self.now = now;
        self.due()
    }

    pub fn heard(&mut self, at: usize, heard: Heard) {
        match heard {
            Heard::Watch => self.follow_news(at),
            Heard::List if self.discovery_away => self.tell(at, Event::RegistryLost(StreamError::TimedOut)),
            Heard::List => {
                let text = self.list_text();
                self.controllers[at].wire.iter_mut().for_each(|wire| wire.list(&text));
            }
            Heard::Call(line) => self.call(at, &line),
        }
    }

    pub fn is_over(mut self) -> Outcome {
        self.end();
        self.outcome
    }
}
