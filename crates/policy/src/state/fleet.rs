//! One controller's whole memory.

use crate::api::{
    Action, OverrideId, OverrideSpec, OverrideStatus, ProxyId, ReplicaId, ReplicaState, ReportFlow, SliceId,
    ZoneId,
};
use crate::deployment::Deployment;
use crate::random::Random;
use crate::rules::acknowledgements::ACK_WAIT;
use crate::state::averages::Picture;
use crate::state::command_channel::Channel;
use crate::state::link::Link;
use crate::state::pins::SlicePins;
use crate::state::ranking::AllRanks;
use crate::state::replica::{windowed_counter, Replica};
use crate::state::schedule::{Agenda, Due};
use crate::state::shared_load::Sharing;
use crate::state::slice::{Priority, Slice};
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;
use std::collections::{BTreeMap, BTreeSet};

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

    /// Opens this reply's message if need be, and adds lines to it.
    pub(crate) fn write(&mut self, lines: f64) -> u16 {
        self.channel.write(self.now, self.site.message_overhead_lines + 1.0, lines)
    }

    pub(crate) fn target(&self) -> f64 {
        self.site.request_classes.iter().map(|t| t.target_latency.seconds()).fold(f64::INFINITY, f64::min)
    }

    /// To be left whatever it does (rule 3). Where being dropped from the list does not bind, the list may be
    /// wrong, and what is met there counts.
    pub(crate) fn is_lost(&self, s: &Replica) -> bool {
        match s.state {
            ReplicaState::Draining => true,
            _ if s.out => true,
            ReplicaState::Ready if s.listed => false,
            _ => (self.list_fresh || self.now - self.born > ACK_WAIT) && !self.site.delisting_is_advisory,
        }
    }

    pub(crate) fn is_cold(&self, s: &Replica) -> bool {
        s.started.is_some_and(|at| self.now - at < self.site.warm_up)
    }

    pub(crate) fn is_sick(&self, s: &Replica) -> bool {
        s.sick_until.is_some_and(|until| until > self.now)
    }

    /// In its place, and so in the averages.
    pub(crate) fn is_fit(&self, s: &Replica) -> bool {
        let there = s.listed || (self.site.delisting_is_advisory && s.seen.answered > 0.0);
        there && !s.is_foreign() && !s.shut && !s.out && s.state != ReplicaState::Draining && !self.is_sick(s)
    }

    /// In its place, and warm.
    pub(crate) fn is_good(&self, s: &Replica) -> bool {
        self.is_fit(s) && !self.is_cold(s)
    }

    pub(crate) fn many(&self, counted: impl Fn(&Replica) -> bool) -> usize {
        self.replicas.values().filter(|s| counted(s)).count()
    }

    /// The median of a figure over the replicas that are counted.
    pub(crate) fn usual(&self, counted: impl Fn(&Replica) -> bool, figure: impl Fn(&Replica) -> f64) -> f64 {
        let mut figures: Vec<f64> = self.replicas.values().filter(|s| counted(s)).map(figure).collect();
        figures.sort_by(f64::total_cmp);
        figures.get(figures.len() / 2).copied().unwrap_or(0.0)
    }

    /// A table's owners, as far as they are known.
    pub(crate) fn owners<'a>(&'a self, slice: &'a Slice) -> impl Iterator<Item = (ReplicaId, &'a Replica)> {
        slice.owners().filter_map(|id| Some((id, self.replicas.get(&id)?)))
    }

    pub(crate) fn is_at_pin(&self, n: SliceId, slice: &Slice) -> bool {
        self.pins.at(n).is_some_and(|(to, _)| slice.sole_owner() == Some(to))
    }
}
