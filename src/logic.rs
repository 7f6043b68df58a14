//! All decisions of a governor. To use them: `Governor::start`, then one call for each piece of news (the
//! methods under "News"), then `collect` once the batch is through: it returns the steps of the reply, in
//! order. The types of the calls are in `interface.rs`, what is told at start in `deployment.rs`, plain
//! records in `state.rs`.
//!
//! After every call the RULES are gone through, in order, until none fires. They shape each table as it
//! should be (`wanted`); `dispatch` alone sends, and only what differs from what the proxies were told
//! (`held`). The ordinary path is DDMC (docs/design.md): `open_round` and `shift`. Beside it stand six
//! mechanisms:
//!  1. judging:   a server that is asked and answers nothing, or fails quickly, is sick for a while.
//!  2. fleeing:   slices leave servers that are gone, draining or sick, or cold and sent too much.
//!  3. spreading: a slice that alone overfills its server gets further lines, and loses them when it cools.
//!  4. rationing: where an owner answers late, further tries are cut, then levels, by payoff.
//!  5. pacing:    urgent orders first; lines not yet acked stay under the queue cap, messages under theirs.
//!  6. resuming:  the list is followed and asked for again; withdrawals from before our start are lifted.
use crate::deployment::{Deployment, OpType};
use crate::interface::*;
pub use crate::state::Governor;
use crate::state::{Haste, Scene, Server, Slice};
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

// The ordinary path; the design leaves these open.
const ROUND: Span = Span::ms(1000);
const LOAD_OVER: Span = Span::ms(8000);
const BAND: f64 = 0.35;
const OMEGA: f64 = 0.8;
const DELTA: f64 = 0.3;
/// The part of aborted ops that is counted as coming again.
const REPEATED: f64 = 0.7;
const ROUNDS_OUTSIDE: i32 = 3;
const ACK_WAIT: Span = Span::ms(5000);
const FRESH_START: Span = Span::ms(30_000);
// Judging.
const JUDGED_OVER: Span = Span::ms(3000);
const SICK_FOR: Span = Span::ms(8000);
const ENOUGH: f64 = 6.0;
const FAILING_SHARE: f64 = 0.3;
const DOUBT_SHARE: f64 = 0.4;
// Cold servers: the part of what would push one over that we allow ourselves.
const COLD_SAFETY: f64 = 0.55;
// Spreading looks at a shorter time than rounds do: a key in demand comes at once and may be gone in ten
// seconds.
const SPREAD_OVER: Span = Span::ms(3000);
const MOST_LINES: usize = 4;
const GATHER_BELOW: f64 = 0.6;
// Levels: answers later than this part of the tightest target are cut down on; well below it, less is cut.
const STRAINED: f64 = 0.6;
const EASED: f64 = 0.35;
const CUT_STEP: f64 = 0.15;
const LEAST_LEVEL: f64 = 0.1;
/// A cut so small that it stops further tries and leaves levels whole.
const TRIES_ONLY: f64 = 0.001;
/// Stands for a slice whose ops are all held back while its owner changes.
const HALTED: f64 = 2.0;
// Pacing.
const QUEUE_PART: f64 = 0.8;
const CALM_PART: f64 = 0.5;
const BEAT: Span = Span::ms(200);
const JUDGE_EVERY: Span = Span::ms(250);
const PROBE_EVERY: Span = Span::ms(2000);
const ASK_AGAIN: Span = Span::ms(1500);

/// How far a search for another server may go.
#[derive(Clone, Copy)]
enum Need {
    Relief,
    Escape,
    Any,
}

type Rule = fn(&mut Governor) -> bool;
const RULES: [Rule; 13] = [
    Governor::follow_list,
    Governor::lift,
    Governor::close_marks,
    Governor::judge,
    Governor::flee,
    Governor::spread,
    Governor::gather,
    Governor::open_round,
    Governor::ration,
    Governor::shift,
    Governor::probe,
    Governor::dispatch,
    Governor::set_wake,
];

/// News.
impl Governor {
    pub fn start(site: Deployment, seed: u64, now: Moment) -> Self {
        let mut governor = Governor::blank(site, seed, now);
        governor.due.list = (!governor.site.list_pushed).then_some(now);
        governor.due.round = now + ROUND + ROUND;
        governor
    }

