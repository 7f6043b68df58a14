//! What a controller works out from its records: sums, rates and means, no decisions.

use crate::api::{Action, ReplicaId, ReportFlow, SliceId, ZoneId};
use crate::logic::{BEAT, CALM_PART, JUDGED_OVER, NO_ACKS, QUEUE_PART, WAITING_PART, WAITS};
use crate::state::{Lately, Picture, Policy, Replica, Slice};
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;
use std::collections::BTreeMap;

impl Policy {
    pub(crate) fn target(&self) -> f64 {
        self.site.request_classes.iter().map(|t| t.target_latency.seconds()).fold(f64::INFINITY, f64::min)
    }

    pub(crate) fn is_cold(&self, s: &Replica) -> bool {
        s.started.is_some_and(|at| self.now - at < self.site.warm_up)
    }

    /// From the share that a replica starts with, evenly up to the whole.
    pub(crate) fn warmth(&self, s: &Replica) -> f64 {
        let age = (self.now - s.started.unwrap_or_default()).seconds();
        let part = age / self.site.warm_up.seconds().max(0.1);
        (self.site.cold_capacity_share + (1.0 - self.site.cold_capacity_share) * part).min(1.0)
    }

    pub(crate) fn is_sick(&self, s: &Replica) -> bool {
        s.sick_until.is_some_and(|until| until > self.now)
    }

    /// How many messages each proxy may still get within the window, where we use this part of the cap.
    pub(crate) fn messages_left(&self, now: Moment, part: f64) -> f64 {
        let cap = f64::from(self.site.message_limit);
        let written = self.channel.messages.sum(now, self.site.message_window + BEAT);
        if cap == 0.0 {
            f64::INFINITY
        } else {
            cap * part - written
        }
    }

    /// How many more messages may be opened where we use this part of the cap, and how long until one is given back.
    /// None while the window is empty, or where there is no cap.
    fn messages_to_open(&self, part: f64) -> Option<(f64, Span)> {
        let window = self.site.message_window + BEAT;
        let oldest = self.channel.messages.oldest(self.now, window)?;
        let left = self.messages_left(self.now, part) - 1.0;
        left.is_finite().then(|| (left, window - (self.now - oldest)))
    }

    /// Whether each message that is left could wait so much of the grace until one is given back.
    fn messages_are_ample(&self) -> bool {
        let to_open = self.messages_to_open(1.0);
        to_open.is_none_or(|(left, frees)| self.site.drain_grace.times(WAITS * (left - 1.0)) >= frees)
    }

    /// Whether a message may be opened, so long after the one before: messages are so far apart that they do not use up
    /// their cap and leave none for what can't wait. Those that are left are spread over the time until one is given
    /// back, and what can wait leaves some of them. What can't wait goes at once while they are ample.
    pub(crate) fn may_open(&self, part: f64, gap: Span, can_wait: bool) -> bool {
        let most = if can_wait { WAITING_PART } else { 1.0 };
        let spread = match self.messages_to_open(most) {
            Some((left, frees)) if can_wait || !self.messages_are_ample() => frees.times(1.0 / left.max(1.0)),
            _ => Span::default(),
        };
        let has_waited = self.now - self.channel.written >= gap.max(spread);
        has_waited && self.messages_left(self.now, part.min(most)) > 1.0
    }

    /// Messages that are not acked take the room of further orders, and their acks are lost or long overdue. A version by
    /// itself fits into the part of the queue cap that orders leave; its acks show that all before it has left.
    pub(crate) fn lacks_acks(&self) -> bool {
        let all = self.channel.proxies.len() as f64;
        let (waiting, version) =
            (self.channel.lines_waiting(), (self.site.message_overhead_lines + 1.0) * all);
        let is_overdue = self.channel.acks_lost || self.now - self.channel.heard > NO_ACKS;
        let is_in_the_way = waiting + version + all > self.site.queue_capacity_lines * QUEUE_PART * CALM_PART;
        let fits =
            waiting + version <= self.site.queue_capacity_lines && self.messages_left(self.now, 1.0) > 1.0;
        is_overdue && is_in_the_way && fits && waiting > 0.0 && self.channel.open_version.is_none()
    }

