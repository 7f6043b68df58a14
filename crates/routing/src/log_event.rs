//! The log events of the reducer. Each is written as a constant message followed by `name=value` fields.

use crate::outbox::Outcome;
use crate::source_failures::Source;
use std::fmt;
use whinwall_overrides::StoreEvent;
use whinwall_policy::api::{ChannelLoad, ColdReplicaLoad, HeaviestSlice, SliceId, SlowStartBasis};
use whinwall_policy::time::Span;

/// Identifies one attempt of a relay request in the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLabel {
    /// The version that proxies acknowledge; `None` if the request reaches no proxy.
    pub version: Option<u16>,
    /// The number of commands in the request.
    pub commands: usize,
    /// The number of the attempt, counted from 1.
    pub attempt: u32,
}

impl fmt::Display for RequestLabel {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.version {
            Some(version) => write!(f, "version={version}")?,
            None => f.write_str("version=none")?,
        }
        write!(f, " commands={} attempt={}", self.commands, self.attempt)
    }
}

fn write_channel_load(f: &mut fmt::Formatter, channel: &ChannelLoad) -> fmt::Result {
    let ChannelLoad { proxies, unacked_lines, capacity_lines } = channel;
    write!(f, " proxies={proxies} unacked_lines={unacked_lines:.0} capacity_lines={capacity_lines:.0}")
}

/// An event to write to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The relay watch delivered the complete current state.
    SnapshotComplete {
        /// The number of connected proxies.
        proxies: usize,
        /// The number of slices granted to this controller.
        slices: usize,
        /// The number of slices whose routing table differs from the known one.
        changed_slices: usize,
        /// The number of known replicas.
        replicas: usize,
    },
    /// The program was suspended. The relay watch is opened again.
    Suspended {
        /// The time since the input was last drained.
        gap: Span,
    },
    /// A source of information failed for the first time since it last worked.
    SourceFailed {
        /// The source.
        source: Source,
        /// The error.
        reason: String,
    },
    /// A source of information works again.
    SourceRecovered {
        /// The source.
        source: Source,
        /// The number of failures before the recovery.
        failures: u32,
    },
    /// A request was sent to the relay.
    RequestSent {
        /// The attempt.
        request: RequestLabel,
        /// The estimated load of the command channel, including this request.
        channel: ChannelLoad,
    },
    /// The relay accepted some or all commands of a request.
    RequestAccepted {
        /// The attempt.
        request: RequestLabel,
        /// The number of accepted commands.
        accepted: usize,
    },
    /// An attempt of a request failed; the request is resent.
    RequestAttemptFailed {
        /// The attempt.
        request: RequestLabel,
        /// Whether the request may have been applied.
        outcome: Outcome,
        /// The error.
        reason: String,
    },
    /// A request is not resent until the command channel has room for a second copy of it.
    ResendHeld {
        /// The attempt.
        request: RequestLabel,
        /// The estimated load of the command channel without the second copy.
        channel: ChannelLoad,
    },
    /// The relay stopped at the same command twice; the command is not sent again.
    CommandSkipped {
        /// The encoded command.
        command: String,
    },
    /// The relay rejected a request; the request is not sent again.
    RequestRejected {
        /// The relay's response.
        reason: String,
    },
    /// The relay sent a response without a request; its store is read again.
    UnsolicitedResponse,
    /// A message of a collector was ignored.
    ReportIgnored {
        /// The reason.
        reason: String,
    },
    /// The connection of a collector is closed because its input cannot be decoded.
    CollectorDisconnected {
        /// The decoding error.
        reason: String,
    },
    /// The overrides in the operators' file are invalid; the previous ones stay in force.
    OverrideConfigRejected {
        /// The validation error.
        reason: String,
    },
    /// An event of the override store.
    Override(StoreEvent),
    /// A replica is ejected as an outlier.
    ReplicaEjected {
        /// The name of the replica.
        replica: String,
        /// The cause of the ejection.
        reason: &'static str,
    },
    /// A replica that is warming up became an owner of a slice.
    ColdReplicaAssigned {
        /// The name of the replica.
        replica: String,
        /// The slice.
        slice: SliceId,
        /// What the decision was based on.
        basis: SlowStartBasis,
    },
    /// The demand at a replica that is warming up exceeds its slow-start budget.
    ColdReplicaOverBudget {
        /// The name of the replica.
        replica: String,
        /// What is known of its load.
        load: ColdReplicaLoad,
    },
    /// Aggregated reports are stale; routing tables and admission rates stay unchanged.
    ReportsStale {
        /// The time since the last report arrived.
        silence: Span,
    },
    /// Aggregated reports on all replicas and slices arrive again.
    ReportsFresh {
        /// The time from the last report before the interruption until now.
        silence: Span,
    },
    /// Subsetting was switched off; the controller steers all replicas.
    SubsettingDisabled,
    /// A subset of the replicas was assigned after a change of the fleet.
    SubsetAssigned {
        /// The number of controllers in the fleet.
        controllers: usize,
        /// The number of replicas that this controller steers.
        own_replicas: usize,
        /// The number of replicas in the registry.
        listed_replicas: usize,
        /// The configured size of a subset.
        subset_size: usize,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LogEvent::SnapshotComplete { proxies, slices, changed_slices, replicas } => write!(
                f,
                "relay snapshot complete proxies={proxies} slices={slices} \
                 changed_slices={changed_slices} replicas={replicas}"
            ),
            LogEvent::Suspended { gap } => write!(f, "program was suspended gap_s={:.1}", gap.seconds()),
            LogEvent::SourceFailed { source, reason } => {
                write!(f, "{} failed reason={reason:?}", source.log_name())
            }
            LogEvent::SourceRecovered { source, failures } => {
                write!(f, "{} recovered failures={failures}", source.log_name())
            }
            LogEvent::RequestSent { request, channel } => {
                write!(f, "relay request sent {request}")?;
                write_channel_load(f, channel)
            }
            LogEvent::RequestAccepted { request, accepted } => {
                write!(f, "relay request accepted {request} accepted={accepted}")
            }
            LogEvent::RequestAttemptFailed { request, outcome, reason } => {
                write!(f, "relay request attempt failed {request} outcome={outcome} reason={reason:?}")
            }
            LogEvent::ResendHeld { request, channel } => {
                write!(f, "relay request held, no room in the channel {request}")?;
                write_channel_load(f, channel)
            }
            LogEvent::CommandSkipped { command } => write!(f, "relay command skipped command={command}"),
            LogEvent::RequestRejected { reason } => write!(f, "relay request rejected reason={reason:?}"),
            LogEvent::UnsolicitedResponse => f.write_str("unsolicited relay response, rereading the store"),
            LogEvent::ReportIgnored { reason } => write!(f, "report ignored reason={reason}"),
            LogEvent::CollectorDisconnected { reason } => {
                write!(f, "collector disconnected reason={reason}")
            }
            LogEvent::OverrideConfigRejected { reason } => {
                write!(f, "override configuration rejected reason={reason:?}")
            }
            LogEvent::Override(event) => event.fmt(f),
            LogEvent::ReplicaEjected { replica, reason } => {
                write!(f, "replica ejected replica={replica} reason={reason:?}")
            }
            LogEvent::ColdReplicaAssigned { replica, slice, basis } => {
                write!(f, "slice assigned to cold replica replica={replica} slice={slice}")?;
                write_slow_start_basis(f, basis)
            }
            LogEvent::ColdReplicaOverBudget { replica, load } => write_cold_replica_load(f, replica, load),
            LogEvent::ReportsStale { silence } => {
                write!(f, "reports stale silence_s={:.0}", silence.seconds())
            }
            LogEvent::ReportsFresh { silence } => {
                write!(f, "reports fresh silence_s={:.0}", silence.seconds())
            }
            LogEvent::SubsettingDisabled => f.write_str("subsetting disabled"),
            LogEvent::SubsetAssigned { controllers, own_replicas, listed_replicas, subset_size } => write!(
                f,
                "subset assigned controllers={controllers} own_replicas={own_replicas} \
                 listed_replicas={listed_replicas} subset_size={subset_size}"
            ),
        }
    }
}

