//! The life of a request: it arrives, is tried at a replica, is answered, fails or is given up, and is counted.

use super::{
    replica_name, Back, Day, Request, Step, AGAIN, COMEBACKS, FAR_WAY, MORNING, SETTLING, STARTING, WAY,
};
use crate::policy::{self, Policy};
use crate::replica::{Job, Offer, State};
use crate::sizes::{Care, RequestClassSpec};
use crate::{ProxyIx, ReplicaIx};
use whinwall_policy::time::{Moment, Span};

impl Day {
    pub(super) fn arrive(&mut self) {
        let pause = -(1.0 - self.random.draw()).ln() / (self.sizes.coming() * self.burst);
        self.after(Span::ms(1000).times(pause), Step::Arrive);
        let whole: f64 = self.heat.iter().sum();
        let mut left = self.random.draw() * whole;
        let hit = self.heat.iter().position(|heat| {
            left -= heat;
            left < 0.0
        });
        let slice = hit.unwrap_or(0);
        let mut left = self.random.draw();
        let hit = self.sizes.kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        let kind = hit.unwrap_or(0);
        let key = slice as u32 * self.sizes.keys_a_slice
            + (self.random.draw() * f64::from(self.sizes.keys_a_slice)) as u32;
        let proxy = (self.random.draw() * self.proxies.len() as f64) as usize;
        let request = self.next_request;
        self.next_request += 1;
        let (came, replica) = (self.now, None);
        self.requests.insert(
            request,
            Request { slice, kind, key, proxy, came, attempt: 0, replica, attempts: 0, comebacks: 0 },
        );
        if self.counts(came) {
            self.outcome.requests += 1;
            self.priority_weight.1 += self.sizes.kinds[kind].priority_weight;
        }
        self.attempt(request, None);
    }

    /// Whether an request that came then is part of the figures.
    pub(super) fn counts(&self, came: Moment) -> bool {
        came - (Moment::default() + MORNING) > SETTLING
    }

    /// One try of an request, not at the replica that it has just been refused by.
    pub(super) fn attempt(&mut self, id: u64, tried: Option<ReplicaIx>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        (request.attempt, request.replica) = (request.attempt + 1, None);
        let (slice, kind, key, proxy, attempt) =
            (request.slice, request.kind, request.key, request.proxy, request.attempt);
        if tried.is_none() {
            self.asked.entry((slice, kind)).or_default().0 += 1.0;
        }
        let tables = matches!(self.policy, Policy::Governed | Policy::HandsOff);
        let lets_in =
            tried.is_some() || !tables || self.proxies[proxy].lets_in(slice, kind, &mut self.random);
        let of = (slice, self.holders[slice]);
        let to = match tables {
            true => self.proxies[proxy].pick(self.now, of, tried, &mut self.random),
            false => {
                let listed: Vec<_> = self.listed.iter().map(|state| *state == "active").collect();
                let out = |replica| self.out.get(&(proxy, replica)).copied().unwrap_or(0);
                policy::pick(self.policy, slice, &listed, &self.replicas, &out, &mut self.random)
            }
        };
        let Some(replica) = to.filter(|_| lets_in) else { return self.over(id, Back::Refused) };
        if let Some(request) = self.requests.get_mut(&id) {
            request.replica = Some(replica);
        }
        *self.out.entry((proxy, replica)).or_default() += 1;
        let far = proxy % self.sizes.zones != replica % self.sizes.zones;
        let way = if far { FAR_WAY } else { WAY };
        self.after(way, Step::Reaches { replica, job: Job { request: id, attempt, key, from: proxy } });
        self.after(self.sizes.request_timeout, Step::GivenUp { request: id, attempt });
    }

    pub(super) fn reaches(&mut self, replica: ReplicaIx, job: Job) {
        self.drains(replica, job.request);
        let was_cold = self.replicas[replica].is_cold(self.now, &self.sizes);
        let push = self.replicas[replica].push(self.now, &self.sizes);
        match self.replicas[replica].offer(self.now, job, &self.sizes, &mut self.random) {
            Offer::Waits => {}
            Offer::Runs(takes) => {
                let incarnation = self.replicas[replica].incarnation;
                self.after(takes, Step::Done { replica, incarnation, job });
            }
            Offer::Refused => self.answer(replica, job, Back::Refused),
            Offer::Failed => {
                // Half of what fails has run before it did.
                if self.random.draw() < 0.5 {
                    self.ran(job);
                }
                self.answer(replica, job, Back::Failed);
            }
            Offer::Falls => {
                if was_cold && self.policy == Policy::Governed && self.now > self.excused {
                    let what =
                        format!("{} is pushed over at {push:.1} times what it can do", replica_name(replica));
                    self.rules.broken(4, self.now, what, &replica_name(replica));
                }
                self.answer(replica, job, Back::Failed);
                let back = self.sizes.restart;
                self.agenda_restart(replica, back);
            }
        }
    }

