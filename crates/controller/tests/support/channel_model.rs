//! The relay's side of the command channel. Messages to one proxy arrive in order; a proxy that lags holds up no other proxy, but
//! the queue is a queue: what is behind a message that some proxy lacks waits as well.

use std::collections::{BTreeSet, VecDeque};

/// The channel's queue, and who is connected.
pub struct ChannelModel {
    /// What a message costs besides its commands.
    overhead_lines: usize,
    proxies: BTreeSet<u32>,
    messages: VecDeque<Message>,
    /// The most lines that have waited at once.
    pub most_waiting: usize,
}

struct Message {
    version: u16,
    lines: usize,
    recipients: BTreeSet<u32>,
    undelivered: BTreeSet<u32>,
}

impl ChannelModel {
    pub fn new(overhead_lines: usize, proxies: impl IntoIterator<Item = u32>) -> Self {
        let proxies = proxies.into_iter().collect();
        ChannelModel { overhead_lines, proxies, messages: VecDeque::new(), most_waiting: 0 }
    }

    pub fn join(&mut self, proxy: u32) {
        self.proxies.insert(proxy);
    }

    /// What waits for a proxy is lost with its stream.
    pub fn leave(&mut self, proxy: u32) {
        self.proxies.remove(&proxy);
        for message in &mut self.messages {
            message.recipients.remove(&proxy);
            message.undelivered.remove(&proxy);
        }
        self.drop_delivered();
    }

    /// Carries out a request: one message to each proxy, which asks for an acknowledgement of this version. Returns the number
    /// of its commands.
    pub fn apply_request(&mut self, request: &str) -> usize {
        let commands: Vec<_> = request.strip_prefix("APPLY ").expect("a request").split(';').collect();
        let version = commands.iter().find_map(|command| command.strip_prefix("SYNC,")?.split(',').next());
        let version = version.and_then(|version| version.parse().ok()).expect("a version");
        let lines = commands.len() + self.overhead_lines;
        let (recipients, undelivered) = (self.proxies.clone(), self.proxies.clone());
        self.messages.push_back(Message { version, lines, recipients, undelivered });
        self.most_waiting = self.most_waiting.max(self.waiting_lines());
        commands.len()
    }

    /// The proxy applies all that waits for it; returns the versions that it acknowledges, in order.
    pub fn deliver_all(&mut self, proxy: u32) -> Vec<u16> {
        let waiting = self.messages.iter_mut().filter_map(|message| {
            let is_new = message.undelivered.remove(&proxy);
            is_new.then_some(message.version)
        });
        let versions = waiting.collect();
        self.drop_delivered();
        versions
    }

    fn drop_delivered(&mut self) {
        while self.messages.front().is_some_and(|oldest| oldest.undelivered.is_empty()) {
            self.messages.pop_front();
        }
    }

    /// The lines from the oldest message on that has not left.
    pub fn waiting_lines(&self) -> usize {
        self.messages.iter().map(|message| message.lines * message.recipients.len()).sum()
    }
}
