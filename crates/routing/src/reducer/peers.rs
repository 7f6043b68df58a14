//! Peers at the controller's own address: authentication, pings, and messages that are ignored.

use super::Reducer;
use crate::events::Effect;
use crate::log_event::LogEvent;
use std::fmt;
use whinwall_policy::api::ZoneId;
use whinwall_policy::time::Moment;
use whinwall_protocol::collector::Message;
use whinwall_protocol::InvalidMessage;
use whinwall_transport::ConnectionId;

/// The reasons for closing a connection, as sent to the peer. They are part of the protocol and must not change.
const UNREADABLE_REASON: &str = "unreadable";
const NOT_AUTHENTICATED_REASON: &str = "of no use from whoever has not joined";

impl Reducer {
    pub(super) fn message_received(&mut self, now: Moment, from: ConnectionId, message: Message) {
        let is_authenticated = self.collectors.contains(&from);
        match message {
            Message::Ping => self.effects.push(Effect::Pong { to: from }),
            Message::Source { zone } if self.known_zone(&zone).is_some() => {
                self.collectors.insert(from);
                self.effects.push(Effect::Admit { to: from });
            }
            Message::EndpointReport(report) if is_authenticated => {
                self.endpoint_report_received(now, from, &report);
            }
            Message::DemandReport(report) if is_authenticated => {
                self.demand_report_received(now, from, &report);
            }
            unexpected => self.ignore_message(from, format!("unexpected message {unexpected:?}")),
        }
    }

    pub(super) fn invalid_message_received(&mut self, from: ConnectionId, error: InvalidMessage) {
        match error {
            InvalidMessage::Malformed(error) => self.ignore_message(from, error),
            InvalidMessage::Unreadable(error) => {
                // Further messages that were received on the connection are ignored, too.
                let was_authenticated = self.collectors.remove(&from);
                if was_authenticated {
                    self.log(LogEvent::CollectorDisconnected { reason: error.to_string() });
                }
                let reason = (!was_authenticated).then_some(UNREADABLE_REASON);
                self.effects.push(Effect::Disconnect { to: from, reason });
            }
        }
    }

    /// Ignores a message that is malformed, unexpected, or contains unknown names. Disconnects the peer if it is
    /// unauthenticated.
    pub(super) fn ignore_message(&mut self, from: ConnectionId, reason: impl fmt::Display) {
        if self.collectors.contains(&from) {
            self.log(LogEvent::ReportIgnored { reason: reason.to_string() });
        } else {
            self.effects.push(Effect::Disconnect { to: from, reason: Some(NOT_AUTHENTICATED_REASON) });
        }
    }

    /// The id of a zone, if it is in the settings. If the settings contain no zones, every zone is accepted.
    pub(super) fn known_zone(&self, name: &str) -> Option<ZoneId> {
        crate::report_names::zone_id(&self.settings.zones, name)
    }
}
