//! How large a day is, and the figures of what is emulated. All of them are our own.

use whinwall_policy::time::Span;

/// What may be done again, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Care {
    /// After any failure.
    Retryable,
    /// Only after proof that it did not run.
    OnceOnly,
}

#[derive(Clone, Copy, Debug)]
pub struct RequestClassSpec {
    pub name: &'static str,
    pub priority_weight: f64,
    pub target: Span,
    pub care: Care,
    /// Its part of what comes.
    pub share: f64,
}

#[derive(Clone, Debug)]
pub struct Sizes {
    pub replicas: usize,
    pub slices: usize,
    pub proxies: usize,
    pub controllers: usize,
    /// Seconds that each report of a replica covers: more than one where an aggregator stretches its windows.
    pub load_window: u32,
    /// Replicas that each controller steers; 0 where every controller steers all of them.
    pub subset: usize,
    pub zones: usize,
    pub lasts: Span,
    /// Of what warm replicas can do together, so much comes.
    pub load: f64,
    pub cores: usize,
    /// An request whose key is remembered takes this long, another one `cold_factor` times as long.
    pub service: Span,
    pub cold_factor: f64,
    pub keys_a_slice: u32,
    pub remembered: Span,
    /// Ops that wait at a replica; more are refused, which proves that they did not run.
    pub queue: usize,
    /// Proxies that may hold a connection to one replica, and after how long an unused one is closed.
    pub connections: usize,
    pub idle: Span,
    pub request_timeout: Span,
    pub kinds: Vec<RequestClassSpec>,
    pub cold_share: f64,
    pub warm_after: Span,
    pub fall_multiple: f64,
    pub restart: Span,
    /// Lines a second to all proxies, lines of a head, the caps.
    pub pace: f64,
    pub head: f64,
    pub queue_cap: f64,
    pub message_cap: u32,
    pub message_window: Span,
    /// A drain and an absence of tables may last so long.
    pub grace: Span,
    pub bare: Span,
}

impl Sizes {
    pub fn small() -> Self {
        Sizes {
            replicas: 12,
            slices: 60,
            proxies: 30,
            controllers: 1,
            load_window: 1,
            subset: 0,
            zones: 3,
            lasts: Span::ms(60_000),
            load: 0.4,
            cores: 2,
            service: Span::ms(20),
            cold_factor: 1.6,
            keys_a_slice: 40,
            remembered: Span::ms(20_000),
            queue: 60,
            connections: 1000,
            idle: Span::ms(2000),
            request_timeout: Span::ms(2500),
            kinds: vec![
                RequestClassSpec {
                    name: "lookup",
                    priority_weight: 2.0,
                    target: Span::ms(1200),
                    care: Care::Retryable,
                    share: 0.8,
                },
                RequestClassSpec {
                    name: "post",
                    priority_weight: 5.0,
                    target: Span::ms(1200),
                    care: Care::OnceOnly,
                    share: 0.2,
                },
            ],
            cold_share: 0.21,
            warm_after: Span::ms(15_000),
            fall_multiple: 3.0,
            restart: Span::ms(4000),
            pace: 40_000.0,
            head: 8.0,
            queue_cap: 60_000.0,
            message_cap: 120,
            message_window: Span::ms(10_000),
            grace: Span::ms(2500),
            bare: Span::ms(5000),
        }
    }

    /// As many replicas, slices and proxies as a large partner has.
    pub fn large() -> Self {
        let load = 0.3;
        Sizes {
            replicas: 120,
            slices: 700,
            proxies: 300,
            controllers: 3,
            lasts: Span::ms(40_000),
            load,
            ..Sizes::small()
        }
    }

    /// Ops a second that a warm replica does at the most.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 / self.service.seconds()
    }

    /// Ops that come a second, to all.
    pub fn coming(&self) -> f64 {
        self.capacity() * self.replicas as f64 * self.load
    }

    pub fn zone(&self, n: usize) -> String {
        format!("p{}", n % self.zones)
    }

    /// What the controller of this number is told of all this, in the words of its configuration.
    pub fn settings(&self, number: usize) -> serde_json::Value {
        let ns = |span: Span| span.as_ns();
        let kind = |kind: &RequestClassSpec| serde_json::json!({"name": kind.name, "value": kind.priority_weight, "targetNs": ns(kind.target)});
        serde_json::json!({
            "classes": self.kinds.iter().map(kind).collect::<Vec<_>>(),
            "familyInfo": {
                "periodNs": 1_000_000_000u64, "levelKind": "fraction", "singleWriter": false, "partitionsN": self.slices,
                "tenureNs": 4_000_000_000u64, "writeLifeNs": 20_000_000u64, "fixedCost": self.head,
                "pushRate": self.pace, "queueCap": self.queue_cap, "updateCap": self.message_cap,
                "reloadSpanNs": ns(self.message_window)
            },
            "obligations": {
                "coldFrom": self.cold_share, "warmAfterNs": ns(self.warm_after), "fallMultiple": self.fall_multiple,
                "drainGraceNs": ns(self.grace)
            },
            "me": number,
            "peersTotal": self.controllers,
            "membershipMode": "push",
            "weights": "rough",
            "zones": (0..self.zones).map(|n| self.zone(n)).collect::<Vec<_>>()
        })
    }
}
