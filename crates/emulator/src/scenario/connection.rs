//! Connections to controllers that are programs of their own.

use whinwall_protocol::collector::{DemandReport, EndpointReport, Message};
use whinwall_protocol::relay::Response;
use whinwall_routing::Event;

/// The connections of a controller program: what the scenario notifies it of goes out as lines of the protocols.
pub trait ControllerConnection {
    /// Sends a line of the relay's watch stream.
    fn send_relay_event(&mut self, line: &str);
    /// Closes the relay's watch stream.
    fn close_relay_watch(&mut self);
    /// Sends a snapshot of the endpoint list.
    fn send_list(&mut self, line: &str);
    /// Closes discovery's stream.
    fn close_registry_watch(&mut self);
    /// Sends a line of a zone's collector.
    fn send_report(&mut self, zone: usize, line: &str);
    /// Answers the outstanding relay request; none closes the connection without an answer.
    fn respond(&mut self, line: Option<&str>);
}

/// What a controller program has sent.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerInput {
    /// It asks the relay for its watch stream.
    WatchRelay,
    /// It asks discovery for its list.
    WatchRegistry,
    /// A relay request.
    RelayRequest(String),
}

/// Sends an event in the words of its protocol.
pub(super) fn write_event(connection: &mut dyn ControllerConnection, event: &Event) {
    match event {
        Event::Message { from, message } => write_report(connection, *from as usize, message),
        Event::RelayResponse(Ok(Response::Accepted(count))) => {
            connection.respond(Some(&format!("OK {count}")));
        }
        Event::RelayResponse(Ok(Response::Retryable(reason) | Response::Rejected(reason))) => {
            connection.respond(Some(&format!("ERR {reason}")));
        }
        Event::RelayResponse(Err(_)) => connection.respond(None),
        Event::RelayWatchLost(_) => connection.close_relay_watch(),
        Event::EndpointListWatchLost(_) => connection.close_registry_watch(),
        _ => {}
    }
}

fn write_report(connection: &mut dyn ControllerConnection, zone: usize, message: &Message) {
    let line = match message {
        Message::EndpointReport(report) => {
            let EndpointReport { zone, replica, attempts, failed, mean_latency_ms, window_ms, missing: _ } =
                report;
            serde_json::json!({"@type": "LOAD", "az": zone, "host": replica, "n": attempts, "bad": failed,
                "avg": mean_latency_ms, "window": window_ms})
        }
        Message::DemandReport(report) => {
            let DemandReport { slice, request_class, requests, failed, window_ms, missing: _ } = report;
            serde_json::json!({"@type": "SHARD", "partition": slice, "kind": request_class, "n": requests,
                "bad": failed, "window": window_ms})
        }
        _ => return,
    };
    connection.send_report(zone, &line.to_string());
}
