//! The size of a scenario's fleet, and how its parts behave. All defaults are the project's own choices.

use whinwall_policy::time::Span;

/// When a client may retry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// After any failure.
    Idempotent,
    /// Only after proof that it did not run.
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClassSpec {
    /// Its name.
    pub name: &'static str,
    /// What a request of it is worth relative to those of other classes.
    pub priority_weight: f64,
    /// The latency within which a response counts as timely.
    pub latency_objective: Span,
    /// When clients may retry.
    pub retry_safety: RetrySafety,
    /// Its share of all requests, 0 to 1.
    pub traffic_share: f64,
}

/// The parameters of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioConfig {
    /// Number of replicas.
    pub replicas: usize,
    /// Number of slices.
    pub slices: usize,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Seconds that each report of a replica covers: more than one where an aggregator stretches its windows.
    pub report_window_seconds: u32,
    /// Replicas that each controller steers; 0 where every controller steers all of them.
    pub subset_size: usize,
    /// Number of zones, over which replicas and proxies are spread in turn.
    pub zones: usize,
    /// How long the scenario lasts.
    pub duration: Span,
    /// The request rate, as a fraction of what all warm replicas can serve.
    pub load: f64,
    /// Cores of a replica.
    pub cores: usize,
    /// The mean service time of a request whose key is cached.
    pub service_time: Span,
    /// How many times as long a request takes whose key is not cached.
    pub uncached_factor: f64,
    /// Number of keys in each slice.
    pub keys_per_slice: u32,
    /// How long a replica caches a key after its last use.
    pub key_cache_ttl: Span,
    /// Requests that a replica queues; more are rejected, which proves that they did not run.
    pub queue_capacity: usize,
    /// Proxies that may hold a connection to one replica.
    pub max_connections: usize,
    /// After how long an unused connection may be closed.
    pub idle_connection_timeout: Span,
    /// After how long a proxy stops waiting for a response.
    pub request_timeout: Span,
    /// The classes of requests.
    pub request_classes: Vec<RequestClassSpec>,
    /// The fraction of its full speed that a replica starts with.
    pub initial_warmth: f64,
    /// How long a replica takes to reach its full speed.
    pub warm_up: Span,
    /// The load factor over which a replica that is warming up crashes.
    pub cold_overload_factor: f64,
    /// How long it takes to start a replica again.
    pub restart_delay: Span,
    /// The rate of a controller's channel to all proxies together, in lines per second.
    pub lines_per_second: f64,
    /// Lines that each message takes up beside its commands.
    pub lines_per_message: f64,
    /// Lines that may be on their way at once.
    pub max_queued_lines: f64,
    /// Messages that one proxy may be sent within a window; 0 for any number.
    pub max_messages_per_window: u32,
    /// The length of that window.
    pub message_window: Span,
    /// How long requests may still be sent to a draining replica.
    pub drain_grace: Span,
    /// How long a proxy may have no endpoint for a slice.
    pub empty_table_grace: Span,
}

impl Default for ScenarioConfig {
    fn default() -> Self {
        ScenarioConfig::small()
    }
}

impl ScenarioConfig {
    /// A small fleet of one controller.
    pub fn small() -> Self {
        ScenarioConfig {
            replicas: 12,
            slices: 60,
            proxies: 30,
            controllers: 1,
            report_window_seconds: 1,
            subset_size: 0,
            zones: 3,
            duration: Span::ms(60_000),
            load: 0.4,
            cores: 2,
            service_time: Span::ms(20),
            uncached_factor: 1.6,
            keys_per_slice: 40,
            key_cache_ttl: Span::ms(20_000),
            queue_capacity: 60,
            max_connections: 1000,
            idle_connection_timeout: Span::ms(2000),
            request_timeout: Span::ms(2500),
            request_classes: default_request_classes(),
            initial_warmth: 0.21,
            warm_up: Span::ms(15_000),
            cold_overload_factor: 3.0,
            restart_delay: Span::ms(4000),
            lines_per_second: 40_000.0,
            lines_per_message: 8.0,
            max_queued_lines: 60_000.0,
            max_messages_per_window: 120,
            message_window: Span::ms(10_000),
            drain_grace: Span::ms(2500),
            empty_table_grace: Span::ms(5000),
        }
    }

    /// As many replicas, slices and proxies as a large partner has, with three controllers.
    pub fn large() -> Self {
        ScenarioConfig {
            replicas: 120,
            slices: 700,
            proxies: 300,
            controllers: 3,
            duration: Span::ms(40_000),
            load: 0.3,
            ..ScenarioConfig::small()
        }
    }

    /// The most requests per second that a warm replica serves.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 / self.service_time.seconds()
    }

    /// The rate of requests to the whole fleet, per second.
    pub fn offered_rate(&self) -> f64 {
        self.capacity() * self.replicas as f64 * self.load
    }

    /// The name of the zone in which the replica or proxy of this position is.
    pub fn zone(&self, index: usize) -> String {
        format!("p{}", index % self.zones)
    }

    /// The settings of the controller of this number, in the words of its configuration file.
    pub fn settings(&self, controller: usize) -> serde_json::Value {
        let class = |class: &RequestClassSpec| {
            serde_json::json!({
                "name": class.name, "value": class.priority_weight, "targetNs": class.latency_objective.as_ns()
            })
        };
        serde_json::json!({
            "classes": self.request_classes.iter().map(class).collect::<Vec<_>>(),
            "familyInfo": {
                "periodNs": 1_000_000_000u64, "levelKind": "fraction", "singleWriter": false, "partitionsN": self.slices,
                "tenureNs": 4_000_000_000u64, "writeLifeNs": 20_000_000u64, "fixedCost": self.lines_per_message,
                "pushRate": self.lines_per_second, "queueCap": self.max_queued_lines,
                "updateCap": self.max_messages_per_window, "reloadSpanNs": self.message_window.as_ns()
            },
            "obligations": {
                "coldFrom": self.initial_warmth, "warmAfterNs": self.warm_up.as_ns(),
                "fallMultiple": self.cold_overload_factor, "drainGraceNs": self.drain_grace.as_ns()
            },
            "me": controller,
            "peersTotal": self.controllers,
            "membershipMode": "push",
            "weights": "rough",
            "zones": (0..self.zones).map(|zone| self.zone(zone)).collect::<Vec<_>>()
        })
    }
}

/// A class of idempotent reads, and one of fewer but more valuable writes.
fn default_request_classes() -> Vec<RequestClassSpec> {
    vec![
        RequestClassSpec {
            name: "lookup",
            priority_weight: 2.0,
            latency_objective: Span::ms(1200),
            retry_safety: RetrySafety::Idempotent,
            traffic_share: 0.8,
        },
        RequestClassSpec {
            name: "post",
            priority_weight: 5.0,
            latency_objective: Span::ms(1200),
            retry_safety: RetrySafety::AtMostOnce,
            traffic_share: 0.2,
        },
    ]
}