    pub fn listed(&mut self, now: Moment, scope: ListScope, list: &[Listing]) {
        if scope != ListScope::Changes {
            self.servers.values_mut().for_each(|s| s.listed = false);
        }
        self.list_fresh |= scope != ListScope::Remembered;
        for entry in list {
            let probe_at = now + PROBE_EVERY.times(self.chance.draw());
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry, probe_at));
            if server.started != entry.started {
                // A restarted process has shed what ailed it, and what was met at it before says nothing now.
                server.sick_until = None;
                server.forget();
            }
            server.relist(entry);
        }
        self.settle(now);
    }

    pub fn list_failed(&mut self, now: Moment) {
        // Drawn, so that governors whose calls failed together do not come again together.
        let pause = ASK_AGAIN.times(1.0 + self.chance.draw());
        self.due.list = (!self.site.list_pushed).then_some(now + pause);
        self.settle(now);
    }

    pub fn woken(&mut self, now: Moment, token: u64) {
        if token == self.token {
            self.due.wake = None;
        }
        self.settle(now);
    }

    pub fn proxy_joined(&mut self, now: Moment, proxy: ProxyId, bare: bool) {
        self.channel.proxies.insert(proxy);
        if self.known.insert(proxy) && !bare {
            self.due.lift = self.due.lift.or(Some(now + BEAT));
        }
        self.settle(now);
    }

    pub fn proxy_left(&mut self, now: Moment, proxy: ProxyId) {
        self.channel.part(proxy);
        self.parted_at = now;
        self.settle(now);
    }

    pub fn applied(&mut self, now: Moment, proxy: ProxyId, mark: u16) {
        self.channel.acked(proxy, mark);
        self.settle(now);
    }

    /// A probe's report comes this way too, with no tries. Only what it brings counts: a probe that fails may
    /// have met a full server, not a sick one.
    pub fn met(&mut self, now: Moment, server: ServerId, met: Met) {
        let target = self.target();
        if let Some(s) = self.servers.get_mut(&server) {
            s.record(now, &met);
            if met.tries > met.aborted {
                s.last_late = met.mean_latency.seconds() / target;
            }
        }
        self.settle(now);
    }

    pub fn asked(&mut self, now: Moment, slice: SliceId, op_type: usize, came: f64, aborted: f64) {
        let cut = self.slices.get(&slice).map_or(0.0, |s| s.cut_held);
        let let_in = came * self.levels(cut).get(op_type).unwrap_or(&1.0);
        if let Some(s) = self.slices.get_mut(&slice) {
            // Clients come again after an abort: counted in full, a broken server's slices would look like
            // hot ones.
            s.came.add(now, (let_in - REPEATED * aborted).max(0.0));
            s.pressed.add(now, let_in);
            if s.mark.is_none() && now - s.settled > JUDGED_OVER {
                let whole: f64 = s.wanted.values().sum();
                for (server, weight) in &s.wanted {
                    if let Some(owner) = self.servers.get_mut(server) {
                        owner.asked.add(now, let_in * weight / whole);
                    }
                }
            }
        }
        self.settle(now);
    }

    pub fn slice_given(&mut self, now: Moment, slice: SliceId, table: &[(ServerId, f64)]) {
        self.slices.insert(slice, Slice::new(table, now));
        self.settle(now);
    }

    pub fn slice_taken(&mut self, now: Moment, slice: SliceId) {
        self.slices.remove(&slice);
        self.settle(now);
    }

    /// The steps of the reply to the batch at this moment.
    pub fn collect(&mut self, now: Moment) -> Vec<Step> {
        self.settle(now);
        if let Some(number) = self.channel.open_mark.take() {
            self.steps.push(Step::Mark { number });
        }
        std::mem::take(&mut self.steps)
    }

    fn settle(&mut self, now: Moment) {
        self.now = now;
        while RULES.iter().any(|rule| rule(self)) {}
    }
}

/// Measures.
impl Governor {
    fn is_cold(&self, s: &Server) -> bool {
        s.started.is_some_and(|at| self.now - at < self.site.warm_after)
    }

    fn is_sick(&self, s: &Server) -> bool {
        s.sick_until.is_some_and(|until| until > self.now)
    }

