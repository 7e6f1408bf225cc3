//! Guards the arithmetic of tokens, rates and buckets with random inputs.

use std::time::Duration;

use burdockslip_limits::measure::{Admission, over_admission};
use burdockslip_limits::{Bucket, Limit, Rate, Tokens};
use burdockslip_runtime::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn micros(count: u64) -> Duration {
    Duration::from_micros(count)
}

/// Runs every property with the same numbers each time, so that a verdict depends on the tree alone.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Guards against a part whose bucket misses a whole token by a rounding error,
/// found with random numbers: thirds of a burst of four.
#[test]
fn thirds_of_four_tokens_can_grant() {
    let limit = Limit::new(625, 4);
    let ttl = limit.token_ttl(Duration::from_secs(1));
    for index in 0..3 {
        let part = limit.equal_part(index, 3);
        assert!(part == Limit::default() || part.capacity(ttl) >= Tokens::ONE);
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against parts of a limit that add up to more or less than the whole.
    #[test]
    fn parts_add_up(rate in 0..10_000_u64, burst in 0..100_000_u64, count in 1..20_usize) {
        let limit = Limit { rate: Rate(rate), burst: Tokens(burst) };
        let parts: Vec<_> = (0..count).map(|index| limit.equal_part(index, count)).collect();
        prop_assert_eq!(parts.iter().map(|part| part.rate).sum::<Rate>(), limit.rate);
        prop_assert_eq!(parts.iter().map(|part| part.burst).sum::<Tokens>(), limit.burst);
    }

    /// Guards against zone parts whose buckets can never hold a whole token.
    #[test]
    fn every_part_with_a_rate_can_grant(rate in 1..1_000_u64, burst in 2..50_u64, count in 1..6_usize) {
        let limit = Limit::new(rate, burst);
        let ttl = limit.token_ttl(Duration::from_secs(1));
        for index in 0..count {
            let part = limit.equal_part(index, count);
            prop_assert!(part == Limit::default() || part.capacity(ttl) >= Tokens::ONE);
        }
    }

    /// Guards against a token life for which bucket and granted tokens exceed the burst.
    #[test]
    fn capacity_and_life_fit_in_the_burst(rate in 0..1_000_000_u64, burst in 0..1_000_000_u64) {
        let limit = Limit::new(rate, burst);
        let ttl = limit.token_ttl(Duration::from_secs(1));
        let granted = limit.rate.tokens_in(ttl);
        prop_assert!(limit.capacity(ttl) + granted <= limit.burst);
        prop_assert!(limit.capacity(ttl).0 >= limit.burst.0 / 2);
    }

    /// Guards against a bucket that gives out more than its capacity plus its rate in any window.
    #[test]
    fn bucket_keeps_its_bound(
        rate in 1..500_u64,
        capacity in 1..100_u64,
        steps in prop::collection::vec((0..300_000_u64, 0..50_u64), 1..200),
    ) {
        let (rate, capacity) = (Rate::per_second(rate), Tokens::whole(capacity));
        let mut now = Instant::START;
        let mut bucket = Bucket::new(capacity, now);
        let mut admissions = Vec::new();
        for (pause, wanted) in steps {
            now = now + micros(pause);
            bucket.refill(rate, Tokens::default(), now);
            prop_assert!(bucket.level() <= capacity);
            let cost = bucket.take(Tokens::whole(wanted));
            prop_assert_eq!(cost, cost.floor());
            admissions.push(Admission { organisation: "one".into(), time: now, cost });
        }
        let limit = Limit { rate, burst: capacity };
        prop_assert_eq!(over_admission(limit, &admissions), Tokens(0));
    }

    /// Guards against a checker that overlooks a window: compares it with all pairs of times.
    #[test]
    fn checker_agrees_with_all_windows(
        rate in 1..50_u64,
        burst in 1..20_u64,
        steps in prop::collection::vec((0..500_000_u64, 1..5_u64), 1..40),
    ) {
        let limit = Limit::new(rate, burst);
        let mut now = Instant::START;
        let mut admissions = Vec::new();
        for (pause, cost) in steps {
            now = now + micros(pause);
            let cost = Tokens::whole(cost);
            admissions.push(Admission { organisation: "one".into(), time: now, cost });
        }
        let mut worst = Tokens(0);
        for (first, start) in admissions.iter().enumerate() {
            let mut sum = Tokens(0);
            for admission in &admissions[first..] {
                sum += admission.cost;
                let span = admission.time.since(start.time);
                worst = worst.max(sum - (limit.burst + limit.rate.tokens_in(span)));
            }
        }
        prop_assert_eq!(over_admission(limit, &admissions), worst);
    }

    /// Guards against a retry time after which the tokens are still missing.
    #[test]
    fn wait_suffices(rate in 1..500_u64, capacity in 1..100_u64, wanted in 1..100_u64) {
        let (rate, wanted) = (Rate::per_second(rate), Tokens::whole(wanted.min(capacity)));
        let mut bucket = Bucket::new(Tokens::whole(capacity), Instant::START);
        let wait = bucket.wait_for(wanted, rate);
        bucket.refill(rate, Tokens::default(), Instant::START + wait);
        prop_assert_eq!(bucket.take(wanted), wanted);
    }
}

/// Guards against zone shares that give out more or less than the whole.
#[test]
fn percentages_add_up_to_the_whole() {
    let limit = Limit::new(997, 1_999);
    let mut from = 0;
    let mut rate = Rate::default();
    let mut burst = Tokens::default();
    for share in [34, 33, 0, 33] {
        let part = limit.percent_range(from, from + share);
        rate = rate + part.rate;
        burst += part.burst;
        from += share;
    }
    assert_eq!((rate, burst), (limit.rate, limit.burst));
}
