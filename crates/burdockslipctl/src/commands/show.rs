//! The `show` command, which prints the catalogue in the store.

use std::fmt;

use burdockslip_store::Store;
use burdockslip_types::{Result, Revision};
use serde::Serialize;

use crate::{ExitStatus, Outcome, document};

/// The text in the store and the revision that wrote it.
#[derive(Debug, Serialize)]
struct Shown {
    revision: Revision,
    text: String,
}

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text.trim_end())
    }
}

/// Returns the catalogue with its comments, as an outcome and as unmodified
/// text. The text is `None` if the store has no catalogue.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the store does not respond.
pub async fn show(store: &Store) -> Result<(Outcome, Option<String>)> {
    let current = document::read(store).await?;
    let Some(document) = current.document else {
        let text = "the store holds no catalogue";
        return Ok((Outcome::message(ExitStatus::NotFound, text), None));
    };
    let shown = Shown {
        revision: current.revision,
        text: document.text,
    };
    let outcome = Outcome::new(ExitStatus::Success, &shown);
    Ok((outcome, Some(shown.text)))
}
