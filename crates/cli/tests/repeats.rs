//! Pauses between attempts.

use whinwall_cli::repeats::*;
use whinwall_policy::time::Span;

#[test]
fn pauses_grow_to_their_bound_and_end_in_time() {
    let mut repeats = Repeats::new(Span::ms(60_000), 7);
    let (mut gone, mut waits) = (Span::default(), Vec::new());
    while let Some(wait) = repeats.next(gone) {
        waits.push(wait);
        gone = gone + wait;
    }
    assert!(gone <= Span::ms(60_000) && gone > Span::ms(55_000));
    for (n, wait) in waits.iter().enumerate() {
        let most = FIRST.times(f64::from(1u32 << n.min(10))).min(LONGEST);
        assert!(*wait >= most.times(0.5) && *wait <= most, "{n}: {wait:?} of {most:?}");
    }
}

#[test]
fn who_has_no_time_tries_once_and_seeds_part_those_who_fail_together() {
    assert_eq!(Repeats::new(Span::default(), 1).next(Span::default()), None);
    let first = |seed| Repeats::new(Span::ms(1000), seed).next(Span::default());
    assert_ne!(first(1), first(2));
}
