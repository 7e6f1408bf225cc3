//! Issues, lists and withdraws keys.

use std::fmt;

use burdockslip_keys::{KEY_RECORDS_PREFIX, Key, KeyId, KeyPath, KeyRecord, KeyState};
use burdockslip_store::{Compare, Entry, Operation, Store, Txn};
use burdockslip_types::{ErrorKind, Organisation, Result, Revision};
use error_stack::{Report, bail};
use serde::Serialize;

use crate::retry::{self, ATTEMPTS};
use crate::{ExitStatus, Outcome, document};

/// Reports a new key; the only place where its text is shown.
#[derive(Serialize)]
struct Issued {
    organisation: Organisation,
    id: KeyId,
    key: String,
}

/// Lists the keys of an organisation.
#[derive(Debug, Serialize)]
struct Listed {
    organisation: Organisation,
    keys: Vec<Line>,
}

/// Describes one key; a record that cannot be read has no state and does not work.
#[derive(Debug, Serialize)]
struct Line {
    id: String,
    state: Option<KeyState>,
    revision: Revision,
}

/// Reports a withdrawn key.
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
/// Returns `StoreUnavailable` if the store does not answer, and
/// `OutcomeUnknown` if it stopped answering after the key was sent; the key is
/// not shown then, and its id allows to withdraw it.
pub async fn issue(store: &Store, organisation: &str) -> Result<Outcome> {
    if !is_listed(store, organisation).await? {
        return Ok(unknown_organisation(organisation));
    }
    let key = Key::generate();
    let place = KeyPath {
        organisation: organisation.into(),
        id: key.id(),
    };
    let record = KeyRecord::live(&key);
    match write(store, &place, Revision(0), &record).await? {
        Some(_) => Ok(Outcome::new(
            ExitStatus::Success,
            &Issued {
                organisation: place.organisation,
                id: place.id,
                key: key.reveal().as_str().to_owned(),
            },
        )),
        None => bail!(ErrorKind::Conflict),
    }
}

/// Lists all keys of an organisation, also one that is no longer in the catalogue.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the store does not answer.
pub async fn list(store: &Store, organisation: &str) -> Result<Outcome> {
    let prefix = format!("{KEY_RECORDS_PREFIX}{organisation}/");
    let page = retry::range(store, &prefix).await?;
    if page.entries.is_empty() && !is_listed(store, organisation).await? {
        return Ok(unknown_organisation(organisation));
    }
    let lines = page.entries.iter().map(|entry| Line {
        id: entry.key[prefix.len()..].to_owned(),
        state: KeyRecord::parse(&entry.value)
            .ok()
            .map(|record| record.state),
        revision: entry.revision,
    });
    Ok(Outcome::new(
        ExitStatus::Success,
        &Listed {
            organisation: organisation.into(),
            keys: lines.collect(),
        },
    ))
}

/// Withdraws a key; withdrawing it again succeeds.
///
/// # Errors
///
/// Returns `InvalidInput` if `id` is not a key id, `StoreUnavailable` if the
/// store does not answer and `OutcomeUnknown` if it stopped answering after
/// the change was sent.
pub async fn withdraw(store: &Store, organisation: &str, id: &str) -> Result<Outcome> {
    let place = KeyPath {
        organisation: organisation.into(),
        id: KeyId::parse(id)?,
    };
    for _ in 0..ATTEMPTS {
        let Some(entry) = find(store, &place).await? else {
            let text = format!("organisation {organisation} has no key {id}");
            return Ok(Outcome::message(ExitStatus::NotFound, text));
        };
        // A malformed record does not work, but must not be left to be repaired.
        let mut record = KeyRecord::parse(&entry.value)?;
        let revision = if record.state == KeyState::Revoked {
            Some(entry.revision)
        } else {
            record.state = KeyState::Revoked;
            write(store, &place, entry.revision, &record).await?
        };
        if let Some(revision) = revision {
            let KeyPath { organisation, id } = place;
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

/// Writes a record over the one at `before` and returns the revision, or
/// `None` if another change was first.
///
/// A call without an answer is repeated; the record in the store tells whether
/// an earlier one took effect.
async fn write(
    store: &Store,
    place: &KeyPath,
    before: Revision,
    record: &KeyRecord,
) -> Result<Option<Revision>> {
    let path = place.render();
    let txn = Txn {
        compares: vec![Compare::Revision(path.clone(), before)],
        operations: vec![Operation::Put(path, record.render(), None)],
    };
    let unknown = |report: Report<ErrorKind>| {
        report
            .change_context(ErrorKind::OutcomeUnknown)
            .attach(format!("the change of key {} was sent", place.id))
    };
    for attempt in 0..ATTEMPTS {
        match store.txn(txn.clone()).await {
            Ok(reply) if reply.is_applied => return Ok(Some(reply.revision)),
            Ok(_) => {
                let entry = find(store, place).await.map_err(unknown)?;
                let own = entry.filter(|entry| entry.value == record.render());
                return Ok(own.map(|entry| entry.revision));
            }
            Err(report) if retry::is_unanswered(&report) => retry::pause(attempt).await,
            Err(report) => return Err(unknown(report)),
        }
    }
    Err(unknown(Report::new(ErrorKind::StoreUnavailable)))
}

async fn find(store: &Store, place: &KeyPath) -> Result<Option<Entry>> {
    let path = place.render();
    let page = retry::range(store, &path).await?;
    Ok(page.entries.into_iter().find(|entry| entry.key == path))
}

async fn is_listed(store: &Store, organisation: &str) -> Result<bool> {
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

impl fmt::Display for Listed {
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
