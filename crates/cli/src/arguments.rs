//! The command line. clap prints the doc comments of its types and fields as help texts, which tests compare in full.

use crate::tables::{Listing, OutputFormat};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use whinwall_management_api::client::ManagementAddress;
use whinwall_overrides::{text, OverrideKind};
use whinwall_policy::api::SliceId;
use whinwall_policy::time::Span;

/// Speaks to running whinwall governors, and checks their files
#[derive(Parser)]
#[command(
    name = "whinwall",
    version,
    after_help = "Exit codes: 0 done; 1 done in part, or the outcome is unknown; 2 refused, or a file or argument is \
        faulty;\n3 no governor could be reached; 4 governors disagree on what stands; 5 done, but not on disk yet: a \
        restart may undo it.\n\n\
        Examples:\n  \
        whinwall -g /run/whinwall/n0.sock override set out s-3 --for 30m --reason 'disk is failing'\n  \
        whinwall -g /run/whinwall/n0.sock -g /run/whinwall/n1.sock override list\n  \
        whinwall -g 127.0.0.1:8600 --token-file /etc/whinwall/token status\n  \
        whinwall check deploy/operators.xml deploy/example.json"
)]
pub(crate) struct Arguments {
    #[command(flatten)]
    pub connection: ConnectionOptions,
    #[command(subcommand)]
    pub command: Command,
}

// The controllers to call, and the time limit for retries. This is not a doc comment because clap would use it as the
// help text of the command.
#[derive(Args, Clone)]
pub(crate) struct ConnectionOptions {
    /// A governor's management front: the path of its socket, or its address; may be given several times
    #[arg(
        short = 'g',
        long = "governor",
        global = true,
        env = "WHINWALL_GOVERNORS",
        value_delimiter = ',',
        value_name = "PLACE"
    )]
    pub controllers: Vec<ManagementAddress>,
    /// The file with the token, for fronts at an address
    #[arg(long, global = true, env = "WHINWALL_TOKEN_FILE", value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// How long a call is made again that failed, or whose outcome is unknown
    #[arg(
        long = "keep-trying",
        global = true,
        default_value = "10s", value_parser = text::parse_duration, value_name = "SPAN")]
    pub retry_time_limit: Span,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Overrides: what holds for a while, whatever the list says
    #[command(subcommand)]
    Override(OverrideCommand),
    /// What each governor knows, and what fails there
    Status {
        #[arg(long)]
        json: bool,
    },
    /// Checks configuration files: .xml the operators' own, others the platform's
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Prints completions for a shell
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
pub(crate) enum OverrideCommand {
    /// Sets one that ends by itself
    #[command(subcommand)]
    Set(SetCommand),
    /// Ends one before its time
    Clear {
        id: String,
        /// Who clears it
        #[arg(long, env = "USER", default_value = "unknown")]
        author: String,
    },
    /// Shows those that stand, with their state, its cause and their end
    List {
        #[arg(long)]
        json: bool,
        /// Those too that have ended, for as long as they are known
        #[arg(long)]
        ended: bool,
    },
}

#[derive(Subcommand)]
pub(crate) enum SetCommand {
    /// A factor on a server's listed size
    #[command(
        after_help = "Example: whinwall -g n0.sock override set weight s-3 0.5 --for 2h --reason 'half its memory'"
    )]
    Weight {
        #[arg(value_name = "SERVER")]
        replica: String,
        factor: f64,
        #[command(flatten)]
        options: SetOptions,
    },
    /// Takes a server out of service
    #[command(
        after_help = "Example: whinwall -g n0.sock override set out s-3 --for 30m --reason 'disk is failing'"
    )]
    Out {
        #[arg(value_name = "SERVER")]
        replica: String,
        #[command(flatten)]
        options: SetOptions,
    },
    /// Brings a slice, or a range of slices, to a server
    #[command(
        after_help = "Example: whinwall -g n0.sock override set pin 40-47 s-3 --for 1h --reason 'audit'"
    )]
    Pin {
        /// One slice, or the first and the last: 17, 40-47
        #[arg(value_parser = text::parse_slices)]
        slices: (SliceId, SliceId),
        #[arg(value_name = "SERVER")]
        replica: String,
        #[command(flatten)]
        options: SetOptions,
    },
}

// The options that all kinds of override share. Not a doc comment, for the same reason as that of `ConnectionOptions`.
#[derive(Args, Clone)]
pub(crate) struct SetOptions {
    /// When it ends, from now: 90s, 30m, 1h30m, 2d
    #[arg(long = "for", value_parser = text::parse_duration, value_name = "SPAN")]
    pub duration: Span,
    /// Why; it is always shown with it
    #[arg(long)]
    pub reason: String,
    /// Who sets it
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Its id; drawn where not given. The same id said again sets nothing twice
    #[arg(long)]
    pub id: Option<String>,
}

impl SetCommand {
    /// Returns the kind of the override and the options that all kinds share.
    pub fn into_kind_and_options(self) -> (OverrideKind, SetOptions) {
        match self {
            SetCommand::Weight { replica, factor, options } => {
                (OverrideKind::Weight { replica, factor }, options)
            }
            SetCommand::Out { replica, options } => (OverrideKind::Out { replica }, options),
            SetCommand::Pin { slices: (first, last), replica, options } => {
                (OverrideKind::Pin { first, last, replica }, options)
            }
        }
    }
}

/// Converts the value of the flag `--json`.
impl From<bool> for OutputFormat {
    fn from(is_json: bool) -> Self {
        if is_json {
            OutputFormat::Json
        } else {
            OutputFormat::Table
        }
    }
}

/// Converts the value of the flag `--ended`.
impl From<bool> for Listing {
    fn from(with_ended: bool) -> Self {
        if with_ended {
            Listing::All
        } else {
            Listing::Active
        }
    }
}
