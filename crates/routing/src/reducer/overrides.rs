//! Operators' overrides: whatever changes them, the policy learns of it and their effects are asked for.

use super::Reducer;
use crate::events::Effect;
use crate::log_event::LogEvent;
use crate::overrides::{OverrideConfig, Overrides};
use whinwall_management_api::messages::Reply;
use whinwall_overrides::{ClockReading, OverrideEffect};
use whinwall_policy::time::Moment;

impl Reducer {
    /// Takes over the overrides of the operators' file. Where they cannot be used nothing changes, as with the rest of
    /// the file.
    pub(super) fn overrides_configured(
        &mut self,
        now: Moment,
        config: OverrideConfig,
        reading: &ClockReading,
    ) {
        self.overrides.get_or_insert_with(|| Overrides::start(now, reading, &config));
        let mut rejected = None;
        self.change_overrides(now, |overrides| {
            let result = overrides.manager.apply_configuration(
                now,
                reading.wall_time,
                config.limits,
                config.configured,
            );
            rejected = result.err();
        });
        if let Some(error) = rejected {
            self.log(LogEvent::OverrideConfigRejected { reason: error.to_string() });
        }
    }

    /// Changes the overrides, where there are any, gives the policy those in force, and asks for their effects.
    pub(super) fn change_overrides(&mut self, now: Moment, change: impl FnOnce(&mut Overrides)) {
        let Some(mut overrides) = self.overrides.take() else { return };
        change(&mut overrides);
        overrides.apply_to_policy(now, &self.names, &mut self.policy);
        for effect in overrides.manager.take_effects() {
            self.effects.push(match effect {
                OverrideEffect::Save { serial, writes, removals, timeline } => {
                    Effect::Save { serial, writes, removals, timeline }
                }
                OverrideEffect::Log(event) => Effect::Log(LogEvent::Override(event)),
                OverrideEffect::Reply { request_id, reply } => {
                    let shown = |number| {
                        let one = overrides.manager.registry().get_by_number(number)?;
                        Some(overrides.shown(&self.policy, one))
                    };
                    Effect::Reply { request_id, reply: Reply::from_change(reply, now, shown) }
                }
            });
        }
        self.overrides = Some(overrides);
    }
}
