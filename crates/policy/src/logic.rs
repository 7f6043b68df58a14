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
use crate::api::*;
use crate::deployment::{Deployment, RequestClass};
pub use crate::state::Policy;
use crate::state::{Priority, Ranks, Replica, Sent, Slice, Wished};
use crate::time::{Moment, Span};
use std::collections::BTreeMap;
use std::mem::take;
use OverrideStatus::{Absent, InForce, Suspended, Waiting};

// The ordinary path; the design leaves these open.
pub(crate) const ROUND: Span = Span::ms(1000);
const LOAD_OVER: Span = Span::ms(8000);
const BAND: f64 = 0.35;
const OMEGA: f64 = 0.8;
const DELTA: f64 = 0.3;
/// The part of aborted requests that is counted as coming again.
const REPEATED: f64 = 0.7;
const ROUNDS_OUTSIDE: i32 = 3;
const ACK_WAIT: Span = Span::ms(5000);
const FRESH_START: Span = Span::ms(30_000);
pub(crate) const JUDGED_OVER: Span = Span::ms(3000);
const SICK_FOR: Span = Span::ms(8000);
const ENOUGH: f64 = 6.0;
const FAILING_SHARE: f64 = 0.3;
const DOUBT_SHARE: f64 = 0.4;
// Cold replicas: the part of what would push one over that we allow ourselves.
const COLD_SAFETY: f64 = 0.55;
/// So much of the grace a withdrawal waits that is said again to proxies that joined: for others that join.
pub(crate) const TOLD_AGAIN: f64 = 0.25;
// Spreading looks at a shorter time than rounds do: a key in demand may be gone in ten seconds.
const SPREAD_OVER: Span = Span::ms(3000);
const MOST_LINES: usize = 4;
const GATHER_BELOW: f64 = 0.6;
const WHOLE: f64 = 1.0;
/// The weight of a line that only stands by: enough to be there, too little to be sent much.
const STANDING_BY: f64 = 0.01;
// Levels: answers later than this part of the tightest target are cut down on; well below it, less is cut.
const STRAINED: f64 = 0.6;
const EASED: f64 = 0.35;
const CUT_STEP: f64 = 0.15;
const ONE_BY_ONE: f64 = 2.0;
const LEVEL_STEP: f64 = 0.08;
const LEAST_LEVEL: f64 = 0.1;
/// A cut so small that it stops further tries and leaves levels whole.
const RETRIES_ONLY: f64 = 0.001;
/// Stands for a slice whose requests are all held back while its owner changes.
const HALTED: f64 = 2.0;
pub(crate) const QUEUE_PART: f64 = 0.8;
pub(crate) const CALM_PART: f64 = 0.5;
pub(crate) const WAITING_PART: f64 = 0.75; // The part of the message cap for what can wait.
const HEADS_PART: f64 = 0.25;
pub(crate) const NO_ACKS: Span = Span::ms(3000);
const MOST_PULLS: f64 = 12.0;
const PULLS: &str = "its slices come";
pub(crate) const WAITS: f64 = 0.75; // The part of the grace that an order may wait for its message.
pub(crate) const BEAT: Span = Span::ms(250);
const ASK_AGAIN: Span = Span::ms(1500);

/// How far a search for another replica may go.
#[derive(Clone, Copy)]
pub(crate) enum Need {
    Relief,
    Escape,
    Any,
}

