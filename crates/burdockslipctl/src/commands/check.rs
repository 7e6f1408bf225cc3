//! The `check` command, which checks a catalogue without a store.

use std::fmt;

use burdockslip_catalogue::{Catalogue, Faults};
use serde::Serialize;

use crate::{ExitStatus, Outcome};

/// The numbers of entries of a valid catalogue.
#[derive(Debug, Serialize)]
struct Summary {
    zones: usize,
    groups: usize,
    classes: usize,
    routes: usize,
    organisations: usize,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "valid: {} zones, {} groups, {} classes, {} routes, {} organisations",
            self.zones, self.groups, self.classes, self.routes, self.organisations
        )
    }
}

/// Checks `text` and reports all its faults; `source` names the file in them.
pub fn check(text: &str, source: &str) -> Outcome {
    match Catalogue::parse(text) {
        Ok(catalogue) => Outcome::new(
            ExitStatus::Success,
            &Summary {
                zones: catalogue.zones.len(),
                groups: catalogue.groups.len(),
                classes: catalogue.classes.len(),
                routes: catalogue.routes.len(),
                organisations: catalogue.organisations.len(),
            },
        ),
        Err(faults) => invalid(&faults.with_source(source)),
    }
}

/// Builds the outcome of an invalid document.
pub(crate) fn invalid(faults: &Faults) -> Outcome {
    Outcome::new(ExitStatus::Invalid, faults)
}
