//! Summarises the runs of an experiment over several seeds.

use std::fmt::Write;

use serde::Serialize;

use crate::experiment::{Figure, Limit, Outcome};

/// One figure over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The names of the experiment and the figure, separated by a slash.
    pub name: String,
    /// The unit.
    pub unit: &'static str,
    /// The median over the seeds.
    pub median: f64,
    /// The worst value with respect to the bound.
    pub worst: f64,
    /// The bound.
    pub limit: Limit,
    /// Whether the worst value is within the bound.
    pub is_met: bool,
}

/// Returns the median of `values`, the lower of the two middle ones if their
/// number is even, and NaN if there are none.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
        .get(sorted.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(f64::NAN)
}

/// Returns the worst of `values`: the lowest for a lower bound, else the highest,
/// and NaN if there are none.
pub fn worst(values: &[f64], limit: Limit) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let found = match limit {
        Limit::AtLeast(_) => sorted.first(),
        Limit::AtMost(_) | Limit::None => sorted.last(),
    };
    found.copied().unwrap_or(f64::NAN)
}

/// Returns a summary of each figure over the runs of one experiment.
pub fn summarise(experiment: &str, outcomes: &[Outcome]) -> Vec<Summary> {
    let Some(first) = outcomes.first() else {
        return Vec::new();
    };
    first
        .figures
        .iter()
        .map(|figure| summarise_figure(experiment, figure, outcomes))
        .collect()
}

fn summarise_figure(experiment: &str, figure: &Figure, outcomes: &[Outcome]) -> Summary {
    let values: Vec<f64> = outcomes
        .iter()
        .flat_map(|outcome| &outcome.figures)
        .filter(|other| other.name == figure.name)
        .map(|other| other.value)
        .collect();
    let worst = worst(&values, figure.limit);
    Summary {
        name: format!("{experiment}/{}", figure.name),
        unit: figure.unit,
        median: median(&values),
        worst,
        limit: figure.limit,
        is_met: figure.limit.is_met(worst),
    }
}

/// Fits `y = base + slope * x` by least squares and returns `(base, slope, r2)`.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count: f64 = points.iter().map(|_| 1.0).sum();
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let (mut spread, mut joint, mut total) = (0.0, 0.0, 0.0);
    for (x, y) in points {
        spread += (x - mean_x).powi(2);
        joint += (x - mean_x) * (y - mean_y);
        total += (y - mean_y).powi(2);
    }
    let slope = joint / spread;
    let share = joint * joint / (spread * total);
    (mean_y - slope * mean_x, slope, share)
}

/// Renders the summaries as a plain-text table.
pub fn render_table(summaries: &[Summary]) -> String {
    let width = summaries
        .iter()
        .map(|summary| summary.name.len())
        .max()
        .unwrap_or_default();
    let mut table = format!(
        "{:width$}  {:>14}  {:>14}  {:18}  {:>12}  met\n",
        "figure", "median", "worst", "unit", "bound"
    );
    for summary in summaries {
        let is_met = match (summary.limit, summary.is_met) {
            (Limit::None, _) => "-",
            (_, true) => "yes",
            (_, false) => "NO",
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            table,
            "{:width$}  {:>14.2}  {:>14.2}  {:18}  {:>12}  {is_met}",
            summary.name,
            summary.median,
            summary.worst,
            summary.unit,
            summary.limit.to_string(),
        );
    }
    table
}
