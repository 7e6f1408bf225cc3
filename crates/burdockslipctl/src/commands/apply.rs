//! Puts a catalogue into the store by compare-and-swap.

use std::fmt;
use std::time::Duration;

use burdockslip_catalogue::{Catalogue, Change, Conflict, MergeError};
use burdockslip_runtime::{now, sleep};
use burdockslip_store::{Compare, Operation, Store, Txn};
use burdockslip_types::{ErrorKind, Result, Revision};
use error_stack::{Report, bail};
use serde::Serialize;

use super::check::invalid;
use crate::document::{self, Current};
use crate::retry::{self, ATTEMPTS};
use crate::{ApplyId, CATALOGUE_KEY, ExitStatus, Fetch, HostView, Outcome, StoredDocument, poll};

/// Waits this long between two rounds of questions to the hosts.
const POLL_PAUSE: Duration = Duration::from_secs(1);

/// Holds the texts of an apply.
#[derive(Debug, Clone, Copy)]
pub struct Edit<'a> {
    /// The catalogue to put into the store.
    pub text: &'a str,
    /// The catalogue from which it was edited, if the operator has it.
    pub base: Option<&'a str>,
    /// The name of the file, for faults.
    pub source: &'a str,
}

/// Says how long and through which hosts to wait.
#[derive(Clone)]
pub struct Wait {
    /// How hosts are asked.
    pub fetch: Fetch,
    /// The port of admin endpoints of hosts that list none.
    pub port: u16,
    /// How long to wait.
    pub span: Duration,
}

/// Reports an apply that took effect.
#[derive(Debug, Serialize)]
struct Applied {
    revision: Revision,
    /// Whether the store had the same text before.
    is_unchanged: bool,
    /// Whether another apply followed before this one was confirmed.
    is_superseded: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    hosts: Option<Progress>,
}

/// Lists the hosts by whether they have a revision in force.
#[derive(Debug, Default, Serialize)]
struct Progress {
    done: Vec<HostView>,
    behind: Vec<HostView>,
    unreachable: Vec<HostView>,
    /// Why the host list could not be read.
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Reports an apply that changed nothing, because the store holds another
/// catalogue than the base.
#[derive(Debug, Serialize)]
struct Difference {
    revision: Revision,
    /// Whether the base is known; without it `theirs` cannot be told.
    has_base: bool,
    /// The changes of the operator, from the base or else from the store.
    ours: Vec<Change>,
    /// The changes of others, from the base to the store.
    theirs: Vec<Change>,
    /// The paths that both changed.
    conflicts: Vec<Conflict>,
    /// The faults that a combination of both would have.
    faults: Option<String>,
}

/// Applies an edit, and waits for hosts if asked to.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the store cannot be read, and
/// `OutcomeUnknown` if it stopped answering after the change was sent.
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
            return Ok(finish(store, applied, wait).await);
        }
        let theirs = match document.catalogue() {
            Ok(catalogue) => catalogue,
            Err(faults) => return Ok(invalid(&faults)),
        };
        // The texts are compared, so that comments of others are kept as well.
        if edit.base != Some(document.text.as_str()) {
            return Ok(conflict(current.revision, base.as_ref(), &ours, &theirs));
        }
    }
    match swap(store, &current, edit.text).await? {
        Swap::Applied(applied) => Ok(finish(store, applied, wait).await),
        Swap::Lost(latest) => Ok(lost(&latest, base.as_ref(), &ours)),
    }
}

/// Says what became of a compare-and-swap.
enum Swap {
    Applied(Applied),
    Lost(Current),
}

/// Writes the document if the store still holds `current`.
///
/// A call without an answer is repeated unchanged: the comparison lets at most
/// one of the calls take effect, and the id in the document tells whether one did.
async fn swap(store: &Store, current: &Current, text: &str) -> Result<Swap> {
    let id = ApplyId::new();
    let empty = StoredDocument {
        applies: Vec::new(),
        text: String::new(),
    };
    let before = current.document.as_ref().unwrap_or(&empty);
    let value = before.followed_by(&id, text).render()?;
    let txn = Txn {
        compares: vec![Compare::Revision(
            CATALOGUE_KEY.to_owned(),
            current.revision,
        )],
        operations: vec![Operation::Put(CATALOGUE_KEY.to_owned(), value, None)],
    };
    for attempt in 0..ATTEMPTS {
        match store.txn(txn.clone()).await {
            Ok(reply) if reply.is_applied => {
                return Ok(Swap::Applied(Applied::new(reply.revision, false, false)));
            }
            Ok(_) => {
                let latest = document::read(store).await.map_err(unknown(&id))?;
                return Ok(resolve(latest, &id));
            }
            Err(report) if retry::is_unanswered(&report) => retry::pause(attempt).await,
            Err(report) => return Err(unknown(&id)(report)),
        }
    }
    bail!(unknown(&id)(Report::new(ErrorKind::StoreUnavailable)));
}

