//! Describes experiments and the figures that they yield.

use std::fmt;

use burdockslip_types::Result;
use serde::Serialize;

/// Bounds a figure by a target of `docs/design.md`, section 1.8.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum Limit {
    /// Only reported.
    None,
    /// Must not be exceeded.
    AtMost(f64),
    /// Must be reached.
    AtLeast(f64),
}

/// Holds one figure of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// The name, unique within the experiment.
    pub name: String,
    /// The value.
    pub value: f64,
    /// The unit of the value.
    pub unit: &'static str,
    /// The bound of the value.
    pub limit: Limit,
}

/// Holds the points of a plot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Curve {
    /// The name, used as title.
    pub name: String,
    /// What the horizontal axis shows.
    pub across: &'static str,
    /// What the vertical axis shows.
    pub upward: &'static str,
    /// The points.
    pub points: Vec<(f64, f64)>,
}

/// Holds what one run of an experiment yields.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The figures.
    pub figures: Vec<Figure>,
    /// The plots.
    pub curves: Vec<Curve>,
}

/// Registers an experiment.
pub struct Experiment {
    /// The name by which it is chosen.
    pub name: &'static str,
    /// What it measures, in one line.
    pub about: &'static str,
    /// Runs it once with a seed.
    pub run: Box<dyn Fn(u64) -> Result<Outcome>>,
}

impl Limit {
    /// Returns whether `value` keeps the bound.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::None => true,
            Self::AtMost(bound) => value <= bound,
            Self::AtLeast(bound) => value >= bound,
        }
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.write_str("-"),
            Self::AtMost(bound) => write!(f, "<= {bound}"),
            Self::AtLeast(bound) => write!(f, ">= {bound}"),
        }
    }
}

impl Figure {
    /// Builds a figure that is only reported.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            limit: Limit::None,
        }
    }

    /// Adds a bound.
    #[must_use]
    pub fn limited(self, limit: Limit) -> Self {
        Self { limit, ..self }
    }
}

impl fmt::Debug for Experiment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Experiment").field(&self.name).finish()
    }
}
