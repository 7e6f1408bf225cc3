//! Experiments and their results.

use std::fmt;

use burdockslip_types::Result;
use serde::Serialize;

/// The bound of a figure, from the targets in `docs/design.md`, section 1.8.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub enum Limit {
    /// The value is reported and not checked.
    None,
    /// The value must not exceed this.
    AtMost(f64),
    /// The value must reach this.
    AtLeast(f64),
}

/// A measured value of one run.
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

/// The points of a plot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Curve {
    /// The name, used as title.
    pub name: String,
    /// The label of the horizontal axis.
    pub across: &'static str,
    /// The label of the vertical axis.
    pub upward: &'static str,
    /// The points.
    pub points: Vec<(f64, f64)>,
}

/// The results of one run of an experiment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The figures.
    pub figures: Vec<Figure>,
    /// The plots.
    pub curves: Vec<Curve>,
}

/// An experiment that the program can run.
pub struct Experiment {
    /// The name, which `--only` selects.
    pub name: &'static str,
    /// What it measures, in one line.
    pub about: &'static str,
    /// Runs it once with a seed.
    pub run: Box<dyn Fn(u64) -> Result<Outcome>>,
}

impl Limit {
    /// Returns whether `value` is within the bound.
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
    /// Builds a figure without a bound.
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
