//! Tests how the figures of several runs are summarised and fitted.

use burdockslip_measure::{Figure, Limit, Outcome, fit_line, summarise};

fn outcome(value: f64, limit: Limit) -> Outcome {
    Outcome {
        figures: vec![Figure::new("rate", value, "statements/s").limited(limit)],
        curves: Vec::new(),
    }
}

/// Guards against a median that hides a run outside its limit.
#[test]
fn one_missed_run_misses_the_bound() {
    let limit = Limit::AtLeast(10.0);
    let outcomes = [9.0, 20.0, 30.0].map(|value| outcome(value, limit));
    let summaries = summarise("load", &outcomes);
    assert_eq!(summaries.len(), 1);
    assert!((summaries[0].median - 20.0).abs() < f64::EPSILON);
    assert!((summaries[0].worst - 9.0).abs() < f64::EPSILON);
    assert!(!summaries[0].is_met);
}

/// Guards against the lowest value being reported as the worst one under an upper limit.
#[test]
fn upper_bounds_are_judged_by_the_highest_value() {
    let limit = Limit::AtMost(10.0);
    let outcomes = [9.0, 10.0, 11.0].map(|value| outcome(value, limit));
    assert!(!summarise("load", &outcomes)[0].is_met);
    assert!(summarise("load", &outcomes[..2])[0].is_met);
}

/// Guards against NaN passing a limit.
#[test]
fn a_missing_value_misses_its_bound() {
    for limit in [Limit::AtMost(1.0), Limit::AtLeast(1.0)] {
        assert!(!summarise("load", &[outcome(f64::NAN, limit)])[0].is_met);
    }
}

/// Guards against a wrong slope, which the page on capacity would quote.
#[test]
fn a_line_is_fitted_to_its_points() {
    let points: Vec<(f64, f64)> = [1.0, 2.0, 5.0, 9.0].map(|x| (x, 3.0 + 2.0 * x)).to_vec();
    let (base, slope, r2) = fit_line(&points);
    assert!((base - 3.0).abs() < 1e-9 && (slope - 2.0).abs() < 1e-9);
    assert!((r2 - 1.0).abs() < 1e-9);
}
