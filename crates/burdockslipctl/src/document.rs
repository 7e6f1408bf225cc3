//! The catalogue document in the store, with the ids of the most recent applies.

use std::fmt;

use burdockslip_catalogue::{Catalogue, Faults, MAX_BYTES};
use burdockslip_runtime::random_u64;
use burdockslip_store::Store;
use burdockslip_types::{ErrorKind, Result, Revision, domain};
use error_stack::{Report, ensure};

use crate::retry;

/// The store key of the catalogue (`docs/design.md`, section 3.3).
pub const CATALOGUE_KEY: &str = "burdockslip/catalogue";

/// The maximum number of apply ids kept in the document.
///
/// An apply whose response was lost is recognised by its id, unless this many
/// other applies followed before the document was read again.
pub const MAX_APPLY_IDS: usize = 16;

/// The start of the first line of a stored document. Catalogue parsers read the line as a comment.
const HEADER: &str = "// burdockslip applies:";

domain! {
    /// The id of one apply, by which the program recognises its own change
    /// when the response of the store was lost.
    #[serde(transparent)]
    pub struct ApplyId(String);

    /// The catalogue text of an operator and the ids of the most recent applies.
    ///
    /// The ids are stored in a comment line of the document, because the text
    /// and its ids must change atomically and hosts read only the document.
    pub struct StoredDocument {
        /// The ids of the most recent applies, newest first, at most [`MAX_APPLY_IDS`].
        pub apply_ids: Vec<ApplyId>,
        /// The text as the operator wrote it, with its comments.
        pub text: String,
    }
}

impl ApplyId {
    /// Returns a random id.
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
    /// Parses a stored value. A value without the line of ids has no apply ids.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the value is not UTF-8.
    pub fn parse(value: &[u8]) -> Result<Self> {
        let text = std::str::from_utf8(value)
            .map_err(|error| Report::new(error).change_context(ErrorKind::InvalidInput))?;
        let (line, rest) = text.split_once('\n').unwrap_or((text, ""));
        let Some(ids) = line.strip_prefix(HEADER) else {
            return Ok(Self {
                apply_ids: Vec::new(),
                text: text.to_owned(),
            });
        };
        let ids = ids.split_whitespace().take(MAX_APPLY_IDS);
        Ok(Self {
            apply_ids: ids.map(|id| ApplyId(id.to_owned())).collect(),
            text: rest.to_owned(),
        })
    }

    /// Renders the value to store.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` if the value exceeds the size limit of a catalogue.
    pub fn render(&self) -> Result<Vec<u8>> {
        let ids: Vec<_> = self.apply_ids.iter().map(|id| id.0.as_str()).collect();
        let value = format!("{HEADER} {}\n{}", ids.join(" "), self.text);
        ensure!(value.len() <= MAX_BYTES, ErrorKind::TooLarge);
        Ok(value.into_bytes())
    }

    /// Returns the document that replaces this one when the apply `id` writes `text`.
    #[must_use]
    pub fn with_apply(&self, id: &ApplyId, text: &str) -> Self {
        let older_ids = self.apply_ids.iter().take(MAX_APPLY_IDS - 1);
        Self {
            apply_ids: std::iter::once(id).chain(older_ids).cloned().collect(),
            text: text.to_owned(),
        }
    }

    /// Parses the text as a catalogue.
    ///
    /// # Errors
    ///
    /// Returns the faults of the text.
    pub fn catalogue(&self) -> std::result::Result<Catalogue, Faults> {
        Catalogue::parse(&self.text).map_err(|faults| faults.with_source("stored catalogue"))
    }
}

/// The document in the store and the revision that wrote it, which is zero if
/// the store has no document.
#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    pub(crate) revision: Revision,
    pub(crate) document: Option<StoredDocument>,
}

/// Reads the document from the store.
pub(crate) async fn read(store: &Store) -> Result<Snapshot> {
    let page = retry::range(store, CATALOGUE_KEY).await?;
    let mut entries = page.entries.into_iter();
    match entries.find(|entry| entry.key == CATALOGUE_KEY) {
        None => Ok(Snapshot {
            revision: Revision(0),
            document: None,
        }),
        Some(entry) => Ok(Snapshot {
            revision: entry.revision,
            document: Some(StoredDocument::parse(&entry.value)?),
        }),
    }
}
