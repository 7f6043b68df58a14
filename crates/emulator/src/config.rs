//! The size of a scenario's fleet and the parameters of its components.

use whinwall_policy::time::Span;

/// The conditions under which a client may retry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Retry after any failure.
    Idempotent,
    /// Retry only if the request provably did not run.
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClassSpec {
    /// The name in commands and reports.
    pub name: &'static str,
    /// The weight of a request relative to requests of other classes.
    pub priority_weight: f64,
    /// The maximum latency of a timely response.
    pub latency_objective: Span,
    /// The conditions under which clients may retry.
    pub retry_safety: RetrySafety,
    /// The share of all requests, from 0 to 1.
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
    /// Seconds that each report about a replica covers; more than one if an aggregator lengthens its windows.
    pub report_window_seconds: u32,
    /// Number of replicas that each controller steers; 0 if every controller steers all replicas.
    pub subset_size: usize,
    /// Number of zones. Replicas and proxies are assigned to zones round-robin.
    pub zones: usize,
    /// Duration of the scenario.
    pub duration: Span,
    /// The request rate as a fraction of the capacity of all replicas when warm.
    pub load: f64,
    /// Number of cores of a replica.
    pub cores: usize,
    /// The mean service time of a request whose key is cached.
    pub service_time: Span,
    /// The factor by which the service time is longer if the key is not cached.
    pub uncached_factor: f64,
    /// Number of keys in each slice.
    pub keys_per_slice: u32,
    /// The time after its last use for which a replica caches a key.
    pub key_cache_ttl: Span,
    /// Maximum number of queued requests of a replica. Further requests are rejected and provably do not run.
    pub queue_capacity: usize,
    /// Maximum number of proxies with a connection to the same replica.
    pub max_connections: usize,
    /// The idle time after which a connection may be closed.
    pub idle_connection_timeout: Span,
    /// The time-out of a proxy for a response.
    pub request_timeout: Span,
    /// The request classes.
    pub request_classes: Vec<RequestClassSpec>,
    /// The speed of a newly started replica as a fraction of its full speed.
    pub initial_warmth: f64,
    /// The time until a newly started replica reaches its full speed.
    pub warm_up: Span,
    /// The load factor above which a cold replica crashes.
    pub cold_overload_factor: f64,
    /// The time that a restart of a replica takes.
    pub restart_delay: Span,
    /// The rate of a controller's channel to all proxies together, in lines per second.
    pub lines_per_second: f64,
    /// Lines of each message in addition to its commands.
    pub lines_per_message: f64,
    /// Maximum number of lines queued in a channel.
    pub max_queued_lines: f64,
    /// Maximum number of messages to one proxy within a window; 0 for no limit.
    pub max_messages_per_window: u32,
    /// The window for `max_messages_per_window`.
    pub message_window: Span,
    /// The time after the start of a drain in which requests may still be sent to the replica.
    pub drain_grace: Span,
    /// The time for which a proxy may have no endpoint for a slice.
    pub empty_table_grace: Span,
}

impl Default for ScenarioConfig {
    fn default() -> Self {
        ScenarioConfig::small()
    }
}

impl ScenarioConfig {
    /// Returns the configuration of a small fleet with one controller.
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

    /// Returns the configuration of a large production fleet with three controllers.
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

    /// Returns the capacity of a warm replica in requests per second.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 / self.service_time.seconds()
    }

    /// Returns the total request rate of all clients in requests per second, without the demand that faults add.
    pub fn offered_rate(&self) -> f64 {
        self.capacity() * self.replicas as f64 * self.load
    }

    /// Returns the name of the zone of the replica or proxy with this index.
    pub fn zone(&self, index: usize) -> String {
        format!("p{}", index % self.zones)
    }

    /// Returns the settings of the controller with this index, with the keys of its configuration file.
    pub fn settings(&self, controller: usize) -> serde_json::Value {
        let class_settings = |class: &RequestClassSpec| {
            serde_json::json!({
                "name": class.name, "value": class.priority_weight, "targetNs": class.latency_objective.as_ns()
            })
        };
        serde_json::json!({
            "classes": self.request_classes.iter().map(class_settings).collect::<Vec<_>>(),
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

/// Returns a class of idempotent reads, and a class of writes with a smaller traffic share and a higher priority.
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
