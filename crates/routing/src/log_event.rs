//! What the reducer logs: a constant message, then fields as `name=value`.

use crate::outbox::Outcome;
use crate::source_failures::Source;
use std::fmt;
use whinwall_overrides::StoreEvent;
use whinwall_policy::api::ChannelLoad;
use whinwall_policy::time::Span;

/// Names an attempt at a relay request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLabel {
    /// The version that proxies acknowledge; none where the request reaches no proxy.
    pub version: Option<u16>,
    /// The number of its commands.
    pub commands: usize,
    /// Which attempt this is, from 1 on.
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

/// Writes the fields of a channel's load.
fn write_channel(f: &mut fmt::Formatter, channel: &ChannelLoad) -> fmt::Result {
    let ChannelLoad { proxies, unacked_lines, capacity_lines } = channel;
    write!(f, " proxies={proxies} unacked_lines={unacked_lines:.0} capacity_lines={capacity_lines:.0}")
}

/// A line for the log. Its text is a constant message with fields.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The relay watch has delivered all current state.
    SnapshotComplete {
        /// The number of connected proxies.
        proxies: usize,
        /// The number of slices of this controller.
        slices: usize,
        /// The number of slices whose routing table was not as it was left.
        changed_slices: usize,
        /// The number of replicas that are known.
        replicas: usize,
    },
    /// A source of information has failed for the first time since it worked.
    SourceFailed {
        /// The source.
        source: Source,
        /// What went wrong.
        reason: String,
    },
    /// A source of information works again.
    SourceRecovered {
        /// The source.
        source: Source,
        /// The number of failures before.
        failures: u32,
    },
    /// A request goes to the relay.
    RequestSent {
        /// Which one.
        request: RequestLabel,
        /// What may wait in the channel once it is carried out.
        channel: ChannelLoad,
    },
    /// The relay has accepted some or all commands of a request.
    RequestAccepted {
        /// Which one.
        request: RequestLabel,
        /// The number of accepted commands.
        accepted: usize,
    },
    /// An attempt at a request has failed; it is resent.
    RequestAttemptFailed {
        /// Which one.
        request: RequestLabel,
        /// Whether it may have been carried out.
        outcome: Outcome,
        /// What went wrong.
        reason: String,
    },
    /// A request waits to be resent until the channel has room for its being carried out once more.
    ResendHeld {
        /// Which one.
        request: RequestLabel,
        /// What may wait in the channel without it.
        channel: ChannelLoad,
    },
    /// The relay stopped twice at a command, which is not sent again.
    CommandSkipped {
        /// The command as the relay reads it.
        command: String,
    },
    /// The relay rejected a request, which is not sent again.
    RequestRejected {
        /// The relay's response.
        reason: String,
    },
    /// The relay sent a response without a request: the store is read again.
    UnsolicitedResponse,
    /// A collector's message changes nothing.
    ReportIgnored {
        /// What is wrong with it.
        reason: String,
    },
    /// A collector's connection is closed, as what it sends cannot be decoded.
    CollectorDisconnected {
        /// What is wrong with it.
        reason: String,
    },
    /// The overrides of the operators' file cannot be used; the former ones stay.
    OverrideConfigRejected {
        /// What is wrong with them.
        reason: String,
    },
    /// An event of the override store.
    Override(StoreEvent),
    /// A replica is ejected as an outlier.
    ReplicaEjected {
        /// Its name.
        replica: String,
        /// Why.
        reason: &'static str,
    },
    /// No aggregated report arrived for too long; routing tables and admission stay as they are.
    ReportsStale {
        /// The time since the last report.
        silence: Span,
    },
    /// Aggregated reports on everything arrive again.
    ReportsFresh {
        /// The time without reports.
        silence: Span,
    },
    /// The controller steers all replicas from now on.
    SubsettingDisabled,
    /// A subset of the replicas was computed for another fleet.
    SubsetAssigned {
        /// The number of controllers of the fleet.
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
            LogEvent::SourceFailed { source, reason } => {
                write!(f, "{} failed reason={reason:?}", source.log_name())
            }
            LogEvent::SourceRecovered { source, failures } => {
                write!(f, "{} recovered failures={failures}", source.log_name())
            }
            LogEvent::RequestSent { request, channel } => {
                write!(f, "relay request sent {request}")?;
                write_channel(f, channel)
            }
            LogEvent::RequestAccepted { request, accepted } => {
                write!(f, "relay request accepted {request} accepted={accepted}")
            }
            LogEvent::RequestAttemptFailed { request, outcome, reason } => {
                write!(f, "relay request attempt failed {request} outcome={outcome} reason={reason:?}")
            }
            LogEvent::ResendHeld { request, channel } => {
                write!(f, "relay request held, no room in the channel {request}")?;
                write_channel(f, channel)
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
