//! Holds the hashes and states of all keys and authenticates clients.

use std::collections::HashMap;

use burdockslip_types::{ErrorKind, Organisation, Result, domain};
use error_stack::bail;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::{Key, KeyHash, KeyId};

/// Starts the store keys under which hashes are kept (`docs/design.md`, section 3.3).
pub const KEY_RECORDS_PREFIX: &str = "burdockslip/keys/";

domain! {
    /// Names the place of a key's record in the store.
    pub struct KeyPath {
        /// The organisation that owns the key.
        pub organisation: Organisation,
        /// The id of the key.
        pub id: KeyId,
    }

    /// Says whether a key works.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum KeyState {
        /// The key works.
        Live,
        /// The key was withdrawn and never works again.
        Revoked,
    }
}

/// Holds what the store keeps of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// The hash of the key.
    pub hash: KeyHash,
    /// Whether the key works.
    pub state: KeyState,
}

impl KeyPath {
    /// Parses a key of the store.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the text is not `burdockslip/keys/<organisation>/<key id>`.
    pub fn parse(text: &str) -> Result<Self> {
        let rest = text.strip_prefix(KEY_RECORDS_PREFIX).unwrap_or_default();
        match rest.split_once('/') {
            Some((organisation, id)) if !organisation.is_empty() => Ok(Self {
                organisation: organisation.into(),
                id: KeyId::parse(id)?,
            }),
            _ => bail!(ErrorKind::InvalidInput),
        }
    }

    /// Renders the key of the store.
    pub fn render(&self) -> String {
        format!("{KEY_RECORDS_PREFIX}{}/{}", self.organisation, self.id)
    }
}

impl KeyRecord {
    /// Builds the record of a new key.
    pub fn live(key: &Key) -> Self {
        Self {
            hash: key.hash(),
            state: KeyState::Live,
        }
    }

    /// Parses the value of a store entry.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if it is not a record.
    pub fn parse(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value).map_err(|error| {
            error_stack::Report::new(error).change_context(ErrorKind::InvalidInput)
        })
    }

    /// Renders the value of a store entry.
    pub fn render(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record is two texts")
    }
}

/// Holds the records of all keys.
///
/// It is built from store entries and then changed by the same entries, so
/// that a configuration update costs no more than the keys it changes.
#[derive(Debug, Clone, Default)]
pub struct KeyRing {
    owners: HashMap<Organisation, HashMap<KeyId, KeyRecord>>,
}

impl KeyRing {
    /// Builds a ring from store entries and lists the keys of those that are
    /// malformed; a key whose record cannot be read does not work.
    pub fn from_entries<'a>(
        entries: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    ) -> (Self, Vec<String>) {
        let mut ring = Self::default();
        let mut malformed = Vec::new();
        for (path, value) in entries {
            if ring.put(path, value).is_err() {
                malformed.push(path.to_owned());
            }
        }
        (ring, malformed)
    }

    /// Adds or replaces the record at a store key.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if key or value are malformed; an earlier record
    /// at the key is removed then, since its state is no longer known.
    pub fn put(&mut self, path: &str, value: &[u8]) -> Result<()> {
        let place = KeyPath::parse(path)?;
        let record = KeyRecord::parse(value);
        if record.is_err() {
            self.remove(&place);
        }
        let keys = self.owners.entry(place.organisation).or_default();
        keys.insert(place.id, record?);
        Ok(())
    }

    /// Removes the record at a store key; other keys of the store are ignored.
    pub fn delete(&mut self, path: &str) {
        if let Ok(place) = KeyPath::parse(path) {
            self.remove(&place);
        }
    }

    /// Returns the id of a live key of the organisation.
    ///
    /// The comparison takes the same time whether or not the id is known.
    ///
    /// # Errors
    ///
    /// Returns `KeyRevoked` for a withdrawn key and `BadKey` for one that is
    /// unknown or belongs to another organisation.
    pub fn authenticate(&self, organisation: &str, key: &Key) -> Result<KeyId> {
        let id = key.id();
        let record = self.record(organisation, &id);
        let known = record.map_or(KeyHash::unused(), |record| record.hash);
        let is_same = bool::from(key.hash().ct_eq(&known));
        match record.map(|record| record.state) {
            Some(KeyState::Live) if is_same => Ok(id),
            Some(KeyState::Revoked) if is_same => bail!(ErrorKind::KeyRevoked),
            _ => bail!(ErrorKind::BadKey),
        }
    }

    /// Returns whether a key is live; connected clients are checked with it
    /// after every change of the configuration.
    pub fn is_live(&self, organisation: &str, id: &KeyId) -> bool {
        let record = self.record(organisation, id);
        record.is_some_and(|record| record.state == KeyState::Live)
    }

    /// Returns the number of keys, live or revoked.
    pub fn len(&self) -> usize {
        self.owners.values().map(HashMap::len).sum()
    }

    /// Returns whether the ring holds no key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn record(&self, organisation: &str, id: &KeyId) -> Option<&KeyRecord> {
        self.owners.get(organisation)?.get(id)
    }

    fn remove(&mut self, place: &KeyPath) {
        if let Some(keys) = self.owners.get_mut(&place.organisation) {
            keys.remove(&place.id);
            if keys.is_empty() {
                self.owners.remove(&place.organisation);
            }
        }
    }
}
