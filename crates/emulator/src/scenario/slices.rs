//! The controllers responsible for slices, and the reassignment of slices.

use super::state::{replica_name, Scenario};
use crate::proxy::ControlledSlice;
use crate::{ControllerIndex, SliceIndex};

impl Scenario {
    pub(super) fn controlled_slice(&self, slice: SliceIndex) -> ControlledSlice {
        ControlledSlice { slice, controller: self.slice_controllers[slice] }
    }

    pub(super) fn is_controlled_by(&self, slice: SliceIndex, controller: ControllerIndex) -> bool {
        self.slice_controllers[slice] == controller
    }

    /// Makes a controller responsible for a slice. Notifies the previous controller first, then the new one, which also
    /// receives the routing table in the relay's store. An unreachable relay sends no notifications.
    pub(super) fn reassign_slice(&mut self, slice: SliceIndex, to: ControllerIndex) {
        let previous = std::mem::replace(&mut self.slice_controllers[slice], to);
        if self.is_relay_unreachable || previous == to {
            return;
        }
        self.reassigned_at[slice] = self.now;
        if self.controllers[previous].is_watching {
            self.send_relay_event(previous, &format!("* GRANT {slice} 0"));
        }
        if self.controllers[to].is_watching {
            self.send_relay_event(to, &format!("* GRANT {slice} 1"));
            let table = self.store.0.get(&slice).cloned().unwrap_or_default();
            for (replica, weight) in &*table {
                let name = replica_name(*replica);
                self.send_relay_event(to, &format!("* ROW {slice} {name} {weight}"));
            }
        }
    }

    /// Reassigns the slices of a killed controller to the first running controller.
    pub(super) fn take_over_slices(&mut self, from: ControllerIndex) {
        let running = self.controllers.iter().position(|controller| controller.reducer.is_some());
        let Some(successor) = running else { return };
        for slice in 0..self.config.slices {
            if self.is_controlled_by(slice, from) && self.controllers[successor].reducer.is_some() {
                self.reassign_slice(slice, successor);
            }
        }
    }

    /// Reassigns to a controller the slices that it was initially responsible for.
    pub(super) fn return_slices(&mut self, to: ControllerIndex) {
        for slice in 0..self.config.slices {
            if slice % self.controllers.len() == to && self.controllers[to].reducer.is_some() {
                self.reassign_slice(slice, to);
            }
        }
    }
}