    /// The same way for all replicas of a kind, where the list tells kinds apart by size.
    fn kind<'a>(&self, s: &'a Replica) -> &'a str {
        if self.site.weights_known {
            &s.machine
        } else {
            ""
        }
    }

    /// How much more than a period the reports of late cover: they fall behind by that. Aggregated ones differ in that,
    /// and the longest counts, as what is told of seldom would else look silent.
    pub(crate) fn lag(&self, over: Span) -> Span {
        if let ReportFlow::Aggregated { longest_window } = self.report_flow {
            return longest_window - self.site.report_period;
        }
        let lines = self.reports.sum(self.now, over).max(1.0);
        let behind = Span::ms(1000).times(self.covered.sum(self.now, over) / lines) - self.site.report_period;
        behind.max(self.sharing.stretch)
    }

    /// When the newest report on anything must have come, or it is a silence. Aggregated ones may come a period later than
    /// their window.
    fn silent_since(&self) -> Moment {
        let periods = if matches!(self.report_flow, ReportFlow::Aggregated { .. }) { 2.0 } else { 1.0 };
        self.now - self.behind - self.site.report_period.times(periods)
    }

    /// What comes a second, over a time that ends with the newest news: news that is merely late is no
    /// silence.
    pub(crate) fn rate(&self, windowed_counter: &WindowedCounter, over: Span, since: Moment) -> f64 {
        let period = self.site.report_period;
        let end = windowed_counter.newest().min(self.now).max(self.silent_since());
        let over = over.min(end - since).max(period);
        windowed_counter.sum(end, over) / over.seconds().max(0.001)
    }

    /// Whether reports on it are whole and reach far enough to be held against what was asked of it. A replica that they
    /// were not whole on is judged again once the judging window has left that behind; of one that other controllers steer
    /// none are to come.
    pub(crate) fn is_observed(&self, s: &Replica) -> bool {
        match self.report_flow {
            _ if s.is_foreign() => false,
            ReportFlow::Direct => true,
            ReportFlow::Aggregated { .. } => {
                let reaches = s.attempts.newest() >= self.silent_since();
                reaches && s.incomplete.is_none_or(|at| self.now - at > JUDGED_OVER + self.behind)
            }
            ReportFlow::Interrupted => false,
        }
    }

    /// While no reports come the last loads, powers and averages stay; a replica that is new since then counts for what it
    /// is listed as.
    pub(crate) fn holds_last_survey(&mut self) -> bool {
        if self.report_flow != ReportFlow::Interrupted {
            return false;
        }
        self.forget_gone();
        for s in self.replicas.values_mut() {
            s.able = if s.attempts.newest() < self.born { s.weight.clamp(0.01, 1e6) } else { s.able };
            s.power = s.able * s.factor * s.part.max(1.0);
        }
        self.rank_all();
        true
    }

    /// What the way between two places adds to an answer's time, beyond what a replica's own place finds.
    pub(crate) fn way_delays(&self, over: Span, enough: f64) -> BTreeMap<(ZoneId, ZoneId), f64> {
        let mean = |way: (ZoneId, ZoneId)| {
            let seen = self.links.get(&way)?;
            let answers = seen.answered.sum(self.now, over);
            (answers >= enough).then(|| seen.busy.sum(self.now, over) / answers)
        };
        let delay = |way: &(ZoneId, ZoneId)| Some((mean(*way)? - mean((way.1, way.1))?).max(0.0));
        self.links.keys().filter_map(|way| Some((*way, delay(way)?))).collect()
    }

    /// Each replica's time an answer, as far as known, against the mean of those like it that are counted.
    pub(crate) fn slownesses(&self, over: Span, enough: f64, counted: impl Fn(&Replica) -> bool) -> Vec<f64> {
        let time = |s: &Replica| {
            let answered = s.answered.sum(self.now, over);
            (answered >= enough).then(|| s.busy.sum(self.now, over) / answered)
        };
        let times: Vec<_> = self.replicas.values().map(time).collect();
        let mut like: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (s, time) in self.replicas.values().zip(&times).filter(|(s, _)| counted(s)) {
            let (sum, many) = like.entry(self.kind(s)).or_default();
            (*sum, *many) = (*sum + time.unwrap_or(0.0), *many + f64::from(u8::from(time.is_some())));
        }
        let against = |(s, time): (&Replica, Option<f64>)| match (time, like.get(self.kind(s))) {
            (Some(time), Some((sum, many))) if *sum > 0.0 => time * many / sum,
            _ => 1.0,
        };
        self.replicas.values().zip(times).map(against).collect()
    }

    /// What was met at each replica of late, and how late its answers are against the tightest target.
    pub(crate) fn see_replicas(&mut self, over: Span) {
        let (now, target) = (self.now, self.target());
        for s in self.replicas.values_mut() {
            s.seen = s.lately(now, over);
            s.strain = match () {
                _ if s.seen.answered > 0.0 => s.seen.busy / s.seen.answered / target,
                _ if s.seen.attempts > 0.0 => s.last_took / target,
                _ => 0.0,
            };
        }
    }

    /// Each slice's requests a second, laid on the replicas of its table. Clients come again after an abort: in
    /// full, a broken replica's slices would look like hot ones. But all that came, repeats of the same request
    /// too, is what a replica feels.
    pub(crate) fn see_slices(&mut self, long: Span, short: Span, repeated: f64) {
        let measured = |s: &Slice| {
            let since = s.given.max(s.observed);
            let came = |over| self.rate(&s.came, over, since);
            let load = |over| (came(over) - repeated * self.rate(&s.failed, over, since)).max(0.0);
            (load(long), load(short), came(short).max(came(long)))
        };
        let measures: Vec<_> = self.slices.values().map(measured).collect();
        self.replicas.values_mut().for_each(|s| (s.load, s.press) = (0.0, 0.0));
        for (slice, measured) in self.slices.values_mut().zip(measures) {
            (slice.load, slice.burst, slice.press) = measured;
            for (id, part) in slice.parts() {
                if let Some(s) = self.replicas.get_mut(&id) {
                    s.load += slice.load * part;
                    s.press += slice.press * part;
                }
            }
        }
        self.add_others(repeated);
    }

    /// How much more all controllers carry than this one, as far as slices tell; where replicas are shared, what all
    /// bring is known.
    pub(crate) fn whole(&self) -> f64 {
        match self.sharing.active {
            true => 1.0,
            false => (f64::from(self.site.slice_count) / self.slices.len().max(1) as f64).max(1.0),
        }
    }

    /// AvgL and what goes with it, over the replicas that are counted.
    pub(crate) fn sum_up(&self, band: f64, long: Span, is_counted: impl Fn(&Replica) -> bool) -> Picture {
        let counted = || self.replicas.values().filter(|s| is_counted(s));
        let power = counted().map(|s| s.power).sum::<f64>().max(0.01);
        let load: f64 = self.slices.values().map(|s| s.load).sum();
        let burst: f64 = self.slices.values().map(|s| s.burst).sum();
        // What was seen of replicas is no less for what operators count them for, nor for cold ones beside them
        // that are sent little.
        let some_warm = counted().any(|s| !self.is_cold(s));
        let sure = || counted().filter(|s| !some_warm || !self.is_cold(s));
        let able = sure().map(|s| s.able).sum::<f64>().max(0.01);
        let carried: f64 = sure().map(|s| s.load).sum();
        let answered: f64 = sure().map(|s| self.rate(&s.answered, long, self.born.max(s.observed))).sum();
        let average = load / power;
        let own = Picture {
            average,
            phi: band * average * self.whole().sqrt(),
            proven: carried.min(answered) / able,
            rise: burst / load.max(0.01),
            even: burst / self.replicas.len().max(1) as f64,
        };
        self.shared_picture(own, band, &is_counted)
    }

    /// The slices that a replica owns alone and that no change is under way for, in descending load.
    pub(crate) fn free_slices(&self, id: ReplicaId, s: &Replica) -> Vec<(SliceId, f64, u32)> {
        let owned = s.lines.iter().map(|n| (*n, &self.slices[n]));
        let free = |s: &Slice| s.version.is_none() && s.sole_owner() == Some(id) && s.wanted == s.held;
        let pinned = |n: SliceId| self.pins.at(n).is_some_and(|(to, _)| to == id);
        let mut own: Vec<_> =
            owned.filter(|(n, s)| free(s) && !pinned(*n)).map(|(n, s)| (n, s.load, s.moves)).collect();
        own.sort_by(|a, b| b.1.total_cmp(&a.1));
        own
    }

    /// In its place, and warm.
    pub(crate) fn is_good(&self, s: &Replica) -> bool {
        self.is_fit(s) && !self.is_cold(s)
    }

    /// What it may still get, inside the band and, where it is cold, of what it is allowed.
    pub(crate) fn room(&self, s: &Replica) -> f64 {
        self.picture.room(s).min(self.allowance(s) - s.press)
    }

    pub(crate) fn many(&self, counted: impl Fn(&Replica) -> bool) -> usize {
        self.replicas.values().filter(|s| counted(s)).count()
    }

    pub(crate) fn is_at_pin(&self, n: SliceId, slice: &Slice) -> bool {
        self.pins.at(n).is_some_and(|(to, _)| slice.sole_owner() == Some(to))
    }

    /// The share of what was let in that got no answer, of the request class that fares best.
    pub(crate) fn unanswered(&self, over: Span, enough: f64) -> f64 {
        let sums = self.fates.iter().map(|(came, lost)| (came.sum(self.now, over), lost.sum(self.now, over)));
        let shares = sums.filter(|(came, _)| *came >= enough).map(|(came, lost)| lost / came);
        shares.reduce(f64::min).unwrap_or(0.0)
    }

    /// The median of a figure over the replicas that are counted.
    pub(crate) fn usual(&self, counted: impl Fn(&Replica) -> bool, figure: impl Fn(&Replica) -> f64) -> f64 {
        let mut figures: Vec<f64> = self.replicas.values().filter(|s| counted(s)).map(figure).collect();
        figures.sort_by(f64::total_cmp);
        figures.get(figures.len() / 2).copied().unwrap_or(0.0)
    }

    /// The orders from one cut of a slice to another; one serves where all request classes are let in alike.
    pub(crate) fn level_orders(&self, n: SliceId, held: f64, cut: f64) -> Vec<Action> {
        let (many, retries) = (self.site.request_classes.len(), self.retries(cut));
        let order =
            |request_classes, share| Action::SetAdmission { slice: Some(n), request_classes, share, retries };
        let share = |at| self.level(cut, at);
        let changed = |at: &usize| retries != self.retries(held) || share(*at) != self.level(held, *at);
        if (0..many).all(|at| changed(&at) && share(at) == share(0)) {
            return vec![order(0, share(0))];
        }
        (0..many).filter(changed).map(|at| order(1 << at, share(at))).collect()
    }

    /// A table's owners, as far as they are known.
    pub(crate) fn owners<'a>(&'a self, slice: &'a Slice) -> impl Iterator<Item = (ReplicaId, &'a Replica)> {
        slice.owners().filter_map(|id| Some((id, self.replicas.get(&id)?)))
    }
}

impl Lately {
    pub fn failed_share(&self) -> f64 {
        self.failed / self.attempts.max(1.0)
    }
}