    /// In its place, and so in the averages.
    fn is_fit(&self, s: &Server) -> bool {
        s.listed && s.standing == Standing::Ready && !self.is_sick(s)
    }

    /// Mean time of the answers lately, against the tightest target.
    fn strain(&self, s: &Server) -> f64 {
        let seen = s.lately(self.now, JUDGED_OVER);
        match () {
            _ if seen.answered > 0.0 => seen.busy / seen.answered / self.target(),
            _ if seen.tries > 0.0 => s.last_late,
            _ => 0.0,
        }
    }

    fn target(&self) -> f64 {
        self.site.op_types.iter().map(|t| t.target_latency.seconds()).fold(f64::INFINITY, f64::min)
    }

    fn load_of(&self, slice: &Slice) -> f64 {
        let seen = LOAD_OVER.min(self.now - self.born).seconds().max(1.0);
        slice.came.sum(self.now, LOAD_OVER) / seen
    }

    /// All that came, repeats of the same op too: what a server feels.
    fn press_of(&self, slice: &Slice) -> f64 {
        slice.pressed.sum(self.now, SPREAD_OVER).max(slice.pressed.sum(self.now, LOAD_OVER) / 3.0)
            / SPREAD_OVER.seconds()
    }

    fn burst_of(&self, slice: &Slice) -> f64 {
        slice.came.sum(self.now, SPREAD_OVER) / SPREAD_OVER.seconds()
    }

    /// mu: size times speed, speed from the service time against the like's. Its root only: a full server
    /// looks slow too, and taken at its word it would throw out the slices whose keys it has warm.
    fn powers(&self) -> BTreeMap<ServerId, f64> {
        let pace = |s: &Server| {
            let seen = s.lately(self.now, LOAD_OVER);
            s.service.or((seen.answered >= ENOUGH).then(|| seen.busy / seen.answered))
        };
        // A listed size holds what kinds of machine differ in; where there is none, all are compared with
        // all.
        let kind = |s: &Server| self.site.sizes_known.then(|| s.machine.clone());
        let mut like: BTreeMap<Option<String>, (f64, f64)> = BTreeMap::new();
        for s in self.servers.values().filter(|s| self.is_fit(s)) {
            if let Some(time) = pace(s) {
                let (sum, many) = like.entry(kind(s)).or_default();
                (*sum, *many) = (*sum + time, *many + 1.0);
            }
        }
        let power = |s: &Server| {
            let speed = match (pace(s), like.get(&kind(s))) {
                (Some(time), Some((sum, many))) if time > 0.0 => (sum / many / time).sqrt().clamp(0.5, 1.3),
                _ => 1.0,
            };
            s.size.max(0.01) * speed
        };
        self.servers.iter().map(|(id, s)| (*id, power(s))).collect()
    }

    fn scene(&self) -> Scene {
        let (mut loads, mut pressures): (BTreeMap<ServerId, f64>, BTreeMap<ServerId, f64>) =
            Default::default();
        for slice in self.slices.values() {
            let whole = slice.wanted.values().sum::<f64>();
            for (server, weight) in &slice.wanted {
                *loads.entry(*server).or_default() += self.load_of(slice) * weight / whole;
                *pressures.entry(*server).or_default() += self.press_of(slice) * weight / whole;
            }
        }
        let powers = self.powers();
        let fit = || self.servers.iter().filter(|(_, s)| self.is_fit(s));
        let power: f64 = fit().map(|(id, _)| powers[id]).sum::<f64>().max(0.01);
        let answered: f64 = fit().map(|(_, s)| s.lately(self.now, LOAD_OVER).answered).sum();
        let average = loads.values().sum::<f64>() / power;
        let proven = average.min(answered / LOAD_OVER.seconds() / power);
        Scene { loads, pressures, powers, average, proven, phi: BAND * average }
    }

    /// What a cold server may be sent now: of what would push it over, a safe part. What the fleet answers,
    /// level by level, is the only sure sign of what servers can do; what is asked may be far more (overload,
    /// repeats).
    fn allowance(&self, id: ServerId, scene: &Scene) -> f64 {
        match self.servers.get(&id) {
            Some(s) if self.is_cold(s) => {
                let age = (self.now - s.started.unwrap_or(self.now)).seconds();
                let warmth = self.site.cold_share
                    + (1.0 - self.site.cold_share) * age / self.site.warm_after.seconds().max(0.1);
                scene.power(id) * scene.proven * self.site.fall_multiple * warmth * COLD_SAFETY
            }
            _ => f64::INFINITY,
        }
    }

