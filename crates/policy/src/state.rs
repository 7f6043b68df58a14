//! What a controller remembers: plain records, no decisions.

use crate::api::{
    Action, EndpointReport, OverrideId, OverrideSpec, OverrideStatus, ProxyId, ReplicaId, ReplicaListing,
    ReplicaState, ReportFlow, SliceId, SubsetMembership, ZoneId,
};
use crate::deployment::Deployment;
use crate::pins::SlicePins;
use crate::random::Random;
use crate::sharing::{SharedLoad, Sharing};
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;
use std::collections::{BTreeMap, BTreeSet};

/// Twenty seconds in half-second buckets: the longest that any rule looks back.
const LONGEST: Span = Span::ms(20_000);

fn windowed_counter() -> WindowedCounter {
    WindowedCounter::new(Span::ms(500), 40)
}

pub struct Replica {
    pub zone: ZoneId,
    pub machine: String,
    pub state: ReplicaState,
    /// Its listed capacity.
    pub weight: f64,
    pub started: Option<Moment>,
    /// Stands for it at all controllers alike.
    pub stable_hash: u64,
    /// Which controllers steer it.
    pub subset: SubsetMembership,
    pub shared: SharedLoad,
    pub listed: bool,
    pub attempts: WindowedCounter,
    pub failed: WindowedCounter,
    pub answered: WindowedCounter,
    pub busy: WindowedCounter,
    pub asked: WindowedCounter,
    /// When its reports were last known not to be whole, and since when there are any, where there were none before.
    pub incomplete: Option<Moment>,
    pub observed: Moment,
    /// Seconds that its latest answers took.
    pub last_took: f64,
    pub sick_until: Option<Moment>,
    pub strikes: u32,
    /// How much of what comes for it is to be held back, from nothing to nearly all; and since when.
    pub cut: f64,
    pub cut_at: Moment,
    /// Rounds in a row above the band, or below it where negative.
    pub outside: i32,
    /// Withdrawn by us from all tables; whether it ever was; and when proxies were last told of either.
    pub shut: bool,
    pub was_shut: bool,
    pub turned: Moment,
    /// Gave or took a slice in this round.
    pub used: bool,
    /// Slices that have, or are to have, a line on it; and the number of those for which it only stands by.
    pub lines: BTreeSet<SliceId>,
    pub standing_by: f64,
    /// As of the last survey, corrected by each change of a table.
    pub load: f64,
    pub press: f64,
    /// What it can do, and what it counts for: that, times the factor that operators put on it.
    pub able: f64,
    pub power: f64,
    pub factor: f64,
    /// How much more of it is ours than our part; 0 where it is another controller's alone.
    pub part: f64,
    /// Out of service by the operators' override.
    pub out: bool,
    pub seen: Lately,
    pub strain: f64,
}

/// One controller's whole memory; it is lost when the controller is killed.
pub struct Policy {
    pub(crate) site: Deployment,
    pub(crate) random: Random,
    pub(crate) now: Moment,
    pub(crate) born: Moment,
    pub(crate) replicas: BTreeMap<ReplicaId, Replica>,
    pub(crate) slices: BTreeMap<SliceId, Slice>,
    pub(crate) channel: Channel,
    pub(crate) actions: Vec<Action>,
    /// The batch's news is through, and the reply is being made.
    pub(crate) replying: bool,
    pub(crate) due: Due,
    pub(crate) agenda: Agenda,
    /// The list or the slices in charge changed.
    pub(crate) alarm: bool,
    /// The list is more than what a former life remembered.
    pub(crate) list_fresh: bool,
    /// Proxies that have joined since the start, and up to when each has applied what was ordered; and when
    /// one was last lost.
    pub(crate) known: BTreeMap<ProxyId, Moment>,
    pub(crate) parted_at: Moment,
    /// Replicas still to be withdrawn from all tables, and from when on; and those whose withdrawals are to be
    /// lifted.
    pub(crate) to_shut: BTreeMap<ReplicaId, Moment>,
    pub(crate) to_lift: BTreeSet<ReplicaId>,
    /// Slices whose table or level differs from what the proxies were told: urgent ones first, then by age.
    pub(crate) untold: BTreeSet<(Priority, Moment, SliceId)>,
    /// By request class, what was let in and what of it was aborted.
    pub(crate) fates: Vec<(WindowedCounter, WindowedCounter)>,
    /// The cut that holds for all tables, since when, and the one that the proxies were told of.
    pub(crate) cut: f64,
    pub(crate) cut_at: Moment,
    pub(crate) cut_told: Option<f64>,
    pub(crate) report_flow: ReportFlow,
    /// Seconds covered by the reports' lines, and their number.
    pub(crate) covered: WindowedCounter,
    pub(crate) reports: WindowedCounter,
    /// How much more than a period a line covers: reports that fall behind.
    pub(crate) behind: Span,
    /// Answers, and the seconds they took, from proxies of one place at replicas of another.
    pub(crate) links: BTreeMap<(ZoneId, ZoneId), Link>,
    /// What the way between two places adds to an answer's time.
    pub(crate) delays: BTreeMap<(ZoneId, ZoneId), f64>,
    pub(crate) picture: Picture,
    pub(crate) ranks: AllRanks,
    pub(crate) sharing: Sharing,
    pub(crate) token: u64,
    /// What operators override, in the order in which they said so, and the slices that they pin.
    pub(crate) wishes: BTreeMap<OverrideId, Wished>,
    pub(crate) pins: SlicePins,
}

