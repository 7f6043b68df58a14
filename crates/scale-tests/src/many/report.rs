//! Formats the results of a run as Markdown tables.

use super::events::{Costs, Outcome, Results};
use super::plan::{ControllerId, Plan};
use super::tracker::{EventProgress, SentBytes, Traffic};
use hdrhistogram::Histogram;
use std::fmt::Write;
use std::time::Duration;

/// Significant digits of the histograms of times in microseconds.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Returns the complete report.
pub fn table(plan: &Plan, results: &Results) -> String {
    let mut text = String::new();
    _ = write_report(&mut text, plan, results);
    text
}

fn write_report(text: &mut String, plan: &Plan, results: &Results) -> std::fmt::Result {
    writeln!(
        text,
        "{} controllers: {} processes, {} in-process. {} replicas in {} zones, {} regions; {} slices and {} proxies \
         per controller; one report on each replica every {:.1} s (processes) and {:.1} s (in-process); size of the \
         full endpoint list: {} bytes. Region partitioned for {:.0} s (processes) and {:.0} s by their own clocks \
         (in-process). {} of {} processes had a slice on the replica that is drained while idle. \
         Load average of the machine over one minute, including unrelated processes: {:.1} before, {:.1} after.\n",
        plan.controllers(),
        plan.real,
        plan.simulated,
        plan.replicas,
        plan.zones,
        plan.regions,
        plan.slices,
        plan.proxies,
        plan.report_period.as_secs_f64(),
        plan.simulated_report_period.as_secs_f64(),
        results.list_bytes,
        plan.partition_duration.as_secs_f64(),
        plan.virtual_partition_duration.as_secs_f64(),
        results.controllers_on_drained_replica,
        plan.real,
        results.machine_load[0],
        results.machine_load[1],
    )?;
    write_times(text, plan, &results.outcomes)?;
    write_sent_bytes(text, &results.outcomes)?;
    write_costs(text, plan, results)
}

fn write_times(text: &mut String, plan: &Plan, outcomes: &[Outcome]) -> std::fmt::Result {
    writeln!(
        text,
        "| event | controllers | completed | p50 ms | p99 ms | max ms | trigger ms | own CPU time: p50 ms | p99 ms | \
         max ms |"
    )?;
    writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")?;
    for outcome in outcomes {
        let progress = &outcome.progress;
        let (event, trigger_ms) = (outcome.event, milliseconds(outcome.trigger_time));
        let row = times_row(progress, |controller| plan.is_real(controller));
        writeln!(text, "| {event} | processes | {row} | {trigger_ms:.1} | - | - | - |")?;
        let row = times_row(progress, |controller| !plan.is_real(controller));
        let processor_time: Vec<_> = progress.processor_time.values().copied().collect();
        let [median, p99, max] = percentiles(&processor_time).map(milliseconds);
        writeln!(text, "| {event} | in-process | {row} | - | {median:.1} | {p99:.1} | {max:.1} |")?;
    }
    writeln!(text)
}

/// Returns the cells with the number of selected controllers that completed the event, and percentiles of their times.
fn times_row(progress: &EventProgress, is_selected: impl Fn(ControllerId) -> bool) -> String {
    let completed = progress.times.iter().filter(|(controller, _)| is_selected(**controller));
    let times: Vec<_> = completed.map(|(_, time)| *time).collect();
    let missing = progress.missing.keys().filter(|controller| is_selected(**controller)).count();
    let [median, p99, max] = percentiles(&times).map(milliseconds);
    format!("{} of {} | {median:.1} | {p99:.1} | {max:.1}", times.len(), times.len() + missing)
}

/// Returns the median, the 99th percentile and the maximum.
fn percentiles(times: &[Duration]) -> [Duration; 3] {
    let Ok(mut histogram) = Histogram::<u64>::new(SIGNIFICANT_DIGITS) else { return [Duration::ZERO; 3] };
    times.iter().for_each(|time| _ = histogram.record(time.as_micros() as u64));
    [histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99), histogram.max()]
        .map(Duration::from_micros)
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn write_sent_bytes(text: &mut String, outcomes: &[Outcome]) -> std::fmt::Result {
    writeln!(text, "| event | controllers | endpoint lists KB | peak KB/s | relay events KB | peak KB/s |")?;
    writeln!(text, "| --- | --- | --- | --- | --- | --- |")?;
    for outcome in outcomes {
        for (name, sent_bytes) in
            [("processes", &outcome.progress.real), ("in-process", &outcome.progress.simulated)]
        {
            let [lists, list_peak] = kilobytes(sent_bytes, Traffic::List);
            let [relay_events, relay_event_peak] = kilobytes(sent_bytes, Traffic::RelayEvent);
            let event = outcome.event;
            writeln!(
                text,
                "| {event} | {name} | {lists:.1} | {list_peak:.0} | {relay_events:.1} | {relay_event_peak:.0} |"
            )?;
        }
    }
    writeln!(text)
}

/// Returns the total in kB, and the peak rate in kB/s.
fn kilobytes(sent_bytes: &SentBytes, traffic: Traffic) -> [f64; 2] {
    [sent_bytes.bytes(traffic) as f64 / 1e3, sent_bytes.peak_bytes_per_second(traffic) / 1e3]
}

fn write_costs(text: &mut String, plan: &Plan, results: &Results) -> std::fmt::Result {
    writeln!(
        text,
        "| period | seconds | CPU time per process, ms | % of a core | memory per process, MB | CPU time per \
         in-process controller, ms | % of a core | fakes and harness, cores | \
         harness with in-process controllers, MB | threads |"
    )?;
    writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")?;
    let events = results.outcomes.iter().map(|outcome| (outcome.event, &outcome.costs));
    let mut rows: Vec<_> = events.collect();
    rows.insert(1, ("idle", &results.idle));
    for (name, costs) in rows {
        write_cost(text, plan, name, costs)?;
    }
    let bare_kb = results.bare_harness.memory_kb;
    let kb_per_controller =
        results.idle.harness.memory_kb.saturating_sub(bare_kb) as f64 / plan.simulated.max(1) as f64;
    writeln!(
        text,
        "\nMemory of the harness without in-process controllers: {:.1} MB; each in-process controller adds {:.2} MB \
         while idle.",
        bare_kb as f64 / 1e3,
        kb_per_controller / 1e3,
    )
}

fn write_cost(text: &mut String, plan: &Plan, name: &str, costs: &Costs) -> std::fmt::Result {
    let seconds = costs.elapsed.as_secs_f64().max(1e-9);
    let ms_per_controller = |time: Duration, count: usize| milliseconds(time) / count.max(1) as f64;
    let (real, simulated) = (
        ms_per_controller(costs.real.processor_time, plan.real),
        ms_per_controller(costs.simulated, plan.simulated),
    );
    // Converts milliseconds of CPU time in the period to a percentage of one core.
    let percent = |cpu_ms: f64| cpu_ms / seconds / 10.0;
    let harness_time = costs.harness.processor_time.saturating_sub(costs.simulated);
    writeln!(
        text,
        "| {name} | {seconds:.2} | {real:.1} | {:.2} | {:.1} | {simulated:.1} | {:.2} | {:.2} | {:.0} | {} |",
        percent(real),
        costs.real.memory_kb as f64 / plan.real.max(1) as f64 / 1e3,
        percent(simulated),
        harness_time.as_secs_f64() / seconds,
        costs.harness.memory_kb as f64 / 1e3,
        costs.harness.threads,
    )
}
