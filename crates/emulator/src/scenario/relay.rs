//! Handles relay requests and delivers messages from the relay's channels to the proxies.

use super::event::{Delivery, ScheduledEvent};
use super::state::{Scenario, NETWORK_DELAY};
use crate::command::{self, CommandBatch, ProxyCommand};
use crate::rules::{CHANNEL_LIMITS, NO_EMPTY_TABLE};
use crate::ControllerIndex;
use whinwall_policy::time::Span;
use whinwall_protocol::relay::Response;
use whinwall_routing::Event;
use whinwall_transport::{RequestError, StreamError};

/// The time after which a request to an unresponsive relay times out.
const RELAY_TIMEOUT: Span = Span::ms(150);

impl Scenario {
    /// Applies a relay request of a controller and answers it.
    pub(super) fn handle_relay_request(&mut self, controller: ControllerIndex, line: &str) {
        if self.is_relay_unreachable {
            let error = RequestError::NotSent(StreamError::Unreachable("away".into()));
            return self.answer_relay_request(controller, NETWORK_DELAY, Err(error));
        }
        let command_count = line.split(';').count();
        let intercepted = self.intercept_commands(line);
        let line = intercepted.as_deref().unwrap_or(line);
        let classes: Vec<_> = self.config.request_classes.iter().map(|class| class.name).collect();
        let Some(batch) = command::parse(line, &self.replicas_by_name, &classes) else {
            let rejected = Response::Rejected("bad_request".into());
            return self.answer_relay_request(controller, NETWORK_DELAY, Ok(rejected));
        };
        self.record_commands(line, &batch);
        self.apply_to_store(&batch);
        self.send_to_proxies(controller, batch);
        let is_garbled = self.draw_garbled();
        let (delay, response) = if self.is_relay_unresponsive {
            (RELAY_TIMEOUT, Err(RequestError::OutcomeUnknown(StreamError::TimedOut)))
        } else if is_garbled {
            let error = StreamError::Unreadable("garbled".into());
            (NETWORK_DELAY, Err(RequestError::OutcomeUnknown(error)))
        } else {
            (NETWORK_DELAY, Ok(Response::Accepted(command_count)))
        };
        self.answer_relay_request(controller, delay, response);
    }

    fn intercept_commands(&self, line: &str) -> Option<String> {
        let interceptor = self.command_interceptor?;
        let commands: Vec<_> = command::split_commands(line).flat_map(interceptor).collect();
        Some(command::join_commands(&commands))
    }

    fn answer_relay_request(
        &mut self,
        controller: ControllerIndex,
        delay: Span,
        response: Result<Response, RequestError>,
    ) {
        let reply = Event::RelayResponse(response);
        self.deliver_after(delay, controller, Delivery::Event(Box::new(reply)));
    }

    fn record_commands(&mut self, line: &str, batch: &CommandBatch) {
        self.outcome.commands += batch.commands.len() as u64;
        self.rules.record_commands(command::split_commands(line));
        if self.timeline_subject.is_some() {
            for text in command::split_commands(line) {
                self.record_in_timeline(text, || format!("command {text}"));
            }
        }
    }

    /// Applies commands to the relay's store. An empty table in the store violates rule 1.
    fn apply_to_store(&mut self, batch: &CommandBatch) {
        for command in &batch.commands {
            self.outcome.migrations += u64::from(self.store.is_migration(command));
            self.store.apply(command);
            let ProxyCommand::SetEndpoint { slice, .. } = command else { continue };
            if self.store.0[slice].is_empty() {
                let description = format!("slice {slice} has no endpoint in the relay's store");
                self.rules.record_violation(NO_EMPTY_TABLE, self.now, description, &slice.to_string());
            }
        }
    }

    fn send_to_proxies(&mut self, controller: ControllerIndex, batch: CommandBatch) {
        let has_stream = |proxy: &usize| self.proxies[*proxy].has_stream(controller);
        let proxies: Vec<_> = (0..self.proxies.len()).filter(has_stream).collect();
        let channel = &mut self.controllers[controller].channel;
        let violations = channel.send(self.now, &proxies, batch, &self.config);
        self.outcome.peak_queued_lines = self.outcome.peak_queued_lines.max(channel.queued_lines());
        for description in violations {
            self.rules.record_violation(CHANNEL_LIMITS, self.now, description, "");
        }
        self.schedule_channel_delivery(controller);
    }

    fn schedule_channel_delivery(&mut self, controller: ControllerIndex) {
        if let Some(due) = self.controllers[controller].channel.next_delivery_at() {
            self.schedule_after(due - self.now, ScheduledEvent::DeliverChannelMessages(controller));
        }
    }

    /// Applies the delivered messages at their proxies, which acknowledge the versions.
    pub(super) fn deliver_channel_messages(&mut self, controller: ControllerIndex) {
        while let Some(message) = self.controllers[controller].channel.pop_due(self.now) {
            let proxy = &mut self.proxies[message.proxy];
            if !proxy.has_stream(controller) {
                continue;
            }
            message.commands.iter().for_each(|command| proxy.apply(controller, command));
            if let (Some(version), true) = (message.version, self.controllers[controller].is_watching) {
                self.send_relay_event(controller, &format!("* ACK {} {version}", message.proxy));
            }
        }
        self.schedule_channel_delivery(controller);
    }
}
