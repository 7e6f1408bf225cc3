//! The `apply` command, which writes a catalogue to the store by compare-and-swap.

use std::fmt;
use std::time::Duration;

use burdockslip_catalogue::{Catalogue, Change, Conflict, MergeError};
use burdockslip_runtime::{now, sleep};
use burdockslip_store::{Compare, Operation, Store, Txn};
use burdockslip_types::{ErrorKind, Result, Revision};
use error_stack::{Report, bail};
use serde::Serialize;

use super::check::invalid;
use crate::document::{self, Snapshot};
use crate::retry::{self, MAX_ATTEMPTS};
use crate::{
    ApplyId, CATALOGUE_KEY, ExitStatus, Fetch, HostView, Outcome, StoredDocument, poll_hosts,
};

/// How long to wait between two polls of the hosts.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A catalogue to apply and the one it was edited from.
#[derive(Debug, Clone, Copy)]
pub struct Edit<'a> {
    /// The catalogue to write to the store.
    pub text: &'a str,
    /// The catalogue that the operator edited, or `None` if it was not kept.
    pub base: Option<&'a str>,
    /// The name of the file, used in faults.
    pub source: &'a str,
}

/// How to wait until a revision is in force on all hosts.
#[derive(Clone)]
pub struct Wait {
    /// Requests the status of a host.
    pub fetch: Fetch,
    /// The port of admin endpoints of hosts that list none.
    pub admin_port: u16,
    /// The maximum time to wait.
    pub timeout: Duration,
}

/// The result of an apply that took effect.
#[derive(Debug, Serialize)]
struct Applied {
    revision: Revision,
    /// Whether the store already had the same text.
    is_unchanged: bool,
    /// Whether another apply followed before this one was confirmed, in which
    /// case `revision` is that of the latest apply.
    is_superseded: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    hosts: Option<Rollout>,
}

/// The hosts, grouped by whether they have a revision in force.
#[derive(Debug, Default, Serialize)]
struct Rollout {
    done: Vec<HostView>,
    behind: Vec<HostView>,
    unreachable: Vec<HostView>,
    /// Why the host list could not be read.
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// The result of an apply that changed nothing, because the catalogue in the
/// store is not the base of the edit.
#[derive(Debug, Serialize)]
struct ConflictReport {
    revision: Revision,
    /// Whether the base is known; without it `theirs` cannot be determined.
    has_base: bool,
    /// The changes of this operator, from the base if it is known, else from
    /// the catalogue in the store.
    ours: Vec<Change>,
    /// The changes of other operators, from the base to the catalogue in the store.
    theirs: Vec<Change>,
    /// The paths that both sides changed.
    conflicts: Vec<Conflict>,
    /// The faults that a merge of both sides would have.
    faults: Option<String>,
}

/// Applies an edit and, if `wait` is given, waits until all hosts have it in force.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the store cannot be read, and
/// `OutcomeUnknown` if it stopped responding after the change was sent.
pub async fn apply(store: &Store, edit: Edit<'_>, wait: Option<&Wait>) -> Result<Outcome> {
    let ours = match Catalogue::parse(edit.text) {
        Ok(catalogue) => catalogue,
        Err(faults) => return Ok(invalid(&faults.with_source(edit.source))),
    };
    let base = match edit.base.map(Catalogue::parse).transpose() {
        Ok(base) => base,
        Err(faults) => return Ok(invalid(&faults.with_source("base"))),
    };
    let current = document::read(store).await?;
    if let Some(document) = &current.document {
        if document.text == edit.text {
            let applied = Applied::new(current.revision, true, false);
            return Ok(report_applied(store, applied, wait).await);
        }
        let theirs = match document.catalogue() {
            Ok(catalogue) => catalogue,
            Err(faults) => return Ok(invalid(&faults)),
        };
        // Compares the texts and not the parsed catalogues, so that comments of
        // other operators are not overwritten either.
        if edit.base != Some(document.text.as_str()) {
            return Ok(conflict(current.revision, base.as_ref(), &ours, &theirs));
        }
    }
    match compare_and_swap(store, &current, edit.text).await? {
        Swap::Applied(applied) => Ok(report_applied(store, applied, wait).await),
        Swap::Rejected(latest) => Ok(conflict_with_latest(&latest, base.as_ref(), &ours)),
    }
}

/// The result of a compare-and-swap.
enum Swap {
    Applied(Applied),
    Rejected(Snapshot),
}

/// Writes the document if the store still holds `current`.
///
/// A call without a response is retried unchanged: the comparison lets at most
/// one of the calls take effect, and the id in the document shows whether one did.
async fn compare_and_swap(store: &Store, current: &Snapshot, text: &str) -> Result<Swap> {
    let id = ApplyId::new();
    let empty = StoredDocument {
        apply_ids: Vec::new(),
        text: String::new(),
    };
    let before = current.document.as_ref().unwrap_or(&empty);
    let value = before.with_apply(&id, text).render()?;
    let txn = Txn {
        compares: vec![Compare::Revision(
            CATALOGUE_KEY.to_owned(),
            current.revision,
        )],
        operations: vec![Operation::Put(CATALOGUE_KEY.to_owned(), value, None)],
    };
    for attempt in 0..MAX_ATTEMPTS {
        match store.txn(txn.clone()).await {
            Ok(reply) if reply.is_applied => {
                return Ok(Swap::Applied(Applied::new(reply.revision, false, false)));
            }
            Ok(_) => {
                let latest = document::read(store).await.map_err(outcome_unknown(&id))?;
                return Ok(resolve_rejection(latest, &id));
            }
            Err(report) if retry::is_unanswered(&report) => retry::back_off(attempt).await,
            Err(report) => return Err(outcome_unknown(&id)(report)),
        }
    }
    bail!(outcome_unknown(&id)(Report::new(
        ErrorKind::StoreUnavailable
    )));
}

/// Determines whether an earlier attempt with `id` took effect or another
/// operator changed the document first.
fn resolve_rejection(latest: Snapshot, id: &ApplyId) -> Swap {
    let applies = latest.document.iter().flat_map(|found| &found.apply_ids);
    match applies.into_iter().position(|found| found == id) {
        Some(index) => Swap::Applied(Applied::new(latest.revision, false, index > 0)),
        None => Swap::Rejected(latest),
    }
}

fn outcome_unknown(id: &ApplyId) -> impl Fn(Report<ErrorKind>) -> Report<ErrorKind> + use<> {
    let text = format!("apply {id} was sent; run `show` to see whether it took effect");
    move |report| {
        report
            .change_context(ErrorKind::OutcomeUnknown)
            .attach(text.clone())
    }
}

fn conflict_with_latest(latest: &Snapshot, base: Option<&Catalogue>, ours: &Catalogue) -> Outcome {
    let Some(document) = &latest.document else {
        return Outcome::message(ExitStatus::Conflict, "the catalogue was removed meanwhile");
    };
    match document.catalogue() {
        Ok(theirs) => conflict(latest.revision, base, ours, &theirs),
        Err(faults) => invalid(&faults),
    }
}

fn conflict(
    revision: Revision,
    base: Option<&Catalogue>,
    ours: &Catalogue,
    theirs: &Catalogue,
) -> Outcome {
    let from = base.unwrap_or(theirs);
    let mut result = ConflictReport {
        revision,
        has_base: base.is_some(),
        ours: from.diff(ours),
        theirs: from.diff(theirs),
        conflicts: Vec::new(),
        faults: None,
    };
    match Catalogue::merge(from, ours, theirs) {
        Ok(_) => {}
        Err(MergeError::Conflicts(conflicts)) => result.conflicts = conflicts,
        Err(MergeError::Invalid(faults)) => result.faults = Some(faults.to_string()),
    }
    Outcome::new(ExitStatus::Conflict, &result)
}

async fn report_applied(store: &Store, mut applied: Applied, wait: Option<&Wait>) -> Outcome {
    let mut status = ExitStatus::Success;
    if let Some(wait) = wait {
        let hosts = wait_for_hosts(store, applied.revision, wait).await;
        if !hosts.is_complete() {
            status = ExitStatus::Incomplete;
        }
        applied.hosts = Some(hosts);
    }
    Outcome::new(status, &applied)
}

/// Polls all hosts until the revision is in force on each or the timeout expires.
///
/// The change has already taken effect, so an unreachable store is reported as
/// part of the result and not as an error.
async fn wait_for_hosts(store: &Store, revision: Revision, wait: &Wait) -> Rollout {
    let deadline = now() + wait.timeout;
    loop {
        let rollout = match poll_hosts(store, &wait.fetch, wait.admin_port).await {
            Ok(views) => Rollout::from_views(views, revision),
            Err(report) => Rollout {
                error: Some(report.to_string()),
                ..Rollout::default()
            },
        };
        if rollout.is_complete() || deadline.is_past() {
            return rollout;
        }
        sleep(POLL_INTERVAL.min(deadline.remaining())).await;
    }
}

impl Applied {
    const fn new(revision: Revision, is_unchanged: bool, is_superseded: bool) -> Self {
        Self {
            revision,
            is_unchanged,
            is_superseded,
            hosts: None,
        }
    }
}

impl Rollout {
    fn from_views(views: Vec<HostView>, revision: Revision) -> Self {
        let mut rollout = Self::default();
        for view in views {
            match view.revision() {
                Some(found) if found >= revision => rollout.done.push(view),
                Some(_) => rollout.behind.push(view),
                None => rollout.unreachable.push(view),
            }
        }
        rollout
    }

