//! What operators want, between its book, which knows replicas by name, and the decisions, which know numbers.

use super::names::Names;
use whinwall_management_api::messages::ListedOverride;
use whinwall_overrides::ConfiguredOverride;
use whinwall_overrides::{ClockReading, Override, OverrideController, OverrideKind, OverrideLimits};
use whinwall_policy::api::{OverrideId, OverrideSpec, OverrideStatus};
use whinwall_policy::time::Moment;
use whinwall_policy::Policy;

/// What the operators' file says of overrides.
#[derive(Clone, Debug)]
pub struct OverrideConfig {
    pub bounds: OverrideLimits,
    pub orders: Vec<ConfiguredOverride>,
    /// They are kept on disk, and what is there is told later.
    pub has_store: bool,
}

pub struct Overrides {
    pub clerk: OverrideController,
    /// What the decisions were told last.
    told: Vec<(OverrideId, OverrideSpec)>,
}

impl Overrides {
    pub fn start(now: Moment, reading: &ClockReading, wanted: &OverrideConfig) -> Self {
        let limits = wanted.bounds.clone();
        let clerk = if wanted.has_store {
            OverrideController::with_store(now, reading, limits)
        } else {
            OverrideController::in_memory(now, reading, limits)
        };
        Overrides { clerk, told: Vec::new() }
    }

    /// Tells the decisions what stands, where that, or a replica's number, is other than they know. A replica
    /// that nobody has a number for is no replica yet.
    pub fn tell(&mut self, now: Moment, names: &Names, policy: &mut Policy) {
        self.clerk.take_changed();
        let wish = |one: &Override| {
            let replica = names.known(one.kind.replica())?;
            let wish = match one.kind {
                OverrideKind::Weight { factor, .. } => OverrideSpec::Weight { replica, factor },
                OverrideKind::Out { .. } => OverrideSpec::Out { replica },
                OverrideKind::Pin { first, last, .. } => OverrideSpec::Pin { first, last, replica },
            };
            Some((one.number, wish))
        };
        let wishes: Vec<_> = self.clerk.registry().active().filter_map(wish).collect();
        if wishes != self.told {
            policy.set_overrides(now, &wishes);
            self.told = wishes;
        }
    }

    pub fn shown(&self, policy: &Policy, one: &Override) -> ListedOverride {
        let heeded =
            one.is_active().then(|| policy.override_status(one.number).unwrap_or(OverrideStatus::Absent));
        ListedOverride { entry: one.clone(), status: heeded }
    }

    /// When the clerk is needed, no sooner than it was before.
    pub fn due(&self) -> Option<Moment> {
        self.clerk.next_tick_at()
    }
}
