//! The registry: expiry, retries, replacement, restarts, clock steps and stored records.

use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use whinwall_overrides::{
    encoding, text, ClockReading, ClockStamp, ConfiguredOverride, EndCause, Ending, InvalidField,
    NewOverride, Override, OverrideError, OverrideKind, OverrideLimits, OverrideRegistry, Proposal,
    RegistryChange, RestoredRegistry, Timeline,
};
use whinwall_policy::time::{Moment, Span};

const START_S: u64 = 1_800_000_000;

/// Returns the time `offset_s` seconds after [`START_S`].
fn moment_s(offset_s: u64) -> Moment {
    Moment::at_ns((START_S + offset_s) * 1_000_000_000)
}

fn seconds(count: u64) -> Span {
    Span::ms(count * 1000)
}

fn reading(boot_id: &str, uptime_s: u64, wall_s: u64) -> ClockReading {
    ClockReading { boot_id: boot_id.into(), uptime: seconds(uptime_s), wall_time: moment_s(wall_s) }
}

fn registry() -> OverrideRegistry {
    let timeline = Timeline::resume(moment_s(0), &reading("a", 100, 0), None).timeline;
    OverrideRegistry::new(OverrideLimits { max_active: 5, ..OverrideLimits::default() }, timeline)
}

fn out_of_service(id: &str, replica: &str, duration_s: u64) -> NewOverride {
    let kind = OverrideKind::Out { replica: replica.into() };
    NewOverride {
        id: id.into(),
        kind,
        author: "mb".into(),
        reason: "store".into(),
        duration: seconds(duration_s),
    }
}

fn pin(id: &str, first: u32, last: u32) -> NewOverride {
    NewOverride {
        kind: OverrideKind::Pin { first, last, replica: "s-1".into() },
        ..out_of_service(id, "", 60)
    }
}

fn set(registry: &mut OverrideRegistry, now: Moment, request: &NewOverride) {
    match registry.propose_set(now, request) {
        Ok(Proposal::Change(change)) => registry.apply(change),
        other => panic!("{other:?}"),
    }
}

fn active_ids(registry: &OverrideRegistry) -> Vec<&str> {
    registry.active().map(|entry| entry.id.as_str()).collect()
}

/// A simulated store, from which a restart restores the registry.
#[derive(Default)]
struct Store {
    records: BTreeMap<u64, Vec<u8>>,
    stamp: Option<ClockStamp>,
}

impl Store {
    fn write(
        &mut self,
        registry: &OverrideRegistry,
        now: Moment,
        reading: ClockReading,
        change: &RegistryChange,
    ) {
        for entry in &change.writes {
            self.records.insert(entry.number, encoding::encode_override(entry, registry.timeline()));
        }
        change.removals.iter().for_each(|number| _ = self.records.remove(number));
        let stamp = ClockStamp { reading, position: registry.timeline().to_persistent(now) };
        self.stamp = Some(encoding::decode_stamp(&encoding::encode_stamp(&stamp)).unwrap());
    }

    fn restore(&self, now: Moment, reading: ClockReading) -> OverrideRegistry {
        let records: Vec<_> = self.records.iter().map(|(number, bytes)| (*number, bytes.clone())).collect();
        let limits = OverrideLimits { max_active: 5, ..OverrideLimits::default() };
        let RestoredRegistry { registry, unreadable } =
            OverrideRegistry::restore(limits, now, &reading, self.stamp.as_ref(), &records);
        assert!(unreadable.is_empty(), "{unreadable:?}");
        registry
    }
}

#[test]
fn override_is_active_until_its_expiry() {
    let mut registry = registry();
    set(&mut registry, moment_s(0), &out_of_service("a", "s-1", 60));
    assert_eq!(registry.next_expiry(), Some(moment_s(60)));
    assert!(!registry.expire_due(moment_s(59)));
    assert!(registry.expire_due(moment_s(75)));
    let entry = registry.get_by_id("a").unwrap();
    assert_eq!(
        (active_ids(&registry).len(), entry.ended.clone()),
        (0, Some(Ending { at: moment_s(60), cause: EndCause::Expired }))
    );
    // A retry after the end finds the ended override and does not set it again.
    assert_eq!(
        registry.propose_set(moment_s(76), &out_of_service("a", "s-1", 60)),
        Ok(Proposal::Unchanged(1))
    );
}

