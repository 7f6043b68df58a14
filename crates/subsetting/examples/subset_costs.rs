//! Measures the computation of subsets for 650 controllers and 2,200 replicas in 9 zones: `cargo run --release -p
//! whinwall-subsetting --example subset_costs [subset size]`.

use std::time::Instant;
use whinwall_subsetting::{Assignment, Membership, Parameters, Planner, Replica};

const CONTROLLERS: usize = 650;
const REPLICAS: usize = 2200;
const ZONES: usize = 9;
const GROUPS: usize = 69;
/// Repetitions of each measurement of a complete computation.
const RUNS: usize = 20;
/// Replicas replaced, one at a time.
const CHANGES: usize = 470;

#[derive(Clone)]
struct Entry {
    id: String,
    zone: String,
    group: String,
}

impl Entry {
    fn borrow(&self) -> Replica<'_> {
        Replica { id: &self.id, zone: &self.zone, group: &self.group, weight: 1.0 }
    }
}

fn registry() -> Vec<Entry> {
    let entry = |number: usize| Entry {
        id: format!("replica-{number}"),
        zone: format!("zone-{}", number % ZONES),
        group: format!("group-{}", number / ZONES % GROUPS),
    };
    (0..REPLICAS).map(entry).collect()
}

fn borrow_all(entries: &[Entry]) -> Vec<Replica<'_>> {
    entries.iter().map(Entry::borrow).collect()
}

fn membership(leaving: Option<usize>) -> Membership {
    let members = (0..CONTROLLERS).filter(|number| Some(*number) != leaving);
    Membership::new(members.map(|number| format!("governor-{number}"))).expect("invalid controller names")
}

/// Prints the median and the maximum duration of the runs.
fn print_durations(what: &str, mut milliseconds: Vec<f64>) {
    milliseconds.sort_by(f64::total_cmp);
    let (median, longest) = (milliseconds[milliseconds.len() / 2], milliseconds[milliseconds.len() - 1]);
    println!("{what}: median {median:.2} ms, longest {longest:.2} ms, {} runs", milliseconds.len());
}

fn timed<T>(run: impl FnOnce() -> T) -> (f64, T) {
    let began = Instant::now();
    let result = run();
    (began.elapsed().as_secs_f64() * 1e3, result)
}

fn percentage(pairs: usize, all: &Assignment) -> f64 {
    100.0 * pairs as f64 / all.pair_count() as f64
}

fn print_shape(assignment: &Assignment) {
    let mut sizes: Vec<_> =
        assignment.membership().names().map(|name| assignment.subset_of(name).len()).collect();
    sizes.sort_unstable();
    let controllers: Vec<_> = assignment.replicas().map(|(_, controllers)| controllers.len()).collect();
    println!(
        "subsets: smallest {}, median {}, largest {}, bound {}; governors a replica: {} to {}",
        sizes[0],
        sizes[sizes.len() / 2],
        sizes[sizes.len() - 1],
        assignment.size_bound(),
        controllers.iter().min().unwrap_or(&0),
        controllers.iter().max().unwrap_or(&0),
    );
}

fn main() {
    let subset_size =
        std::env::args().nth(1).map_or(48, |text| text.parse().expect("the subset size is not a number"));
    let parameters = Parameters::new(subset_size).expect("the subset size is 0");
    let entries = registry();
    let all = borrow_all(&entries);

    let full = (0..RUNS).map(|_| timed(|| Assignment::compute(&membership(None), &all, &parameters)).0);
    print_durations("whole computation", full.collect());

    let mut planner = Planner::new(membership(None), parameters);
    let base = planner.assign(&all);
    print_shape(&base);

    let (mut times, mut total_moved, mut max_moved) = (Vec::new(), 0, 0);
    let mut latest = base.clone();
    let mut entries = entries.clone();
    for change in 0..CHANGES {
        // Replaces one replica at a time by a replica with a new name.
        entries[change * 4 % REPLICAS].id = format!("replacement-{change}");
        let replicas = borrow_all(&entries);
        let (time, next) = timed(|| planner.assign(&replicas));
        let moved = next.added_pair_count(&latest);
        (total_moved, max_moved, latest) = (total_moved + moved, max_moved.max(moved), next);
        times.push(time);
    }
    print_durations("a replica replaced", times);
    println!(
        "{CHANGES} replacements: {:.3}% of the pairs each on average, {:.3}% at the most",
        percentage(total_moved, &base) / CHANGES as f64,
        percentage(max_moved, &base)
    );

    let rest: Vec<_> = all.iter().filter(|replica| replica.zone != "zone-0").copied().collect();
    let base = planner.assign(&all);
    let (lost_time, lost) = timed(|| planner.assign(&rest));
    let (back_time, back) = timed(|| planner.assign(&all));
    println!(
        "a zone of {} lost: {lost_time:.2} ms, {:.2}% of the pairs are new; back: {back_time:.2} ms, {:.2}%, same: {}",
        all.len() - rest.len(),
        percentage(lost.added_pair_count(&base), &base),
        percentage(back.added_pair_count(&lost), &base),
        back == base,
    );

    let (mut times, mut total_moved, mut max_moved) = (Vec::new(), 0, 0);
    for leaving in 0..RUNS {
        let (time, without) = timed(|| Assignment::compute(&membership(Some(leaving)), &all, &parameters));
        let moved = without.added_pair_count(&base);
        (total_moved, max_moved) = (total_moved + moved, max_moved.max(moved));
        times.push(time);
    }
    print_durations("a governor gone, computed anew", times);
    println!(
        "a governor gone: {:.3}% of the pairs are new on average, {:.3}% at the most, of {RUNS}",
        percentage(total_moved, &base) / RUNS as f64,
        percentage(max_moved, &base)
    );
}