    /// Rule 3: counted from when the controller whose slice it is knew, was there, had the slice and the proxy.
    pub(super) fn drains(&mut self, replica: ReplicaIx, request: u64) {
        let Some((slice, proxy)) = self.requests.get(&request).map(|request| (request.slice, request.proxy))
        else {
            return;
        };
        let of = self.holders[slice];
        let controller = &self.controllers[of];
        let Some(told) = controller.told.get(&replica) else { return };
        let joined = self.proxies[proxy].since.get(&of).copied().unwrap_or_default();
        let since = [*told, controller.born + STARTING, self.given[slice], joined].into_iter().max();
        let late = since.map_or(Span::default(), |since| self.now - since);
        let binds = self.policy == Policy::Governed && self.now > self.excused + self.sizes.grace;
        if binds && late > self.sizes.grace && self.proxies[proxy].has_stream(of) {
            let (name, late) = (replica_name(replica), late.seconds());
            let what =
                format!("proxy {proxy} sends to {name} that drains for {late:.1} s, slice {slice} of {of}");
            self.rules.broken(3, self.now, what, &name);
        }
    }

    /// A process that has fallen is started again by whoever looks after it.
    pub(super) fn agenda_restart(&mut self, replica: ReplicaIx, pause: Span) {
        self.after(pause, Step::Release { replica, to: replica, stage: 2 });
    }

    pub(super) fn answer(&mut self, replica: ReplicaIx, job: Job, answer: Back) {
        if self.replicas[replica].state != State::Silent {
            self.after(WAY, Step::Back { replica, job, answer });
        }
    }

    pub(super) fn ran(&mut self, job: Job) {
        let once = self
            .requests
            .get(&job.request)
            .is_some_and(|request| self.sizes.kinds[request.kind].care == Care::OnceOnly);
        // One that was given up runs all the same: who made it come again would have it run twice.
        if once {
            self.rules.ran(self.now, job.request);
        }
    }

    pub(super) fn done(&mut self, replica: ReplicaIx, incarnation: u64, job: Job) {
        if self.replicas[replica].incarnation != incarnation || self.replicas[replica].state == State::Hung {
            return;
        }
        self.ran(job);
        self.answer(replica, job, Back::Acked);
        if let Some((next, takes)) = self.replicas[replica].done(self.now, &self.sizes, &mut self.random) {
            self.after(takes, Step::Done { replica, incarnation, job: next });
        }
    }

    pub(super) fn seen(&mut self, proxy: ProxyIx, replica: ReplicaIx, took: Option<Span>) {
        let seen = self.met.entry((proxy % self.sizes.zones, replica)).or_default();
        seen.attempts += 1.0;
        match took {
            Some(took) => seen.busy += took.seconds(),
            None => seen.failed += 1.0,
        }
        self.proxies[proxy].met(self.now, replica, took.is_some());
        let out = self.out.entry((proxy, replica)).or_default();
        *out = out.saturating_sub(1);
    }

    pub(super) fn back(&mut self, replica: ReplicaIx, job: Job, answer: Back) {
        let current = |request: &&Request| request.attempt == job.attempt && request.replica == Some(replica);
        let Some(request) = self.requests.get(&job.request).filter(current) else { return };
        let (proxy, came, kind, slice, attempts) =
            (request.proxy, request.came, request.kind, request.slice, request.attempts);
        let took = (answer == Back::Acked).then(|| self.now - came);
        self.seen(proxy, replica, took);
        match answer {
            Back::Acked => {
                let RequestClassSpec { priority_weight, target, .. } = self.sizes.kinds[kind];
                if self.counts(came) {
                    self.outcome.acked += 1;
                    match self.now - came <= target {
                        true => self.priority_weight.0 += priority_weight,
                        false => self.outcome.late += 1,
                    }
                }
                self.requests.remove(&job.request);
            }
            // Proof that it did not run: another try, if the tables allow one.
            Back::Refused if attempts < self.proxies[proxy].retries(slice) => {
                if let Some(request) = self.requests.get_mut(&job.request) {
                    request.attempts += 1;
                }
                self.attempt(job.request, Some(replica));
            }
            // Told to, it tries again without proof.
            Back::Failed if attempts + 1 < self.proxies[proxy].retries(slice) => {
                if let Some(request) = self.requests.get_mut(&job.request) {
                    request.attempts += 1;
                }
                self.attempt(job.request, Some(replica));
            }
            other => self.over(job.request, other),
        }
    }

    pub(super) fn given_up(&mut self, id: u64, attempt: u32) {
        let Some(request) = self.requests.get(&id).filter(|request| request.attempt == attempt) else {
            return;
        };
        let (proxy, replica) = (request.proxy, request.replica);
        replica.into_iter().for_each(|replica| self.seen(proxy, replica, None));
        self.over(id, Back::Failed);
    }

    /// Its client hears so at once, and comes again where it may.
    pub(super) fn over(&mut self, id: u64, how: Back) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (slice, kind, came) = (request.slice, request.kind, request.came);
        if how == Back::Failed || request.replica.is_some() {
            self.asked.entry((slice, kind)).or_default().1 += 1.0;
        }
        // An request that the module or a replica refused did not run; after any other failure nobody knows.
        let may = how == Back::Refused || self.sizes.kinds[kind].care == Care::Retryable;
        if may && request.comebacks < COMEBACKS {
            (request.comebacks, request.attempts, request.attempt, request.replica) =
                (request.comebacks + 1, 0, request.attempt + 1, None);
            let pause = AGAIN.times(0.5 + self.random.draw());
            return self.after(pause, Step::ComesAgain { request: id });
        }
        self.requests.remove(&id);
        if self.counts(came) {
            match how {
                Back::Refused => self.outcome.rejected += 1,
                _ => self.outcome.failed += 1,
            }
        }
    }
}