#[test]
fn retry_neither_sets_a_second_override_nor_prolongs_the_first() {
    let mut registry = registry();
    let proposed = registry.propose_set(moment_s(0), &out_of_service("a", "s-1", 60)).unwrap();
    assert_eq!(active_ids(&registry).len(), 0, "a proposal changes nothing");
    let Proposal::Change(change) = proposed else { panic!("new override not accepted") };
    registry.apply(change.clone());
    registry.apply(change);
    assert_eq!(
        registry.propose_set(moment_s(30), &out_of_service("a", "s-1", 60)),
        Ok(Proposal::Unchanged(1))
    );
    assert_eq!(registry.next_expiry(), Some(moment_s(60)));
    let other = registry.propose_set(moment_s(30), &out_of_service("a", "s-2", 60));
    assert_eq!(other, Err(OverrideError::IdInUse { id: "a".into() }));
}

#[test]
fn newer_override_replaces_conflicting_ones() {
    let mut registry = registry();
    set(&mut registry, moment_s(0), &out_of_service("a", "s-1", 60));
    set(&mut registry, moment_s(1), &out_of_service("b", "s-1", 600));
    assert_eq!(
        registry.get_by_id("a").unwrap().ended,
        Some(Ending { at: moment_s(1), cause: EndCause::Replaced { by: "b".into() } })
    );
    set(&mut registry, moment_s(2), &pin("c", 3, 5));
    set(&mut registry, moment_s(3), &pin("d", 4, 9));
    assert_eq!(active_ids(&registry), ["b", "c", "d"], "a partly overlapped pin keeps its other slices");
    set(&mut registry, moment_s(4), &pin("e", 0, 9));
    assert_eq!(active_ids(&registry), ["b", "e"]);
}

#[test]
fn limits_are_enforced_and_errors_name_the_field() {
    let mut registry = registry();
    let invalid_field = |request: NewOverride| match registry.propose_set(moment_s(0), &request) {
        Err(OverrideError::InvalidField(InvalidField { field, .. })) => field,
        other => panic!("{other:?}"),
    };
    assert_eq!(invalid_field(out_of_service("a b", "s-1", 60)), "id");
    assert_eq!(invalid_field(out_of_service("a", "", 60)), "server");
    assert_eq!(invalid_field(out_of_service("a", "s-1", 0)), "for");
    assert_eq!(invalid_field(out_of_service("a", "s-1", 90_000)), "for");
    assert_eq!(invalid_field(NewOverride { reason: " ".into(), ..out_of_service("a", "s-1", 60) }), "reason");
    assert_eq!(
        invalid_field(NewOverride { author: "x\n".into(), ..out_of_service("a", "s-1", 60) }),
        "author"
    );
    assert_eq!(invalid_field(pin("a", 5, 4)), "slices");
    for factor in [0.0, f64::NAN, -1.0, 1e9] {
        let kind = OverrideKind::Weight { replica: "s-1".into(), factor };
        assert_eq!(invalid_field(NewOverride { kind, ..out_of_service("a", "", 60) }), "factor");
    }
    for n in 0..5 {
        set(&mut registry, moment_s(0), &out_of_service(&format!("o{n}"), &format!("s-{n}"), 60));
    }
    assert_eq!(
        registry.propose_set(moment_s(0), &out_of_service("more", "s-9", 60)),
        Err(OverrideError::LimitReached { limit: 5 })
    );
    // Replacing an override does not increase the number of active overrides.
    set(&mut registry, moment_s(0), &out_of_service("instead", "s-0", 60));
}

#[test]
fn ended_overrides_are_listed_for_their_retention_and_then_removed() {
    let mut registry = registry();
    for n in 0..20 {
        set(&mut registry, moment_s(n), &out_of_service(&format!("o{n}"), "s-1", 60));
    }
    registry.expire_due(moment_s(1000));
    registry.prune_ended(moment_s(1000));
    assert_eq!(registry.listed().count(), 5);
    assert_eq!(registry.unsaved().removals.len(), 15);
    let change = registry.unsaved();
    registry.mark_saved(&change);
    assert!(registry.unsaved().is_empty());
    registry.prune_ended(moment_s(200_000));
    assert_eq!((registry.listed().count(), registry.get_by_id("o19")), (0, None));
}

