//! The relay's channel from one controller to its proxies: a rate-limited queue of messages. The channel describes each
//! exceeded limit on messages and queued lines.

use crate::command::{CommandBatch, ProxyCommand};
use crate::config::ScenarioConfig;
use crate::ProxyIndex;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use whinwall_policy::time::{Moment, Span};

/// A message from the relay to one proxy.
#[derive(Clone, Debug)]
pub struct Message {
    /// The receiving proxy.
    pub proxy: ProxyIndex,
    /// The commands to apply, shared by all messages of one relay request.
    pub commands: Arc<Vec<ProxyCommand>>,
    /// The version of the command set that the proxy acknowledges, if one was requested.
    pub version: Option<u16>,
    /// The size in lines, which counts towards the channel's rate.
    lines: f64,
}

/// A message in the channel that has not been delivered.
struct QueuedMessage {
    deliver_at: Moment,
    message: Message,
}

/// One controller's channel to the proxies.
pub struct Channel {
    queue: VecDeque<QueuedMessage>,
    queued_lines: f64,
    /// The time at which all queued messages have been sent.
    free_at: Moment,
    /// The current rate as a fraction of the configured rate.
    pub rate_factor: f64,
    /// By proxy, the times at which messages were queued within the last window.
    recent_messages: BTreeMap<ProxyIndex, VecDeque<Moment>>,
}

impl Default for Channel {
    fn default() -> Self {
        Channel {
            queue: VecDeque::new(),
            queued_lines: 0.0,
            free_at: Moment::default(),
            rate_factor: 1.0,
            recent_messages: BTreeMap::new(),
        }
    }
}

impl Channel {
    /// Queues the commands for each of `proxies` and returns a description of each exceeded limit.
    pub fn send(
        &mut self,
        now: Moment,
        proxies: &[ProxyIndex],
        batch: CommandBatch,
        config: &ScenarioConfig,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        let CommandBatch { commands, version } = batch;
        let commands = Arc::new(commands);
        let lines = config.lines_per_message + commands.len() as f64 + f64::from(u8::from(version.is_some()));
        for proxy in proxies.iter().copied() {
            let rate = config.lines_per_second * self.rate_factor;
            self.free_at = self.free_at.max(now) + Span::ms(1000).times(lines / rate);
            let message = Message { proxy, commands: commands.clone(), version, lines };
            self.queue.push_back(QueuedMessage { deliver_at: self.free_at, message });
            self.queued_lines += lines;
            let sent = self.record_message(now, proxy, config.message_window);
            if config.max_messages_per_window > 0 && sent > config.max_messages_per_window as usize {
                let (limit, seconds) = (config.max_messages_per_window, config.message_window.seconds());
                violations.push(format!(
                    "{sent} messages sent to proxy {proxy} within {seconds:.1} s; limit {limit}"
                ));
            }
        }
        if self.queued_lines > config.max_queued_lines {
            let (queued, limit) = (self.queued_lines, config.max_queued_lines);
            violations.push(format!("{queued} lines queued in the channel; limit {limit}"));
        }
        violations
    }

    /// Records a message to a proxy and returns the number of messages to it within the window.
    fn record_message(&mut self, now: Moment, proxy: ProxyIndex, window: Span) -> usize {
        let sent = self.recent_messages.entry(proxy).or_default();
        sent.push_back(now);
        while sent.front().is_some_and(|sent_at| now - *sent_at > window) {
            sent.pop_front();
        }
        sent.len()
    }

    /// Returns the delivery time of the next message.
    pub fn next_delivery_at(&self) -> Option<Moment> {
        self.queue.front().map(|queued| queued.deliver_at)
    }

    /// Removes and returns the next message if its delivery time is not after `now`.
    pub fn pop_due(&mut self, now: Moment) -> Option<Message> {
        let QueuedMessage { message, .. } = self.queue.pop_front_if(|queued| queued.deliver_at <= now)?;
        self.queued_lines -= message.lines;
        Some(message)
    }

    /// Drops the queued messages to a proxy that has disconnected.
    pub fn remove_proxy(&mut self, proxy: ProxyIndex) {
        self.queue.retain(|queued| queued.message.proxy != proxy);
        self.queued_lines = self.queue.iter().map(|queued| queued.message.lines).sum();
    }

    /// Drops all queued messages, for example when the controller is killed.
    pub fn clear(&mut self) {
        self.queue.clear();
        self.queued_lines = 0.0;
    }

    /// Returns the number of queued lines.
    pub fn queued_lines(&self) -> f64 {
        self.queued_lines
    }
}