/// Tells an own change from that of another operator.
fn resolve(latest: Current, id: &ApplyId) -> Swap {
    let applies = latest.document.iter().flat_map(|found| &found.applies);
    match applies.into_iter().position(|found| found == id) {
        Some(index) => Swap::Applied(Applied::new(latest.revision, false, index > 0)),
        None => Swap::Lost(latest),
    }
}

fn unknown(id: &ApplyId) -> impl Fn(Report<ErrorKind>) -> Report<ErrorKind> + use<> {
    let text = format!("apply {id} was sent; run `show` to see whether it took effect");
    move |report| {
        report
            .change_context(ErrorKind::OutcomeUnknown)
            .attach(text.clone())
    }
}

fn lost(latest: &Current, base: Option<&Catalogue>, ours: &Catalogue) -> Outcome {
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
    let mut difference = Difference {
        revision,
        has_base: base.is_some(),
        ours: from.diff(ours),
        theirs: from.diff(theirs),
        conflicts: Vec::new(),
        faults: None,
    };
    match Catalogue::merge(from, ours, theirs) {
        Ok(_) => {}
        Err(MergeError::Conflicts(conflicts)) => difference.conflicts = conflicts,
        Err(MergeError::Invalid(faults)) => difference.faults = Some(faults.to_string()),
    }
    Outcome::new(ExitStatus::Conflict, &difference)
}

async fn finish(store: &Store, mut applied: Applied, wait: Option<&Wait>) -> Outcome {
    let mut status = ExitStatus::Success;
    if let Some(wait) = wait {
        let hosts = wait_for(store, applied.revision, wait).await;
        if !hosts.is_complete() {
            status = ExitStatus::Incomplete;
        }
        applied.hosts = Some(hosts);
    }
    Outcome::new(status, &applied)
}

/// Asks all hosts until the revision is in force on each or the time is over.
///
/// The change has taken effect by now, so a store that does not answer is
/// part of the report and no error.
async fn wait_for(store: &Store, revision: Revision, wait: &Wait) -> Progress {
    let deadline = now() + wait.span;
    loop {
        let progress = match poll(store, &wait.fetch, wait.port).await {
            Ok(views) => Progress::sort(views, revision),
            Err(report) => Progress {
                error: Some(report.to_string()),
                ..Progress::default()
            },
        };
        if progress.is_complete() || deadline.is_past() {
            return progress;
        }
        sleep(POLL_PAUSE.min(deadline.remaining())).await;
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

impl Progress {
    fn sort(views: Vec<HostView>, revision: Revision) -> Self {
        let mut sorted = Self::default();
        for view in views {
            match view.revision() {
                Some(found) if found >= revision => sorted.done.push(view),
                Some(_) => sorted.behind.push(view),
                None => sorted.unreachable.push(view),
            }
        }
        sorted
    }

    fn is_complete(&self) -> bool {
        self.error.is_none() && self.behind.is_empty() && self.unreachable.is_empty()
    }
}

impl fmt::Display for Applied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = if self.is_unchanged {
            "already in the store"
        } else if self.is_superseded {
            "applied, and followed by another apply"
        } else {
            "applied"
        };
        write!(f, "{what}, revision {}", self.revision)?;
        match &self.hosts {
            Some(hosts) => write!(f, "\n{hosts}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Progress {
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

impl fmt::Display for Difference {
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
        section(f, "ours", &self.ours)?;
        if self.has_base && self.theirs.is_empty() {
            writeln!(f, "theirs: only comments or layout")?;
        }
        section(f, "theirs", &self.theirs)?;
        section(f, "conflicts", &self.conflicts)?;
        match &self.faults {
            Some(faults) => write!(f, "faults of the combination:\n{faults}"),
            None if self.conflicts.is_empty() => f.write_str("the changes do not overlap"),
            None => f.write_str("resolve the conflicts by hand"),
        }
    }
}

fn section<T: fmt::Display>(f: &mut fmt::Formatter<'_>, name: &str, lines: &[T]) -> fmt::Result {
    if !lines.is_empty() {
        writeln!(f, "{name}:")?;
    }
    lines.iter().try_for_each(|line| writeln!(f, "  {line}"))
}