#[test]
fn thousand_overrides_expire_in_the_same_second() {
    let mut registry = registry();
    registry.set_limits(OverrideLimits::default());
    for n in 0..1000 {
        set(&mut registry, moment_s(0), &out_of_service(&format!("o{n}"), &format!("s-{n}"), 60));
    }
    assert!(registry.expire_due(moment_s(60)));
    assert_eq!((registry.active().count(), registry.next_expiry()), (0, None));
}

#[test]
fn restart_neither_prolongs_nor_loses_overrides() {
    let (registry, mut store) = (registry(), Store::default());
    let Ok(Proposal::Change(change)) = registry.propose_set(moment_s(0), &out_of_service("a", "s-1", 60))
    else {
        panic!("new override not accepted")
    };
    store.write(&registry, moment_s(0), reading("a", 100, 0), &change);
    // Within one boot the uptime determines the downtime, 20 s here, regardless of the wall clock.
    for wall_s in [20, 5000, 1] {
        let restored = store.restore(moment_s(wall_s), reading("a", 120, wall_s));
        assert_eq!(restored.next_expiry(), Some(moment_s(wall_s + 40)), "wall at {wall_s}");
    }
    // Across a reboot the wall clock determines the downtime.
    assert_eq!(store.restore(moment_s(20), reading("b", 3, 20)).next_expiry(), Some(moment_s(60)));
    let late = store.restore(moment_s(70), reading("b", 3, 70));
    assert_eq!(
        late.get_by_id("a").unwrap().ended,
        Some(Ending { at: moment_s(60), cause: EndCause::Expired })
    );
    // If the wall clock went back across a reboot, the downtime is unknown.
    let back = ClockReading { wall_time: moment_s(0) - seconds(7200), ..reading("b", 3, 0) };
    let restored = store.restore(moment_s(0) - seconds(7200), back);
    assert_eq!(restored.get_by_id("a").unwrap().ended.clone().unwrap().cause, EndCause::ClockWentBack);
}

#[test]
fn corrupt_records_are_reported_and_the_others_are_restored() {
    let (mut registry, mut store) = (registry(), Store::default());
    for (n, request) in [out_of_service("a", "s-1", 60), pin("b", 0, 3)].iter().enumerate() {
        let Ok(Proposal::Change(change)) = registry.propose_set(moment_s(0), request) else {
            panic!("override {n} not accepted")
        };
        store.write(&registry, moment_s(0), reading("a", 100, 0), &change);
        registry.apply(change);
    }
    let intact = store.records[&1].clone();
    for at_byte in 0..intact.len() {
        store.records.get_mut(&1).unwrap()[at_byte] ^= 0x20;
        let records: Vec<_> = store.records.iter().map(|(n, bytes)| (*n, bytes.clone())).collect();
        let reading = reading("a", 101, 1);
        let RestoredRegistry { registry: restored, unreadable } = OverrideRegistry::restore(
            OverrideLimits::default(),
            moment_s(1),
            &reading,
            store.stamp.as_ref(),
            &records,
        );
        assert_eq!((active_ids(&restored), unreadable.len()), (vec!["b"], 1), "byte {at_byte}");
        store.records.insert(1, intact.clone());
    }
    assert!(encoding::decode_override(&intact[..3], registry.timeline()).is_err());
}

fn configured(id: &str, replica: &str, expires_at_s: u64) -> ConfiguredOverride {
    let NewOverride { id, kind, author, reason, .. } = out_of_service(id, replica, 0);
    ConfiguredOverride { id, kind, author, reason, expires_at: moment_s(expires_at_s) }
}

