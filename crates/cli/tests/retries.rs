//! The delays between the attempts of a call.

use whinwall_cli::retries::{RetrySchedule, FIRST_RETRY_DELAY, MAX_RETRY_DELAY};
use whinwall_policy::time::Span;

#[test]
fn delays_grow_to_their_limit_and_end_within_the_time_limit() {
    let mut retries = RetrySchedule::new(Span::ms(60_000), 7);
    let (mut elapsed, mut delays) = (Span::default(), Vec::new());
    while let Some(delay) = retries.next_delay(elapsed) {
        delays.push(delay);
        elapsed = elapsed + delay;
    }
    assert!(elapsed <= Span::ms(60_000) && elapsed > Span::ms(55_000));
    for (n, delay) in delays.iter().enumerate() {
        let max = FIRST_RETRY_DELAY.times(f64::from(1u32 << n.min(10))).min(MAX_RETRY_DELAY);
        assert!(*delay >= max.times(0.5) && *delay <= max, "{n}: {delay:?} of {max:?}");
    }
}

#[test]
fn zero_time_limit_allows_no_retry_and_seeds_vary_the_delays() {
    assert_eq!(RetrySchedule::new(Span::default(), 1).next_delay(Span::default()), None);
    let first_delay = |seed| RetrySchedule::new(Span::ms(1000), seed).next_delay(Span::default());
    assert_ne!(first_delay(1), first_delay(2));
}