    fn is_complete(&self) -> bool {
        self.error.is_none() && self.behind.is_empty() && self.unreachable.is_empty()
    }
}

impl fmt::Display for Applied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = if self.is_unchanged {
            "already in the store"
        } else if self.is_superseded {
            "applied, and followed by another apply"
        } else {
            "applied"
        };
        write!(f, "{summary}, revision {}", self.revision)?;
        match &self.hosts {
            Some(hosts) => write!(f, "\n{hosts}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Rollout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(error) = &self.error {
            return write!(f, "the host list cannot be read: {error}");
        }
        write!(f, "in force on {} hosts", self.done.len())?;
        for view in &self.behind {
            write!(f, "\nnot yet in force: {view}")?;
        }
        for view in &self.unreachable {
            write!(f, "\n{view}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ConflictReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.has_base {
            writeln!(
                f,
                "nothing was changed: the store holds another catalogue than the base, revision {}",
                self.revision
            )?;
        } else {
            writeln!(
                f,
                "nothing was changed: the base of the file is not known; fetch it with \
                 `show --output` or name it with --base; the store has revision {}",
                self.revision
            )?;
        }
        write_section(f, "ours", &self.ours)?;
        if self.has_base && self.theirs.is_empty() {
            writeln!(f, "theirs: only comments or layout")?;
        }
        write_section(f, "theirs", &self.theirs)?;
        write_section(f, "conflicts", &self.conflicts)?;
        match &self.faults {
            Some(faults) => write!(f, "faults of the combination:\n{faults}"),
            None if self.conflicts.is_empty() => f.write_str("the changes do not overlap"),
            None => f.write_str("resolve the conflicts by hand"),
        }
    }
}

fn write_section<T: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    lines: &[T],
) -> fmt::Result {
    if !lines.is_empty() {
        writeln!(f, "{name}:")?;
    }
    lines.iter().try_for_each(|line| writeln!(f, "  {line}"))
}