/// A override, and what became of it.
pub struct Wished {
    pub wish: OverrideSpec,
    pub heeded: OverrideStatus,
    /// When it last had to stand back.
    pub stood_back: Option<Moment>,
}

impl Policy {
    pub(crate) fn blank(site: Deployment, seed: u64, now: Moment) -> Self {
        Policy {
            channel: Channel::new(site.message_window, seed as u16),
            fates: site.request_classes.iter().map(|_| (windowed_counter(), windowed_counter())).collect(),
            site,
            random: Random::from_seed(seed),
            now,
            born: now,
            replicas: BTreeMap::new(),
            slices: BTreeMap::new(),
            actions: Vec::new(),
            replying: false,
            due: Due::default(),
            agenda: Agenda::default(),
            alarm: false,
            list_fresh: false,
            known: BTreeMap::new(),
            parted_at: now,
            to_shut: BTreeMap::new(),
            to_lift: BTreeSet::new(),
            untold: BTreeSet::new(),
            cut: 0.0,
            cut_at: now,
            cut_told: None,
            report_flow: ReportFlow::default(),
            covered: windowed_counter(),
            reports: windowed_counter(),
            behind: Span::default(),
            links: BTreeMap::new(),
            delays: BTreeMap::new(),
            picture: Picture::default(),
            ranks: AllRanks::default(),
            sharing: Sharing::default(),
            token: 0,
            wishes: BTreeMap::new(),
            pins: SlicePins::default(),
        }
    }

    pub fn knows_replica(&self, replica: ReplicaId) -> bool {
        self.replicas.contains_key(&replica)
    }

    /// What the list last said of it, and of which start.
    pub fn replica_state(&self, replica: ReplicaId) -> Option<(ReplicaState, Option<Moment>)> {
        self.replicas.get(&replica).map(|s| (s.state, s.started))
    }

    /// What its slices ask for a second, as of the last survey.
    pub fn measured_load(&self, replica: ReplicaId) -> Option<f64> {
        self.replicas.get(&replica).map(|s| s.load)
    }

    /// A replica that the list names and does not call gone.
    pub fn listed_replica(&self, replica: ReplicaId) -> Option<&Replica> {
        self.replicas.get(&replica).filter(|s| s.listed)
    }

    /// Which controllers steer a replica, as the decisions were told last.
    pub fn subset_membership(&self, replica: ReplicaId) -> Option<SubsetMembership> {
        self.replicas.get(&replica).map(|s| s.subset)
    }

    /// Other controllers steer these replicas now; nothing else that the list says of them changed.
    pub fn subsets_changed(&mut self, now: Moment, shares: &[(ReplicaId, SubsetMembership)]) {
        for (replica, share) in shares {
            if let Some(known) = self.replicas.get_mut(replica) {
                known.subset = *share;
            }
        }
        self.alarm = true;
        self.settle(now);
    }

    pub fn known_replica_count(&self) -> usize {
        self.replicas.len()
    }

