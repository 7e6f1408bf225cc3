//! The `diff` command, which lists what a file changes.

use std::fmt;

use burdockslip_catalogue::{Catalogue, Change};
use burdockslip_store::Store;
use burdockslip_types::{Result, Revision};
use serde::Serialize;

use super::check::invalid;
use crate::{ExitStatus, Outcome, document};

/// The changes from the stored catalogue to the file.
#[derive(Debug, Serialize)]
struct Difference {
    revision: Revision,
    changes: Vec<Change>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return f.write_str("no differences");
        }
        let lines: Vec<_> = self.changes.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Compares the catalogue in the store with `text`; `source` names the file in faults.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the store does not respond.
pub async fn diff(store: &Store, text: &str, source: &str) -> Result<Outcome> {
    let ours = match Catalogue::parse(text) {
        Ok(catalogue) => catalogue,
        Err(faults) => return Ok(invalid(&faults.with_source(source))),
    };
    let current = document::read(store).await?;
    let Some(document) = current.document else {
        return Ok(Outcome::message(
            ExitStatus::NotFound,
            "the store holds no catalogue",
        ));
    };
    let theirs = match document.catalogue() {
        Ok(catalogue) => catalogue,
        Err(faults) => return Ok(invalid(&faults)),
    };
    let changes = theirs.diff(&ours);
    let status = if changes.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::Different
    };
    let revision = current.revision;
    Ok(Outcome::new(status, &Difference { revision, changes }))
}
