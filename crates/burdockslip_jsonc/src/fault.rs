//! Defines faults and the report that holds them.

use std::fmt;

use burdockslip_types::domain;

use crate::Location;

domain! {
    /// Describes one fault of a document.
    pub struct Fault {
        /// The path of the value, such as `classes.browse.deadline`.
        pub path: String,
        /// The place of the value, or of its parent if the value is missing.
        #[serde(rename = "place")]
        pub location: Location,
        /// The value that was seen, shortened, and never a secret.
        pub seen: String,
        /// The value that is wanted.
        pub wanted: String,
    }

    /// Holds all faults of one document, ordered by place.
    pub struct Faults {
        /// The path or name of the document.
        pub source: String,
        /// The faults, at least one.
        pub list: Vec<Fault>,
    }
}

impl Faults {
    /// Builds a report, ordered by place.
    pub fn new(mut list: Vec<Fault>) -> Self {
        list.sort_by(|a, b| {
            (a.location, &a.path, &a.wanted).cmp(&(b.location, &b.path, &b.wanted))
        });
        Self {
            source: "document".to_owned(),
            list,
        }
    }

    /// Names the document, so that the report shows where to look.
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