    fn may_take(&self, id: ServerId, load: f64, scene: &Scene) -> bool {
        let s = &self.servers[&id];
        let fresh = s.started.is_some_and(|at| self.now - at < FRESH_START);
        self.is_fit(s)
            && !(fresh && self.busy_in_round.contains(&id))
            && scene.pressure(id) + load <= self.allowance(id, scene)
    }

    /// The live server with most room under AvgL+phi, else the least loaded; a bad one only where there is no
    /// good.
    fn refuge(&self, slice: &Slice, load: f64, scene: &Scene, need: Need) -> Option<ServerId> {
        let open = || self.servers.keys().copied().filter(|id| !slice.wanted.contains_key(id));
        let most_room = |a: &ServerId, b: &ServerId| scene.room(*a).total_cmp(&scene.room(*b));
        let roomy = open().filter(|id| self.may_take(*id, load, scene)).max_by(most_room);
        if roomy.is_some_and(|id| scene.room(id) >= load) {
            return roomy;
        }
        let least = |a: &ServerId, b: &ServerId| scene.level(*a).total_cmp(&scene.level(*b));
        let fit = open().filter(|id| self.may_take(*id, load, scene)).min_by(least);
        let ready = |id: &ServerId| self.servers[id].listed && self.servers[id].standing == Standing::Ready;
        // With no fit one, a full warm server still beats a cold one, which would fall over (rule 4).
        let warm = |id: &ServerId| self.is_fit(&self.servers[id]) && !self.is_cold(&self.servers[id]);
        let well = || open().filter(warm).min_by(least);
        let share = |id: ServerId| scene.pressure(id) / self.allowance(id, scene).max(0.001);
        let coolest = |a: &ServerId, b: &ServerId| share(*a).total_cmp(&share(*b));
        match need {
            Need::Relief => fit,
            Need::Escape => fit.or_else(well),
            Need::Any => fit.or_else(well).or_else(|| open().filter(ready).min_by(coolest)),
        }
    }

    fn hand_over(&mut self, slice: SliceId, from: ServerId, to: ServerId, haste: Haste) {
        self.slices.get_mut(&slice).into_iter().for_each(|s| s.pass(from, to, haste, self.now));
        self.busy_in_round.insert(to);
    }

    /// Room for so many more lines to each proxy, under both caps (rule 5). A first message always has room.
    fn has_room(&self, lines: f64, part: f64) -> bool {
        let (waiting, fresh) = (self.channel.lines_waiting(), self.channel.open_mark.is_none());
        let head = if fresh { self.site.message_head + 1.0 } else { 0.0 };
        let more = (lines + head) * self.channel.proxies.len() as f64;
        let cap = f64::from(self.site.message_cap);
        let written = self.channel.messages.sum(self.now, self.site.message_window + BEAT);
        (waiting == 0.0 || waiting + more <= self.site.queue_cap * QUEUE_PART * part)
            && (cap == 0.0 || !fresh || written + 1.0 < cap * part)
    }
}

/// Rules.
impl Governor {
    fn follow_list(&mut self) -> bool {
        if self.due.list.is_none_or(|at| at > self.now) {
            return false;
        }
        self.due.list = None;
        self.steps.push(Step::FollowList);
        true
    }

    /// We never withdraw, for a line put in place of another does more; but a proxy that worked under another
    /// governor, or an older release, may still hold its withdrawals and so find a table of ours bare (rule
    /// 1).
    fn lift(&mut self) -> bool {
        let lines = self.servers.len() as f64;
        if self.due.lift.is_none_or(|at| at > self.now) || !self.has_room(lines, CALM_PART) {
            return false;
        }
        self.due.lift = None;
        self.channel.write(self.now, self.site.message_head + 1.0, lines);
        self.steps.extend(self.servers.keys().map(|id| Step::Withdraw { server: *id, out: false }));
        true
    }

