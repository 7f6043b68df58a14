//! The periodic look of the checker of rule 1.

use super::{Day, Step};
use crate::policy::Policy;
use crate::replica::{Replica, State};
use whinwall_policy::time::Span;

impl Day {
    pub(super) fn watch(&mut self) {
        self.after(Span::ms(500), Step::Watch);
        let good = |replica: &Replica| {
            replica.state == State::Up
                && !replica.is_cold(self.now, &self.sizes)
                && replica.failing == 0.0
                && replica.slow < 2.0
        };
        let any = self
            .replicas
            .iter()
            .zip(&self.listed)
            .any(|(replica, listed)| good(replica) && *listed == "active");
        if self.policy != Policy::Governed || !any || self.now < self.excused {
            return self.rules.nobody_bare();
        }
        for (n, proxy) in self.proxies.iter().enumerate() {
            for slice in 0..self.sizes.slices {
                let of = self.holders[slice];
                let there = self.controllers[of].reducer.is_some() && proxy.has_stream(of);
                let is_bare = there && proxy.is_bare(slice, of);
                self.rules.bare(self.now, n, slice, is_bare, self.sizes.bare);
            }
        }
    }
}
