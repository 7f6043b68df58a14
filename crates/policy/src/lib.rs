//! All decisions of a controller. To use them: `Policy::start`, then one call for each piece of news (here
//! and in `news.rs`), then `collect` once the batch is through: it returns the actions of the reply, in order.
//! The types of the calls are in `api.rs`, what is told at start in `deployment.rs`, plain records in
//! `state.rs`, sums and means of them in `measures.rs`.
//! After every call the RULES are gone through, in order, until none fires. What needs a look at the whole
//! fleet is on the agenda of a beat, so that a line of news costs next to nothing. The rules shape each table
//! as it should be (`wanted`); `dispatch` alone sends, and only what differs from what proxies were told
//! (`held`). The ordinary path is DDMC (docs/design.md): `survey`, `open_round`, `shift`. Before it come the
//! operators' overrides (`heed`), beside it stand six mechanisms:
//!  1. judging:   a replica that is asked and answers nothing, or fails quickly, is sick for a while.
//!  2. fleeing:   slices leave replicas that are gone, draining or sick, which are withdrawn from all tables,
//!     or cold and sent too much.
//!  3. spreading: each slice has a line that stands by for further tries; one too hot for its replica gets
//!     whole lines more, and loses them when it cools.
//!  4. rationing: where an owner answers late, or all do, further tries are cut, then levels, by priority weight.
//!  5. pacing:    urgent orders first; lines not yet acked stay under the queue cap, messages under theirs.
//!  6. resuming:  the list is followed and asked for again; former withdrawals are lifted.
#![forbid(unsafe_code)]

pub mod api;
pub mod claims;
pub mod deployment;
mod dispatch;
mod events;
mod measure;
pub mod random;
mod rules;
mod state;
pub mod time;
pub mod windowed_counter;

use crate::api::Action;
use crate::deployment::Deployment;
use crate::state::schedule::ROUND;
use crate::time::Moment;
pub use state::fleet::Policy;
use std::mem::take;

type Rule = fn(&mut Policy) -> bool;
const RULES: [Rule; 17] = [
    Policy::follow_list,
    Policy::withdraw,
    Policy::tell_all,
    Policy::close_versions,
    Policy::beat,
    Policy::survey,
    Policy::judge,
    Policy::heed,
    Policy::flee,
    Policy::spread,
    Policy::gather,
    Policy::stand_by,
    Policy::open_round,
    Policy::ration,
    Policy::shift,
    Policy::dispatch,
    Policy::set_wake,
];

impl Policy {
    pub fn start(site: Deployment, seed: u64, now: Moment) -> Self {
        let mut policy = Policy::blank(site, seed, now);
        policy.due.list = (!policy.site.list_pushed).then_some(now);
        policy.due.round = now + ROUND + ROUND;
        policy
    }

    /// The actions of the reply to the batch at this moment.
    pub fn collect_actions(&mut self, now: Moment) -> Vec<Action> {
        // Only now is it known who all will get the message: proxies may join with the batch's last news.
        self.replying = true;
        if take(&mut self.alarm) {
            (self.agenda.survey, self.agenda.heed, self.agenda.flee) = (true, true, true);
        }
        self.settle(now);
        let version = self.channel.open_version.take();
        self.actions.extend(version.map(|number| Action::Sync { number }));
        self.replying = false;
        take(&mut self.actions)
    }

    pub(crate) fn settle(&mut self, now: Moment) {
        self.now = now;
        while RULES.iter().any(|rule| rule(self)) {}
    }
}
