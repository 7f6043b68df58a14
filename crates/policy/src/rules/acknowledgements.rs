//! Waiting for acknowledgements: a slice whose table changed is left alone until all proxies have applied it.
//!
//! Guards against a slice that moves again before anybody knows of its last move, and, where it has a single writer, against
//! two owners that are written to at once.

use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::sent_message::SentMessage;
use crate::time::Span;

/// How long a slice waits for acknowledgements that do not come: some proxies may be gone (docs/design.md, Messages).
const MAX_ACK_WAIT: Span = Span::ms(5000);

impl ControllerState {
    /// Frees the slices that wait for a version once all acknowledgements are there, or after a while; lines stay counted
    /// until they are acknowledged. Where slices have a single writer, a proxy that has not acknowledged may still write to
    /// the former owner: there all are asked again instead.
    pub(crate) fn finish_versions(&mut self) -> bool {
        let single_writer = self.deployment.single_writer;
        let is_finished = |version: u16, message: &SentMessage| {
            let is_open = Some(version) == self.channel.open_version;
            let is_acked = message.unacked_copies.is_empty();
            !is_open && (is_acked || (self.is_late(message) && !single_writer))
        };
        let finished = self.channel.sent.iter().find(|(version, message)| is_finished(**version, message));
        if let Some((&version, _)) = finished {
            self.finish_version(version);
            return true;
        }
        if self.must_request_single_writer_acks() || (self.is_replying && self.needs_sync()) {
            self.add_lines(0.0);
            return true;
        }
        false
    }

    /// Whether slices have waited for the message for too long.
    fn is_late(&self, message: &SentMessage) -> bool {
        !message.waiting_slices.is_empty() && self.now - message.sent_at >= MAX_ACK_WAIT
    }

    fn must_request_single_writer_acks(&self) -> bool {
        self.deployment.single_writer
            && self.now - self.channel.last_opened_at >= MAX_ACK_WAIT
            && self.channel.sent.values().any(|message| self.is_late(message))
            && self.has_channel_room(0.0, Priority::Normal)
    }
}