#[test]
fn configured_overrides_follow_the_file_and_cleared_ones_stay_cleared() {
    let mut registry = registry();
    let apply = |registry: &mut OverrideRegistry, now_s, configured: &[ConfiguredOverride]| {
        let change = registry.propose_configured(moment_s(now_s), moment_s(now_s), configured, None)?;
        registry.apply(change);
        Ok::<_, OverrideError>(())
    };
    let file = [configured("f-1", "s-1", 600), configured("f-2", "s-2", 600), configured("old", "s-3", 5)];
    apply(&mut registry, 10, &file).unwrap();
    assert_eq!(active_ids(&registry), ["f-1", "f-2"]);
    let Ok(Proposal::Change(change)) = registry.propose_clear(moment_s(11), "f-1", "mb") else {
        panic!("active override not cleared")
    };
    registry.apply(change);
    apply(&mut registry, 20, &file).unwrap();
    assert_eq!(active_ids(&registry), ["f-2"], "f-1 stays cleared until its entry in the file changes");
    apply(&mut registry, 30, &[configured("f-1", "s-1", 900)]).unwrap();
    assert_eq!(active_ids(&registry), ["f-1"], "the changed f-1 is set again; f-2 was removed from the file");
    // One invalid override rejects the whole file.
    let rejected =
        apply(&mut registry, 40, &[configured("f-3", "s-3", 900), configured("f-4", "s-4", 1_000_000)]);
    assert!(matches!(rejected, Err(OverrideError::InvalidField(InvalidField { field: "until", .. }))));
    assert_eq!(active_ids(&registry), ["f-1"]);
}

#[test]
fn wall_clock_step_shortens_but_never_prolongs_overrides() {
    let mut registry = registry();
    let change = registry
        .propose_configured(moment_s(0), moment_s(0), &[configured("f-1", "s-1", 600)], None)
        .unwrap();
    registry.apply(change);
    set(&mut registry, moment_s(0), &out_of_service("a", "s-2", 600));
    registry.adjust_to_wall_clock(moment_s(10), moment_s(0) - seconds(3600));
    assert_eq!(registry.next_expiry(), Some(moment_s(600)), "a step back does not change the expiry time");
    registry.adjust_to_wall_clock(moment_s(20), moment_s(500));
    assert!(registry.expire_due(moment_s(120)));
    assert_eq!(
        active_ids(&registry),
        ["a"],
        "after a step forward only the override with a wall-clock expiry time expires early"
    );
}

#[test]
fn durations_slices_and_wall_times_are_parsed_and_formatted() {
    for (text, expected_s) in [("90s", 90), ("30m", 1800), ("1h30m", 5400), ("2d", 172_800), ("0s", 0)] {
        assert_eq!(text::parse_duration(text), Ok(seconds(expected_s)));
    }
    for invalid in
        ["", "30", "m", "30m1h", "1h1h", "1.5h", "30 m", "-3m", "99999999999999999999d", "9999999999999d"]
    {
        assert!(text::parse_duration(invalid).is_err(), "{invalid}");
    }
    assert_eq!((text::parse_slices("17"), text::parse_slices("4-9")), (Ok((17, 17)), Ok((4, 9))));
    for invalid in ["", "9-4", "4-", "-4", "4-9-11", "x", "99999999999"] {
        assert!(text::parse_slices(invalid).is_err(), "{invalid}");
    }
    let noon = text::parse_wall_time("2026-12-01T12:00:00+01:00").unwrap();
    assert_eq!(text::format_wall_time(noon), "2026-12-01T11:00:00Z");
    assert!(
        text::parse_wall_time("tomorrow").is_err() && text::parse_wall_time("1900-01-01T00:00:00Z").is_err()
    );
}

/// A step of a random history: the choice of the action, and its parameter.
type Step = (u8, u16);

/// A random history: overrides set and cleared, steps of the wall clock, restarts of the program and reboots.
#[derive(Clone, Debug)]
struct History(Vec<Step>);

impl Arbitrary for History {
    fn arbitrary(gen: &mut Gen) -> Self {
        History((0..40).map(|_| (u8::arbitrary(gen), u16::arbitrary(gen))).collect())
    }
}

/// A registry with its store, the clocks of the machine, and the true expiry time of each active override.
struct Simulation {
    registry: OverrideRegistry,
    store: Store,
    /// The true time, which the program cannot observe.
    true_s: u64,
    /// How far the wall clock is ahead of true time.
    wall_lead_s: i64,
    boots: u32,
    booted_at_true_s: u64,
    /// The wall-clock time and the true time at the start of the process.
    process_start_wall_s: i64,
    process_start_true_s: u64,
    expected_expiry_s: BTreeMap<String, u64>,
}

