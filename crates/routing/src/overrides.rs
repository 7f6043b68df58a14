//! What operators want, between its book, which knows servers by name, and the decisions, which know numbers.

use super::names::Names;
use whinwall_management_api::ask::Shown;
use whinwall_overrides::book::FileOrder;
use whinwall_overrides::{Bounds, Clerk, Kind, Override, Reading};
use whinwall_policy::interface::{Heeded, Wish, WishId};
use whinwall_policy::logic::Governor;
use whinwall_policy::time::Moment;

/// What the operators' file says of overrides.
#[derive(Clone, Debug)]
pub struct OverrideConfig {
    pub bounds: Bounds,
    pub orders: Vec<FileOrder>,
    /// They are kept on disk, and what is there is told later.
    pub has_store: bool,
}

pub struct Overrides {
    pub clerk: Clerk,
    /// What the decisions were told last.
    told: Vec<(WishId, Wish)>,
}

impl Overrides {
    pub fn start(now: Moment, reading: &Reading, wanted: &OverrideConfig) -> Self {
        let clerk = Clerk::start(now, reading, wanted.bounds.clone(), wanted.has_store);
        Overrides { clerk, told: Vec::new() }
    }

    /// Tells the decisions what stands, where that, or a server's number, is other than they know. A server
    /// that nobody has a number for is no server yet.
    pub fn tell(&mut self, now: Moment, names: &Names, governor: &mut Governor) {
        self.clerk.has_changed();
        let wish = |one: &Override| {
            let server = names.known(one.kind.server())?;
            let wish = match one.kind {
                Kind::Weight { factor, .. } => Wish::Weight { server, factor },
                Kind::Out { .. } => Wish::Out { server },
                Kind::Pin { first, last, .. } => Wish::Pin { first, last, server },
            };
            Some((one.number, wish))
        };
        let wishes: Vec<_> = self.clerk.book().standing().filter_map(wish).collect();
        if wishes != self.told {
            governor.wished(now, &wishes);
            self.told = wishes;
        }
    }

    pub fn shown(&self, governor: &Governor, one: &Override) -> Shown {
        let heeded = one.stands().then(|| governor.heeded(one.number).unwrap_or(Heeded::Absent));
        Shown { one: one.clone(), heeded }
    }

    /// When the clerk is needed, no sooner than it was before.
    pub fn due(&self) -> Option<Moment> {
        self.clerk.next()
    }
}
