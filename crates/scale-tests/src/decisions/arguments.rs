//! Arguments of the subcommand `decisions`. The doc comments of the fields are printed by `--help`.

use super::error::SweepError;
use super::plan::{Plan, ScenarioKind};
use std::path::PathBuf;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_policy::time::Span;

/// Arguments of the subcommand.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Replicas of the emulated fleet
    #[arg(long, default_value_t = 120)]
    pub replicas: usize,
    /// Slices of the emulated fleet
    #[arg(long, default_value_t = 660)]
    pub slices: usize,
    /// Proxies of the emulated fleet
    #[arg(long, default_value_t = 300)]
    pub proxies: usize,
    /// What comes, as a part of what warm replicas can do together
    #[arg(long, default_value_t = 0.5)]
    pub load: f64,
    /// Seconds that each report of a replica covers, as an aggregator may stretch them
    #[arg(long, default_value_t = 1)]
    pub load_window: u32,
    /// Virtual seconds a day lasts
    #[arg(long, default_value_t = 40)]
    pub seconds: u64,
    /// Virtual seconds until troubles begin
    #[arg(long = "begins", value_name = "BEGINS", default_value_t = 10)]
    pub faults_begin_s: u64,
    /// Numbers of governors to compare
    #[arg(long = "governors", value_name = "GOVERNORS", value_delimiter = ',', default_values_t = [1, 5, 20, 60, 200])]
    pub controllers: Vec<usize>,
    /// The number of governors that the others are compared with
    #[arg(long, default_value_t = 5)]
    pub reference: usize,
    /// Kinds of days
    #[arg(long = "days", value_name = "DAYS", value_enum, value_delimiter = ',', default_values_t = ScenarioKind::ALL)]
    pub scenarios: Vec<ScenarioKind>,
    /// Sizes of the subsets of replicas that governors steer; 0 plays without subsets
    #[arg(long, value_delimiter = ',', default_values_t = [0])]
    pub subsets: Vec<usize>,
    /// Seeds, counted from 1
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Days that are played at the same time
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// Which build is played, for the rows
    #[arg(long, default_value = "unnamed")]
    pub commit: String,
    /// The folder for the rows (Parquet) and the table
    #[arg(long)]
    pub out: Option<PathBuf>,
}

impl Args {
    /// Builds the plan of the sweep from the arguments.
    ///
    /// # Errors
    ///
    /// When a count that must be at least 1 is 0.
    pub fn plan(&self) -> Result<Plan, SweepError> {
        let counts = [
            ("replicas", self.replicas),
            ("slices", self.slices),
            ("proxies", self.proxies),
            ("seeds", self.seeds as usize),
            ("seconds", self.seconds as usize),
            ("governors", self.controllers.iter().copied().min().unwrap_or(0)),
        ];
        if let Some((name, _)) = counts.iter().find(|(_, count)| *count == 0) {
            return Err(SweepError::Zero(name));
        }
        let fleet = ScenarioConfig {
            replicas: self.replicas,
            slices: self.slices,
            proxies: self.proxies,
            load: self.load,
            report_window_seconds: self.load_window,
            duration: Span::ms(self.seconds * 1000),
            ..ScenarioConfig::large()
        };
        Ok(Plan {
            fleet,
            controllers: self.controllers.clone(),
            subsets: self.subsets.clone(),
            kinds: self.scenarios.clone(),
            faults_begin_ms: self.faults_begin_s * 1000,
            seeds: (1..=self.seeds).collect(),
        })
    }
}
