//! A model of the command channel in the relay. Each proxy receives its messages in order, and a slow proxy does not
//! delay the others. The queue itself frees messages in order only: a message stays queued, although all proxies have
//! received it, as long as an older message is undelivered to some proxy.

use std::collections::{BTreeSet, VecDeque};

/// The queue of the channel and the connected proxies.
pub struct ChannelModel {
    /// Lines that a message takes in addition to its commands.
    overhead_lines: usize,
    proxies: BTreeSet<u32>,
    messages: VecDeque<Message>,
    /// Highest number of queued lines so far.
    pub max_queued_lines: usize,
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
        ChannelModel { overhead_lines, proxies, messages: VecDeque::new(), max_queued_lines: 0 }
    }

    pub fn join(&mut self, proxy: u32) {
        self.proxies.insert(proxy);
    }

    /// Disconnects a proxy. Messages that are queued for it are lost.
    pub fn leave(&mut self, proxy: u32) {
        self.proxies.remove(&proxy);
        for message in &mut self.messages {
            message.recipients.remove(&proxy);
            message.undelivered.remove(&proxy);
        }
        self.drop_delivered();
    }

    /// Applies a request: queues one message to each proxy, with the version that the proxy acknowledges. Returns the
    /// number of commands of the request.
    pub fn apply_request(&mut self, request: &str) -> usize {
        let commands: Vec<_> =
            request.strip_prefix("APPLY ").expect("request starts with APPLY").split(';').collect();
        let version = commands.iter().find_map(|command| command.strip_prefix("SYNC,")?.split(',').next());
        let version = version
            .and_then(|version| version.parse().ok())
            .expect("request has a SYNC command with a version");
        let lines = commands.len() + self.overhead_lines;
        let (recipients, undelivered) = (self.proxies.clone(), self.proxies.clone());
        self.messages.push_back(Message { version, lines, recipients, undelivered });
        self.max_queued_lines = self.max_queued_lines.max(self.queued_lines());
        commands.len()
    }

    /// Delivers all messages that are queued for a proxy. Returns the versions that the proxy acknowledges, in order.
    pub fn deliver_all(&mut self, proxy: u32) -> Vec<u16> {
        let delivered = self.messages.iter_mut().filter_map(|message| {
            let was_undelivered = message.undelivered.remove(&proxy);
            was_undelivered.then_some(message.version)
        });
        let versions = delivered.collect();
        self.drop_delivered();
        versions
    }

    fn drop_delivered(&mut self) {
        while self.messages.front().is_some_and(|oldest| oldest.undelivered.is_empty()) {
            self.messages.pop_front();
        }
    }

    /// Number of queued lines. The first queued message is the oldest one that is undelivered to some proxy.
    pub fn queued_lines(&self) -> usize {
        self.messages.iter().map(|message| message.lines * message.recipients.len()).sum()
    }
}
