//! Operators' overrides: every change of them is passed to the policy, and its effects are returned.

use super::Reducer;
use crate::events::Effect;
use crate::log_event::LogEvent;
use crate::overrides::{OverrideConfig, Overrides};
use whinwall_management_api::messages::Reply;
use whinwall_overrides::{ClockReading, OverrideEffect};
use whinwall_policy::time::Moment;

impl Reducer {
    /// Applies the overrides of the operators' file. If they are invalid, the previous ones stay in force.
    pub(super) fn overrides_configured(
        &mut self,
        now: Moment,
        config: OverrideConfig,
        reading: &ClockReading,
    ) {
        self.overrides.get_or_insert_with(|| Overrides::new(now, reading, &config));
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

    /// Changes the overrides, passes those in force to the policy, and adds the effects of the change. Does nothing
    /// before the operators' file was read.
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
                    let listed = |number| {
                        let entry = overrides.manager.registry().get_by_number(number)?;
                        Some(overrides.listed_override(&self.policy, entry))
                    };
                    Effect::Reply { request_id, reply: Reply::from_change(reply, now, listed) }
                }
            });
        }
        self.overrides = Some(overrides);
    }
}