    /// Slices wait for all acks, or for so long: some proxies may be gone. Lines wait on until they are
    /// acked.
    fn close_marks(&mut self) -> bool {
        let (now, open) = (self.now, self.channel.open_mark);
        self.channel.marks.retain(|n, m| Some(*n) == open || !m.waiting.is_empty());
        let marks = &self.channel.marks;
        let over = |n: u16| Some(n) != open && marks.get(&n).is_none_or(|m| now - m.at >= ACK_WAIT);
        let mut freed = false;
        for slice in self.slices.values_mut().filter(|s| s.mark.is_some_and(over)) {
            (slice.mark, slice.settled, freed) = (None, now, true);
        }
        freed
    }

    /// Against all that looks alike from outside: crash, hang, silence, fast errors, crawling.
    fn judge(&mut self) -> bool {
        if self.due.judge > self.now {
            return false;
        }
        self.due.judge = self.now + JUDGE_EVERY;
        let now = self.now;
        let seen = |s: &Server| s.lately(now, JUDGED_OVER);
        let share = |s: &Server| seen(s).aborted / seen(s).tries.max(1.0);
        let mut shares: Vec<f64> = self.servers.values().filter(|s| self.is_fit(s)).map(share).collect();
        shares.sort_by(f64::total_cmp);
        let usual = shares.get(shares.len() / 2).copied().unwrap_or(0.0);
        let cause = |s: &Server| {
            if seen(s).answered == 0.0 {
                // One that answered late before it fell silent is more likely full, its answers given up on.
                // It is cut down first and gets longer, for fleeing from it would fill the others with cold
                // keys.
                let full = s.last_late > STRAINED && s.lately(now, JUDGED_OVER.times(2.0)).answered > 0.0;
                let dead = !full && (seen(s).aborted >= ENOUGH || seen(s).asked >= 2.0 * ENOUGH);
                return dead.then_some("answers nothing");
            }
            // A full server turns work away too, but then the others do as well, or its answers are late.
            let failing = seen(s).aborted >= ENOUGH && share(s) >= FAILING_SHARE + 2.0 * usual;
            (failing && self.strain(s) < EASED).then_some("fails quickly")
        };
        let fit = self.servers.iter().filter(|(_, s)| self.is_fit(s));
        let ill: Vec<_> = fit.filter_map(|(id, s)| cause(s).map(|why| (*id, why))).collect();
        let around = self.servers.values().filter(|s| s.listed && s.standing == Standing::Ready);
        let (all, sick) = around.fold((0, ill.len()), |(a, k), s| (a + 1, k + usize::from(self.is_sick(s))));
        if sick as f64 > DOUBT_SHARE * all as f64 {
            return true; // More likely our view is broken than they.
        }
        for (id, cause) in ill {
            let s = self.servers.get_mut(&id).expect("taken from the map above");
            s.strikes += 1;
            s.sick_until = Some(now + SICK_FOR.times(f64::from(s.strikes.min(4))));
            s.forget();
            self.steps.push(Step::Note(format!("server {id} taken for sick: {cause}")));
        }
        true
    }

    /// Slices leave what is gone or draining (rule 3), sick, or cold and sent too much (rule 4), heaviest
    /// first; and one without a line gets one (rule 1).
    fn flee(&mut self) -> bool {
        let lost = |s: &Server| s.standing != Standing::Ready || (!s.listed && self.list_fresh);
        let bad = |id: &ServerId| self.servers.get(id).is_none_or(|s| lost(s) || self.is_sick(s));
        let cold = |id: &ServerId| self.servers.get(id).is_some_and(|s| self.is_cold(s));
        let lines = || self.slices.iter().flat_map(|(n, s)| s.wanted.keys().map(move |id| (*n, Some(*id))));
        let bare = self.slices.iter().filter(|(_, s)| s.wanted.is_empty()).map(|(n, _)| (*n, None));
        let mut due: Vec<_> =
            bare.chain(lines().filter(|(_, id)| id.is_some_and(|id| bad(&id) || cold(&id)))).collect();
        if due.is_empty() {
            return false;
        }
        let scene = self.scene();
        let pushed = |id: ServerId| scene.pressure(id) > self.allowance(id, &scene) * 1.2;
        due.retain(|(_, id)| id.is_none_or(|id| bad(&id) || pushed(id)));
        due.sort_by(|a, b| self.load_of(&self.slices[&b.0]).total_cmp(&self.load_of(&self.slices[&a.0])));
        for (n, from) in due {
            let slice = &self.slices[&n];
            let need = match from.and_then(|id| self.servers.get(&id)) {
                Some(s) if !lost(s) && self.is_sick(s) => Need::Escape,
                Some(s) if !lost(s) => Need::Relief,
                _ => Need::Any,
            };
            if let Some(to) = self.refuge(slice, self.load_of(slice), &scene, need) {
                self.hand_over(n, from.unwrap_or(to), to, Haste::Urgent);
                return true;
            }
        }
        false
    }

