//! Waiting for acknowledgements.

use crate::state::command_channel::SentMessage;
use crate::state::controller::ControllerState;
use crate::state::slice::Priority;
use crate::time::Span;

pub(crate) const ACK_WAIT: Span = Span::ms(5000);

impl ControllerState {
    /// Slices wait for all acks, or so long: some proxies may be gone. Lines wait on until they are acked. Where one
    /// owner writes, whoever has not acked may still write to the former one: all are asked again (rule 2).
    pub(crate) fn finish_versions(&mut self) -> bool {
        let (open, single) = (self.channel.open_version, self.deployment.single_writer);
        let late = |m: &SentMessage| !m.waiting_slices.is_empty() && self.now - m.sent_at >= ACK_WAIT;
        let due = |(n, m): &(&u16, &SentMessage)| {
            Some(**n) != open && (m.unacked_copies.is_empty() || (late(m) && !single))
        };
        if let Some((&number, _)) = self.channel.sent.iter().find(due) {
            self.finish_version(number);
            return true;
        }
        let long = single && self.now - self.channel.last_opened_at >= ACK_WAIT;
        let asks = long && self.channel.sent.values().any(late) && self.has_channel_room(0.0, Priority::Calm);
        (asks || (self.is_replying && self.needs_sync())).then(|| self.add_lines(0.0)).is_some()
    }
}
