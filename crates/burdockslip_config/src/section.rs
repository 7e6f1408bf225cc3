//! Splits the store's keys into parts that have their own revisions.

use burdockslip_types::domain;

domain! {
    /// Lists the parts of the configuration.
    #[derive(Copy)]
    pub enum Section {
        /// The catalogue and the keys, whose revision is that of the configuration.
        Catalogue,
        /// The platform's list of hosts, which changes far more often.
        Hosts,
    }
}

impl Section {
    /// Lists all sections, the most urgent first.
    pub const ALL: [Self; 2] = [Self::Catalogue, Self::Hosts];

    /// Returns the prefix that a relay watches.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Catalogue => "burdockslip/",
            Self::Hosts => "platform/hosts/",
        }
    }

    /// Returns whether a key belongs to the section; leases and announcements
    /// share the prefix of the catalogue but are no configuration.
    pub fn contains(self, key: &str) -> bool {
        match self {
            Self::Catalogue => {
                key == "burdockslip/catalogue" || key.starts_with("burdockslip/keys/")
            }
            Self::Hosts => key.starts_with(self.prefix()),
        }
    }
}
