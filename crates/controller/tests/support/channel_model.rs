//! The relay's side of the command channel: which lines wait for which proxy. Messages to one proxy arrive in order; those to
//! different proxies do not wait for each other.

use std::collections::{BTreeMap, VecDeque};

/// What waits for each connected proxy, the oldest first.
pub struct ChannelModel {
    /// What a message costs besides its commands.
    overhead_lines: usize,
    waiting: BTreeMap<u32, VecDeque<WaitingMessage>>,
    /// The most lines that have waited at once.
    pub most_waiting: usize,
}

#[derive(Clone, Copy)]
struct WaitingMessage {
    version: u16,
    lines: usize,
}

impl ChannelModel {
    pub fn new(overhead_lines: usize, proxies: impl IntoIterator<Item = u32>) -> Self {
        let waiting = proxies.into_iter().map(|proxy| (proxy, VecDeque::new())).collect();
        ChannelModel { overhead_lines, waiting, most_waiting: 0 }
    }

    pub fn join(&mut self, proxy: u32) {
        self.waiting.insert(proxy, VecDeque::new());
    }

    /// What waits for a proxy is lost with its stream.
    pub fn leave(&mut self, proxy: u32) {
        self.waiting.remove(&proxy);
    }

    pub fn proxies(&self) -> Vec<u32> {
        self.waiting.keys().copied().collect()
    }

    /// Carries out a request: one message to each proxy, which asks for an acknowledgement of this version. Returns the number
    /// of its commands.
    pub fn carry_out(&mut self, request: &str) -> usize {
        let commands: Vec<_> = request.strip_prefix("APPLY ").expect("a request").split(';').collect();
        let version = commands.iter().find_map(|command| command.strip_prefix("SYNC,")?.split(',').next());
        let version = version.and_then(|version| version.parse().ok()).expect("a version");
        let lines = commands.len() + self.overhead_lines;
        for messages in self.waiting.values_mut() {
            messages.push_back(WaitingMessage { version, lines });
        }
        self.most_waiting = self.most_waiting.max(self.waiting_lines());
        commands.len()
    }

    /// The proxy applies all that waits for it; returns the versions that it acknowledges, in order.
    pub fn deliver_all(&mut self, proxy: u32) -> Vec<u16> {
        let messages = self.waiting.get_mut(&proxy).expect("a connected proxy");
        messages.drain(..).map(|message| message.version).collect()
    }

    pub fn waiting_lines(&self) -> usize {
        self.waiting.values().flatten().map(|message| message.lines).sum()
    }
}
