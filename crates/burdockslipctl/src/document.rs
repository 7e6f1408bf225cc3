//! Holds the catalogue as the store keeps it, with the ids of its last applies.

use std::fmt;

use burdockslip_catalogue::{Catalogue, Faults, MAX_BYTES};
use burdockslip_runtime::random_u64;
use burdockslip_store::Store;
use burdockslip_types::{ErrorKind, Result, Revision, domain};
use error_stack::{Report, ensure};

use crate::retry;

/// Names the store key of the catalogue (`docs/design.md`, section 3.3).
pub const CATALOGUE_KEY: &str = "burdockslip/catalogue";

/// Bounds the apply ids kept in the document. An apply whose answer was lost
/// is recognised unless this many others followed before it was looked up.
pub const MAX_APPLIES: usize = 16;

/// Starts the first line of a stored document, a comment to its readers.
const HEADER: &str = "// burdockslip applies:";

domain! {
    /// Identifies one apply, so that its own effect is recognised when the
    /// answer of the store was lost.
    #[serde(transparent)]
    pub struct ApplyId(String);

    /// Holds the text of an operator and the ids of the last applies, newest first.
    ///
    /// The ids travel in a comment line of the document, because the document
    /// and its ids must change together and hosts read only the document.
    pub struct StoredDocument {
        /// The ids, newest first.
        pub applies: Vec<ApplyId>,
        /// The text as the operator wrote it.
        pub text: String,
    }
}

impl ApplyId {
    /// Draws a new id.
    pub fn new() -> Self {
        Self(format!("{:016x}", random_u64()))
    }
}

impl Default for ApplyId {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for ApplyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl StoredDocument {
    /// Splits the ids from a document; a document without them has none.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the value is not text.
    pub fn parse(value: &[u8]) -> Result<Self> {
        let text = std::str::from_utf8(value)
            .map_err(|error| Report::new(error).change_context(ErrorKind::InvalidInput))?;
        let (line, rest) = text.split_once('\n').unwrap_or((text, ""));
        let Some(ids) = line.strip_prefix(HEADER) else {
            return Ok(Self {
                applies: Vec::new(),
                text: text.to_owned(),
            });
        };
        let ids = ids.split_whitespace().take(MAX_APPLIES);
        Ok(Self {
            applies: ids.map(|id| ApplyId(id.to_owned())).collect(),
            text: rest.to_owned(),
        })
    }

    /// Renders the value for the store.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` if it exceeds what a catalogue may have.
    pub fn render(&self) -> Result<Vec<u8>> {
        let ids: Vec<_> = self.applies.iter().map(|id| id.0.as_str()).collect();
        let value = format!("{HEADER} {}\n{}", ids.join(" "), self.text);
        ensure!(value.len() <= MAX_BYTES, ErrorKind::TooLarge);
        Ok(value.into_bytes())
    }

    /// Returns the document that follows this one when `id` applies `text`.
    #[must_use]
    pub fn followed_by(&self, id: &ApplyId, text: &str) -> Self {
        let older = self.applies.iter().take(MAX_APPLIES - 1);
        Self {
            applies: std::iter::once(id).chain(older).cloned().collect(),
            text: text.to_owned(),
        }
    }

    /// Parses the catalogue.
    ///
    /// # Errors
    ///
    /// Returns its faults.
    pub fn catalogue(&self) -> std::result::Result<Catalogue, Faults> {
        Catalogue::parse(&self.text).map_err(|faults| faults.with_source("stored catalogue"))
    }
}

/// Holds the document in the store and the revision that wrote it, which is
/// zero if there is none.
#[derive(Debug, Clone)]
pub(crate) struct Current {
    pub(crate) revision: Revision,
    pub(crate) document: Option<StoredDocument>,
}

/// Reads the document in the store.
pub(crate) async fn read(store: &Store) -> Result<Current> {
    let page = retry::range(store, CATALOGUE_KEY).await?;
    let mut entries = page.entries.into_iter();
    match entries.find(|entry| entry.key == CATALOGUE_KEY) {
        None => Ok(Current {
            revision: Revision(0),
            document: None,
        }),
        Some(entry) => Ok(Current {
            revision: entry.revision,
            document: Some(StoredDocument::parse(&entry.value)?),
        }),
    }
}
