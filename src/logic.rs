//! All decisions of a governor. To use them: `Governor::start`, then one call for each piece of news (the methods
//! under "News"), then `collect` once the batch is through; it returns the steps of the reply, in order. The types
//! of the calls are in `interface.rs`, what is told at start in `deployment.rs`.
//!
//! After every call the RULES are gone through, in order, until none fires. They shape the tables as they should be
//! (`wanted`); `dispatch`, the last, is the only one that sends, and sends only what differs from what is `held`.
//! The ordinary path is DDMC: `open_round` and `shift`. Beside it stand these mechanisms:
//!  1. judging:  a server asked much that answers nothing, or fails, or crawls, is taken for sick for a while.
//!  2. fleeing:  slices leave servers that are gone, draining, sick, or cold and given too much.
//!  3. spreading: a slice that alone overfills its server gets further lines.
//!  4. pacing:   lines not yet acked are kept under the queue cap, messages under the message cap; urgent first.
use crate::chance::Chance;
use crate::deployment::{Deployment, OpType};
use crate::interface::*;
use crate::ring::Ring;
use crate::state::{Haste, Scene, Sent, Server, Slice};
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

// The ordinary path; the design leaves these open.
const ROUND: Span = Span::ms(1000);
const LOAD_OVER: Span = Span::ms(8000);
const BAND: f64 = 0.35;
const OMEGA: f64 = 0.8;
const DELTA: f64 = 0.3;
const ROUNDS_OUTSIDE: u32 = 3;
const ACK_WAIT: Span = Span::ms(5000);
const FRESH_START: Span = Span::ms(30_000);
// Judging.
const JUDGED_OVER: Span = Span::ms(3000);
const SICK_FOR: Span = Span::ms(8000);
const ENOUGH: f64 = 6.0;
const FAILING_SHARE: f64 = 0.3;
const DOUBT_SHARE: f64 = 0.4;
// Cold servers: the part of what would push one over that we allow ourselves.
const COLD_SAFETY: f64 = 0.4;
// Spreading looks at a shorter time than rounds do: a key in demand comes at once and may be gone in ten seconds.
const SPREAD_OVER: Span = Span::ms(3000);
// Levels: answers later than this part of the tightest target are cut down on; well below it, less is cut.
const STRAINED: f64 = 0.6;
const EASED: f64 = 0.35;
const CUT_STEP: f64 = 0.15;
const LEAST_LEVEL: f64 = 0.1;
// Pacing.
const QUEUE_PART: f64 = 0.8;
const BEAT: Span = Span::ms(200);
const PROBE_EVERY: Span = Span::ms(2000);
const ASK_AGAIN: Span = Span::ms(1500);

pub struct Governor {
    site: Deployment,
    chance: Chance,
    now: Moment,
    born: Moment,
    servers: BTreeMap<ServerId, Server>,
    slices: BTreeMap<SliceId, Slice>,
    proxies: BTreeSet<ProxyId>,
    marks: BTreeMap<u16, Sent>,
    next_mark: u16,
    open_mark: Option<u16>,
    last_through: Moment,
    messages: Ring,
    steps: Vec<Step>,
    ask_at: Option<Moment>,
    list_fresh: bool,
    lift_at: Option<Moment>,
    ration_at: Moment,
    round_at: Moment,
    round_open: bool,
    busy_in_round: BTreeSet<ServerId>,
    judge_at: Moment,
    wake_at: Option<Moment>,
    token: u64,
}

/// How far a search for another server may go.
#[derive(Clone, Copy)]
enum Need {
    Relief,
    Escape,
    Any,
}

