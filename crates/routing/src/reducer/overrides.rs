//! Operators' overrides: whatever changes them, the policy learns of it and their effects are asked for.

use super::Reducer;
use crate::events::Effect;
use crate::log_event::LogEvent;
use crate::overrides::{OverrideConfig, Overrides};
use whinwall_management_api::ask::Reply;
use whinwall_overrides::{Act, Reading};
use whinwall_policy::time::Moment;

impl Reducer {
    /// Takes over the overrides of the operators' file. Where they cannot be used nothing changes, as with the rest of
    /// the file.
    pub(super) fn overrides_configured(&mut self, now: Moment, config: OverrideConfig, reading: &Reading) {
        self.overrides.get_or_insert_with(|| Overrides::start(now, reading, &config));
        let mut rejected = None;
        self.change_overrides(now, |overrides| {
            let result = overrides.clerk.file_said(now, reading.wall, config.bounds, config.orders);
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
        for act in overrides.clerk.acts() {
            self.effects.push(match act {
                Act::Keep { serial, puts, drops, line } => Effect::Save { serial, puts, drops, line },
                Act::Note(text) => Effect::Log(LogEvent::Override(text)),
                Act::Answer { ticket, answer } => {
                    let shown = |number| {
                        let one = overrides.clerk.book().number(number)?;
                        Some(overrides.shown(&self.policy, one))
                    };
                    Effect::Reply { ticket, reply: Reply::of(answer, now, shown) }
                }
            });
        }
        self.overrides = Some(overrides);
    }
}
