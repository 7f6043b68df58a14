//! The command channel to the proxies: connected proxies and unacknowledged messages.

use crate::api::ProxyId;
use crate::state::message_budget::MessageBudget;
use crate::state::sent_message::SentMessage;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// A proxy that acknowledges nothing for this time may be gone, so only its own lines still count as queued. A
/// slow channel needs less than this to deliver one message to all proxies.
const STALL_TIMEOUT: Span = Span::ms(8000);

/// A connected proxy.
#[derive(Default)]
pub(crate) struct ConnectedProxy {
    /// The time since which an acknowledgement has been pending; `None` if nothing is unacknowledged. Each
    /// acknowledgement resets it.
    awaiting_ack_since: Option<Moment>,
}

impl ConnectedProxy {
    fn is_stalled(&self, now: Moment) -> bool {
        self.awaiting_ack_since.is_some_and(|since| now - since > STALL_TIMEOUT)
    }
}

/// The oldest message that a responsive proxy has not acknowledged, with the number of its unacknowledged copies.
#[derive(Clone, Copy)]
struct OldestUnacked {
    sequence: u64,
    copies: u32,
}

/// The command channel to the proxies.
pub(crate) struct CommandChannel {
    /// The connected proxies.
    pub proxies: BTreeMap<ProxyId, ConnectedProxy>,
    /// The number of proxies of the fleet, connected or not; 0 if unknown.
    fleet_size: u32,
    /// Messages that a proxy has not acknowledged or that a slice waits for, by version.
    pub sent: BTreeMap<u16, SentMessage>,
    /// The version of the reply in progress, once it has a message.
    pub open_version: Option<u16>,
    last_version: u16,
    last_sequence: u64,
    /// The time at which an acknowledgement was last received or a message was last sent.
    last_activity_at: Moment,
    /// The time at which an acknowledgement was last received, or the relay's events resumed.
    last_ack_at: Moment,
    /// True while the relay's events arrive. Without them no acknowledgements arrive either, so none counts as
    /// overdue.
    events_arrive: bool,
    /// True if acknowledgements may have been lost since the last one that was received or the last message that
    /// was sent.
    pub acks_lost: bool,
    /// The messages that count against their limit, including resent ones.
    pub message_budget: MessageBudget,
    pub last_opened_at: Moment,
    /// The time at which a message was last opened or resent.
    pub last_sent_at: Moment,
}

impl CommandChannel {
    /// Creates a channel without connected proxies. Versions continue after `last_version`.
    pub(crate) fn new(message_budget: MessageBudget, fleet_size: u32, last_version: u16) -> Self {
        CommandChannel {
            proxies: BTreeMap::new(),
            fleet_size,
            sent: BTreeMap::new(),
            open_version: None,
            last_version,
            last_sequence: 0,
            last_activity_at: Moment::default(),
            last_ack_at: Moment::default(),
            events_arrive: true,
            acks_lost: false,
            last_opened_at: Moment::default(),
            last_sent_at: Moment::default(),
            message_budget,
        }
    }

    /// Adds a connected proxy.
    pub(crate) fn add_proxy(&mut self, proxy: ProxyId) {
        self.proxies.entry(proxy).or_default();
    }

    /// Returns the number of proxies that a message may reach. It may exceed the number of known connected
    /// proxies, since a message can wait for the relay and the relay's events can be late.
    pub(crate) fn recipient_count(&self) -> f64 {
        f64::from(self.fleet_size).max(self.proxies.len() as f64)
    }

    /// Records that no events of the relay arrive until further notice.
    pub(crate) fn interrupt_events(&mut self) {
        self.events_arrive = false;
    }

    /// Returns true while the relay's events arrive, so that a slice that is assigned to another controller is known.
    pub(crate) fn events_arrive(&self) -> bool {
        self.events_arrive
    }

    /// Records that events arrive again, that acknowledgements may have been lost meanwhile, and that waiting times for
    /// them restart.
    pub(crate) fn resume_events(&mut self, now: Moment) {
        self.events_arrive = true;
        self.acks_lost = true;
        self.last_activity_at = now;
        self.last_ack_at = now;
        for since in self.proxies.values_mut().filter_map(|proxy| proxy.awaiting_ack_since.as_mut()) {
            *since = now;
        }
    }

    /// Returns the time since the last channel activity; zero while no events arrive.
    pub(crate) fn ack_silence(&self, now: Moment) -> Span {
        if self.events_arrive {
            now - self.last_activity_at
        } else {
            Span::default()
        }
    }