type Rule = fn(&mut Governor) -> bool;
const RULES: [Rule; 12] = [
    Governor::follow_list,
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
        let messages = Ring::new(Span::ms(500), site.message_window.as_ns() as usize / 500_000_000 + 2);
        let ask_at = (!site.list_pushed).then_some(now);
        Governor {
            site,
            chance: Chance::from_seed(seed),
            now,
            born: now,
            servers: BTreeMap::new(),
            slices: BTreeMap::new(),
            proxies: BTreeSet::new(),
            marks: BTreeMap::new(),
            next_mark: 0,
            open_mark: None,
            last_through: now,
            messages,
            steps: Vec::new(),
            ask_at,
            list_fresh: false,
            lift_at: None,
            ration_at: now + ROUND,
            round_at: now + ROUND + ROUND,
            round_open: false,
            busy_in_round: BTreeSet::new(),
            judge_at: now + ROUND,
            wake_at: None,
            token: 0,
        }
    }

    pub fn listed(&mut self, now: Moment, scope: ListScope, list: &[Listing]) {
        if scope != ListScope::Changes {
            self.servers.values_mut().for_each(|s| s.listed = false);
        }
        self.list_fresh |= scope != ListScope::Remembered;
        for entry in list {
            let probe_at = now + PROBE_EVERY.times(self.chance.draw());
            let new = || Server::new(entry, probe_at);
            let server = self.servers.entry(entry.server).or_insert_with(new);
            if server.started != entry.started {
                // A restarted process has shed whatever ailed it, and what was met at it before says nothing now.
                server.sick_until = None;
                server.forget();
            }
            server.started = entry.started;
            server.standing = entry.standing;
            server.size = entry.size;
            server.machine.clone_from(&entry.machine);
            server.listed = entry.standing != Standing::Gone;
        }
        self.settle(now);
    }

    /// Where an op type stands among those told at start; its name says nothing else to us.
    pub fn op_type(&self, name: &str) -> Option<usize> {
        self.site.op_types.iter().position(|t| t.name == name)
    }

    pub fn list_failed(&mut self, now: Moment) {
        let pause = ASK_AGAIN.times(1.0 + self.chance.draw());
        self.ask_at = (!self.site.list_pushed).then_some(now + pause);
        self.settle(now);
    }

    pub fn woken(&mut self, now: Moment, token: u64) {
        if token == self.token {
            self.wake_at = None;
        }
        self.settle(now);
    }

    pub fn probed(&mut self, now: Moment, server: ServerId, report: LoadReport) {
        if let Some(s) = self.servers.get_mut(&server) {
            // Only what a probe brings counts: one that fails may have met a full server, not a sick one.
            s.service = report.service_ms.or(s.service);
        }
        self.settle(now);
    }

    pub fn proxy_joined(&mut self, now: Moment, proxy: ProxyId, bare: bool) {
        self.proxies.insert(proxy);
        if !bare {
            self.lift_at = self.lift_at.or(Some(now + BEAT));
        }
        self.settle(now);
    }

    pub fn proxy_left(&mut self, now: Moment, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        // What it had not acked travels no more.
        self.marks.values_mut().for_each(|m| _ = m.waiting.remove(&proxy));
        self.settle(now);
    }

    pub fn applied(&mut self, now: Moment, proxy: ProxyId, mark: u16) {
        if let Some(sent) = self.marks.get_mut(&mark) {
            sent.waiting.remove(&proxy);
            self.last_through = self.last_through.max(sent.at);
        }
        self.settle(now);
    }

    pub fn met(&mut self, now: Moment, server: ServerId, met: Met) {
        let target = self.target();
        if let Some(s) = self.servers.get_mut(&server) {
            let answered = (met.tries - met.aborted).max(0.0);
            s.tries.add(now, met.tries);
            s.aborted.add(now, met.aborted);
            s.answered.add(now, answered);
            if answered > 0.0 {
                s.last_late = met.mean_latency.seconds() / target;
            }
            s.busy.add(now, answered * met.mean_latency.seconds());
            s.service = met.report.service_ms.or(s.service);
        }
        self.settle(now);
    }

    pub fn asked(&mut self, now: Moment, slice: SliceId, op_type: usize, came: f64, aborted: f64) {
        let level = self
            .slices
            .get(&slice)
            .and_then(|s| self.levels(s.cut_held).get(op_type).copied())
            .unwrap_or(1.0);
        if let Some(s) = self.slices.get_mut(&slice) {
            // Clients come again after an abort: counted in full, a broken server's slices would look like hot ones.
            s.came.add(now, (came * level - 0.7 * aborted).max(0.0));
            s.pressed.add(now, came * level);
            if s.mark.is_none() && now - s.settled > JUDGED_OVER {
                let whole: f64 = s.wanted.values().sum();
                for (server, weight) in &s.wanted {
                    if let Some(owner) = self.servers.get_mut(server) {
                        owner.asked.add(now, came * level * weight / whole);
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
        if let Some(number) = self.open_mark.take() {
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
        let many = s.answered.sum(self.now, JUDGED_OVER);
        match () {
            _ if many > 0.0 => s.busy.sum(self.now, JUDGED_OVER) / many / self.target(),
            _ if s.tries.sum(self.now, JUDGED_OVER) > 0.0 => s.last_late,
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

    /// mu: size times speed, speed from the service time against the like's. Its root only: a full server looks slow
    /// too, and taken at its word it would throw out the slices whose keys it has warm.
    fn powers(&self) -> BTreeMap<ServerId, f64> {
        let pace = |s: &Server| {
            let many = s.answered.sum(self.now, LOAD_OVER);
            s.service.or((many >= ENOUGH).then(|| s.busy.sum(self.now, LOAD_OVER) / many))
        };
        let mut like: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let group = |s: &Server| {
            if self.site.sizes_known {
                s.machine.clone()
            } else {
                String::new()
            }
        };
        let groups: BTreeMap<ServerId, String> = self.servers.iter().map(|(&id, s)| (id, group(s))).collect();
        for (id, s) in &self.servers {
            if let (true, Some(ms)) = (self.is_fit(s), pace(s)) {
                let sum = like.entry(&groups[id]).or_default();
                *sum = (sum.0 + ms, sum.1 + 1.0);
            }
        }
        let power = |id: &ServerId, s: &Server| {
            let speed = match (pace(s), like.get(groups[id].as_str())) {
                (Some(ms), Some((sum, many))) if ms > 0.0 => (sum / many / ms).sqrt().clamp(0.5, 1.3),
                _ => 1.0,
            };
            s.size.max(0.01) * speed
        };
        self.servers.iter().map(|(id, s)| (*id, power(id, s))).collect()
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
        let answered: f64 = fit().map(|(_, s)| s.answered.sum(self.now, LOAD_OVER)).sum();
        let average = loads.values().sum::<f64>() / power;
        let proven = average.min(answered / LOAD_OVER.seconds() / power);
        Scene { loads, pressures, powers, average, proven, phi: BAND * average }
    }

    /// What a cold server may be sent now: of what would push it over, a safe part. What the fleet answers, level
    /// by level, is the only sure sign of what servers can do; what is asked may be far more (overload, repeats).
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

    /// The live server with most room under AvgL+phi, else the least loaded; a bad one only where there is no good.
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
        let warm = || open().filter(|id| ready(id) && !self.is_cold(&self.servers[id]));
        let well = || warm().filter(|id| !self.is_sick(&self.servers[id])).min_by(least);
        let share = |id: ServerId| scene.pressure(id) / self.allowance(id, scene).max(0.001);
        let coolest = |a: &ServerId, b: &ServerId| share(*a).total_cmp(&share(*b));
        match need {
            Need::Relief => fit,
            Need::Escape => fit.or_else(well),
            Need::Any => fit.or_else(well).or_else(|| open().filter(ready).min_by(coolest)),
        }
    }

    fn hand_over(&mut self, slice: SliceId, from: ServerId, to: ServerId, haste: Haste) {
        let Some(s) = self.slices.get_mut(&slice) else {
            return;
        };
        let weight = s.wanted.remove(&from).unwrap_or(1.0);
        s.wanted.insert(to, weight);
        s.moves += 1;
        s.settled = self.now;
        if haste == Haste::Urgent {
            s.haste = haste;
        }
        self.busy_in_round.insert(to);
    }
}

/// Rules.
impl Governor {
    fn follow_list(&mut self) -> bool {
        if self.ask_at.is_none_or(|at| at > self.now) {
            return false;
        }
        self.ask_at = None;
        self.steps.push(Step::FollowList);
        true
    }

    /// A mark is done once all have acked; one that stays open for long is given up, for its proxies may be gone.
    fn close_marks(&mut self) -> bool {
        let done = |m: &Sent| m.waiting.is_empty() || self.now - m.at >= ACK_WAIT;
        let Some(number) = self.marks.iter().find(|(_, m)| done(m)).map(|(n, _)| *n) else {
            return false;
        };
        if Some(number) == self.open_mark {
            return false;
        }
        self.marks.remove(&number);
        for slice in self.slices.values_mut().filter(|s| s.mark == Some(number)) {
            slice.mark = None;
            slice.settled = self.now;
        }
        true
    }

    /// Against all that looks alike from outside: crash, hang, silence, fast errors, crawling.
    fn judge(&mut self) -> bool {
        if self.judge_at > self.now {
            return false;
        }
        self.judge_at = self.now + Span::ms(250);
        let now = self.now;
        let share = |s: &Server| s.aborted.sum(now, JUDGED_OVER) / s.tries.sum(now, JUDGED_OVER).max(1.0);
        let mut shares: Vec<f64> = self.servers.values().filter(|s| self.is_fit(s)).map(share).collect();
        shares.sort_by(f64::total_cmp);
        let usual = shares.get(shares.len() / 2).copied().unwrap_or(0.0);
        let cause = |s: &Server| {
            let aborted = s.aborted.sum(now, JUDGED_OVER);
            let asked = s.asked.sum(now, JUDGED_OVER);
            if s.answered.sum(now, JUDGED_OVER) == 0.0 {
                // One that answered late before it fell silent is more likely full, its answers given up on; it is
                // cut down first and gets longer, for fleeing from it would fill the others with cold keys.
                let full = s.last_late > STRAINED && s.answered.sum(now, JUDGED_OVER.times(2.0)) > 0.0;
                return (!full && (aborted >= ENOUGH || asked >= 2.0 * ENOUGH)).then_some("answers nothing");
            }
            // A full server turns work away too, but then the others do as well, or its answers are late.
            let failing = aborted >= ENOUGH && share(s) >= FAILING_SHARE + 2.0 * usual;
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

    /// Slices leave what is gone or draining (rule 3), sick, or cold and given too much (rule 4); heaviest first.
    fn flee(&mut self) -> bool {
        let lost = |s: &Server| s.standing != Standing::Ready || (!s.listed && self.list_fresh);
        let bad = |id: &ServerId| self.servers.get(id).is_none_or(|s| lost(s) || self.is_sick(s));
        let cold = |id: &ServerId| self.servers.get(id).is_some_and(|s| self.is_cold(s));
        let lines = || self.slices.iter().flat_map(|(n, s)| s.wanted.keys().map(move |id| (*n, *id)));
        if !lines().any(|(_, id)| bad(&id) || cold(&id)) {
            return false;
        }
        let scene = self.scene();
        let flees =
            |id: &ServerId| bad(id) || cold(id) && scene.pressure(*id) > self.allowance(*id, &scene) * 1.2;
        let mut due: Vec<_> = lines().filter(|(_, id)| flees(id)).collect();
        due.sort_by(|a, b| self.load_of(&self.slices[&b.0]).total_cmp(&self.load_of(&self.slices[&a.0])));
        for (n, from) in due {
            let slice = &self.slices[&n];
            let need = match self.servers.get(&from) {
                Some(s) if !lost(s) && self.is_sick(s) => Need::Escape,
                Some(s) if !lost(s) => Need::Relief,
                _ => Need::Any,
            };
            if let Some(to) = self.refuge(slice, self.load_of(slice), &scene, need) {
                self.hand_over(n, from, to, Haste::Urgent);
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
        let hot = |s: &&Slice| self.burst_of(s) > total * 0.5 / self.servers.len().max(1) as f64;
        if !self.slices.values().filter(free).any(|s| hot(&s)) {
            return false;
        }
        let scene = self.scene();
        let mut found = None;
        for (n, s) in self.slices.iter().filter(|(_, s)| free(s)) {
            let top: f64 = s.wanted.keys().map(|id| scene.power(*id) * (scene.average + scene.phi)).sum();
            if self.burst_of(s) > top && s.wanted.len() < 4 {
                found = self.refuge(s, self.burst_of(s) - top, &scene, Need::Relief).map(|to| (*n, to));
            }
        }
        let Some((n, to)) = found else { return false };
        let slice = self.slices.get_mut(&n).expect("found above");
        slice.wanted.insert(to, 1.0);
        slice.haste = Haste::Urgent;
        slice.settled = self.now;
        true
    }

    /// Once a slice fits on fewer servers again, it leaves the fullest of its own.
    fn gather(&mut self) -> bool {
        let free = |s: &Slice| s.wanted.len() > 1 && s.mark.is_none() && self.now - s.settled > LOAD_OVER;
        if !self.slices.values().any(free) {
            return false;
        }
        let scene = self.scene();
        let top = |id: ServerId| scene.power(id) * (scene.average + scene.phi);
        let mut found = None;
        for (n, s) in self.slices.iter().filter(|(_, s)| free(s)) {
            let fullest = s.wanted.keys().copied().max_by(|a, b| scene.level(*a).total_cmp(&scene.level(*b)));
            let rest: f64 = s.wanted.keys().filter(|id| Some(**id) != fullest).map(|id| top(*id)).sum();
            if self.load_of(s) < 0.6 * rest && self.burst_of(s) < 0.6 * rest {
                found = fullest.map(|id| (*n, id));
            }
        }
        let Some((n, id)) = found else { return false };
        let slice = self.slices.get_mut(&n).expect("found above");
        slice.wanted.remove(&id);
        slice.settled = self.now;
        true
    }

    fn open_round(&mut self) -> bool {
        if self.round_at > self.now {
            return false;
        }
        self.round_at = self.now + ROUND;
        self.round_open = true;
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

    /// Levels follow what each owner can do: a queue that makes all its answers late serves nobody. The op type with
    /// the least payoff is cut first, and further tries before any.
    fn ration(&mut self) -> bool {
        if !self.site.levels_followed || self.ration_at > self.now {
            return false;
        }
        self.ration_at = self.now + ROUND;
        let scene = self.scene();
        let step = |id: ServerId, s: &Server| {
            let strain = self.strain(s);
            // Against a cold server pushed over where its slices have no other place to go.
            let pushed = scene.pressure(id) > self.allowance(id, &scene);
            match () {
                _ if strain > STRAINED => {
                    let kept = s.answered.sum(self.now, JUDGED_OVER) / s.tries.sum(self.now, JUDGED_OVER).max(1.0);
                    (1.0 - s.cut) * (1.0 - 0.85 * kept.max(0.5))
                }
                _ if pushed => CUT_STEP,
                _ if strain < EASED => -CUT_STEP,
                _ => 0.0,
            }
        };
        let steps: Vec<f64> = self.servers.iter().map(|(id, s)| step(*id, s)).collect();
        for (s, step) in self.servers.values_mut().zip(steps) {
            s.cut = (s.cut + step).clamp(0.0, 1.0);
        }
        for slice in self.slices.values_mut() {
            let cuts = slice.wanted.keys().filter_map(|id| self.servers.get(id)).map(|s| s.cut);
            slice.cut = cuts.fold(1.0, f64::min);
        }
        true
    }

    /// The level of each op type at a cut between 0 and 1: types in order of payoff, one after the other.
    fn levels(&self, cut: f64) -> Vec<f64> {
        let types = &self.site.op_types;
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
        let Some((moves, source)) = self.find_shift(&scene) else {
            return true;
        };
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
        let rounds = ROUNDS_OUTSIDE as i32;
        let side = |sign: i32| {
            self.servers
                .iter()
                .filter(move |(_, s)| s.outside * sign >= rounds)
                .map(|(id, _)| *id)
                .filter(idle)
        };
        let (high, low) = (scene.average + scene.phi, scene.average - scene.phi);
        let mut heavy: Vec<_> = side(1).filter(|id| scene.level(*id) > high).collect();
        heavy.sort_by(|a, b| scene.level(*b).total_cmp(&scene.level(*a)));
        let easy = |id: &ServerId| self.strain(&self.servers[id]) < EASED;
        let light =
            side(-1).filter(|id| scene.level(*id) < low && self.may_take(*id, 0.0, scene) && easy(id));
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
        let Some(id) = self.servers.iter().find(|(_, s)| due(s)).map(|(id, _)| *id) else {
            return false;
        };
        self.servers.get_mut(&id).expect("found above").probe_at = now + PROBE_EVERY;
        self.steps.push(Step::Probe { server: id });
        true
    }

    /// Sends one slice's difference, urgent ones first, as long as channel and message cap have room.
    fn dispatch(&mut self) -> bool {
        let dirty = |s: &&Slice| s.wanted != s.held || s.cut != s.cut_held;
        let urgent = |s: &&Slice| s.haste == Haste::Urgent;
        let pick = self.slices.iter().filter(|(_, s)| dirty(s)).max_by_key(|(_, s)| urgent(s));
        let Some((&n, slice)) = pick else { return false };
        let calm = !urgent(&slice);
        let mut lines: Vec<(ServerId, f64)> = Vec::new();
        for (id, weight) in &slice.wanted {
            if slice.held.get(id) != Some(weight) {
                lines.push((*id, *weight));
            }
        }
        // The new line goes before the old one leaves: a table is at no moment empty (rule 1).
        lines.extend(slice.held.keys().filter(|id| !slice.wanted.contains_key(id)).map(|id| (*id, 0.0)));
        let mut levels = Vec::new();
        for (at, level) in self.levels(slice.cut).into_iter().enumerate() {
            if level != self.levels(slice.cut_held)[at] {
                levels.push(Step::Level { slice: Some(n), op_types: 1 << at, share: level, tries: 0 });
            }
        }
        let readers = self.proxies.len() as f64;
        let head = if self.open_mark.is_some() { 0.0 } else { self.site.message_head + 1.0 };
        let cost = ((lines.len() + levels.len()) as f64 + head) * readers;
        // Messages leave the channel in order: an ack shows that all sent before it have left. Of the rest, lines not
        // yet acked are at least those that wait, however slowly the channel runs (rule 5).
        let behind = self.marks.values().filter(|m| m.at >= self.last_through);
        let unacked: f64 = behind.map(|m| m.lines_each * m.waiting.len() as f64).sum();
        let part = if calm { 0.5 } else { 1.0 };
        if unacked > 0.0 && unacked + cost > self.site.queue_cap * QUEUE_PART * part {
            return false;
        }
        let cap = f64::from(self.site.message_cap);
        let written = self.messages.sum(self.now, self.site.message_window + Span::ms(500));
        if cap > 0.0 && self.open_mark.is_none() && written + 1.0 > cap * part - 1.0 {
            return false;
        }
        if self.open_mark.is_none() {
            self.next_mark = self.next_mark.wrapping_add(1);
            self.open_mark = Some(self.next_mark);
            self.messages.add(self.now, 1.0);
            let sent = Sent { waiting: self.proxies.clone(), lines_each: head, at: self.now };
            self.marks.insert(self.next_mark, sent);
        }
        let mark = self.open_mark;
        if let Some(sent) = mark.and_then(|m| self.marks.get_mut(&m)) {
            sent.lines_each += (lines.len() + levels.len()) as f64;
        }
        let slice = self.slices.get_mut(&n).expect("picked above");
        if slice.held != slice.wanted {
            slice.mark = mark;
        }
        slice.held = slice.wanted.clone();
        slice.cut_held = slice.cut;
        slice.haste = Haste::Calm;
        self.steps.extend(lines.into_iter().map(|(server, weight)| Step::Line { slice: n, server, weight }));
        self.steps.extend(levels);
        true
    }

    fn set_wake(&mut self) -> bool {
        if self.wake_at.is_some() {
            return false;
        }
        self.token += 1;
        self.wake_at = Some(self.now + BEAT);
        self.steps.push(Step::Wake { token: self.token, after: BEAT });
        true
    }
}
