//! Connections to controllers in separate processes.

use whinwall_protocol::collector::{DemandReport, EndpointReport, Message};
use whinwall_protocol::relay::Response;
use whinwall_routing::Event;

/// The connections to a controller process, on which the scenario sends its events as lines of the protocols.
pub trait ControllerConnection {
    /// Sends a line of the relay's watch stream.
    fn send_relay_event(&mut self, line: &str);
    /// Closes the relay's watch stream.
    fn close_relay_watch(&mut self);
    /// Sends a snapshot of the endpoint list.
    fn send_list(&mut self, line: &str);
    /// Closes discovery's stream.
    fn close_discovery_watch(&mut self);
    /// Sends a line as the collector of a zone.
    fn send_report(&mut self, zone: usize, line: &str);
    /// Answers the outstanding relay request; `None` closes the connection without an answer.
    fn respond(&mut self, line: Option<&str>);
}

/// An input from a controller process.
#[derive(Clone, Debug, PartialEq)]
pub enum ControllerInput {
    /// A request for the relay's watch stream.
    WatchRelay,
    /// A request for the endpoint list of discovery.
    WatchDiscovery,
    /// A relay request, as its line.
    RelayRequest(String),
}

/// Sends an event in the format of its protocol.
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
        Event::EndpointListWatchLost(_) => connection.close_discovery_watch(),
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
