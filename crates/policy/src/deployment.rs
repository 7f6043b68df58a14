//! What a controller is told of its deployment when it starts. It holds facts only: nothing here decides.

use crate::time::Span;

/// A kind of request, as far as decisions depend on it.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// How much an answered request is worth: classes of less weight are shed first.
    pub priority_weight: f64,
    /// Answers that take longer are late.
    pub target_latency: Span,
}

/// The facts of a deployment, from its settings.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The request classes, in the order that their positions refer to.
    pub request_classes: Vec<RequestClass>,
    /// The usual time between two reports; a report that covers more was delayed.
    pub report_period: Span,
    /// Whether the replica list is pushed unasked; where false it must be requested.
    pub list_pushed: bool,
    /// Whether a replica that the list drops may still be used; one that it shows as draining may not.
    pub delisting_is_advisory: bool,
    /// Whether the list's weights are meaningful and constant.
    pub weights_known: bool,
    /// Whether proxies can admit a share of a request class.
    pub admission_supported: bool,
    /// How many controllers this deployment has.
    pub controller_count: u32,
    /// Which of them this is, from 0 on.
    pub controller_index: u32,
    /// How many proxies this deployment has, connected to this controller or not; 0 where that is not known.
    pub fleet_size: u32,
    /// Slices of all controllers together; 0 where that is not known.
    pub slice_count: u32,
    /// Whether a slice has one owner at a time, so that its table has one endpoint.
    pub single_writer: bool,
    /// How long a proxy still sends writes after its stream broke.
    pub tenure: Span,
    /// How long a write can be in flight.
    pub write_lifetime: Span,
    /// The share of its capacity that a replica has when it starts.
    pub cold_capacity_share: f64,
    /// How long after its start a replica is warming up.
    pub warm_up: Span,
    /// A replica collapses when it is sent this multiple of its capacity.
    pub collapse_multiple: f64,
    /// How long proxies may go on sending to a replica that drains or is gone.
    pub drain_grace: Span,
    /// What a message costs besides its own lines, in lines.
    pub message_overhead_lines: f64,
    /// Lines a second that the command channel delivers when all is well.
    pub lines_per_second: f64,
    /// Lines that may wait in the command channel.
    pub queue_capacity_lines: f64,
    /// Messages to one proxy within `message_window`; 0 means no limit.
    pub message_limit: u32,
    /// The time over which `message_limit` counts.
    pub message_window: Span,
}
