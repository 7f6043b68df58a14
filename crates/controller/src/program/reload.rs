//! Reloads the configuration on SIGHUP, called by the event loop. Files that cannot be used change nothing; the reload is
//! retried for a while, as they may be half written.

use super::configuration::{ConfigError, ControllerConfig};
use super::effects::Dispatcher;
use whinwall_policy::time::Moment;
use whinwall_routing::Event;
use whinwall_transport::limits;

/// A reload that failed and is retried: the file may have been half written.
#[derive(Clone, Copy)]
struct Retry {
    next_at: Moment,
    until: Moment,
}

/// Applies changed files, all of them or nothing.
#[derive(Default)]
pub(super) struct Reloader {
    retry: Option<Retry>,
}

impl Reloader {
    pub(super) fn has_retry(&self) -> bool {
        self.retry.is_some()
    }

    /// Reloads the files, after SIGHUP. Where they cannot be used, [`Reloader::retry`] goes on for a while.
    pub(super) fn reload(&mut self, config: &mut ControllerConfig, dispatcher: &mut Dispatcher) {
        self.retry = None;
        if let Err(error) = apply_files(config, dispatcher) {
            tracing::error!(%error, "configuration reload failed, the former configuration stays");
            let now = dispatcher.clock.now();
            self.retry = Some(Retry {
                next_at: now + limits::to_span(limits::RETRY_BACKOFF),
                until: now + limits::to_span(limits::CONFIG_REREAD_PERIOD),
            });
        }
    }

    /// Retries a reload that failed, where it is time.
    pub(super) fn retry(&mut self, config: &mut ControllerConfig, dispatcher: &mut Dispatcher) {
        let now = dispatcher.clock.now();
        let Some(retry) = self.retry.filter(|retry| retry.next_at <= now) else { return };
        let is_over = apply_files(config, dispatcher).is_ok() || now >= retry.until;
        let next = Retry { next_at: now + limits::to_span(limits::RETRY_BACKOFF), ..retry };
        self.retry = (!is_over).then_some(next);
    }
}

fn apply_files(config: &mut ControllerConfig, dispatcher: &mut Dispatcher) -> Result<(), ConfigError> {
    let not_applied = config.reload()?;
    let targets = config.targets;
    tracing::info!(relay = %targets.relay, discovery = %targets.discovery, "configuration reloaded");
    for key in not_applied {
        tracing::warn!(key, "a changed configuration key needs a restart");
    }
    dispatcher.relay.set_target(targets.relay);
    dispatcher.apply(Event::TargetsConfigured(targets));
    dispatcher.apply(Event::SubsettingConfigured(config.fleet.clone()));
    if let Err(error) = dispatcher.services.reconfigure(&config.name, config.operators.as_ref()) {
        tracing::error!(%error, "management API not available");
    }
    dispatcher.apply_override_config(config);
    Ok(())
}