    /// A slice that alone overfills its servers gets one more, where tables may hold several lines.
    fn spread(&mut self) -> bool {
        if self.site.single_writer || self.now - self.born < SPREAD_OVER {
            return false;
        }
        let free = |s: &&Slice| s.mark.is_none() && s.wanted == s.held;
        let total: f64 = self.slices.values().map(|s| self.burst_of(s)).sum();
        let even = total / self.servers.len().max(1) as f64;
        let mut hot = self.slices.iter().filter(|(_, s)| free(s) && self.burst_of(s) > even * 0.5).peekable();
        if hot.peek().is_none() {
            return false;
        }
        let scene = self.scene();
        // Bands hold for loads over a longer time; a short time is judged by what came to all in it.
        let rise = total / scene.loads.values().sum::<f64>().max(0.01);
        let found = hot.find_map(|(n, s)| {
            let over = self.burst_of(s) - rise * s.wanted.keys().map(|id| scene.top(*id)).sum::<f64>();
            let to = (over > 0.0 && s.wanted.len() < MOST_LINES)
                .then(|| self.refuge(s, over, &scene, Need::Relief));
            Some((*n, to??))
        });
        let Some((n, to)) = found else { return false };
        let slice = self.slices.get_mut(&n).expect("found above");
        slice.wanted.insert(to, 1.0);
        (slice.haste, slice.settled) = (Haste::Urgent, self.now);
        true
    }

    /// Once a slice fits on fewer servers again, it leaves the fullest of its own.
    fn gather(&mut self) -> bool {
        let free = |s: &Slice| s.wanted.len() > 1 && s.mark.is_none() && self.now - s.settled > LOAD_OVER;
        if !self.slices.values().any(free) {
            return false;
        }
        let scene = self.scene();
        let found = self.slices.iter().filter(|(_, s)| free(s)).find_map(|(n, s)| {
            let fullest = s.wanted.keys().max_by(|a, b| scene.level(**a).total_cmp(&scene.level(**b)))?;
            let rest: f64 = s.wanted.keys().filter(|id| *id != fullest).map(|id| scene.top(*id)).sum();
            (self.load_of(s).max(self.burst_of(s)) < GATHER_BELOW * rest).then_some((*n, *fullest))
        });
        let Some((n, id)) = found else { return false };
        let slice = self.slices.get_mut(&n).expect("found above");
        slice.wanted.remove(&id);
        slice.settled = self.now;
        true
    }

    fn open_round(&mut self) -> bool {
        if self.due.round > self.now {
            return false;
        }
        self.due.round = self.now + ROUND;
        (self.round_open, self.ration_open) = (true, self.site.levels_followed);
        self.busy_in_round.clear();
        let scene = self.scene();
        for (id, s) in self.servers.iter_mut() {
            let level = scene.level(*id);
            s.outside = match () {
                _ if level > scene.average + scene.phi => s.outside.max(0) + 1,
                _ if level < scene.average - scene.phi => s.outside.min(0) - 1,
                _ => 0,
            };
        }
        true
    }