    /// Replicas are replaced for as long as the fleet runs: what went for good and stands in nobody's way is
    /// forgotten, or the map would grow for ever.
    pub(crate) fn forget_gone(&mut self) {
        let (now, shut, lift) = (self.now, &self.to_shut, &self.to_lift);
        self.replicas.retain(|id, s| s.shut || shut.contains_key(id) || lift.contains(id) || !s.is_past(now));
    }

    /// One that we hear of for the first time, and that did not start in this life of ours, may stand withdrawn by a
    /// former life at proxies that joined before we heard of it.
    pub(crate) fn replica(&mut self, id: ReplicaId, started: Option<Moment>) -> &mut Replica {
        let of_old =
            self.may_stand_withdrawn() && !self.known.is_empty() && started.is_none_or(|at| at < self.born);
        if of_old && !self.replicas.contains_key(&id) {
            self.to_lift.insert(id);
            self.due.lift = self.due.lift.or(Some(self.now + self.site.report_period));
        }
        self.replicas.entry(id).or_insert_with(Replica::unlisted)
    }

    /// A former life may have withdrawn replicas; where one owner writes no life does.
    pub(crate) fn may_stand_withdrawn(&self) -> bool {
        !self.site.single_writer
    }

    /// A round has passed for whoever joins late; and where slices are shared out, one is ours: without tables of ours
    /// at the proxies, what is lifted reaches none of them, and none acks it.
    pub(crate) fn lifts_are_due(&self) -> bool {
        let reaches_proxies = self.site.slice_count == 0 || !self.slices.is_empty();
        reaches_proxies && self.due.lift.is_none_or(|at| at <= self.now)
    }

    /// Changes a slice's table, and what its replicas carry with it.
    pub(crate) fn retable(&mut self, n: SliceId, change: impl FnOnce(&mut Slice)) {
        self.weigh(n, -1.0);
        if let Some(slice) = self.slices.get_mut(&n) {
            change(slice);
            // A replica that only the store knows still has its lines counted.
            let named: Vec<_> = slice.wanted.keys().copied().collect();
            named.into_iter().for_each(|id| _ = self.replica(id, None));
        }
        self.weigh(n, 1.0);
    }

    fn weigh(&mut self, n: SliceId, sign: f64) {
        let Some(slice) = self.slices.get(&n) else { return };
        for (id, part) in slice.parts() {
            if let Some(s) = self.replicas.get_mut(&id) {
                s.load += sign * slice.load * part;
                s.press += sign * slice.press * part;
                s.standing_by += if slice.stands_by(&id) { sign } else { 0.0 };
            }
        }
        for id in slice.wanted.keys().chain(slice.held.keys()) {
            if let Some(s) = self.replicas.get_mut(id) {
                _ = if sign > 0.0 { s.lines.insert(n) } else { s.lines.remove(&n) };
            }
        }
        let touched: Vec<_> = slice.wanted.keys().copied().collect();
        touched.into_iter().for_each(|id| self.rank(id));
    }

    /// Puts a replica where its figures have it now; one that nothing may go to is not looked at for each slice.
    fn rank(&mut self, id: ReplicaId) {
        let Some(s) = self.replicas.get(&id).filter(|s| s.part > 0.0 && self.is_fit(s)) else { return };
        let standing_by = s.standing_by / s.power;
        let lot = self.random.draw();
        let Some(s) = self.replicas.get(&id) else { return };
        let (room, level) = (self.room_order(s, self.picture.room(s), lot), self.level_order(s, lot));
        self.ranks.by_room.put(id, room, lot);
        self.ranks.by_level.put(id, level, lot);
        self.ranks.by_standing_by.put(id, standing_by, lot);
    }

    pub(crate) fn rank_all(&mut self) {
        self.ranks = AllRanks::default();
        let all: Vec<_> = self.replicas.keys().copied().collect();
        all.into_iter().for_each(|id| self.rank(id));
    }

    /// Puts one replica's line in place of another's, or adds or takes one away where there is only one of
    /// both, and has the proxies told.
    pub(crate) fn reline(
        &mut self,
        n: SliceId,
        from: Option<ReplicaId>,
        to: Option<(ReplicaId, f64)>,
        priority: Priority,
    ) {
        self.retable(n, |slice| {
            from.map(|id| slice.wanted.remove(&id));
            slice.wanted.extend(to);
        });
        self.tell(n, priority);
    }

