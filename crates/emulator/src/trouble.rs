//! What can happen in a day, as data: one at a time, together, or drawn from a seed.

use crate::sizes::Sizes;
use crate::{ReplicaIx, SliceIx};
use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// Its process ends, and is back, cold, when the trouble is over.
    Crash {
        replica: ReplicaIx,
    },
    Hang {
        replica: ReplicaIx,
    },
    Silence {
        replica: ReplicaIx,
    },
    Slow {
        replica: ReplicaIx,
        factor: f64,
    },
    FastErrors {
        replica: ReplicaIx,
        share: f64,
    },
    /// Leaves by the list, and is back as a new process.
    Drain {
        replica: ReplicaIx,
    },
    /// One replica after the other drains, leaves and is back.
    Release {
        from: ReplicaIx,
        to: ReplicaIx,
    },
    /// These drain in two waves a few seconds apart, and are back as new processes.
    Replaced {
        from: ReplicaIx,
        to: ReplicaIx,
    },
    /// All replicas of a place end at once, and are back, cold, when the trouble is over.
    ZoneLost {
        zone: usize,
    },
    /// What discovery has to tell is told, but not as it should be.
    OddList {
        how: Odd,
    },
    /// The list drops replicas that are well.
    WrongList {
        from: ReplicaIx,
        to: ReplicaIx,
    },
    HotSlice {
        slice: SliceIx,
        factor: f64,
    },
    Burst {
        factor: f64,
    },
    /// Replicas of a place fall silent, and its proxies lose the controller.
    ZoneCut {
        zone: usize,
    },
    RelayAway,
    /// Calls are carried out, and nothing is answered.
    RelayMute,
    DiscoveryAway,
    ControllerKilled {
        controller: usize,
    },
    /// So many controllers are killed at once. Another has their slices after a while; when they are back, proxies
    /// come over one by one, and their slices only then.
    Herd {
        controllers: usize,
    },
    SlowChannel {
        part: f64,
    },
    ProxiesLeave {
        many: usize,
    },
    /// Slices change hands to the next controller, and back at the end.
    HandOver {
        from: SliceIx,
        to: SliceIx,
    },
    /// Of the relay's answers and news such a part can't be read.
    Garbled {
        share: f64,
    },
    /// An operator takes a replica out of service for as long as the trouble lasts.
    OutOfService {
        replica: ReplicaIx,
    },
}

/// How a list may be told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Odd {
    /// Each change so much later.
    Late(Span),
    /// Each change three times over.
    Again,
    /// After each change the list that was told before it, then the new one again.
    Back,
    /// Each change without every so manyth replica, then whole.
    Lossy(usize),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub begins: Span,
    pub lasts: Span,
    pub what: What,
}

pub fn at(begins_ms: u64, lasts_ms: u64, what: What) -> Trouble {
    Trouble { begins: Span::ms(begins_ms), lasts: Span::ms(lasts_ms), what }
}

/// So many troubles in the middle half of a day.
pub fn drawn(seed: u64, many: usize, sizes: &Sizes) -> Vec<Trouble> {
    let mut random = Random::from_seed(seed);
    let mut below = |most: usize| (random.draw() * most as f64) as usize;
    let lasts = (sizes.lasts.as_ns() / 1_000_000) as usize;
    let mut one = || {
        let replica = below(sizes.replicas);
        let what = match below(26) {
            0 => What::Crash { replica },
            1 => What::Hang { replica },
            2 => What::Silence { replica },
            3 => What::Slow { replica, factor: 2.0 + below(8) as f64 },
            4 => What::FastErrors { replica, share: 0.4 + 0.1 * below(6) as f64 },
            5 => What::Drain { replica },
            6 => What::Release {
                from: replica,
                to: (replica + 1 + below(sizes.replicas / 4)).min(sizes.replicas),
            },
            7 => What::WrongList {
                from: replica,
                to: (replica + 1 + below(sizes.replicas / 2)).min(sizes.replicas),
            },
            8 => What::HotSlice { slice: below(sizes.slices), factor: 5.0 + below(20) as f64 },
            9 => What::Burst { factor: 1.2 + 0.1 * below(8) as f64 },
            10 => What::ZoneCut { zone: below(sizes.zones) },
            11 => What::RelayAway,
            12 => What::RelayMute,
            13 => What::DiscoveryAway,
            14 => What::ControllerKilled { controller: below(sizes.controllers) },
            15 => What::SlowChannel { part: 0.05 + 0.1 * below(9) as f64 },
            17 => {
                let from = below(sizes.slices);
                What::HandOver { from, to: (from + 1 + below(sizes.slices / 3)).min(sizes.slices) }
            }
            18 => What::Garbled { share: 0.05 + 0.1 * below(5) as f64 },
            19 if sizes.controllers > 1 => What::Herd { controllers: 1 + below(sizes.controllers - 1) },
            20 => What::ZoneLost { zone: below(sizes.zones) },
            21 | 22 => {
                let to = replica + 1 + below(sizes.replicas / 2);
                What::Replaced { from: replica, to: to.min(sizes.replicas) }
            }
            23 => What::OddList { how: Odd::Late(Span::ms(200 + 200 * below(10) as u64)) },
            24 => What::OddList { how: [Odd::Again, Odd::Back, Odd::Lossy(2 + below(5))][below(3)] },
            16 => What::ProxiesLeave { many: 1 + below(sizes.proxies / 2) },
            _ => What::OutOfService { replica },
        };
        let begins = lasts / 4 + below(lasts / 3);
        at(begins as u64, (1000 + below(lasts / 4)) as u64, what)
    };
    (0..many).map(|_| one()).collect()
}