    /// Levels follow what each owner can do: a queue that makes all its answers late serves nobody. The op
    /// type with the least payoff is cut first, and further tries before any.
    fn ration(&mut self) -> bool {
        if !self.ration_open {
            return false;
        }
        self.ration_open = false;
        let scene = self.scene();
        let step = |id: ServerId, s: &Server| {
            let strain = self.strain(s);
            // Against a cold server pushed over where its slices have no other place to go.
            let pushed = scene.pressure(id) > self.allowance(id, &scene);
            match () {
                _ if strain > STRAINED => {
                    let seen = s.lately(self.now, JUDGED_OVER);
                    let kept = seen.answered / seen.tries.max(1.0);
                    (1.0 - s.cut) * (1.0 - 0.85 * kept.max(0.5))
                }
                _ if pushed => CUT_STEP,
                _ if strain < EASED => CUT_STEP * (strain / EASED - 2.0),
                _ => 0.0,
            }
        };
        let steps: Vec<f64> = self.servers.iter().map(|(id, s)| step(*id, s)).collect();
        for (s, step) in self.servers.values_mut().zip(steps) {
            s.cut = (s.cut + step).clamp(0.0, 1.0);
        }
        for slice in self.slices.values_mut() {
            let cuts = slice.wanted.keys().filter_map(|id| self.servers.get(id)).map(|s| s.cut);
            let cut = cuts.fold(1.0, f64::min);
            // Only where there is another line can a further try have gone anywhere: there it is cut first.
            let tries_first = slice.wanted.len() > 1 && slice.cut_held == 0.0 && self.site.usual_tries > 0;
            slice.cut = if tries_first { cut.min(TRIES_ONLY) } else { cut };
        }
        true
    }

    /// The level of each op type at a cut between 0 and 1: types in order of payoff, one after the other.
    fn levels(&self, cut: f64) -> Vec<f64> {
        let types = &self.site.op_types;
        if cut == HALTED {
            return vec![0.0; types.len()];
        }
        let cut = if cut <= TRIES_ONLY { 0.0 } else { cut };
        let before = |t: &OpType| types.iter().filter(|o| o.payoff < t.payoff).count() as f64;
        let level =
            |t: &OpType| 1.0 - (cut * types.len() as f64 - before(t)).clamp(0.0, 1.0) * (1.0 - LEAST_LEVEL);
        types.iter().map(level).collect()
    }

    /// One move or swap of the ordinary path.
    fn shift(&mut self) -> bool {
        if !self.round_open {
            return false;
        }
        let scene = self.scene();
        self.round_open = false;
        let Some((moves, source)) = self.find_shift(&scene) else { return true };
        for (n, from, to) in moves {
            self.hand_over(n, from, to, Haste::Calm);
        }
        self.busy_in_round.insert(source);
        self.round_open = true;
        true
    }

    #[allow(clippy::type_complexity)]
    fn find_shift(&self, scene: &Scene) -> Option<(Vec<(SliceId, ServerId, ServerId)>, ServerId)> {
        let idle = |id: &ServerId| self.is_fit(&self.servers[id]) && !self.busy_in_round.contains(id);
        let outside = |sign: i32| {
            let far = move |s: &Server| s.outside * sign >= ROUNDS_OUTSIDE;
            self.servers.iter().filter(move |(_, s)| far(s)).map(|(id, _)| *id).filter(idle)
        };
        let (high, low) = (scene.average + scene.phi, scene.average - scene.phi);
        let mut heavy: Vec<_> = outside(1).filter(|id| scene.level(*id) > high).collect();
        heavy.sort_by(|a, b| scene.level(*b).total_cmp(&scene.level(*a)));
        let easy = |id: &ServerId| self.may_take(*id, 0.0, scene) && self.strain(&self.servers[id]) < EASED;
        let light = outside(-1).filter(|id| scene.level(*id) < low && easy(id));
        let to = light.max_by(|a, b| scene.room(*a).total_cmp(&scene.room(*b)))?;
        let top = heavy.first().map(|id| scene.level(*id))?;
        for from in heavy {
            let by_load = |owner: ServerId| {
                let only = move |s: &&Slice| s.mark.is_none() && s.wanted.len() == 1 && s.wanted == s.held;
                let own = self.slices.iter().filter(move |(_, s)| only(s) && s.wanted.contains_key(&owner));
                let mut own: Vec<_> = own.map(|(n, s)| (*n, self.load_of(s), s.moves)).collect();
                own.sort_by(|a, b| b.1.total_cmp(&a.1));
                own
            };
            let heat = scene.level(from) / top;
            let damped = |moves: u32| OMEGA.powi(moves as i32) * heat > DELTA;
            let fits = |net: f64| {
                scene.level(from) - net / scene.power(from) >= low
                    && scene.level(to) + net / scene.power(to) <= high
                    && self.may_take(to, net, scene)
                    && net > 0.0
            };
            let (mine, theirs) = (by_load(from), by_load(to));
            if let Some((n, ..)) = mine.iter().find(|(_, load, moves)| damped(*moves) && fits(*load)) {
                return Some((vec![(*n, from, to)], from));
            }
            for (n, load, _) in mine.iter().filter(|(.., moves)| damped(*moves)) {
                let back = theirs.iter().rev().find(|(_, other, moves)| damped(*moves) && fits(load - other));
                if let Some((m, ..)) = back {
                    return Some((vec![(*n, from, to), (*m, to, from)], from));
                }
            }
        }
        None
    }

