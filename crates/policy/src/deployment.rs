//! What a controller is told of its deployment when it starts. It holds facts only: nothing here decides.

use crate::time::Span;

/// One row an request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub priority_weight: f64,
    pub target_latency: Span,
}

#[derive(Clone, Debug)]
pub struct Deployment {
    pub request_classes: Vec<RequestClass>,
    /// Reports are gathered this often; one that covers more has waited.
    pub report_period: Span,
    /// The list of replicas is pushed unasked; where false it must be subscribed to.
    pub list_pushed: bool,
    /// A replica that the list drops need not be left; one that it shows as draining must be.
    pub gone_is_advice: bool,
    /// The list's sizes mean something and stand still.
    pub sizes_known: bool,
    /// A share of an request class can be let in.
    pub levels_followed: bool,
    /// Controllers of this deployment, and which of them this is, from 0 on.
    pub controllers: u32,
    pub number: u32,
    /// Slices of all controllers together; 0 where that is not known.
    pub slices: u32,
    /// A slice has one owner at a time, and its table one line.
    pub single_writer: bool,
    /// How long a proxy still sends writes once its stream broke, and how long a write stays in hand.
    pub tenure: Span,
    pub write_lifetime: Span,
    pub cold_share: f64,
    pub warm_after: Span,
    pub fall_multiple: f64,
    /// Proxies may go on sending for so long to a replica that drains or is gone.
    pub drain_grace: Span,
    /// Lines that a message costs besides its own.
    pub message_head: f64,
    /// Lines a second that the channel sends when all is well.
    pub pace: f64,
    /// Lines that may wait in the channel.
    pub queue_cap: f64,
    /// Messages to one proxy within `message_window`; 0 means no cap.
    pub message_cap: u32,
    pub message_window: Span,
}
