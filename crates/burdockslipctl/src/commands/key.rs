//! The `key` command, which issues, lists and withdraws keys.

use std::fmt;

use burdockslip_keys::{KEY_RECORDS_PREFIX, Key, KeyId, KeyPath, KeyRecord, KeyState};
use burdockslip_store::{Compare, Entry, Operation, Store, Txn};
use burdockslip_types::{ErrorKind, Organisation, Result, Revision};
use error_stack::{Report, bail};
use serde::Serialize;

use crate::retry::{self, MAX_ATTEMPTS};
use crate::{ExitStatus, Outcome, document};

/// A new key. This is the only output that contains the text of a key.
#[derive(Serialize)]
struct Issued {
    organisation: Organisation,
    id: KeyId,
    key: String,
}

/// The keys of an organisation.
#[derive(Debug, Serialize)]
struct KeyList {
    organisation: Organisation,
    keys: Vec<KeyLine>,
}

/// One key. A malformed record has no state, and hosts do not accept its key.
#[derive(Debug, Serialize)]
struct KeyLine {
    id: String,
    state: Option<KeyState>,
    revision: Revision,
}

/// A withdrawn key.
#[derive(Debug, Serialize)]
struct Withdrawn {
    organisation: Organisation,
    id: KeyId,
    revision: Revision,
}

/// Issues a key for an organisation of the catalogue.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the store does not respond, and
/// `OutcomeUnknown` if it stopped responding after the key was sent. In the
/// latter case the error contains the id, by which the key can be withdrawn,
/// and not the key itself.
pub async fn issue(store: &Store, organisation: &str) -> Result<Outcome> {
    if !is_in_catalogue(store, organisation).await? {
        return Ok(unknown_organisation(organisation));
    }
    let key = Key::generate();
    let key_path = KeyPath {
        organisation: organisation.into(),
        id: key.id(),
    };
    let record = KeyRecord::live(&key);
    match write(store, &key_path, Revision(0), &record).await? {
        Some(_) => Ok(Outcome::new(
            ExitStatus::Success,
            &Issued {
                organisation: key_path.organisation,
                id: key_path.id,
                key: key.reveal().as_str().to_owned(),
            },
        )),
        None => bail!(ErrorKind::Conflict),
    }
}

/// Lists all keys of an organisation, even if it is no longer in the catalogue.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the store does not respond.
pub async fn list(store: &Store, organisation: &str) -> Result<Outcome> {
    let prefix = format!("{KEY_RECORDS_PREFIX}{organisation}/");
    let page = retry::range(store, &prefix).await?;
    if page.entries.is_empty() && !is_in_catalogue(store, organisation).await? {
        return Ok(unknown_organisation(organisation));
    }
    let lines = page.entries.iter().map(|entry| KeyLine {
        id: entry.key[prefix.len()..].to_owned(),
        state: KeyRecord::parse(&entry.value)
            .ok()
            .map(|record| record.state),
        revision: entry.revision,
    });
    Ok(Outcome::new(
        ExitStatus::Success,
        &KeyList {
            organisation: organisation.into(),
            keys: lines.collect(),
        },
    ))
}

/// Withdraws a key; withdrawing it again succeeds.
///
/// # Errors
///
/// Returns `InvalidInput` if `id` is not a key id or its record is malformed,
/// `StoreUnavailable` if the store does not respond, `OutcomeUnknown` if it
/// stopped responding after the change was sent, and `Conflict` if other
/// changes of the key came first in every attempt.
pub async fn withdraw(store: &Store, organisation: &str, id: &str) -> Result<Outcome> {
    let key_path = KeyPath {
        organisation: organisation.into(),
        id: KeyId::parse(id)?,
    };
    for _ in 0..MAX_ATTEMPTS {
        let Some(entry) = find(store, &key_path).await? else {
            let text = format!("organisation {organisation} has no key {id}");
            return Ok(Outcome::message(ExitStatus::NotFound, text));
        };
        // Hosts do not accept a malformed record, but repairing it later would
        // make the key work again, so it is an error and not reported as withdrawn.
        let mut record = KeyRecord::parse(&entry.value)?;
        let revision = if record.state == KeyState::Revoked {
            Some(entry.revision)
        } else {
            record.state = KeyState::Revoked;
            write(store, &key_path, entry.revision, &record).await?
        };
        if let Some(revision) = revision {
            let KeyPath { organisation, id } = key_path;
            let withdrawn = Withdrawn {
                organisation,
                id,
                revision,
            };
            return Ok(Outcome::new(ExitStatus::Success, &withdrawn));
        }
    }
    bail!(ErrorKind::Conflict)
}

/// Replaces the record of revision `expected` and returns the new revision, or
/// `None` if another change came first.
///
/// A call without a response is retried; the record in the store shows whether
/// an earlier attempt took effect.
async fn write(
    store: &Store,
    key_path: &KeyPath,
    expected: Revision,
    record: &KeyRecord,
) -> Result<Option<Revision>> {
    let store_key = key_path.render();
    let txn = Txn {
        compares: vec![Compare::Revision(store_key.clone(), expected)],
        operations: vec![Operation::Put(store_key, record.render(), None)],
    };
    let outcome_unknown = |report: Report<ErrorKind>| {
        report
            .change_context(ErrorKind::OutcomeUnknown)
            .attach(format!("the change of key {} was sent", key_path.id))
    };
    for attempt in 0..MAX_ATTEMPTS {
        match store.txn(txn.clone()).await {
            Ok(reply) if reply.is_applied => return Ok(Some(reply.revision)),
            Ok(_) => {
                let entry = find(store, key_path).await.map_err(outcome_unknown)?;
                let own = entry.filter(|entry| entry.value == record.render());
                return Ok(own.map(|entry| entry.revision));
            }
            Err(report) if retry::is_unanswered(&report) => retry::back_off(attempt).await,
            Err(report) => return Err(outcome_unknown(report)),
        }
    }
    Err(outcome_unknown(Report::new(ErrorKind::StoreUnavailable)))
}

async fn find(store: &Store, key_path: &KeyPath) -> Result<Option<Entry>> {
    let store_key = key_path.render();
    let page = retry::range(store, &store_key).await?;
    Ok(page
        .entries
        .into_iter()
        .find(|entry| entry.key == store_key))
}

async fn is_in_catalogue(store: &Store, organisation: &str) -> Result<bool> {
    let current = document::read(store).await?;
    let catalogue = current.document.and_then(|found| found.catalogue().ok());
    Ok(catalogue.is_some_and(|found| found.organisation(organisation).is_some()))
}

fn unknown_organisation(organisation: &str) -> Outcome {
    let text = format!("the catalogue has no organisation {organisation}");
    Outcome::message(ExitStatus::NotFound, text)
}

impl fmt::Display for Issued {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "issued key {} for {}; it is shown only now:\n{}",
            self.id, self.organisation, self.key
        )
    }
}

impl fmt::Display for KeyList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} keys of {}", self.keys.len(), self.organisation)?;
        for line in &self.keys {
            let state = match line.state {
                Some(KeyState::Live) => "live",
                Some(KeyState::Revoked) => "revoked",
                None => "malformed",
            };
            write!(f, "\n{} {state} revision {}", line.id, line.revision)?;
        }
        Ok(())
    }
}

impl fmt::Display for Withdrawn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "withdrew key {} of {}, revision {}",
            self.id, self.organisation, self.revision
        )
    }
}