    /// Removes a disconnected proxy, and with it all copies of messages to it.
    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.sent.values_mut().for_each(|message| message.remove_copies(proxy, u32::MAX));
    }

    /// Records that the message with this version was sent again.
    pub(crate) fn record_resend(&mut self, now: Moment, version: u16) {
        if let Some(message) = self.sent.get_mut(&version) {
            message.add_copies(now, self.proxies.keys().copied());
            self.last_activity_at = now;
            self.last_sent_at = now;
            self.message_budget.record(now, 1);
        }
    }

    /// Records that the message with this version is sent as several messages. Each has its own overhead and
    /// counts against the limit.
    pub(crate) fn record_split(
        &mut self,
        now: Moment,
        version: u16,
        additional_messages: u32,
        overhead_lines: f64,
    ) {
        if let Some(message) = self.sent.get_mut(&version) {
            message.lines_per_proxy += f64::from(additional_messages) * overhead_lines;
            self.message_budget.record(now, additional_messages);
        }
    }

    /// Records that a proxy has applied everything up to this version. Returns the time at which that version was
    /// sent, if known. An acknowledgement also covers earlier ones that were lost. If a message was sent several
    /// times, one acknowledgement stands for one copy.
    pub(crate) fn record_ack(&mut self, now: Moment, proxy: ProxyId, version: u16) -> Option<Moment> {
        self.last_activity_at = now;
        self.last_ack_at = now;
        self.acks_lost = false;
        let SentMessage { sequence, sent_at, .. } = *self.sent.get(&version)?;
        for message in self.sent.values_mut().filter(|message| message.sequence <= sequence) {
            let copies = if message.sequence == sequence { 1 } else { u32::MAX };
            message.remove_copies(proxy, copies);
        }
        let has_later_messages = sequence < self.last_sequence;
        if let Some(proxy) = self.proxies.get_mut(&proxy) {
            proxy.awaiting_ack_since = has_later_messages.then_some(now);
        }
        Some(sent_at)
    }

    /// Returns an upper bound of the lines in the channel's queue, however slow the channel is and whichever proxy
    /// lags. Messages leave the queue in order, so a message has left only once all proxies have acknowledged it,
    /// and everything behind it is still queued, acknowledged or not: a proxy that has just connected gets and
    /// acknowledges new messages while others are seconds behind (docs/incidents/incident-12041.md).
    pub(crate) fn unacked_lines(&self, now: Moment) -> f64 {
        let oldest = self.oldest_unacked(now);
        let lines = |message: &SentMessage| match oldest {
            Some(oldest) if message.sequence >= oldest.sequence => {
                // Copies of the oldest message that all proxies have acknowledged have left the queue; the
                // messages behind it have not.
                let is_oldest = message.sequence == oldest.sequence;
                let copies = if is_oldest { oldest.copies } else { message.send_count };
                message.lines_per_proxy * f64::from(copies) * self.recipient_count()
            }
            _ => message.unacked_lines(),
        };
        self.sent.values().map(lines).sum()
    }

    /// Returns the oldest message that a proxy which is not stalled has not acknowledged.
    fn oldest_unacked(&self, now: Moment) -> Option<OldestUnacked> {
        let is_responsive = |proxy: &ProxyId| self.is_responsive(now, *proxy);
        let is_unacked = |message: &&SentMessage| message.unacked_copies.keys().any(is_responsive);
        let oldest = self.sent.values().filter(is_unacked).min_by_key(|message| message.sequence)?;
        let unacked = oldest.unacked_copies.iter().filter(|(proxy, _)| is_responsive(proxy));
        // Shortcut: nearly all messages are sent once, and the search covers all proxies at each call.
        let copies = if oldest.send_count == 1 { 1 } else { unacked.map(|(_, copies)| *copies).max()? };
        Some(OldestUnacked { sequence: oldest.sequence, copies })
    }

    fn is_responsive(&self, now: Moment, proxy: ProxyId) -> bool {
        let is_stalled = |proxy: &ConnectedProxy| self.events_arrive && proxy.is_stalled(now);
        self.proxies.get(&proxy).is_some_and(|proxy| !is_stalled(proxy))
    }

    /// Drops the additional copies of resent messages. Called once acknowledgements are overdue, which shows that
    /// only one attempt was carried out.
    pub(crate) fn drop_extra_copies(&mut self) {
        let resent = self.sent.values_mut().filter(|message| message.send_count > 1);
        resent.for_each(SentMessage::keep_one_copy);
    }

    /// Drops the copies of resent messages that were sent before this time, if no acknowledgement has arrived since they
    /// were sent, which shows that they were not carried out. The last copy of a message is kept.
    pub(crate) fn drop_lost_copies(&mut self, sent_before: Moment) {
        if !self.events_arrive {
            return;
        }
        let resent = self.sent.values_mut().filter(|message| message.send_count > 1);
        resent.for_each(|message| message.remove_lost_copies(self.last_ack_at, sent_before));
    }

    /// Returns the lines of one copy of the message with this version to all proxies.
    pub(crate) fn lines_of_version(&self, version: u16) -> f64 {
        let lines = |message: &SentMessage| message.lines_per_proxy * self.recipient_count();
        self.sent.get(&version).map_or(0.0, lines)
    }

    /// Returns the lines of the message in progress to all proxies.
    pub(crate) fn open_message_lines(&self) -> f64 {
        self.open_version.map_or(0.0, |version| self.lines_of_version(version))
    }

    /// Adds lines to this reply's message, which is opened if necessary, and returns its version.
    pub(crate) fn add_lines(&mut self, now: Moment, overhead_lines: f64, lines: f64) -> u16 {
        let version = match self.open_version {
            Some(version) => version,
            None => self.open_message(now, overhead_lines),
        };
        if let Some(message) = self.sent.get_mut(&version) {
            message.lines_per_proxy += lines;
        }
        version
    }

    fn open_message(&mut self, now: Moment, overhead_lines: f64) -> u16 {
        self.last_version = self.last_version.wrapping_add(1);
        self.message_budget.record(now, 1);
        self.last_opened_at = now;
        self.last_sent_at = now;
        self.last_activity_at = now;
        self.acks_lost = false;
        self.last_sequence += 1;
        let mut message = SentMessage::new(now, self.last_sequence, overhead_lines);
        message.add_copies(now, self.proxies.keys().copied());
        for proxy in self.proxies.values_mut() {
            proxy.awaiting_ack_since.get_or_insert(now);
        }
        self.sent.insert(self.last_version, message);
        self.open_version = Some(self.last_version);
        self.last_version
    }
}
