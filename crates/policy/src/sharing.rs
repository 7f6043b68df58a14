//! Decisions among controllers that share replicas ([`SubsetMembership::Subset`]): who may fill a replica now, what the other
//! controllers have laid on it, and how much of an excess is this controller's to take away. Nothing here is shared
//! between processes: all controllers work out the same claims from the replica's lot and the time.
//!
//! - *Claims.* In each epoch exactly one of a replica's controllers holds the claim on it, in rotation. Only the
//!   claimant moves slices there of its own accord. Where reports cover more than a period, it rests in the last part of
//!   the epoch: reports catch up, so that the next claimant sees what was moved.
//! - *Totals.* A replica's load is what all proxies report for it. Reports lag, so a controller replaces its own part
//!   of what was reported by what its own slices bring now.
//! - *Draws.* Escapes can't wait for a claim: they are drawn among the replicas that have room, in proportion to the
//!   room, and so spread like it however many controllers escape at once. A replica that is too full is left by a draw
//!   too, whose chances add up over all controllers to what is too much.

use crate::api::{ReplicaId, SliceId, SubsetMembership};
use crate::logic::Need;
use crate::state::{Picture, Policy, Replica};
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

/// How long a claim lasts: orders take up to a second to reach all proxies, and reports up to three to tell of it.
pub const EPOCH: Span = Span::ms(4000);
/// The least part of an epoch in which the claimant may act, however late reports are.
const LEAST_ACTIVE: Span = Span::ms(1000);
/// What other controllers bring is averaged over this time; where more came within the shorter time, that counts.
const OTHERS_OVER: Span = Span::ms(3000);
const OTHERS_LATELY: Span = Span::ms(1000);
/// Reports of a moment are complete, and the sample of our own load beside them, one bucket later.
const SAMPLE_BUCKET: Span = Span::ms(500);
const SAMPLE_BUCKETS: usize = 40;
/// A replica of which no report has come for so long, while others' came, gets nothing. Where no reports come at all, what
/// came last stands.
const NOTHING_COMES: Span = Span::ms(4000);
/// How long it takes until a move shows in the reports: excesses are shed over this many rounds.
const ROUNDS_UNSEEN: f64 = 3.0;
const DRAW_EVERY: Span = Span::ms(1000);
/// Keeps draws apart from replicas without room.
const LEAST_ROOM: f64 = 1e-6;

/// The position that holds the claim on a replica in an epoch.
pub fn claimant(lot: u64, epoch: u64, controllers: u32) -> u32 {
    let turn = (u128::from(lot) + u128::from(epoch)) % u128::from(controllers.max(1));
    turn as u32
}

impl SubsetMembership {
    /// Whether this controller holds the claim on the replica at this moment, and may act on it: the epoch's last part,
    /// as long as reports cover more than a period, is for them to catch up.
    pub fn is_claimed(self, lot: u64, now: Moment, stretch: Span) -> bool {
        match self {
            SubsetMembership::Everyone => true,
            SubsetMembership::Others => false,
            SubsetMembership::Subset { controllers: 1, .. } => true,
            SubsetMembership::Subset { controllers, position } => {
                let epoch = now.count_of(EPOCH);
                let since = now - Moment::at_ns(epoch * EPOCH.as_ns());
                claimant(lot, epoch, controllers) == position && since < (EPOCH - stretch).max(LEAST_ACTIVE)
            }
        }
    }
}

/// What is remembered of sharing as a whole.
#[derive(Default)]
pub struct Sharing {
    /// Some replica is not everyone's.
    pub active: bool,
    /// How much more than a period the longest of the replicas' reports covers.
    pub stretch: Span,
    sampled: Option<Moment>,
    drawn: u64,
}

/// What is remembered of a replica that several controllers steer.
pub struct SharedLoad {
    /// How long a time the latest report of it covers.
    pub window: Span,
    /// What our own slices brought there, by time.
    own: WindowedCounter,
    /// What other controllers' slices bring a second, without and with repeats.
    others_load: f64,
    others_press: f64,
    /// This round's draw.
    draw: f64,
}

impl Default for SharedLoad {
    fn default() -> Self {
        SharedLoad {
            window: Span::default(),
            own: WindowedCounter::new(SAMPLE_BUCKET, SAMPLE_BUCKETS),
            others_load: 0.0,
            others_press: 0.0,
            draw: 1.0,
        }
    }
}

impl Replica {
    /// Steered by other controllers only.
    pub(crate) fn is_foreign(&self) -> bool {
        self.subset == SubsetMembership::Others
    }