/// A cut after another step: by what goes unanswered where answers are late, back where they are quick.
fn next_cut(cut: f64, strain: f64, kept: f64) -> f64 {
    let step = match () {
        _ if strain > STRAINED => (1.0 - cut) * (1.0 - 0.85 * kept.max(0.5)),
        _ if strain < EASED => CUT_STEP * (strain / EASED - 2.0),
        _ => 0.0,
    };
    (cut + step).clamp(0.0, 1.0)
}

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

    pub fn replicas_listed(&mut self, now: Moment, scope: ListScope, list: &[ReplicaListing]) {
        if scope != ListScope::Changes {
            self.replicas.values_mut().for_each(|s| s.listed = false);
        }
        self.list_fresh |= scope != ListScope::Cached;
        for entry in list {
            self.replica(entry.replica, entry.started).relist(entry);
        }
        self.alarm = true;
        self.settle(now);
    }

    pub fn list_request_failed(&mut self, now: Moment) {
        // Drawn, so that controllers whose calls failed together do not come again together.
        let pause = ASK_AGAIN.times(1.0 + self.random.draw());
        self.due.list = (!self.site.list_pushed).then_some(now + pause);
        self.settle(now);
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

    /// To be left whatever it does (rule 3). Where being dropped from the list does not bind, the list may be
    /// wrong, and what is met there counts.
    fn is_lost(&self, s: &Replica) -> bool {
        match s.state {
            ReplicaState::Draining => true,
            _ if s.out => true,
            ReplicaState::Ready if s.listed => false,
            _ => (self.list_fresh || self.now - self.born > ACK_WAIT) && !self.site.delisting_is_advisory,
        }
    }

    /// In its place, and so in the averages.
    pub(crate) fn is_fit(&self, s: &Replica) -> bool {
        let there = s.listed || (self.site.delisting_is_advisory && s.seen.answered > 0.0);
        there && !s.is_foreign() && !s.shut && !s.out && s.state != ReplicaState::Draining && !self.is_sick(s)
    }

    /// What a cold replica may be sent now: of what would push it over, a safe part. What the fleet answers is
    /// the only sure sign of what replicas can do; what is asked may be far more (overload, repeats).
    pub(crate) fn allowance(&self, s: &Replica) -> f64 {
        if !self.is_cold(s) {
            return f64::INFINITY;
        }
        s.able
            * self.picture.proven
            * self.part(s)
            * self.site.collapse_multiple
            * self.warmth(s)
            * COLD_SAFETY
    }

    /// How much more of a replica is ours than our part. A cold one is one controller's alone, by a draw that
    /// falls alike at all: a part of its budget for each would be less than most slices need. Where nobody else
    /// holds slices, or slices are not what is shared out, there is nothing to draw.
    fn part(&self, s: &Replica) -> f64 {
        let (whole, drawn) = (self.whole(), s.drawn(self.site.controller_count));
        match drawn == self.site.controller_index {
            _ if whole == 1.0 || !self.is_cold(s) => 1.0,
            true => whole,
            false => 0.0,
        }
    }

    /// Its table is with all proxies, long enough to have shown in reports.
    pub(crate) fn has_stood(&self, slice: &Slice) -> bool {
        slice.version.is_none() && self.now - slice.settled > JUDGED_OVER + self.behind
    }

    pub(crate) fn may_take(&self, s: &Replica, load: f64) -> bool {
        let fresh = s.started.is_some_and(|at| self.now - at < FRESH_START);
        self.is_fit(s) && self.holds_claim(s) && !(fresh && s.used) && s.press + load <= self.allowance(s)
    }

    /// Most room under AvgL+phi, else the least loaded; a bad replica only where there is no good one.
    fn refuge(&self, slice: &Slice, load: f64, need: Need) -> Option<ReplicaId> {
        let owns = |id: &ReplicaId| slice.wanted.contains_key(id) && !slice.stands_by(id);
        let first = |ranks: &Ranks, keep: &dyn Fn(&Replica) -> bool| {
            ranks.first(|id| !owns(id) && self.replicas.get(id).is_some_and(keep))
        };
        // What comes with repeats, not the load alone, is what would push a cold one over.
        let takes = |s: &Replica| self.may_take(s, load.max(slice.press));
        let roomy = first(&self.ranks.by_room, &|s| takes(s) && self.has_room_if_shared(need, s, load));
        if roomy.is_some_and(|id| self.picture.room(&self.replicas[&id]) >= load) {
            return roomy;
        }
        let fit = self.fit_or_escape(need, first(&self.ranks.by_level, &takes), load, &owns);
        // With no fit one, a full warm replica still beats a cold one, which would fall over (rule 4).
        let well = || first(&self.ranks.by_level, &|s| self.is_good(s));
        let ready = self.replicas.iter().filter(|(id, s)| !owns(id) && s.is_open());
        let pushed = |s: &Replica| (s.press + slice.press.max(load)) / self.allowance(s).max(0.001);
        let least = || ready.min_by(|a, b| pushed(a.1).total_cmp(&pushed(b.1))).map(|(id, _)| *id);
        match need {
            Need::Relief => fit,
            Need::Escape => fit.or_else(well),
            Need::Any => fit.or_else(well).or_else(least),
        }
    }

    fn hand_over(&mut self, n: SliceId, from: ReplicaId, to: ReplicaId, priority: Priority) {
        self.reshape(n, Some(from), Some((to, WHOLE)), priority);
        self.slices.get_mut(&n).into_iter().for_each(|s| s.moves += 1);
        self.replicas.get_mut(&to).into_iter().for_each(|s| s.used = true);
    }

    /// Room for so many more lines to each proxy, under both caps (rule 5). A first message always has room;
    /// others come so far apart that heads do not fill the channel, as one for each few lines would.
    fn has_room(&self, lines: f64, priority: Priority) -> bool {
        let all = self.channel.proxies.len() as f64;
        let (waiting, open) = (self.channel.lines_waiting(), self.channel.open_lines());
        let (fresh, bare) = (self.channel.open_version.is_none(), priority == Priority::Bare);
        let head = if fresh { (self.site.message_overhead_lines + 1.0) * all } else { 0.0 };
        let heads = Span::ms(1000).times(head / self.site.lines_per_second.max(1.0) / HEADS_PART);
        let (part, gap) = match priority {
            Priority::Calm | Priority::Spare => (CALM_PART, heads + heads),
            _ => (1.0, if waiting == 0.0 { Span::default() } else { heads }),
        };
        let (more, most) = (lines * all + head, self.site.queue_capacity_lines * QUEUE_PART);
        // Twice, for a repeat; but parted into small messages what can't wait would come too late, mostly heads.
        let twice = || waiting + open + more + more <= most;
        let fits = || waiting + more <= most * part && (bare || twice());
        self.replying && (waiting == 0.0 || fits()) && (!fresh || self.may_open(part, gap, !bare))
    }

    /// Where it fits in beside itself, or no ack has come for so long that nothing can wait any more; and as one
    /// more message to all, for each attempt may have been carried out (rule 5).
    pub fn may_resend(&self, now: Moment, version: u16) -> bool {
        let (waiting, again) = (self.channel.lines_waiting(), self.channel.lines_of(version));
        let fits = waiting + again <= self.site.queue_capacity_lines * QUEUE_PART;
        (fits || now - self.channel.heard > NO_ACKS) && self.messages_left(now, 1.0) >= 1.0
    }

    /// The level of an request class at a cut between 0 and 1: types in order of priority weight, one after the other.
    pub(crate) fn level(&self, cut: f64, request_class: usize) -> f64 {
        let types = &self.site.request_classes;
        let Some(own) = types.get(request_class) else { return 1.0 };
        let before =
            |t: &RequestClass| types.iter().filter(|o| o.priority_weight < t.priority_weight).count() as f64;
        match cut {
            HALTED => 0.0,
            _ if cut <= RETRIES_ONLY => 1.0,
            _ => 1.0 - (cut * types.len() as f64 - before(own)).clamp(0.0, 1.0) * (1.0 - LEAST_LEVEL),
        }
    }

    /// Further tries are cut with the first step of a cut.
    pub(crate) fn retries(&self, cut: f64) -> u8 {
        u8::from(cut == 0.0)
    }

    fn follow_list(&mut self) -> bool {
        let due = self.due.list.take_if(|at| *at <= self.now);
        self.actions.extend(due.map(|_| Action::RequestReplicaList));
        due.is_some()
    }

    /// One line a replica shuts it out of all tables, and who stands by takes over, long before each table is
    /// written anew (rule 3); the oldest first, or what joiners have to hear again starves what nobody heard.
    /// Lifting waits a round for whoever joins late, and never fills the channel; until then it is not used.
    fn withdraw(&mut self) -> bool {
        let lifts = self.lifts_are_due() && self.has_room(1.0, Priority::Calm);
        let due = self.to_shut.iter().filter(|(_, at)| **at <= self.now).min_by_key(|(_, at)| **at);
        let shut = due
            .filter(|_| self.has_room(1.0, Priority::Bare))
            .map(|(id, _)| Action::Withdraw { replica: *id });
        let lift = || self.to_lift.first().filter(|_| lifts).map(|id| Action::Reinstate { replica: *id });
        let Some(step) = shut.or_else(lift) else { return false };
        self.write(1.0);
        self.note_withdrawal(&step);
        self.actions.push(step);
        true
    }

    /// What holds for all tables is one order, where one a slice would take the channel many seconds. One
    /// further try is allowed, after proof that the first never ran: no effect happens twice (rule 2).
    fn tell_all(&mut self) -> bool {
        let told = (self.cut_told == Some(self.cut)) || self.channel.proxies.is_empty();
        let many = self.site.request_classes.len();
        if told || !self.has_room(many as f64, Priority::Urgent) {
            return false;
        }
        let (retries, share) = (self.retries(self.cut), |at| self.level(self.cut, at));
        let order =
            |at| Action::SetAdmission { slice: None, request_classes: 1u64 << at, share: share(at), retries };
        let orders: Vec<_> = (0..many).map(order).collect();
        self.actions.extend(orders);
        self.write(many as f64);
        self.cut_told = Some(self.cut);
        true
    }

    /// Slices wait for all acks, or so long: some proxies may be gone. Lines wait on until they are acked. Where one
    /// owner writes, whoever has not acked may still write to the former one: all are asked again (rule 2).
    fn close_versions(&mut self) -> bool {
        let (open, single) = (self.channel.open_version, self.site.single_writer);
        let late = |m: &Sent| !m.slices.is_empty() && self.now - m.at >= ACK_WAIT;
        let due =
            |(n, m): &(&u16, &Sent)| Some(**n) != open && (m.waiting.is_empty() || (late(m) && !single));
        if let Some((&number, _)) = self.channel.versions.iter().find(due) {
            self.close_version(number);
            return true;
        }
        let long = single && self.now - self.channel.written >= ACK_WAIT;
        let asks = long && self.channel.versions.values().any(late) && self.has_room(0.0, Priority::Calm);
        (asks || (self.replying && self.lacks_acks())).then(|| self.write(0.0)).is_some()
    }

    fn beat(&mut self) -> bool {
        if self.due.beat > self.now {
            return false;
        }
        self.due.beat = self.now + BEAT;
        _ = (self.now - self.channel.heard > NO_ACKS).then(|| self.channel.drop_copies());
        self.agenda.open(self.report_flow);
        true
    }

    /// Loads, powers and averages, worked out once a beat; each change of a table corrects them.
    fn survey(&mut self) -> bool {
        if !take(&mut self.agenda.survey) || self.holds_last_survey() {
            return false;
        }
        self.forget_gone();
        self.behind = self.lag(JUDGED_OVER);
        self.delays = self.way_delays(JUDGED_OVER + self.behind, ENOUGH);
        self.see_replicas(JUDGED_OVER + self.behind);
        // mu: size times speed, speed from the time an answer takes against the like's. Its root only: a full
        // replica looks slow too, and taken at its word it would throw out the slices whose keys it has warm.
        let slownesses = self.slownesses(LOAD_OVER + self.behind, ENOUGH, |s| self.is_fit(s));
        let parts: Vec<_> = self.replicas.values().map(|s| self.part(s)).collect();
        for ((s, slowness), part) in self.replicas.values_mut().zip(slownesses).zip(parts) {
            s.able = s.weight.clamp(0.01, 1e6) * (1.0 / slowness).sqrt().clamp(0.5, 1.3);
            (s.part, s.power) = (part, s.able * s.factor * part.max(1.0));
        }
        self.see_slices(LOAD_OVER, SPREAD_OVER, REPEATED);
        self.picture = self.sum_up(BAND, LOAD_OVER, |s| self.is_fit(s) && s.part > 0.0);
        self.rank_all();
        true
    }

    /// Against all that looks alike from outside: crash, hang, silence, fast errors, crawling.
    fn judge(&mut self) -> bool {
        if !take(&mut self.agenda.judge) {
            return false;
        }
        let usual = self.usual(|s| self.is_fit(s), |s| s.seen.failed_share());
        let cause = |s: &Replica| {
            // Where most tries fail everywhere, the fleet is overfull, and flights would finish it.
            let silent = usual < FAILING_SHARE && self.is_silent(s);
            // A full replica turns work away too, but then the others do as well, or its answers are late.
            let failing = s.seen.failed >= ENOUGH && s.seen.failed_share() >= FAILING_SHARE + 2.0 * usual;
            let quick = failing && s.seen.answered > 0.0 && s.strain < EASED;
            silent.then_some("answers nothing").or(quick.then_some("fails quickly"))
        };
        let there = |s: &Replica| !self.is_lost(s) && !self.is_sick(s) && self.is_observed(s);
        let watched = self.replicas.iter().filter(|(_, s)| there(s) && !s.lines.is_empty());
        let ill: Vec<_> = watched.filter_map(|(id, s)| cause(s).map(|why| (*id, why))).collect();
        let around = self.replicas.values().filter(|s| !self.is_lost(s));
        let (all, sick) = around.fold((0, ill.len()), |(a, k), s| (a + 1, k + usize::from(self.is_sick(s))));
        if sick as f64 > DOUBT_SHARE * all as f64 {
            return true; // More likely our view is broken than they.
        }
        for (id, cause) in ill {
            let Some(s) = self.replicas.get_mut(&id) else { continue };
            s.strikes += 1;
            s.sick_until = Some(self.now + SICK_FOR.times(f64::from(s.strikes.min(4))));
            s.forget();
            self.actions.push(Action::ReplicaEjected { replica: id, cause });
        }
        true
    }

    /// Nothing comes back, though much is asked or all of the newest tries failed. One that was late before
    /// is more likely full: it is cut first and gets longer, or flights from it fill others with cold keys.
    fn is_silent(&self, s: &Replica) -> bool {
        let over = JUDGED_OVER + self.behind;
        let full = s.last_took > STRAINED * self.target() && s.answered.sum(self.now, over.times(2.0)) > 0.0;
        let newest = s.attempts.newest().min(self.now).max(self.now - over);
        let last = || s.lately(newest, JUDGED_OVER);
        !full
            && ((s.seen.answered == 0.0 && s.seen.asked >= 2.0 * ENOUGH)
                || (s.seen.failed >= ENOUGH && last().failed >= ENOUGH && last().answered == 0.0))
    }

    /// What operators override, as far as the rules let it; what had to stand back comes into force again by
    /// itself, but not at once.
    fn heed(&mut self) -> bool {
        if !take(&mut self.agenda.heed) || self.wishes.is_empty() {
            return false;
        }
        let (pins, mut wishes) = (self.heed_pins(), take(&mut self.wishes));
        let missing = |s: &Replica| s.is_ready() && (s.out || self.is_sick(s));
        let mut left = (self.many(|s| self.is_good(s)), self.many(Replica::is_ready), self.many(missing));
        for (id, w) in &mut wishes {
            let was = w.heeded;
            w.heeded = match w.wish {
                OverrideSpec::Out { replica } => self.heed_out(replica, w, &mut left),
                OverrideSpec::Weight { replica, factor } => self.heed_weight(replica, factor),
                OverrideSpec::Pin { .. } => {
                    pins.get(id).copied().unwrap_or(Waiting("no slice of it is ours"))
                }
            };
            let back = matches!((was, w.heeded), (InForce | Waiting(_), Suspended(_)));
            w.stood_back = if back { Some(self.now) } else { w.stood_back };
        }
        self.wishes = wishes;
        true
    }

    /// Where a warm replica stays, and half of the fleet: one more could not be made up for. What is in force
    /// stays so for as long as there is a warm one.
    fn heed_out(&mut self, id: ReplicaId, w: &Wished, left: &mut (usize, usize, usize)) -> OverrideStatus {
        let Some(s) = self.replicas.get(&id).filter(|s| s.listed || s.out) else { return Absent };
        let good = left.0 > usize::from(self.is_good(s));
        let missing = left.2 + usize::from(!s.out && !self.is_sick(s));
        let again = w.stood_back.is_some_and(|at| self.now - at < SICK_FOR);
        let out = s.state == ReplicaState::Draining || (good && (s.out || !(missing * 2 > left.1 || again)));
        if out && !s.out {
            (left.0, left.2) = (left.0 - usize::from(self.is_good(s)), missing);
        }
        let leaves = || s.lines.iter().any(|n| self.slices[n].owners().any(|owner| owner == id));
        let heeded = match () {
            _ if !out && !good => Suspended("rule 1: no other warm server is well"),
            _ if !out && again => Suspended("rule 1: it stood back a moment ago"),
            _ if !out => Suspended("rule 1: over half of the servers would be missing"),
            _ if self.to_shut.contains_key(&id) => Waiting("rule 5: its withdrawal waits for room"),
            _ if leaves() => Waiting("its slices leave"),
            _ => InForce,
        };
        self.agenda.flee |= s.out != out;
        self.replicas.get_mut(&id).into_iter().for_each(|s| s.out = out);
        heeded
    }

    /// What a cold replica may be sent does not grow with what it counts for.
    fn heed_weight(&mut self, id: ReplicaId, factor: f64) -> OverrideStatus {
        let Some(s) = self.replicas.get(&id).filter(|s| s.listed) else { return Absent };
        let heeded = match () {
            _ if s.state == ReplicaState::Draining => Suspended("rule 3: the server drains"),
            _ if s.out => Suspended("the server is out of service"),
            _ if factor > 1.0 && self.is_cold(s) => Suspended("rule 4: the server is cold"),
            _ => InForce,
        };
        let factor = if heeded == InForce { factor } else { 1.0 };
        self.replicas.get_mut(&id).into_iter().for_each(|s| s.factor = factor);
        heeded
    }

    /// Brings pinned slices to their replicas, one a replica and beat; says what holds up the first of each.
    fn heed_pins(&mut self) -> BTreeMap<OverrideId, OverrideStatus> {
        let (mut heeded, mut pulls) = (BTreeMap::new(), BTreeMap::new());
        for (first, last, (to, id)) in self.pins.ranges() {
            for (n, slice) in self.slices.range(first..=last) {
                let how = self.heed_pin(*n, slice, to, id);
                let seen = heeded.entry(id).or_insert(InForce);
                *seen = if *seen == InForce { how } else { *seen };
                _ = (how == Waiting(PULLS)).then(|| pulls.entry(to).or_insert((*n, id)));
            }
        }
        for (to, (n, id)) in pulls {
            let others: Vec<_> = self.slices[&n].owners().filter(|owner| *owner != to).collect();
            others.iter().skip(1).for_each(|other| self.reline(n, Some(*other), None, Priority::Calm));
            self.hand_over(n, others.first().copied().unwrap_or(to), to, Priority::Calm);
            self.slices.get_mut(&n).into_iter().for_each(|s| s.note_pull(id));
        }
        heeded
    }

    /// What the rules take from its pin comes back later each time: no flapping.
    fn heed_pin(&self, n: SliceId, slice: &Slice, to: ReplicaId, id: OverrideId) -> OverrideStatus {
        let wait = ACK_WAIT.times(slice.pulls(id).min(MOST_PULLS));
        let Some(s) = self.replicas.get(&to).filter(|s| s.listed) else { return Absent };
        match () {
            _ if s.state == ReplicaState::Draining => Suspended("rule 3: the server drains"),
            _ if s.out => Suspended("the server is out of service"),
            _ if self.is_sick(s) || s.shut => Suspended("rule 1: the server is sick or withdrawn"),
            _ if self.is_at_pin(n, slice) && slice.is_told() => InForce,
            _ if self.is_at_pin(n, slice) => Waiting("rule 5: orders wait for room"),
            _ if slice.version.is_some() => Waiting("an earlier change is not acked yet"),
            _ if self.now - slice.settled < wait => Waiting("it had to leave lately"),
            _ if s.strain >= EASED => Suspended("the server answers late"),
            _ if !self.may_take(s, slice.load.max(slice.press)) => Suspended("rule 4: the server is cold"),
            _ => Waiting(PULLS),
        }
    }

    /// Slices leave, heaviest first, what is gone or draining (rule 3), sick, or cold and sent too much (rule
    /// 4); and one without a line gets one (rule 1).
    fn flee(&mut self) -> bool {
        if !take(&mut self.agenda.flee) {
            return false;
        }
        let bad = |s: &Replica| self.is_lost(s) || self.is_sick(s);
        let left = self.replicas.iter().filter(|(_, s)| s.shut || bad(s) || self.is_cold(s));
        let left = left.flat_map(|(id, s)| s.lines.iter().map(|n| (*n, Some(*id))));
        let bare = self.slices.iter().filter(|(_, s)| s.wanted.is_empty()).map(|(n, _)| (*n, None));
        let mut due: Vec<_> = left.chain(bare).map(|(n, from)| (self.slices[&n].load, n, from)).collect();
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, n, from) in due {
            self.flee_with(n, from);
        }
        let turns = |(id, s): (&ReplicaId, &Replica)| {
            let (out, meant) = (self.should_be_shut(*id, s), s.shut && !self.to_lift.contains(id));
            (out != meant).then_some((*id, out))
        };
        let turned: Vec<_> = self.replicas.iter().filter_map(turns).collect();
        turned.into_iter().for_each(|(id, out)| self.turn(id, out));
        true
    }

    /// Withdrawn is what is lost, and what is sick once all its slices have another place: a sick one is
    /// still better than none (rule 1). One that is well again stays so until no table names it, or it would
    /// get its old slices back cold (rule 4). Where one owner writes, requests are held back instead.
    fn should_be_shut(&self, id: ReplicaId, s: &Replica) -> bool {
        let named = !s.lines.is_empty();
        let wants = |n: &SliceId| self.slices[n].owners().any(|owner| owner == id);
        let spared = || s.lines.iter().any(wants);
        match self.is_sick(s) {
            _ if self.site.single_writer => false,
            _ if self.is_lost(s) => named || (s.shut && !s.is_past(self.now)),
            true => (s.shut || named) && !spared(),
            false => s.shut && named && !spared(),
        }
    }

    fn flee_with(&mut self, n: SliceId, from: Option<ReplicaId>) {
        let (slice, owner) = (&self.slices[&n], from.and_then(|id| self.replicas.get(&id)));
        let need = match owner {
            Some(s) if !self.is_lost(s) && self.is_sick(s) => Need::Escape,
            Some(s) if !self.is_lost(s) => Need::Relief,
            _ => Need::Any,
        };
        let bad = !matches!(need, Need::Relief);
        let leaves = from.filter(|id| slice.wanted.contains_key(id));
        if let Some(id) = leaves.filter(|id| slice.stands_by(id)) {
            // Whoever stands by must be well and warm; a withdrawn one does no harm while orders wait.
            let busy = self.untold.first().is_some_and(|(priority, ..)| *priority < Priority::Spare);
            if !busy || owner.is_some_and(|s| !s.shut) {
                let next = self.stand_in(n);
                self.reline(n, Some(id), next, Priority::Spare);
            }
        } else if leaves != from {
            // On its way already, but what the proxies hold must not wait among calm orders.
            _ = owner.is_some_and(|s| s.shut || bad).then(|| self.tell(n, Priority::Urgent));
        } else if bad || owner.is_some_and(|s| s.press > self.allowance(s) * 1.2 && self.may_relieve(s)) {
            if let Some(to) = self.refuge(slice, slice.load, need) {
                self.hand_over(n, from.unwrap_or(to), to, Priority::Urgent);
            }
        }
        let lost = |s: &Replica| s.shut || (self.site.single_writer && self.is_lost(s));
        let open = |id: &ReplicaId| self.replicas.get(id).is_some_and(|s| !lost(s));
        let bare = |s: &Slice| !s.is_told() && s.cut_held != HALTED && !s.held.keys().any(open);
        if self.slices.get(&n).is_some_and(bare) {
            self.tell(n, Priority::Bare);
        }
    }

    /// A slice that alone overfills its replicas gets one more, where tables may hold several lines.
    fn spread(&mut self) -> bool {
        if !take(&mut self.agenda.spread) || self.site.single_writer || self.now - self.born < SPREAD_OVER {
            return false;
        }
        let hot = |s: &Slice| s.version.is_none() && s.is_told() && s.burst > self.picture.even * 0.5;
        let mut hot = self.slices.iter().filter(|(n, s)| hot(s) && !self.is_at_pin(**n, s));
        let found = hot.find_map(|(n, s)| {
            // Bands hold for loads over a longer time; a short time is judged by what came to all in it.
            let tops: f64 = self.owners(s).map(|(_, owner)| self.picture.top(owner)).sum();
            let over = s.burst - self.picture.rise * tops;
            let more = over > 0.0 && s.owners().count() < MOST_LINES;
            Some((*n, more.then(|| self.refuge(s, over, Need::Relief))??))
        });
        let Some((n, to)) = found else { return false };
        self.reshape(n, None, Some((to, WHOLE)), Priority::Urgent);
        self.agenda.spread = true;
        true
    }

    /// Once a slice fits on fewer replicas again, it leaves the fullest of its own.
    fn gather(&mut self) -> bool {
        if !take(&mut self.agenda.gather) {
            return false;
        }
        let free = |s: &Slice| s.wanted.len() > 1 && s.version.is_none() && self.now - s.settled > LOAD_OVER;
        let several = self.slices.iter().filter(|(_, s)| free(s) && s.sole_owner().is_none());
        let mut found = several.filter_map(|(n, s)| {
            let fullest = self.owners(s).max_by(|a, b| a.1.level().total_cmp(&b.1.level()))?;
            let rest = self.owners(s).filter(|(id, _)| *id != fullest.0).map(|(_, o)| self.picture.top(o));
            (s.load.max(s.burst) < GATHER_BELOW * rest.sum::<f64>()).then_some((*n, fullest.0))
        });
        let Some((n, id)) = found.next() else { return false };
        self.reshape(n, Some(id), None, Priority::Calm);
        self.agenda.gather = true;
        true
    }

    /// A slice with one line gets a second that stands by, on a warm replica of another place where there is
    /// one: proxies go there by themselves as soon as its owner turns them away, long before we hear of it.
    fn stand_by(&mut self) -> bool {
        if !take(&mut self.agenda.stand_by) || self.site.single_writer {
            return false;
        }
        let alone = |s: &Slice| s.version.is_none() && s.is_told() && s.wanted.len() == 1;
        let due: Vec<SliceId> = self.slices.iter().filter(|(_, s)| alone(s)).map(|(n, _)| *n).collect();
        for n in due {
            _ = self.stand_in(n).map(|line| self.reline(n, None, Some(line), Priority::Spare));
        }
        true
    }

    /// The least burdened; chance parts equals, for all slices of one replica must not stand by at one other.
    fn stand_in(&self, n: SliceId) -> Option<(ReplicaId, f64)> {
        let slice = &self.slices[&n];
        let home = self.owners(slice).next().map(|(_, s)| s.zone);
        let apt = |id: &ReplicaId, away: bool| {
            let there = |s: &Replica| self.is_good(s) && (!away || Some(s.zone) != home);
            !slice.wanted.contains_key(id) && self.replicas.get(id).is_some_and(there)
        };
        let first = |away| self.ranks.by_standing_by.first(|id| apt(id, away));
        first(true).or_else(|| first(false)).map(|id| (id, STANDING_BY))
    }

    fn open_round(&mut self) -> bool {
        if self.due.round > self.now || self.report_flow == ReportFlow::Interrupted {
            return false;
        }
        self.due.round = self.now + ROUND;
        (self.agenda.shift, self.agenda.ration) = (true, self.site.admission_supported);
        for s in self.replicas.values_mut() {
            let (low, high) = self.picture.band(s);
            let side = i32::from(s.level() > high) - i32::from(s.level() < low);
            (s.used, s.outside) = (false, if side * s.outside > 0 { s.outside + side } else { side });
        }
        true
    }

    /// A queue that makes all answers late serves nobody. Further tries are cut first, then the request class with
    /// the least priority weight; for all where the usual replica is late, else by each slice's least cut owner.
    fn ration(&mut self) -> bool {
        if !take(&mut self.agenda.ration) {
            return false;
        }
        let usual = self.usual(|s| self.is_fit(s), |s| s.strain);
        // Answers that never come leave no time to be measured. Where every request class lacks them, and the usual
        // replica, it is neither one type nor some replicas that fail, but all that is too much.
        let lost = self.unanswered(JUDGED_OVER + self.behind, ENOUGH);
        let lost = lost.min(self.usual(|s| self.is_fit(s), |s| s.seen.failed_share()));
        // Where orders a slice take few seconds of the channel, each owner's own cut is the finer tool.
        let orders =
            (self.slices.len() * self.site.request_classes.len() * self.channel.proxies.len()) as f64;
        let dear = f64::from(u8::from(orders > self.site.lines_per_second * ONE_BY_ONE));
        let late = dear * if lost > FAILING_SHARE { 1.0 } else { usual };
        let wait = if self.cut <= RETRIES_ONLY { ROUND } else { ROUND + self.behind };
        if self.now - self.cut_at >= wait {
            let cut = next_cut(self.cut, late, 1.0 - lost);
            let cut = if self.cut == 0.0 { cut.min(RETRIES_ONLY) } else { cut };
            (self.cut, self.cut_at) = if cut == self.cut { (cut, self.cut_at) } else { (cut, self.now) };
        }
        let cut = |s: &Replica| match () {
            // What the last step did is not in the reports yet; and what ails all is not cut down on twice.
            _ if self.now - s.cut_at < ROUND + ROUND + self.behind => s.cut,
            _ if late > STRAINED && s.strain > STRAINED => s.cut,
            _ if s.strain > STRAINED => next_cut(s.cut, s.strain, 1.0 - s.seen.failed_share()),
            // Against a cold replica pushed over where its slices have no other place to go.
            _ if s.press > self.allowance(s) => (s.cut + CUT_STEP).min(1.0),
            _ => next_cut(s.cut, s.strain, 1.0),
        };
        let cuts: Vec<f64> = self.replicas.values().map(cut).collect();
        for (s, cut) in self.replicas.values_mut().zip(cuts).filter(|(s, cut)| s.cut != *cut) {
            (s.cut, s.cut_at) = (cut, self.now);
        }
        let mut changed = Vec::new();
        for (n, slice) in &mut self.slices {
            let cut = slice.owners().filter_map(|id| Some(self.replicas.get(&id)?.cut)).fold(1.0, f64::min);
            slice.cut = match slice.cut_held {
                _ if cut <= self.cut => 0.0,
                0.0 => cut.min(RETRIES_ONLY),
                // A small change is not worth a line at each proxy.
                held if (cut - held).abs() < LEVEL_STEP => held,
                _ => cut,
            };
            if slice.cut != slice.cut_held {
                changed.push(*n);
            }
        }
        changed.into_iter().for_each(|n| self.tell(n, Priority::Calm));
        true
    }

    /// One move or swap of the ordinary path.
    fn shift(&mut self) -> bool {
        if !self.agenda.shift {
            return false;
        }
        let found = self.find_return().map(|one| vec![one]).or_else(|| self.find_shift());
        self.agenda.shift = found.is_some();
        for (n, from, to) in found.into_iter().flatten() {
            self.hand_over(n, from, to, Priority::Calm);
            _ = self.replicas.get_mut(&from).map(|s| s.used = true);
        }
        true
    }

    fn find_shift(&self) -> Option<Vec<(SliceId, ReplicaId, ReplicaId)>> {
        let (low, high) = (|s: &Replica| self.picture.band(s).0, |s: &Replica| self.picture.band(s).1);
        let idle = |s: &Replica| self.is_fit(s) && !s.used && self.may_shed(s);
        let is_heavy = |s: &Replica| s.outside >= ROUNDS_OUTSIDE && idle(s) && s.level() > high(s);
        let mut heavy: Vec<_> = self.replicas.iter().filter(|(_, s)| is_heavy(s)).collect();
        heavy.sort_by(|a, b| b.1.level().total_cmp(&a.1.level()));
        // One that operators made small is heavy though nobody is light.
        let (top, made_small) = heavy.first().map(|(_, s)| (s.level(), s.factor < 1.0))?;
        heavy.truncate(if made_small { 1 } else { heavy.len() });
        let easy = |s: &Replica| self.may_take(s, 0.0) && s.strain < EASED;
        let below = |s: &Replica| -s.outside >= ROUNDS_OUTSIDE && s.level() < low(s);
        let is_light = |s: &Replica| idle(s) && (below(s) || (made_small && s.level() < high(s))) && easy(s);
        let light = self.replicas.iter().filter(|(_, s)| is_light(s));
        let (to, dest) = light.max_by(|a, b| self.room(a.1).total_cmp(&self.room(b.1)))?;
        for (from, source) in heavy {
            let damped = |moves: u32| OMEGA.powi(moves as i32) * source.level() / top > DELTA;
            let fits = |net: f64| {
                net > 0.0
                    && source.level() - net / source.power >= low(source)
                    && dest.level() + net / dest.power <= high(dest)
                    && self.may_take(dest, net)
            };
            let mine = self.free_slices(*from, source);
            if let Some((n, ..)) = mine.iter().find(|(_, load, moves)| damped(*moves) && fits(*load)) {
                return Some(vec![(*n, *from, *to)]);
            }
            let theirs = self.free_slices(*to, dest);
            for (n, load, _) in mine.iter().filter(|(.., moves)| damped(*moves)) {
                let back = theirs.iter().rev().find(|(_, other, moves)| damped(*moves) && fits(load - other));
                if let Some((m, ..)) = back {
                    return Some(vec![(*n, *from, *to), (*m, *to, *from)]);
                }
            }
        }
        None
    }

    /// Sends one slice's difference, urgent ones first, while there is room, and no more of it than matters
    /// now: a table without a line gets one, an owner is replaced; levels and who stands by can wait.
    fn dispatch(&mut self) -> bool {
        let next = self.untold.iter().find(|(.., n)| self.may_send(&self.slices[n]));
        let Some(&(priority, _, n)) = next else { return false };
        let slice = &self.slices[&n];
        // A single writer's requests are held back, and the writes in hand run out, before another owner gets
        // them: else a proxy that learns late would write to the former one still (rule 2).
        let single = slice.wanted != slice.held && self.site.single_writer && !slice.held.is_empty();
        let halts = single && slice.cut_held != HALTED;
        let cut = match priority {
            _ if single => HALTED,
            Priority::Bare | Priority::Urgent => slice.cut_held,
            _ => slice.cut,
        };
        let matters = |(id, weight): &(ReplicaId, f64)| match priority {
            Priority::Bare => *weight >= WHOLE,
            Priority::Urgent => *weight >= WHOLE || slice.held.get(id).is_some_and(|held| *held >= WHOLE),
            _ => true,
        };
        // New lines go before old ones leave: a table is at no moment empty (rule 1).
        let mut lines = slice.differences(!self.site.single_writer);
        lines.retain(|line| !halts && matters(line));
        let line =
            |(replica, weight): &(_, _)| Action::SetEndpoint { slice: n, replica: *replica, weight: *weight };
        let mut orders: Vec<_> = lines.iter().map(line).collect();
        orders.extend(self.level_orders(n, slice.cut_held, cut));
        if !self.has_room(orders.len() as f64, priority) {
            return false;
        }
        self.note_sent(n, cut, &lines, orders.len() as f64);
        self.actions.extend(orders);
        let slice = &self.slices[&n];
        match priority {
            _ if slice.is_told() => {}
            _ if single => self.tell(n, priority.max(Priority::Urgent)),
            Priority::Bare => self.tell(n, Priority::Urgent),
            _ if slice.cut == slice.cut_held => self.tell(n, Priority::Spare),
            _ => self.tell(n, Priority::Calm),
        }
        true
    }

    /// Where a slice has one writer, each stage of a change of owner waits for the one before: acks of all who are
    /// joined, the time that those may go on who parted from us or its former controller, and a write's life.
    fn may_send(&self, s: &Slice) -> bool {
        let calm = || self.now - self.parted_at.max(s.given) >= self.site.tenure + self.site.write_lifetime;
        let done = |at: Moment| self.now - at >= self.site.write_lifetime;
        !self.site.single_writer
            || s.cut_held != HALTED
            || (s.version.is_none() && calm() && s.halted.is_none_or(done))
    }

    fn set_wake(&mut self) -> bool {
        if self.due.wake.is_some() {
            return false;
        }
        (self.token, self.due.wake) = (self.token + 1, Some(self.now + BEAT));
        self.actions.push(Action::StartTimer { token: self.token, after: BEAT });
        true
    }
}
