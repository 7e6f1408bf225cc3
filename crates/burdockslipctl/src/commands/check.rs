//! Checks a catalogue without a store.

use std::fmt;

use burdockslip_catalogue::{Catalogue, Faults};
use serde::Serialize;

use crate::{ExitStatus, Outcome};

/// Counts the entries of a valid catalogue.
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

/// Checks `text` and reports all faults under the name `source`.
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

/// Reports the faults of a document.
pub(crate) fn invalid(faults: &Faults) -> Outcome {
    Outcome::new(ExitStatus::Invalid, faults)
}