    /// A replica that may be chosen at all.
    pub(crate) fn is_open(&self) -> bool {
        self.is_ready() && !self.shut && !self.out && !self.is_foreign()
    }

    /// What other controllers brought a second within this time.
    fn others_rate(&self, end: Moment, over: Span) -> f64 {
        let residue = self.attempts.sum(end, over) - self.shared.own.sum(end, over);
        residue.max(0.0) / over.seconds()
    }
}

impl Policy {
    /// Adds to each replica's load what other controllers' slices bring. Does nothing where all is everyone's.
    pub(crate) fn add_others(&mut self, repeated: f64) {
        self.sharing.active = self.replicas.values().any(|s| s.subset != SubsetMembership::Everyone);
        if !self.sharing.active {
            return;
        }
        self.draw_for_round();
        self.sample_own();
        let windows = self.replicas.values().filter(|s| !s.is_foreign()).map(|s| s.shared.window);
        self.sharing.stretch = windows.max().unwrap_or_default() - self.site.report_period;
        let now = self.now;
        let newest = self.replicas.values().map(|s| s.attempts.newest()).max().unwrap_or_default();
        // Aggregated reports may have longer windows than that.
        let oldest = newest - NOTHING_COMES.max(self.behind + self.site.report_period);
        // Nobody else brings anything to a replica that this controller steers alone.
        let is_shared =
            |s: &&mut Replica| !matches!(s.subset, SubsetMembership::Subset { controllers: 1, .. });
        for s in self.replicas.values_mut().filter(is_shared) {
            let end = s.attempts.newest().max(oldest).min(now) - SAMPLE_BUCKET;
            s.shared.others_press = s.others_rate(end, OTHERS_OVER).max(s.others_rate(end, OTHERS_LATELY));
            s.shared.others_load = s.others_rate(end, OTHERS_OVER) * (1.0 - repeated * s.seen.failed_share());
            s.press += s.shared.others_press;
            s.load += s.shared.others_load;
        }
    }

    fn draw_for_round(&mut self) {
        let round = self.now.count_of(DRAW_EVERY);
        if std::mem::replace(&mut self.sharing.drawn, round) != round {
            let random = &mut self.random;
            self.replicas.values_mut().for_each(|s| s.shared.draw = random.draw());
        }
    }

    /// Notes what our slices have brought, by the tables that proxies were told, since the last time.
    fn sample_own(&mut self) {
        let now = self.now;
        // Before the first sample, and while reports were interrupted, tables were what they are now.
        let longest = SAMPLE_BUCKET.times(SAMPLE_BUCKETS as f64);
        let elapsed = self.sharing.sampled.replace(now).map_or(longest, |since| (now - since).min(longest));
        for slice in self.slices.values() {
            let whole: f64 = slice.held.values().sum();
            for (id, weight) in &slice.held {
                if let Some(s) = self.replicas.get_mut(id) {
                    let amount = slice.press * elapsed.seconds() * weight / whole;
                    s.shared.own.spread(now, elapsed, amount);
                }
            }
        }
    }

    /// Averages over the replicas of the subset that are counted: what comes to all of them, also to those that
    /// must be left, has to find its place on these.
    pub(crate) fn shared_picture(
        &self,
        own: Picture,
        band: f64,
        counted: impl Fn(&Replica) -> bool,
    ) -> Picture {
        if !self.sharing.active {
            return own;
        }
        let ours = || self.replicas.values().filter(|s| !s.is_foreign());
        let counted = || ours().filter(|s| counted(s));
        let load: f64 = ours().map(|s| s.load).sum();
        let power = counted().map(|s| s.power).sum::<f64>().max(0.01);
        let average = load / power;
        let even = load * own.rise / counted().count().max(1) as f64;
        Picture { average, phi: band * average, even, ..own }
    }

    /// Whether this controller may move slices to a replica of its own accord.
    pub(crate) fn holds_claim(&self, s: &Replica) -> bool {
        s.subset.is_claimed(s.stable_hash, self.now, self.sharing.stretch)
    }

    /// The order by room in which refuges are looked through: claimed ones below the average first, by room; then the others by a
    /// draw in proportion to their room, so that controllers which escape at once spread.
    pub(crate) fn room_order(&self, s: &Replica, room: f64, lot: f64) -> f64 {
        if !self.sharing.active || (self.holds_claim(s) && s.level() < self.picture.average) {
            return -room;
        }
        -(1.0 - lot).ln() / room.max(LEAST_ROOM)
    }

