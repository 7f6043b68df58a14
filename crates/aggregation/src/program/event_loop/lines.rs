//! Lines of collectors and peers: decoded, checked for who may send them, and passed to the reducer.

use super::EventLoop;
use tokio::sync::mpsc;
use whinwall_aggregation::coverage::ConnectionId;
use whinwall_aggregation::messages::Event;
use whinwall_aggregation::wire;
use whinwall_protocol::collector::{self, DemandReport, EndpointReport, Message, Reply, Report};
use whinwall_protocol::InvalidMessage;
use whinwall_transport::ConnectionCommand;

/// The connection that a line came on, and the way back to it.
pub(super) struct Sender<'a> {
    pub connection: ConnectionId,
    pub commands: &'a mpsc::Sender<ConnectionCommand>,
}

impl Sender<'_> {
    /// A command that finds no room is for a peer that reads no answers.
    fn command(&self, command: ConnectionCommand) {
        _ = self.commands.try_send(command);
    }

    /// Closes the connection with a reason.
    pub(super) fn refuse(&self) {
        let nack = Reply::Nack { why: "of no use from whoever has not joined" };
        self.command(ConnectionCommand::Close(Some(collector::encode(nack))));
    }
}

impl EventLoop {
    pub(super) fn line(&mut self, sender: &Sender, line: &str) {
        self.traffic.lines_in += 1;
        self.traffic.bytes_in += line.len() as u64 + 1;
        if let Some(report) = collector::decode_report(line) {
            return self.report(sender, report);
        }
        match collector::decode_with_diagnosis(line) {
            Ok(message) => self.message(sender, &message, line),
            Err(InvalidMessage::Malformed(_)) => self.reject_line(sender),
            Err(InvalidMessage::Unreadable(_)) => {
                self.traffic.lines_spoilt += 1;
                sender.command(ConnectionCommand::Close(None));
            }
        }
    }

    fn message(&mut self, sender: &Sender, message: &Message, line: &str) {
        match message {
            Message::Ping => sender.command(ConnectionCommand::Send(collector::encode(Reply::Pong))),
            Message::Source { zone } => {
                self.admit(sender);
                let joined = Event::CollectorJoined { connection: sender.connection, zone };
                self.apply_for(joined, Some(sender));
            }
            Message::EndpointReport(report) => self.report(sender, endpoint_report(report)),
            Message::DemandReport(report) => self.report(sender, demand_report(report)),
            Message::Unknown => match wire::decode_heartbeat(line) {
                Some(heartbeat) if self.aggregator.has_peer(&heartbeat.name) => {
                    self.admit(sender);
                    self.apply(Event::HeartbeatReceived(heartbeat));
                }
                _ => self.reject_line(sender),
            },
        }
    }

    fn report(&mut self, sender: &Sender, report: Report) {
        self.apply_for(Event::ReportReceived { connection: sender.connection, report }, Some(sender));
    }

    fn admit(&mut self, sender: &Sender) {
        if self.admitted.insert(sender.connection) {
            sender.command(ConnectionCommand::MarkAuthenticated);
        }
    }

    /// An invalid line changes nothing; an unauthenticated peer that sends one is disconnected.
    fn reject_line(&mut self, sender: &Sender) {
        self.traffic.lines_spoilt += 1;
        if !self.admitted.contains(&sender.connection) {
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