impl Simulation {
    fn new() -> Self {
        let mut registry = registry();
        registry.apply(RegistryChange::default());
        Simulation {
            registry,
            store: Store::default(),
            true_s: 0,
            wall_lead_s: 10_000,
            boots: 0,
            booted_at_true_s: 0,
            process_start_wall_s: 10_000,
            process_start_true_s: 0,
            expected_expiry_s: BTreeMap::new(),
        }
    }

    fn now(&self) -> Moment {
        moment_s((self.process_start_wall_s + (self.true_s - self.process_start_true_s) as i64) as u64)
    }

    fn read_clocks(&self) -> ClockReading {
        let wall_s = (self.true_s as i64 + self.wall_lead_s) as u64;
        reading(&self.boots.to_string(), self.true_s - self.booted_at_true_s, wall_s)
    }

    fn write_to_store(&mut self, now: Moment, change: &RegistryChange) {
        let reading = self.read_clocks();
        self.store.write(&self.registry, now, reading, change);
    }

    fn set(&mut self, now: Moment, id: &str, parameter: u16) {
        let duration_s = u64::from(parameter % 300) + 1;
        let request = out_of_service(id, &format!("s-{}", parameter % 7), duration_s);
        if let Ok(Proposal::Change(change)) = self.registry.propose_set(now, &request) {
            for entry in &change.writes {
                if entry.is_active() {
                    self.expected_expiry_s.insert(entry.id.clone(), self.true_s + duration_s);
                } else {
                    self.expected_expiry_s.remove(&entry.id);
                }
            }
            self.write_to_store(now, &change);
            self.registry.apply(change);
        }
    }

    fn clear_oldest(&mut self, now: Moment) {
        let id = self.registry.active().next().map(|entry| entry.id.clone());
        let proposal = id.map(|id| self.registry.propose_clear(now, &id, "x"));
        if let Some(Ok(Proposal::Change(change))) = proposal {
            self.expected_expiry_s.remove(&change.writes[0].id);
            self.write_to_store(now, &change);
            self.registry.apply(change);
        }
    }

    fn step_wall_clock(&mut self, now: Moment, parameter: u16) {
        self.wall_lead_s = (self.wall_lead_s + i64::from(parameter) - 30_000).max(0);
        self.registry.adjust_to_wall_clock(now, self.read_clocks().wall_time);
        self.write_to_store(now, &RegistryChange::default());
    }

    fn reboot(&mut self) {
        self.boots += 1;
        self.booted_at_true_s = self.true_s;
    }

    fn restart(&mut self) {
        self.process_start_wall_s = self.true_s as i64 + self.wall_lead_s;
        self.process_start_true_s = self.true_s;
        self.registry = self.store.restore(moment_s(self.process_start_wall_s as u64), self.read_clocks());
    }

    fn run_step(&mut self, n: usize, (choice, parameter): Step) {
        self.true_s += u64::from(parameter % 50);
        let now = self.now();
        self.registry.expire_due(now);
        match choice % 6 {
            0 | 1 => self.set(now, &format!("o{n}"), parameter),
            2 => self.clear_oldest(now),
            3 => self.step_wall_clock(now, parameter),
            4 => {
                self.reboot();
                self.restart();
            }
            _ => self.restart(),
        }
    }

    fn assert_expiries_are_kept(&mut self) {
        let Simulation { true_s, registry, expected_expiry_s, .. } = self;
        for entry in registry.active() {
            let expiry_s = expected_expiry_s[&entry.id];
            assert!(expiry_s >= *true_s, "{} is active at {true_s}, {expected_expiry_s:?}", entry.id);
        }
        expected_expiry_s.retain(|_, expiry_s| *expiry_s > *true_s);
        for id in expected_expiry_s.keys() {
            let is_active = registry.get_by_id(id).is_some_and(Override::is_active);
            assert!(is_active, "{id} was lost at {true_s}");
        }
    }
}

#[test]
fn no_override_is_active_after_its_expiry_or_lost_before_it() {
    fn has_no_late_or_lost_override(history: History) -> bool {
        let mut simulation = Simulation::new();
        for (n, step) in history.0.into_iter().enumerate() {
            simulation.run_step(n, step);
            simulation.assert_expiries_are_kept();
        }
        true
    }
    quickcheck::QuickCheck::new().tests(300).quickcheck(has_no_late_or_lost_override as fn(History) -> bool);
}
