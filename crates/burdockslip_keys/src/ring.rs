//! The records of all keys, and the authentication of clients.

use std::collections::HashMap;

use burdockslip_types::{ErrorKind, Organisation, Result, domain};
use error_stack::bail;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::{Key, KeyHash, KeyId};

/// The prefix of the store keys of key records (`docs/design.md`, section 3.3).
pub const KEY_RECORDS_PREFIX: &str = "burdockslip/keys/";

domain! {
    /// The store key of a key record, in its parts.
    pub struct KeyPath {
        /// The organisation that owns the key.
        pub organisation: Organisation,
        /// The id of the key.
        pub id: KeyId,
    }

    /// Whether a key is accepted.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum KeyState {
        /// The key is accepted.
        Live,
        /// The key was withdrawn and is never accepted again.
        Revoked,
    }
}

/// The record of a key in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// The hash of the key.
    pub hash: KeyHash,
    /// Whether the key is accepted.
    pub state: KeyState,
}

impl KeyPath {
    /// Parses the store key of a record.
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

    /// Returns the store key, which [`parse`](Self::parse) accepts.
    pub fn render(&self) -> String {
        format!("{KEY_RECORDS_PREFIX}{}/{}", self.organisation, self.id)
    }
}

impl KeyRecord {
    /// Creates the record of a new key.
    pub fn live(key: &Key) -> Self {
        Self {
            hash: key.hash(),
            state: KeyState::Live,
        }
    }

    /// Parses the value of a record in the store.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the value is not a key record.
    pub fn parse(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value).map_err(|error| {
            error_stack::Report::new(error).change_context(ErrorKind::InvalidInput)
        })
    }

    /// Returns the value of the record in the store, as JSON.
    pub fn render(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record consists of two strings")
    }
}

/// The records of all keys.
///
/// A ring is built from store entries and then updated entry by entry, so that
/// the cost of a configuration update depends only on the keys that it changes.
#[derive(Debug, Clone, Default)]
pub struct KeyRing {
    by_organisation: HashMap<Organisation, HashMap<KeyId, KeyRecord>>,
}

impl KeyRing {
    /// Builds a ring from store entries and returns the store keys of the
    /// malformed ones. A key with a malformed record is not accepted.
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

    /// Adds or replaces the record at the store key `path`.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the store key or the value is malformed. A
    /// malformed value also removes an earlier record, whose state is no longer
    /// known to be current.
    pub fn put(&mut self, path: &str, value: &[u8]) -> Result<()> {
        let key_path = KeyPath::parse(path)?;
        let record = KeyRecord::parse(value);
        if record.is_err() {
            self.remove(&key_path);
        }
        let keys = self
            .by_organisation
            .entry(key_path.organisation)
            .or_default();
        keys.insert(key_path.id, record?);
        Ok(())
    }

    /// Removes the record at the store key `path`. Store keys of another form are
    /// ignored.
    pub fn delete(&mut self, path: &str) {
        if let Ok(key_path) = KeyPath::parse(path) {
            self.remove(&key_path);
        }
    }

    /// Checks `key` against its record and returns its id if it is a live key of
    /// `organisation`.
    ///
    /// The comparison of hashes takes the same time whether or not the id is known.
    ///
    /// # Errors
    ///
    /// Returns `KeyRevoked` for a revoked key, and `BadKey` for a key that is
    /// unknown or belongs to another organisation.
    pub fn authenticate(&self, organisation: &str, key: &Key) -> Result<KeyId> {
        let id = key.id();
        let record = self.record(organisation, &id);
        let known = record.map_or(KeyHash::placeholder(), |record| record.hash);
        let is_same = bool::from(key.hash().ct_eq(&known));
        match record.map(|record| record.state) {
            Some(KeyState::Live) if is_same => Ok(id),
            Some(KeyState::Revoked) if is_same => bail!(ErrorKind::KeyRevoked),
            _ => bail!(ErrorKind::BadKey),
        }
    }

    /// Returns whether a key of the organisation is live.
    ///
    /// Connected clients are checked with it after every configuration change.
    pub fn is_live(&self, organisation: &str, id: &KeyId) -> bool {
        let record = self.record(organisation, id);
        record.is_some_and(|record| record.state == KeyState::Live)
    }

    /// Returns the number of keys, both live and revoked.
    pub fn len(&self) -> usize {
        self.by_organisation.values().map(HashMap::len).sum()
    }

    /// Returns whether the ring contains no key.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn record(&self, organisation: &str, id: &KeyId) -> Option<&KeyRecord> {
        self.by_organisation.get(organisation)?.get(id)
    }

    fn remove(&mut self, key_path: &KeyPath) {
        if let Some(keys) = self.by_organisation.get_mut(&key_path.organisation) {
            keys.remove(&key_path.id);
            if keys.is_empty() {
                self.by_organisation.remove(&key_path.organisation);
            }
        }
    }
}
