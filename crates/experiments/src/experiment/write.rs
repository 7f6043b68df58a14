//! Writes an experiment as XML.

use super::fault_xml::write_fault;
use super::names::policy_name;
use super::{Case, CaseFaults, Experiment};
use std::fmt::Write;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_overrides::text;

/// The version of the file format.
pub(super) const VERSION: &str = "1";

impl Experiment {
    /// Formats the experiment as XML in a canonical form, so that its hash does not depend on the white space of the
    /// file that it was read from.
    pub fn to_xml(&self) -> String {
        let mut text = format!("<experiment name=\"{}\" version=\"{VERSION}\">\n", self.name);
        let ScenarioConfig { controllers, load, duration, replicas, slices, proxies, .. } = &self.config;
        let (size, duration) = (self.size.name(), text::format_duration(*duration));
        _ = writeln!(text, "  <world size=\"{size}\" governors=\"{controllers}\" load=\"{load}\" lasts=\"{duration}\" servers=\"{replicas}\" slices=\"{slices}\" proxies=\"{proxies}\"/>");
        let (from, to) = (self.seeds.first().unwrap_or(&0), self.seeds.last().unwrap_or(&0));
        _ = writeln!(text, "  <seeds from=\"{from}\" to=\"{to}\"/>");
        for policy in &self.policies {
            _ = writeln!(text, "  <way policy=\"{}\"/>", policy_name(*policy));
        }
        if self.varied.is_some() {
            let values: Vec<_> = self.values.iter().map(f64::to_string).collect();
            _ = writeln!(text, "  <vary what=\"{}\" values=\"{}\"/>", self.varied_name(), values.join(" "));
        }
        self.cases.iter().for_each(|case| write_case(&mut text, case));
        text + "</experiment>\n"
    }

    /// Returns the CRC-32 of the canonical form, which identifies the experiment in results.
    pub fn hash(&self) -> u32 {
        crc32fast::hash(self.to_xml().as_bytes())
    }
}

fn write_case(text: &mut String, Case { name, faults }: &Case) {
    match faults {
        CaseFaults::Random(count) => _ = writeln!(text, "  <case name=\"{name}\" drawn=\"{count}\"/>"),
        CaseFaults::Given(faults) => {
            _ = writeln!(text, "  <case name=\"{name}\">");
            faults.iter().for_each(|fault| write_fault(text, fault));
            text.push_str("  </case>\n");
        }
    }
}
