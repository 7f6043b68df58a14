//! Handles lines of collectors and peers: decodes them, checks that the sender is authenticated, and passes them to the
//! reducer.

use super::EventLoop;
use tokio::sync::mpsc;
use whinwall_aggregation::coverage::ConnectionId;
use whinwall_aggregation::messages::Event;
use whinwall_aggregation::wire;
use whinwall_protocol::collector::{self, DemandReport, EndpointReport, Message, Reply, Report};
use whinwall_protocol::InvalidMessage;
use whinwall_transport::ConnectionCommand;

/// The sender of a line: its connection, and the queue of commands to the connection.
pub(super) struct LineSender<'a> {
    pub connection: ConnectionId,
    pub commands: &'a mpsc::Sender<ConnectionCommand>,
}

impl LineSender<'_> {
    /// Sends a command to the connection. If the queue is full, the peer does not read its replies and the command is
    /// dropped.
    fn send_command(&self, command: ConnectionCommand) {
        _ = self.commands.try_send(command);
    }

    /// Closes the connection after a NACK with the reason.
    pub(super) fn refuse(&self) {
        let reply = Reply::Nack { why: "of no use from whoever has not joined" };
        self.send_command(ConnectionCommand::Close(Some(collector::encode(reply))));
    }
}

impl EventLoop {
    pub(super) fn handle_line(&mut self, sender: &LineSender, line: &str) {
        self.traffic.lines_in += 1;
        self.traffic.bytes_in += line.len() as u64 + 1;
        if let Some(report) = collector::decode_report(line) {
            return self.handle_report(sender, report);
        }
        match collector::decode_with_diagnosis(line) {
            Ok(message) => self.handle_message(sender, &message, line),
            Err(InvalidMessage::Malformed(_)) => self.reject_line(sender),
            Err(InvalidMessage::Unreadable(_)) => {
                self.traffic.rejected_lines += 1;
                sender.send_command(ConnectionCommand::Close(None));
            }
        }
    }

    fn handle_message(&mut self, sender: &LineSender, message: &Message, line: &str) {
        match message {
            Message::Ping => sender.send_command(ConnectionCommand::Send(collector::encode(Reply::Pong))),
            Message::Source { zone } => {
                self.authenticate(sender);
                let joined = Event::CollectorJoined { connection: sender.connection, zone };
                self.apply_for(joined, Some(sender));
            }
            Message::EndpointReport(report) => self.handle_report(sender, endpoint_report(report)),
            Message::DemandReport(report) => self.handle_report(sender, demand_report(report)),
            Message::Unknown => match wire::decode_heartbeat(line) {
                Some(heartbeat) if self.aggregator.has_peer(&heartbeat.name) => {
                    self.authenticate(sender);
                    self.apply(Event::HeartbeatReceived(heartbeat));
                }
                _ => self.reject_line(sender),
            },
        }
    }

    fn handle_report(&mut self, sender: &LineSender, report: Report) {
        self.apply_for(Event::ReportReceived { connection: sender.connection, report }, Some(sender));
    }

    fn authenticate(&mut self, sender: &LineSender) {
        if self.authenticated.insert(sender.connection) {
            sender.send_command(ConnectionCommand::MarkAuthenticated);
        }
    }

    /// Counts an invalid line, and disconnects the peer if it is unauthenticated.
    fn reject_line(&mut self, sender: &LineSender) {
        self.traffic.rejected_lines += 1;
        if !self.authenticated.contains(&sender.connection) {
            sender.refuse();
        }
    }
}

fn endpoint_report(report: &EndpointReport) -> Report<'_> {
    Report::EndpointReport {
        zone: &report.zone,
        replica: &report.replica,
        attempts: report.attempts,
        failed: report.failed,
        mean_latency_ms: report.mean_latency_ms,
        window_ms: report.window_ms,
        missing: report.missing,
    }
}

fn demand_report(report: &DemandReport) -> Report<'_> {
    Report::DemandReport {
        slice: report.slice,
        request_class: &report.request_class,
        requests: report.requests,
        failed: report.failed,
        window_ms: report.window_ms,
        missing: report.missing,
    }
}
