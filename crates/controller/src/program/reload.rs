//! Reloads the configuration on SIGHUP. If a file is invalid, the previous configuration is kept and the reload is
//! retried for a limited time, as the file may be only partly written.

use super::configuration::{ConfigError, ControllerConfig};
use super::effects::Dispatcher;
use whinwall_policy::time::Moment;
use whinwall_routing::Event;
use whinwall_transport::limits;

/// Retries of a failed reload.
#[derive(Clone, Copy)]
struct Retry {
    next_at: Moment,
    deadline: Moment,
}

/// Reloads the configuration files. Either all of them are applied or none.
#[derive(Default)]
pub(super) struct Reloader {
    retry: Option<Retry>,
}

impl Reloader {
    pub(super) fn has_retry(&self) -> bool {
        self.retry.is_some()
    }

    /// Reloads the files after SIGHUP. If the reload fails, [`Reloader::retry`] repeats it until a deadline.
    pub(super) fn reload(&mut self, config: &mut ControllerConfig, dispatcher: &mut Dispatcher) {
        self.retry = None;
        if let Err(error) = apply_files(config, dispatcher) {
            tracing::error!(%error, "configuration reload failed, keeping the previous configuration");
            let now = dispatcher.clock.now();
            self.retry = Some(Retry {
                next_at: now + limits::to_span(limits::RETRY_BACKOFF),
                deadline: now + limits::to_span(limits::CONFIG_REREAD_PERIOD),
            });
        }
    }

    /// Retries a failed reload if the next retry is due.
    pub(super) fn retry(&mut self, config: &mut ControllerConfig, dispatcher: &mut Dispatcher) {
        let now = dispatcher.clock.now();
        let Some(retry) = self.retry.filter(|retry| retry.next_at <= now) else { return };
        let is_over = apply_files(config, dispatcher).is_ok() || now >= retry.deadline;
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
        tracing::error!(%error, "management API unavailable");
    }
    dispatcher.apply_override_config(config);
    Ok(())
}
