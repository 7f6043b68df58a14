//! Facts about the deployment that a controller gets when it starts. No decisions are made here.

use crate::time::Span;

/// The properties of a request class that decisions depend on.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The value of an answered request. Classes of lower weight are shed first.
    pub priority_weight: f64,
    /// The latency above which an answer is late.
    pub target_latency: Span,
}

/// The properties of a deployment, from its settings.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The request classes, in the order that request class indices refer to.
    pub request_classes: Vec<RequestClass>,
    /// The usual time between two reports. A report that covers more time was delayed.
    pub report_period: Span,
    /// True if the replica list is pushed without a request; otherwise it must be requested.
    pub list_pushed: bool,
    /// True if a replica that is removed from the list may still be used. A replica that is listed as draining may
    /// not be used in either case.
    pub delisting_is_advisory: bool,
    /// True if the listed weights are meaningful and constant.
    pub weights_known: bool,
    /// True if proxies can admit a share of a request class.
    pub admission_supported: bool,
    /// The number of controllers of the deployment.
    pub controller_count: u32,
    /// The zero-based index of this controller among them.
    pub controller_index: u32,
    /// The number of proxies of the deployment, whether or not they are connected to this controller; 0 if
    /// unknown.
    pub fleet_size: u32,
    /// The number of slices of all controllers; 0 if unknown.
    pub slice_count: u32,
    /// True if a slice has one owner at a time, so that its table has a single endpoint.
    pub single_writer: bool,
    /// The lease of a routing table at a disconnected proxy: the time for which the proxy still sends writes by
    /// it after its stream was lost.
    pub table_lease: Span,
    /// The maximum time for which a write can be in flight.
    pub write_lifetime: Span,
    /// The share of its full capacity that a replica has when it starts.
    pub cold_capacity_share: f64,
    /// The time after its start during which a replica is warming up.
    pub warm_up: Span,
    /// The multiple of its capacity at which load makes a replica collapse.
    pub collapse_multiple: f64,
    /// The time for which proxies may continue to send to a replica that is draining or gone.
    pub drain_grace: Span,
    /// The overhead of a message in addition to its lines, expressed in lines.
    pub message_overhead_lines: f64,
    /// The number of lines per second that the command channel delivers in normal operation.
    pub lines_per_second: f64,
    /// The number of lines that the command channel can queue.
    pub queue_capacity_lines: f64,
    /// The maximum number of messages to one proxy within `message_window`; 0 means no limit.
    pub message_limit: u32,
    /// The time window that `message_limit` applies to.
    pub message_window: Span,
}