    /// The order by level: among replicas that differ by less than the band, a draw.
    pub(crate) fn level_order(&self, s: &Replica, lot: f64) -> f64 {
        match self.sharing.active {
            false => s.level(),
            true => s.level() + self.picture.phi * lot,
        }
    }

    /// Whether a claimed replica has room for all of it; to escapes it is preferred up to the average only, lest those
    /// whose claimants have much to place are filled before the others.
    pub(crate) fn has_room_if_shared(&self, need: Need, s: &Replica, load: f64) -> bool {
        let preferred = || matches!(need, Need::Relief) || s.level() < self.picture.average;
        !self.sharing.active || (self.picture.room(s) >= load && preferred())
    }

    /// The fit replica that was found, or, where a slice must leave one that is shared, a better way out.
    pub(crate) fn fit_or_escape(
        &self,
        need: Need,
        fit: Option<ReplicaId>,
        load: f64,
        owns: &dyn Fn(&ReplicaId) -> bool,
    ) -> Option<ReplicaId> {
        let escapes = self.sharing.active && !matches!(need, Need::Relief);
        escapes.then(|| self.shared_escape(load, owns)).flatten().or(fit)
    }

    /// A warm replica of the subset with room, or the least loaded by draw, whoever holds the claim on it; where the
    /// subset has no warm one that is fit, a warm one of other controllers.
    fn shared_escape(&self, load: f64, owns: &dyn Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        let good = |id: &ReplicaId| !owns(id) && self.replicas.get(id).is_some_and(|s| self.is_good(s));
        let roomy = |id: &ReplicaId| good(id) && self.picture.room(&self.replicas[id]) >= load;
        let own = || self.ranks.by_room.first(roomy).or_else(|| self.ranks.by_level.first(good));
        own().or_else(|| self.foreign_escape(owns))
    }

    fn foreign_escape(&self, owns: &dyn Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        let well = |s: &Replica| s.is_foreign() && s.is_ready() && !s.shut && !s.out;
        let warm = |s: &Replica| well(s) && !self.is_sick(s) && !self.is_cold(s);
        let able = self.replicas.iter().filter(|(id, s)| warm(s) && !owns(id));
        able.min_by(|a, b| a.1.shared.draw.total_cmp(&b.1.shared.draw)).map(|(id, _)| *id)
    }

    /// Whether it is this controller's turn, by draw, to take a slice from a replica above the average: the chances of
    /// all controllers add up to what is too much, spread over the rounds until it shows. Others take part at any time.
    pub(crate) fn may_shed(&self, s: &Replica) -> bool {
        let SubsetMembership::Subset { controllers: 2.., .. } = s.subset else { return true };
        let excess = 1.0 - self.picture.average / s.level().max(f64::MIN_POSITIVE);
        let rounds_unseen = ROUNDS_UNSEEN + self.sharing.stretch.seconds();
        excess <= 0.0 || s.shared.draw < excess * s.lines.len() as f64 / rounds_unseen
    }

    /// The same for a cold replica that is sent too much: one of its controllers is drawn, in proportion to what its own
    /// slices bring.
    pub(crate) fn may_relieve(&self, s: &Replica) -> bool {
        let SubsetMembership::Subset { controllers: 2.., .. } = s.subset else { return true };
        s.shared.draw < 1.0 - s.shared.others_press / s.press.max(f64::MIN_POSITIVE)
    }

    /// A slice on a replica of other controllers, and a claimed replica with room for it: one a replica and round.
    pub(crate) fn find_return(&self) -> Option<(SliceId, ReplicaId, ReplicaId)> {
        if !self.sharing.active {
            return None;
        }
        let foreign = self.replicas.iter().filter(|(_, s)| s.is_foreign() && !s.used && !s.lines.is_empty());
        let mut owned = foreign.flat_map(|(id, s)| s.lines.iter().map(|n| (*n, *id)));
        owned.find_map(|(n, from)| {
            let slice = self.slices.get(&n).filter(|s| s.version.is_none() && s.wanted == s.held)?;
            let leaves = slice.owners().any(|owner| owner == from) && !self.is_at_pin(n, slice);
            let takes = |id: &ReplicaId| {
                let fits = |s: &Replica| !s.used && self.may_take(s, slice.load.max(slice.press));
                !slice.wanted.contains_key(id) && self.replicas.get(id).is_some_and(fits)
            };
            let to = leaves.then(|| self.ranks.by_room.first(takes)).flatten()?;
            Some((n, from, to))
        })
    }
}