    /// The same, where it is the owners that change.
    pub(crate) fn reshape(
        &mut self,
        n: SliceId,
        from: Option<ReplicaId>,
        to: Option<(ReplicaId, f64)>,
        priority: Priority,
    ) {
        self.reline(n, from, to, priority);
        self.slices.get_mut(&n).into_iter().for_each(|s| s.settled = self.now);
    }

    /// Opens this reply's message if need be, and adds lines to it.
    pub(crate) fn write(&mut self, lines: f64) -> u16 {
        self.channel.write(self.now, self.site.message_overhead_lines + 1.0, lines)
    }

    /// Notes what went out in this reply for a slice: lines of its table and its cut. Without lines a change
    /// of owner has only begun.
    pub(crate) fn note_sent(&mut self, n: SliceId, cut: f64, lines: &[(ReplicaId, f64)], orders: f64) {
        let version = (orders > 0.0).then(|| self.write(orders));
        self.told(n);
        let now = self.now;
        let Some(slice) = self.slices.get_mut(&n) else { return };
        let halts = slice.cut_held != cut && lines.is_empty();
        slice.halted = if halts { Some(now) } else { slice.halted };
        slice.cut_held = cut;
        if let Some(sent) =
            version.filter(|_| slice.wanted != slice.held).and_then(|m| self.channel.versions.get_mut(&m))
        {
            slice.version = version;
            sent.slices.push(n);
        }
        let single = self.site.single_writer && !lines.is_empty();
        self.retable(n, |slice| {
            slice.held.retain(|_, _| !single);
            slice.held.extend(lines.iter().copied());
            slice.held.retain(|_, weight| *weight > 0.0);
        });
    }

    /// Notes that a replica is to be withdrawn from all tables, or let in again. Until the proxies were told,
    /// one that is to be let in still counts as withdrawn.
    pub(crate) fn turn(&mut self, id: ReplicaId, out: bool) {
        let Some(s) = self.replicas.get_mut(&id) else { return };
        let still = self.to_lift.remove(&id) && s.shut;
        (s.shut, s.was_shut) = (s.shut || out, true);
        if !out {
            self.to_shut.remove(&id);
            self.to_lift.insert(id);
        } else if !still {
            self.withdraw_from(id, self.now);
        }
    }

    /// Of two reasons to withdraw it the earlier one counts.
    pub(crate) fn withdraw_from(&mut self, id: ReplicaId, at: Moment) {
        let due = self.to_shut.entry(id).or_insert(at);
        *due = at.min(*due);
    }

    pub(crate) fn note_withdrawal(&mut self, step: &Action) {
        let (replica, withdraws) = match step {
            Action::Withdraw { replica } => (replica, true),
            Action::Reinstate { replica } => (replica, false),
            _ => return,
        };
        self.to_shut.remove(replica);
        self.replicas.get_mut(replica).into_iter().for_each(|s| s.turned = self.now);
        if !withdraws {
            self.to_lift.remove(replica);
            self.due.lift = self.due.lift.filter(|_| !self.to_lift.is_empty());
            self.replicas.get_mut(replica).into_iter().for_each(|s| s.shut = false);
        }
    }

    /// Frees the slices that wait for a version, and forgets it where no ack is missing.
    pub(crate) fn close_version(&mut self, number: u16) {
        let Some(sent) = self.channel.versions.get_mut(&number) else { return };
        for n in std::mem::take(&mut sent.slices) {
            if let Some(slice) = self.slices.get_mut(&n).filter(|s| s.version == Some(number)) {
                (slice.version, slice.settled) = (None, self.now);
            }
        }
        if sent.waiting.is_empty() {
            self.channel.versions.remove(&number);
        }
    }

    /// Puts a slice among those to be told of; one that is there keeps its age.
    pub(crate) fn tell(&mut self, n: SliceId, priority: Priority) {
        let Some(slice) = self.slices.get_mut(&n) else { return };
        let (was, since) = slice.untold.unwrap_or((priority, self.now));
        self.untold.remove(&(was, since, n));
        slice.untold = Some((was.min(priority), since));
        self.untold.insert((was.min(priority), since, n));
    }

    pub(crate) fn told(&mut self, n: SliceId) {
        let Some(slice) = self.slices.get_mut(&n) else { return };
        if let Some((priority, since)) = slice.untold.take() {
            self.untold.remove(&(priority, since, n));
        }
    }
}