    /// Only where no answer carries a report, or where a sick server is to show that it is back.
    fn probe(&mut self) -> bool {
        if !self.site.probes_allowed {
            return false;
        }
        let now = self.now;
        let wanted = |s: &Server| !self.site.reports_in_answers || self.is_sick(s);
        let due = |s: &Server| s.listed && s.standing == Standing::Ready && s.probe_at <= now && wanted(s);
        let found = self.servers.iter().find(|(_, s)| due(s)).map(|(id, _)| *id);
        let Some(id) = found else { return false };
        self.servers.get_mut(&id).expect("found above").probe_at = now + PROBE_EVERY;
        self.steps.push(Step::Probe { server: id });
        true
    }

    /// Sends one slice's difference, urgent ones first, as long as there is room.
    fn dispatch(&mut self) -> bool {
        let dirty = |s: &&Slice| (s.wanted != s.held || s.cut != s.cut_held) && self.may_send(s);
        let pick = self.slices.iter().filter(|(_, s)| dirty(s)).max_by_key(|(_, s)| s.haste);
        let Some((&n, slice)) = pick else { return false };
        // A single writer's ops are held back, and the writes in hand run out, before another owner gets
        // them: else a proxy that learns late would write to the former one still (rule 2).
        let moves = slice.wanted != slice.held;
        let single = moves && self.site.single_writer && !slice.held.is_empty();
        let halts = single && slice.cut_held != HALTED;
        let mut orders = Vec::new();
        if !halts {
            // New lines go before old ones leave: a table is at no moment empty (rule 1).
            let line = |(server, weight)| Step::Line { slice: n, server, weight };
            orders.extend(slice.differences(!self.site.single_writer).into_iter().map(line));
        }
        let cut = if single { HALTED } else { slice.cut };
        let tries = if cut == 0.0 { self.site.usual_tries } else { 0 };
        let (old, new) = (self.levels(slice.cut_held), self.levels(cut));
        let several = slice.held.len().max(slice.wanted.len()) > 1;
        let tries_change = several && (cut == 0.0) != (slice.cut_held == 0.0);
        for at in (0..new.len()).filter(|at| new[*at] != old[*at] || tries_change) {
            orders.push(Step::Level { slice: Some(n), op_types: 1 << at, share: new[at], tries });
        }
        let part = if slice.haste == Haste::Urgent { 1.0 } else { CALM_PART };
        if !self.has_room(orders.len() as f64, part) {
            return false;
        }
        let lines = orders.len() as f64;
        let mark = (lines > 0.0).then(|| self.channel.write(self.now, self.site.message_head + 1.0, lines));
        let slice = self.slices.get_mut(&n).expect("picked above");
        slice.cut_held = cut;
        if halts {
            (slice.mark, slice.halted) = (mark, Some(self.now));
        } else if moves {
            slice.mark = mark;
            slice.held = slice.wanted.clone();
            slice.haste = Haste::Calm;
        }
        self.steps.extend(orders);
        true
    }

    /// Where a slice has one writer, each stage of a change of owner waits for the one before: acks of all
    /// who are joined, the time that those who parted may go on, and the life of a write.
    fn may_send(&self, s: &Slice) -> bool {
        let calm = || self.now - self.parted_at >= self.site.tenure + self.site.write_life;
        let done = |at: Moment| self.now - at >= self.site.write_life;
        !self.site.single_writer
            || s.cut_held != HALTED
            || (s.mark.is_none() && calm() && s.halted.is_none_or(done))
    }

    fn set_wake(&mut self) -> bool {
        if self.due.wake.is_some() {
            return false;
        }
        self.token += 1;
        self.due.wake = Some(self.now + BEAT);
        self.steps.push(Step::Wake { token: self.token, after: BEAT });
        true
    }
}
