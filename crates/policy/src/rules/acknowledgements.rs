//! Waiting for acknowledgements.

use crate::state::command_channel::Sent;
use crate::state::fleet::Policy;
use crate::state::slice::Priority;
use crate::time::Span;

pub(crate) const ACK_WAIT: Span = Span::ms(5000);

impl Policy {
    /// Slices wait for all acks, or so long: some proxies may be gone. Lines wait on until they are acked. Where one
    /// owner writes, whoever has not acked may still write to the former one: all are asked again (rule 2).
    pub(crate) fn close_versions(&mut self) -> bool {
        let (open, single) = (self.channel.open_version, self.site.single_writer);
        let late = |m: &Sent| !m.slices.is_empty() && self.now - m.at >= ACK_WAIT;
        let due =
            |(n, m): &(&u16, &Sent)| Some(**n) != open && (m.waiting.is_empty() || (late(m) && !single));
        if let Some((&number, _)) = self.channel.versions.iter().find(due) {
            self.close_version(number);
            return true;
        }
        let long = single && self.now - self.channel.written >= ACK_WAIT;
        let asks = long && self.channel.versions.values().any(late) && self.has_room(0.0, Priority::Calm);
        (asks || (self.replying && self.lacks_acks())).then(|| self.write(0.0)).is_some()
    }
}
