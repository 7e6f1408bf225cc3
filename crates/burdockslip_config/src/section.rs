//! The parts of the configuration, each with its own revision.

use burdockslip_types::domain;

domain! {
    /// A part of the configuration: a set of store keys that share a revision.
    #[derive(Copy)]
    pub enum Section {
        /// The catalogue and the client keys. Its revision is the revision of the
        /// configuration.
        Catalogue,
        /// The platform's list of hosts, which changes far more often.
        Hosts,
    }
}

impl Section {
    /// All sections, the most urgent first; changes are sent in this order.
    pub const ALL: [Self; 2] = [Self::Catalogue, Self::Hosts];

    /// Returns the store prefix that a relay watches.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Catalogue => "burdockslip/",
            Self::Hosts => "platform/hosts/",
        }
    }

    /// Returns whether a store key belongs to the section.
    ///
    /// Leases and announcements share the prefix of the catalogue but are not
    /// part of the configuration.
    pub fn contains(self, key: &str) -> bool {
        match self {
            Self::Catalogue => {
                key == "burdockslip/catalogue" || key.starts_with("burdockslip/keys/")
            }
            Self::Hosts => key.starts_with(self.prefix()),
        }
    }
}
