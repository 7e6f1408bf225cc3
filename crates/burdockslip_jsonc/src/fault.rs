//! The faults of a document.

use std::fmt;

use burdockslip_types::domain;

use crate::Location;

domain! {
    /// One fault of a document.
    pub struct Fault {
        /// The path of the value, such as `classes.browse.deadline`.
        pub path: String,
        /// The location of the value, or of its parent if the value is missing.
        #[serde(rename = "place")]
        pub location: Location,
        /// What was found, shortened, and never a secret.
        pub seen: String,
        /// What is expected instead.
        pub wanted: String,
    }

    /// All faults of one document, ordered by location.
    pub struct Faults {
        /// The path or name of the document, `document` until
        /// [`Faults::with_source`] sets it.
        pub source: String,
        /// The faults; not empty.
        pub list: Vec<Fault>,
    }
}

impl Faults {
    /// Sorts the faults by location.
    pub fn new(mut list: Vec<Fault>) -> Self {
        list.sort_by(|a, b| {
            (a.location, &a.path, &a.wanted).cmp(&(b.location, &b.path, &b.wanted))
        });
        Self {
            source: "document".to_owned(),
            list,
        }
    }

    /// Sets the path or name of the document, which each line of the output starts with.
    #[must_use]
    pub fn with_source(mut self, source: impl Into<String>) -> Self {
        self.source = source.into();
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}: seen {}, wanted {}",
            self.location, self.path, self.seen, self.wanted
        )
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.list.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:{fault}", self.source)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
