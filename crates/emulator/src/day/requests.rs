//! The life of a request: it arrives, is tried at a replica, is answered, fails or is given up, and is counted.

use super::{server_name, Back, Day, Op, Step, AGAIN, COMEBACKS, FAR_WAY, MORNING, SETTLING, STARTING, WAY};
use crate::policy::{self, Policy};
use crate::server::{Job, Offer, State};
use crate::sizes::{Care, OpKind};
use crate::{ProxyIx, ServerIx};
use whinwall_policy::time::{Moment, Span};

impl Day {
    pub(super) fn arrive(&mut self) {
        let pause = -(1.0 - self.chance.draw()).ln() / (self.sizes.coming() * self.burst);
        self.after(Span::ms(1000).times(pause), Step::Arrive);
        let whole: f64 = self.heat.iter().sum();
        let mut left = self.chance.draw() * whole;
        let hit = self.heat.iter().position(|heat| {
            left -= heat;
            left < 0.0
        });
        let slice = hit.unwrap_or(0);
        let mut left = self.chance.draw();
        let hit = self.sizes.kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        let kind = hit.unwrap_or(0);
        let key = slice as u32 * self.sizes.keys_a_slice
            + (self.chance.draw() * f64::from(self.sizes.keys_a_slice)) as u32;
        let proxy = (self.chance.draw() * self.proxies.len() as f64) as usize;
        let op = self.next_op;
        self.next_op += 1;
        let (came, server) = (self.now, None);
        self.ops.insert(op, Op { slice, kind, key, proxy, came, attempt: 0, server, tries: 0, comebacks: 0 });
        if self.counts(came) {
            self.outcome.ops += 1;
            self.payoff.1 += self.sizes.kinds[kind].payoff;
        }
        self.attempt(op, None);
    }

    /// Whether an op that came then is part of the figures.
    pub(super) fn counts(&self, came: Moment) -> bool {
        came - (Moment::default() + MORNING) > SETTLING
    }

    /// One try of an op, not at the server that it has just been refused by.
    pub(super) fn attempt(&mut self, id: u64, tried: Option<ServerIx>) {
        let Some(op) = self.ops.get_mut(&id) else { return };
        (op.attempt, op.server) = (op.attempt + 1, None);
        let (slice, kind, key, proxy, attempt) = (op.slice, op.kind, op.key, op.proxy, op.attempt);
        if tried.is_none() {
            self.asked.entry((slice, kind)).or_default().0 += 1.0;
        }
        let tables = matches!(self.policy, Policy::Governed | Policy::HandsOff);
        let lets_in =
            tried.is_some() || !tables || self.proxies[proxy].lets_in(slice, kind, &mut self.chance);
        let of = (slice, self.holders[slice]);
        let to = match tables {
            true => self.proxies[proxy].pick(self.now, of, tried, &mut self.chance),
            false => {
                let listed: Vec<_> = self.listed.iter().map(|state| *state == "active").collect();
                let out = |server| self.out.get(&(proxy, server)).copied().unwrap_or(0);
                policy::pick(self.policy, slice, &listed, &self.servers, &out, &mut self.chance)
            }
        };
        let Some(server) = to.filter(|_| lets_in) else { return self.over(id, Back::Refused) };
        if let Some(op) = self.ops.get_mut(&id) {
            op.server = Some(server);
        }
        *self.out.entry((proxy, server)).or_default() += 1;
        let far = proxy % self.sizes.places != server % self.sizes.places;
        let way = if far { FAR_WAY } else { WAY };
        self.after(way, Step::Reaches { server, job: Job { op: id, attempt, key, from: proxy } });
        self.after(self.sizes.op_timeout, Step::GivenUp { op: id, attempt });
    }

    pub(super) fn reaches(&mut self, server: ServerIx, job: Job) {
        self.drains(server, job.op);
        let was_cold = self.servers[server].is_cold(self.now, &self.sizes);
        let push = self.servers[server].push(self.now, &self.sizes);
        match self.servers[server].offer(self.now, job, &self.sizes, &mut self.chance) {
            Offer::Waits => {}
            Offer::Runs(takes) => {
                let life = self.servers[server].life;
                self.after(takes, Step::Done { server, life, job });
            }
            Offer::Refused => self.answer(server, job, Back::Refused),
            Offer::Failed => {
                // Half of what fails has run before it did.
                if self.chance.draw() < 0.5 {
                    self.ran(job);
                }
                self.answer(server, job, Back::Failed);
            }
            Offer::Falls => {
                if was_cold && self.policy == Policy::Governed && self.now > self.excused {
                    let what =
                        format!("{} is pushed over at {push:.1} times what it can do", server_name(server));
                    self.rules.broken(4, self.now, what, &server_name(server));
                }
                self.answer(server, job, Back::Failed);
                let back = self.sizes.restart;
                self.agenda_restart(server, back);
            }
        }
    }

