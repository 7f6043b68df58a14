//! Waiting for acknowledgements: a slice whose table has changed is not changed again until all proxies have
//! applied the change.
//!
//! This prevents a slice from moving again before all proxies have applied its previous move. Under single writer
//! it also prevents writes to two owners at once.

use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::sent_message::SentMessage;
use crate::time::Span;

/// The time for which a slice waits for missing acknowledgements; some proxies may be gone (docs/design.md,
/// Messages).
const MAX_ACK_WAIT: Span = Span::ms(5000);

impl ControllerState {
    /// Releases the slices that wait for a version, once all acknowledgements have arrived or `MAX_ACK_WAIT` has
    /// passed. Lines still count as queued until they are acknowledged. Under single writer, a proxy that has not
    /// acknowledged may still write to the previous owner, so there is no time limit and all proxies are asked for
    /// another acknowledgement instead.
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

    /// Returns true if slices have waited for the message for `MAX_ACK_WAIT` or longer.
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
