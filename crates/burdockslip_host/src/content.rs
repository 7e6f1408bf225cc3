//! Parses the entries of the configuration.

use std::rc::Rc;

use burdockslip_catalogue::Catalogue;
use burdockslip_config::Config;
use burdockslip_keys::{KEY_RECORDS_PREFIX, KeyRing};
use burdockslip_membership::{LISTED_HOSTS_PREFIX, ListedHost};
use burdockslip_proxy::ActiveConfig;
use tracing::{error, warn};

/// The store key of the catalogue.
const CATALOGUE_KEY: &str = "burdockslip/catalogue";

/// Parses the catalogue and the keys.
///
/// If the catalogue is missing or invalid, the one of `before` stays in force.
pub(crate) fn active_config(config: &Config, before: &ActiveConfig) -> ActiveConfig {
    ActiveConfig {
        catalogue: catalogue(config).unwrap_or_else(|| Rc::clone(&before.catalogue)),
        keys: Rc::new(keys(config)),
    }
}

fn catalogue(config: &Config) -> Option<Rc<Catalogue>> {
    let entries = config.entries(CATALOGUE_KEY);
    let entry = entries.iter().find(|entry| &*entry.key == CATALOGUE_KEY)?;
    let text = std::str::from_utf8(&entry.value).ok()?;
    match Catalogue::parse(text) {
        Ok(catalogue) => Some(Rc::new(catalogue)),
        Err(faults) => {
            // `burdockslipctl` validates a catalogue before it writes it, so
            // another program has written this one.
            error!(revision = %entry.revision, faults = %faults, "invalid catalogue ignored");
            None
        }
    }
}

fn keys(config: &Config) -> KeyRing {
    let entries = config.entries(KEY_RECORDS_PREFIX);
    let pairs = entries.iter().map(|entry| (&*entry.key, &*entry.value));
    let (ring, malformed) = KeyRing::from_entries(pairs);
    for path in malformed {
        warn!(path, "invalid key record ignored");
    }
    ring
}

/// Parses the platform's host list, skipping invalid entries.
pub(crate) fn listed(config: &Config) -> Vec<ListedHost> {
    let entries = config.entries(LISTED_HOSTS_PREFIX);
    entries
        .iter()
        .filter_map(|entry| {
            let listed = ListedHost::parse(&entry.key, &entry.value).ok();
            if listed.is_none() {
                warn!(path = &*entry.key, "invalid host entry ignored");
            }
            listed
        })
        .collect()
}