    /// Rule 3: counted from when the governor whose slice it is knew, was there, had the slice and the proxy.
    pub(super) fn drains(&mut self, server: ServerIx, op: u64) {
        let Some((slice, proxy)) = self.ops.get(&op).map(|op| (op.slice, op.proxy)) else { return };
        let of = self.holders[slice];
        let governor = &self.governors[of];
        let Some(told) = governor.told.get(&server) else { return };
        let joined = self.proxies[proxy].since.get(&of).copied().unwrap_or_default();
        let since = [*told, governor.born + STARTING, self.given[slice], joined].into_iter().max();
        let late = since.map_or(Span::default(), |since| self.now - since);
        let binds = self.policy == Policy::Governed && self.now > self.excused + self.sizes.grace;
        if binds && late > self.sizes.grace && self.proxies[proxy].has_stream(of) {
            let (name, late) = (server_name(server), late.seconds());
            let what =
                format!("proxy {proxy} sends to {name} that drains for {late:.1} s, slice {slice} of {of}");
            self.rules.broken(3, self.now, what, &name);
        }
    }

    /// A process that has fallen is started again by whoever looks after it.
    pub(super) fn agenda_restart(&mut self, server: ServerIx, pause: Span) {
        self.after(pause, Step::Release { server, to: server, stage: 2 });
    }

    pub(super) fn answer(&mut self, server: ServerIx, job: Job, answer: Back) {
        if self.servers[server].state != State::Silent {
            self.after(WAY, Step::Back { server, job, answer });
        }
    }

    pub(super) fn ran(&mut self, job: Job) {
        let once = self.ops.get(&job.op).is_some_and(|op| self.sizes.kinds[op.kind].care == Care::OnceOnly);
        // One that was given up runs all the same: who made it come again would have it run twice.
        if once {
            self.rules.ran(self.now, job.op);
        }
    }

    pub(super) fn done(&mut self, server: ServerIx, life: u64, job: Job) {
        if self.servers[server].life != life || self.servers[server].state == State::Hung {
            return;
        }
        self.ran(job);
        self.answer(server, job, Back::Acked);
        if let Some((next, takes)) = self.servers[server].done(self.now, &self.sizes, &mut self.chance) {
            self.after(takes, Step::Done { server, life, job: next });
        }
    }

    pub(super) fn seen(&mut self, proxy: ProxyIx, server: ServerIx, took: Option<Span>) {
        let seen = self.met.entry((proxy % self.sizes.places, server)).or_default();
        seen.tries += 1.0;
        match took {
            Some(took) => seen.busy += took.seconds(),
            None => seen.aborted += 1.0,
        }
        self.proxies[proxy].met(self.now, server, took.is_some());
        let out = self.out.entry((proxy, server)).or_default();
        *out = out.saturating_sub(1);
    }

    pub(super) fn back(&mut self, server: ServerIx, job: Job, answer: Back) {
        let current = |op: &&Op| op.attempt == job.attempt && op.server == Some(server);
        let Some(op) = self.ops.get(&job.op).filter(current) else { return };
        let (proxy, came, kind, slice, tries) = (op.proxy, op.came, op.kind, op.slice, op.tries);
        let took = (answer == Back::Acked).then(|| self.now - came);
        self.seen(proxy, server, took);
        match answer {
            Back::Acked => {
                let OpKind { payoff, target, .. } = self.sizes.kinds[kind];
                if self.counts(came) {
                    self.outcome.acked += 1;
                    match self.now - came <= target {
                        true => self.payoff.0 += payoff,
                        false => self.outcome.late += 1,
                    }
                }
                self.ops.remove(&job.op);
            }
            // Proof that it did not run: another try, if the tables allow one.
            Back::Refused if tries < self.proxies[proxy].tries(slice) => {
                if let Some(op) = self.ops.get_mut(&job.op) {
                    op.tries += 1;
                }
                self.attempt(job.op, Some(server));
            }
            // Told to, it tries again without proof.
            Back::Failed if tries + 1 < self.proxies[proxy].tries(slice) => {
                if let Some(op) = self.ops.get_mut(&job.op) {
                    op.tries += 1;
                }
                self.attempt(job.op, Some(server));
            }
            other => self.over(job.op, other),
        }
    }

    pub(super) fn given_up(&mut self, id: u64, attempt: u32) {
        let Some(op) = self.ops.get(&id).filter(|op| op.attempt == attempt) else { return };
        let (proxy, server) = (op.proxy, op.server);
        server.into_iter().for_each(|server| self.seen(proxy, server, None));
        self.over(id, Back::Failed);
    }

    /// Its client hears so at once, and comes again where it may.
    pub(super) fn over(&mut self, id: u64, how: Back) {
        let Some(op) = self.ops.get_mut(&id) else { return };
        let (slice, kind, came) = (op.slice, op.kind, op.came);
        if how == Back::Failed || op.server.is_some() {
            self.asked.entry((slice, kind)).or_default().1 += 1.0;
        }
        // An op that the module or a server refused did not run; after any other failure nobody knows.
        let may = how == Back::Refused || self.sizes.kinds[kind].care == Care::Retryable;
        if may && op.comebacks < COMEBACKS {
            (op.comebacks, op.tries, op.attempt, op.server) = (op.comebacks + 1, 0, op.attempt + 1, None);
            let pause = AGAIN.times(0.5 + self.chance.draw());
            return self.after(pause, Step::ComesAgain { op: id });
        }
        self.ops.remove(&id);
        if self.counts(came) {
            match how {
                Back::Refused => self.outcome.rejected += 1,
                _ => self.outcome.aborted += 1,
            }
        }
    }
}