fn write_slow_start_basis(f: &mut fmt::Formatter, basis: &SlowStartBasis) -> fmt::Result {
    let SlowStartBasis { age, slice_demand, reduction, owners, granted_for, replica_demand, budget } = basis;
    write!(
        f,
        " age_s={:.1} slice_demand={slice_demand:.1} reduction={reduction:.2} owners={owners} granted_s={:.1} \
         replica_demand={replica_demand:.1} budget={budget:.1}",
        age.seconds(),
        granted_for.seconds()
    )
}

fn write_cold_replica_load(f: &mut fmt::Formatter, replica: &str, load: &ColdReplicaLoad) -> fmt::Result {
    let ColdReplicaLoad { age, demand, attempts, budget, slices, heaviest } = load;
    write!(
        f,
        "cold replica over budget replica={replica} demand={demand:.1} budget={budget:.1} age_s={:.1} \
         attempts={attempts:.1} slices={slices}",
        age.seconds()
    )?;
    let Some(heaviest) = heaviest else { return Ok(()) };
    let HeaviestSlice { slice, demand, demand_at_change, unchanged_for, owners } = heaviest;
    write!(
        f,
        " slice={slice} slice_demand={demand:.1} demand_at_change={demand_at_change:.1} \
         unchanged_s={:.1} owners={owners}",
        unchanged_for.seconds()
    )
}