/// Replicas in the order of a figure, the least first; equals as their lots fall. What looks for a replica for
/// each of many slices must not go through all replicas each time.
#[derive(Default)]
pub struct Ranks {
    order: BTreeSet<(i64, i64, ReplicaId)>,
    zones: BTreeMap<ReplicaId, (i64, i64)>,
}

/// Whole numbers in the order of the figures.
fn ordered(figure: f64) -> i64 {
    let bits = figure.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

impl Ranks {
    pub fn put(&mut self, id: ReplicaId, figure: f64, lot: f64) {
        let zone = (ordered(figure), ordered(lot));
        if let Some((figure, lot)) = self.zones.insert(id, zone) {
            self.order.remove(&(figure, lot, id));
        }
        self.order.insert((zone.0, zone.1, id));
    }

    pub fn first(&self, keep: impl Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        self.order.iter().map(|(.., id)| id).find(|id| keep(id)).copied()
    }
}

#[derive(Default)]
pub struct AllRanks {
    pub by_room: Ranks,
    pub by_level: Ranks,
    pub by_standing_by: Ranks,
}

/// Answers on the way from one place to another, and the seconds they took.
pub struct Link {
    pub answered: WindowedCounter,
    pub busy: WindowedCounter,
}

impl Default for Link {
    fn default() -> Self {
        Link { answered: windowed_counter(), busy: windowed_counter() }
    }
}

impl Link {
    pub fn record(&mut self, now: Moment, met: &EndpointReport) {
        let answered = (met.attempts - met.failed).max(0.0);
        self.answered.spread(now, met.window, answered);
        self.busy.spread(now, met.window, answered * met.mean_latency.seconds());
    }
}

/// What was met at a replica within some time: counts, the seconds its answers took, what should have come.
#[derive(Clone, Copy, Default)]
pub struct Lately {
    pub attempts: f64,
    pub failed: f64,
    pub answered: f64,
    pub busy: f64,
    pub asked: f64,
}

impl Replica {
    pub fn unlisted() -> Self {
        Replica {
            zone: ZoneId::MAX,
            machine: String::new(),
            state: ReplicaState::Gone,
            weight: 1.0,
            started: None,
            stable_hash: 0,
            subset: SubsetMembership::default(),
            shared: SharedLoad::default(),
            listed: false,
            attempts: windowed_counter(),
            failed: windowed_counter(),
            answered: windowed_counter(),
            busy: windowed_counter(),
            asked: windowed_counter(),
            incomplete: None,
            observed: Moment::default(),
            last_took: 0.0,
            sick_until: None,
            strikes: 0,
            cut: 0.0,
            cut_at: Moment::default(),
            outside: 0,
            shut: false,
            was_shut: false,
            turned: Moment::default(),
            used: false,
            lines: BTreeSet::new(),
            standing_by: 0.0,
            load: 0.0,
            press: 0.0,
            able: 1.0,
            power: 1.0,
            factor: 1.0,
            part: 1.0,
            out: false,
            seen: Lately::default(),
            strain: 0.0,
        }
    }

    /// Takes over what the list says.
    pub fn relist(&mut self, entry: &ReplicaListing) {
        if self.started != entry.started && entry.state != ReplicaState::Gone {
            // A restarted process has shed what ailed it, and what was met at it before says nothing now.
            self.sick_until = None;
            self.forget();
        }
        self.zone = entry.zone;
        (self.started, self.stable_hash, self.subset) = (entry.started, entry.stable_hash, entry.subset);
        // One that drained and then left the list has gone for good, whatever else a dropped line may mean.
        let left = self.state == ReplicaState::Draining && entry.state == ReplicaState::Gone;
        self.state = if left { ReplicaState::Draining } else { entry.state };
        self.weight = entry.weight;
        self.machine.clone_from(&entry.machine);
        self.listed = entry.state != ReplicaState::Gone;
    }

    pub fn record(&mut self, now: Moment, met: &EndpointReport, latest: Span, delay: f64) {
        let answered = (met.attempts - met.failed).max(0.0);
        let took = |mean: Span| (mean.seconds() - delay).max(0.0);
        self.attempts.spread(now, met.window, met.attempts);
        self.failed.spread(now, met.window, met.failed);
        self.answered.spread(now, met.window, answered);
        self.busy.spread(now, met.window, answered * took(met.mean_latency));
        if answered > 0.0 {
            self.last_took = took(latest);
        }
    }

    pub fn lately(&self, now: Moment, over: Span) -> Lately {
        Lately {
            attempts: self.attempts.sum(now, over),
            failed: self.failed.sum(now, over),
            answered: self.answered.sum(now, over),
            busy: self.busy.sum(now, over),
            asked: self.asked.sum(now, over),
        }
    }

    /// Drops all that was met here so far.
    pub fn forget(&mut self) {
        for windowed_counter in
            [&mut self.attempts, &mut self.failed, &mut self.answered, &mut self.busy, &mut self.asked]
        {
            windowed_counter.clear();
        }
        self.last_took = 0.0;
        self.seen = Lately::default();
    }

    /// Not on the list, in no table, and nothing was met at it for longer than any rule looks back.
    pub fn is_past(&self, now: Moment) -> bool {
        !self.listed && self.lines.is_empty() && now - self.attempts.newest() > LONGEST
    }

    pub fn is_ready(&self) -> bool {
        self.listed && self.state == ReplicaState::Ready
    }

    /// One of so many, drawn by what all controllers know of this start of it alike.
    pub fn drawn(&self, of: u32) -> u32 {
        let start = (self.started.unwrap_or_default() - Moment::default()).as_ns();
        // Seeds that are near each other have near first numbers: they are parted by the golden ratio first.
        let seed = (self.stable_hash ^ start).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        (Random::from_seed(seed).draw() * f64::from(of)) as u32
    }

    pub fn level(&self) -> f64 {
        self.load / self.power
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// No line is left to pick, or only one that must not be: it can't wait.
    Bare,
    Urgent,
    Calm,
    /// Only a standby line: it can wait for all else.
    Spare,
}

/// Stands for a cut that nobody knows: it differs from each.
pub const UNKNOWN: f64 = -1.0;

pub struct Slice {
    /// The table as it should be.
    pub wanted: BTreeMap<ReplicaId, f64>,
    /// The table as the proxies were told.
    pub held: BTreeMap<ReplicaId, f64>,
    /// Ops that came and were let in, and those of them that were aborted.
    pub came: WindowedCounter,
    pub failed: WindowedCounter,
    /// As of the last survey: requests a second, over a longer and a shorter time, and with all repeats.
    pub load: f64,
    pub burst: f64,
    pub press: f64,
    pub untold: Option<(Priority, Moment)>,
    /// Since when it is in our charge.
    pub given: Moment,
    /// Since when reports on it are known, where they were not before.
    pub observed: Moment,
    pub moves: u32,
    pub cut: f64,
    pub cut_held: f64,
    /// The version that its last change waits for.
    pub version: Option<u16>,
    pub settled: Moment,
    /// How often it was brought to the replica that it is pinned to, and the override that did so.
    pub pulled: (OverrideId, u32),
    /// Since when its requests are halted for a change of owner (single-writer sites).
    pub halted: Option<Moment>,
}

impl Slice {
    pub fn new(table: &[(ReplicaId, f64)], now: Moment) -> Self {
        let lines: BTreeMap<_, _> = table.iter().copied().filter(|(_, weight)| *weight > 0.0).collect();
        Slice {
            wanted: lines.clone(),
            held: lines,
            came: windowed_counter(),
            failed: windowed_counter(),
            load: 0.0,
            burst: 0.0,
            press: 0.0,
            untold: None,
            given: now,
            observed: Moment::default(),
            moves: 0,
            cut: 0.0,
            cut_held: 0.0,
            version: None,
            settled: now,
            pulled: (0, 0),
            halted: None,
        }
    }

    /// It is brought to its replica by a override; how often it was so far.
    pub fn note_pull(&mut self, by: OverrideId) {
        self.pulled = (by, (self.pulls(by) as u32).saturating_add(1));
    }

    pub fn pulls(&self, by: OverrideId) -> f64 {
        f64::from(if self.pulled.0 == by { self.pulled.1 } else { 0 })
    }

    /// Has less than half of the weight of the table's heaviest line: it is there for further tries.
    pub fn stands_by(&self, replica: &ReplicaId) -> bool {
        let heaviest = self.wanted.values().fold(0.0, |most: f64, weight| most.max(*weight));
        self.wanted.get(replica).is_some_and(|weight| weight * 2.0 < heaviest)
    }

    /// The part of the slice's requests that each replica of its table gets.
    pub fn parts(&self) -> impl Iterator<Item = (ReplicaId, f64)> + '_ {
        let whole: f64 = self.wanted.values().sum();
        self.wanted.iter().map(move |(id, weight)| (*id, weight / whole))
    }

    pub fn owners(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.wanted.keys().copied().filter(|id| !self.stands_by(id))
    }

    /// The owner of a table that has just one.
    pub fn sole_owner(&self) -> Option<ReplicaId> {
        let mut owners = self.owners();
        owners.next().filter(|_| owners.next().is_none())
    }

    pub fn is_told(&self) -> bool {
        self.wanted == self.held && self.cut == self.cut_held
    }

    /// The lines that turn the table held into the one wanted, new ones first; weight 0 takes a line away.
    pub fn differences(&self, with_old: bool) -> Vec<(ReplicaId, f64)> {
        let new = self.wanted.iter().filter(|(id, weight)| self.held.get(id) != Some(weight));
        let old = self.held.keys().filter(|id| with_old && !self.wanted.contains_key(id));
        new.map(|(id, weight)| (*id, *weight)).chain(old.map(|id| (*id, 0.0))).collect()
    }
}

/// One message to each of the proxies, of which some have not acked yet.
pub struct Sent {
    /// How often it may still be on its way to each.
    pub waiting: BTreeMap<ProxyId, u32>,
    /// The sum of these, and how often it was ordered.
    copies: u32,
    times: u32,
    pub lines_each: f64,
    pub at: Moment,
    /// The slices that wait for it.
    pub slices: Vec<SliceId>,
}

impl Sent {
    /// Sent once more to all who listen.
    fn again(&mut self, proxies: &BTreeSet<ProxyId>) {
        proxies.iter().for_each(|proxy| *self.waiting.entry(*proxy).or_default() += 1);
        (self.copies, self.times) = (self.copies + proxies.len() as u32, self.times + 1);
    }

    /// Whoever has acked it gets no other copy, and the others get one.
    fn once(&mut self) {
        let times = std::mem::replace(&mut self.times, 1);
        self.waiting.retain(|_, left| *left >= times);
        self.waiting.values_mut().for_each(|left| *left = 1);
        self.copies = self.waiting.len() as u32;
    }

    /// So many copies have arrived there, or will not.
    fn arrived(&mut self, proxy: ProxyId, most: u32) {
        let Some(left) = self.waiting.get_mut(&proxy) else { return };
        let less = most.min(*left);
        (*left, self.copies) = (*left - less, self.copies - less);
        if *left == 0 {
            self.waiting.remove(&proxy);
        }
    }

    fn lines(&self) -> f64 {
        self.lines_each * f64::from(self.copies)
    }
}

/// The way to the proxies: who listens, and what may still be under way.
pub struct Channel {
    pub proxies: BTreeSet<ProxyId>,
    pub versions: BTreeMap<u16, Sent>,
    /// The version of the reply now being made.
    pub open_version: Option<u16>,
    pub last_version: u16,
    /// When the newest message was ordered that some proxy has acked.
    pub last_through: Moment,
    /// When an ack last came, or a message was last ordered.
    pub heard: Moment,
    /// The news was told anew since: acks that came while it was broken are lost.
    pub acks_lost: bool,
    pub messages: WindowedCounter,
    pub written: Moment,
}

impl Channel {
    pub fn new(window: Span, last_version: u16) -> Self {
        let bucket = Span::ms(500);
        Channel {
            proxies: BTreeSet::new(),
            versions: BTreeMap::new(),
            open_version: None,
            last_version,
            last_through: Moment::default(),
            heard: Moment::default(),
            acks_lost: false,
            written: Moment::default(),
            messages: WindowedCounter::new(bucket, window.as_ns().div_ceil(bucket.as_ns()) as usize + 1),
        }
    }

    /// What it had not acked travels no more.
    pub fn part(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.versions.values_mut().for_each(|m| m.arrived(proxy, u32::MAX));
    }

    pub fn repeat(&mut self, now: Moment, version: u16) {
        if let Some(sent) = self.versions.get_mut(&version) {
            sent.again(&self.proxies);
            self.heard = now;
            self.messages.add(now, 1.0);
        }
    }

    /// It has applied all that was sent up to this version, and so up to when: an ack that was lost on its way is
    /// made up for by the next one. Of a message that was ordered again only one copy has come so far.
    pub fn acked(&mut self, now: Moment, proxy: ProxyId, version: u16) -> Option<Moment> {
        (self.heard, self.acks_lost) = (now, false);
        let at = self.versions.get(&version)?.at;
        let before = self.versions.iter_mut().filter(|(_, sent)| sent.at <= at);
        before.for_each(|(n, sent)| sent.arrived(proxy, if *n == version { 1 } else { u32::MAX }));
        self.last_through = self.last_through.max(at);
        Some(at)
    }

    /// Messages leave in order, so an ack shows that all ordered before have left. Of the rest, the lines not
    /// yet acked are no fewer than those that wait, however slowly the channel runs.
    pub fn lines_waiting(&self) -> f64 {
        let behind = self.versions.values().filter(|m| m.at >= self.last_through);
        behind.map(Sent::lines).sum()
    }

    /// Nothing has come for so long that no further copy is on its way: only one attempt was carried out.
    pub fn drop_copies(&mut self) {
        self.versions.values_mut().filter(|sent| sent.times > 1).for_each(Sent::once);
    }

    /// What the message with this version costs, said once to all.
    pub fn lines_of(&self, version: u16) -> f64 {
        self.versions.get(&version).map_or(0.0, |sent| sent.lines_each * self.proxies.len() as f64)
    }

    /// The same of the message that is being made.
    pub fn open_lines(&self) -> f64 {
        self.open_version.map_or(0.0, |version| self.lines_of(version))
    }

    /// Adds lines to this reply's message, and opens the message where there is none yet.
    pub fn write(&mut self, now: Moment, head: f64, lines: f64) -> u16 {
        let number = self.open_version.unwrap_or_else(|| {
            self.last_version = self.last_version.wrapping_add(1);
            self.messages.add(now, 1.0);
            (self.written, self.heard, self.acks_lost) = (now, now, false);
            let (waiting, slices) = (BTreeMap::new(), Vec::new());
            let mut sent = Sent { waiting, copies: 0, times: 0, lines_each: head, at: now, slices };
            sent.again(&self.proxies);
            self.versions.insert(self.last_version, sent);
            self.last_version
        });
        self.open_version = Some(number);
        if let Some(sent) = self.versions.get_mut(&number) {
            sent.lines_each += lines;
        }
        number
    }
}

/// When each recurring matter is next due.
#[derive(Default)]
pub struct Due {
    pub list: Option<Moment>,
    pub lift: Option<Moment>,
    pub beat: Moment,
    pub round: Moment,
    pub wake: Option<Moment>,
}

/// What is still to be gone through in this beat: a rule that is not on it costs nothing.
#[derive(Default)]
pub struct Agenda {
    pub survey: bool,
    pub judge: bool,
    pub flee: bool,
    pub spread: bool,
    pub gather: bool,
    pub stand_by: bool,
    pub heed: bool,
    /// On it once a round.
    pub ration: bool,
    pub shift: bool,
}

impl Agenda {
    /// What rests on how reports change has no place there while none come.
    pub fn open(&mut self, flow: ReportFlow) {
        let (ration, shift) = (self.ration, self.shift);
        let follows = flow != ReportFlow::Interrupted;
        let (survey, judge, flee, spread, gather) = (true, follows, true, follows, follows);
        *self = Agenda { survey, judge, flee, spread, gather, stand_by: true, heed: true, ration, shift };
    }
}

/// The fleet's averages as of the last survey.
#[derive(Default, Clone, Copy)]
pub struct Picture {
    pub average: f64,
    pub phi: f64,
    /// What a unit of power was seen to answer.
    pub proven: f64,
    /// What comes now against what came over the longer time.
    pub rise: f64,
    /// What an even part of what comes now would be.
    pub even: f64,
}

impl Picture {
    /// The deviations of other controllers' parts count less, the more of it is ours.
    pub fn band(&self, s: &Replica) -> (f64, f64) {
        let phi = self.phi / s.part.max(1.0).sqrt();
        (self.average - phi, self.average + phi)
    }

    /// What this replica may carry inside the band.
    pub fn top(&self, s: &Replica) -> f64 {
        s.power * self.band(s).1
    }

    pub fn room(&self, s: &Replica) -> f64 {
        self.top(s) - s.load
    }
}
