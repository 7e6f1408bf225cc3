//! Serves one client from its first statement to its end.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, timeout, timeout_at, yield_now};
use burdockslip_types::{ErrorKind, GroupName, HostId, LogPosition, MemberName, Result};
use burdockslip_wire::{
    ClientStream, PreparedStatements, StatementKind, TransactionState, Unit, UnitKind, classify,
    command_complete, error_response, parameter_status, ready,
};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, bail};
use futures::future::{Either, select};
use tracing::{debug, warn};

use super::parameter;
use super::request::{self, Prepared};
use super::startup::State;
use crate::conversation::Conversation;
use crate::exchange::Done;
use crate::host::Host;

/// Time for which an idle session keeps the conversation of its last request.
///
/// The next request then needs no new stream or task; a longer time would cost
/// memory for clients that have nothing to ask.
const KEEP_TIME: Duration = Duration::from_secs(1);

/// Time that a client has to read its last answer before a drain ends the
/// session; some libraries report the end instead of an answer that they have
/// not read yet.
const DRAIN_GRACE: Duration = Duration::from_millis(200);

/// Holds one client's session.
pub(super) struct Session {
    pub(super) host: Rc<Host>,
    client: ClientStream,
    pub(super) state: State,
    names: PreparedStatements,
    pub(super) transaction: Transaction,
    /// The conversation of the last request, outside of transactions.
    pub(super) kept: Option<BoundConversation>,
    /// The last part of an answer, which goes out with what ends the answer.
    pub(super) pending: Bytes,
    served_at: Instant,
}

/// Holds a conversation with the holder and the member that it is bound to.
pub(super) struct BoundConversation {
    pub(super) holder: HostId,
    pub(super) member: MemberName,
    pub(super) conversation: Conversation,
}

/// Holds the transaction of a session.
#[derive(Default)]
pub(super) struct Transaction {
    pub(super) conversation: Option<BoundConversation>,
    pub(super) names: BTreeSet<String>,
    pub(super) is_failed: bool,
}

impl Transaction {
    pub(super) fn state(&self) -> TransactionState {
        if self.is_failed {
            TransactionState::Failed
        } else if self.conversation.is_some() {
            TransactionState::Open
        } else {
            TransactionState::Idle
        }
    }
}

/// Serves a client until it leaves or is told to go.
pub(super) async fn run(host: Rc<Host>, client: ClientStream, state: State) {
    let process = state.entry.process;
    let mut session = Session {
        host: Rc::clone(&host),
        client,
        state,
        names: PreparedStatements::default(),
        transaction: Transaction::default(),
        kept: None,
        pending: Bytes::new(),
        served_at: now(),
    };
    if let Err(report) = session.serve().await {
        let kind = *report.current_context();
        debug!(
            host = %host.options.host, organisation = %session.state.organisation,
            session = process, error = ?kind, "session ended"
        );
        if kind != ErrorKind::ConnectionLost {
            // The client may be gone already, or read nothing.
            let _ = session.write(error_response(kind, "")).await;
        }
    }
    host.sessions.remove(process);
    session.client.close().await;
}

impl Session {
    async fn serve(&mut self) -> Result<()> {
        loop {
            self.wait_for_unit().await?;
            let unit = timeout(self.host.options.unit_timeout, self.client.read_unit())
                .await
                .map_err(|_| Report::new(ErrorKind::Protocol))?;
            match unit {
                // Read first and refused afterwards, because closing with
                // unread bytes would take the answer from the client.
                Ok(Some(_)) if self.is_leaving() => bail!(ErrorKind::Draining),
                Ok(Some(unit)) => {
                    self.handle(unit).await?;
                    self.served_at = now();
                    // A client that always has the next unit ready would
                    // otherwise keep the thread from all others.
                    yield_now().await;
                }
                Ok(None) => return Ok(()),
                Err(report) if *report.current_context() == ErrorKind::NotSupported => {
                    self.refuse(ErrorKind::NotSupported, "Flush is not supported")
                        .await?;
                }
                Err(report) => return Err(report),
            }
        }
    }

    /// Returns whether the host drains and the session holds no transaction.
    fn is_leaving(&self) -> bool {
        self.host.is_draining.get() && self.transaction.state() == TransactionState::Idle
    }

    /// Waits until the client sends something.
    ///
    /// # Errors
    ///
    /// Returns `Draining` or `KeyRevoked` if the session has to end.
    async fn wait_for_unit(&mut self) -> Result<()> {
        let signal = self.host.sessions.signal();
        loop {
            let epoch = signal.epoch();
            request::check_key(&self.host.active_config(), &self.state)?;
            let limit = self.idle_deadline();
            if limit.is_past() {
                self.handle_idle_timeout()?;
                continue;
            }
            if self.client.has_unread() {
                return Ok(());
            }
            let readable = std::pin::pin!(self.client.readable());
            let changed = std::pin::pin!(timeout_at(limit, signal.changed(epoch)));
            if let Either::Left((result, _)) = select(readable, changed).await {
                return result;
            }
        }
    }

    /// Returns until when the session waits for its client.
    fn idle_deadline(&self) -> Instant {
        let options = &self.host.options;
        if self.is_leaving() {
            self.served_at + DRAIN_GRACE
        } else if self.kept.is_some() {
            self.served_at + KEEP_TIME
        } else if self.transaction.conversation.is_some() {
            self.served_at + options.transaction_timeout
        } else {
            self.served_at + options.idle_timeout
        }
    }

    /// Lets go of a kept conversation, rolls an abandoned transaction back, or
    /// ends an idle session.
    fn handle_idle_timeout(&mut self) -> Result<()> {
        if !self.is_leaving() && self.kept.take().is_some() {
            return Ok(());
        }
        if self.transaction.conversation.take().is_some() {
            self.transaction.is_failed = true;
            self.transaction.names.clear();
            self.served_at = now();
            return Ok(());
        }
        bail!(ErrorKind::Draining)
    }

    async fn handle(&mut self, unit: Unit) -> Result<()> {
        let is_simple = matches!(unit.kind, UnitKind::Simple(_));
        let prepared = match self.prepare(&unit) {
            Ok(prepared) => prepared,
            Err(report) => return self.refuse_report(&report).await,
        };
        if self.transaction.is_failed {
            return self.handle_failed(&prepared.statement.kind).await;
        }
        let local = match &prepared.statement.kind {
            StatementKind::Set(name, value) if is_simple => {
                Some(parameter::set(&self.host, &mut self.state, name, value))
            }
            StatementKind::Show(name) if is_simple => {
                Some(parameter::show(&self.host, &self.state, name))
            }
            StatementKind::Set(..) | StatementKind::Show(_) => {
                Some(Err(Report::new(ErrorKind::NotSupported)))
            }
            _ => None,
        };
        match local {
            Some(Ok(answer)) => self.finish(answer).await,
            Some(Err(report)) => self.refuse_report(&report).await,
            None => match request::authorize(&self.host, &self.state, prepared) {
                Ok(request) => self.serve_request(request).await,
                Err(report) => self.refuse_report(&report).await,
            },
        }
    }

    fn prepare(&mut self, unit: &Unit) -> Result<Prepared> {
        match &unit.kind {
            UnitKind::Simple(text) => Ok(Prepared {
                statement: classify(text),
                frames: unit.first_frame_bytes(),
                injected: 0,
                names: Vec::new(),
            }),
            UnitKind::Extended => {
                let rewritten = self.names.rewrite(&unit.frames, &self.transaction.names)?;
                Ok(Prepared {
                    statement: rewritten.statement,
                    frames: rewritten.frames,
                    injected: rewritten.injected,
                    names: rewritten.names,
                })
            }
        }
    }

    /// Answers in a transaction that the proxy had to abandon.
    async fn handle_failed(&mut self, kind: &StatementKind) -> Result<()> {
        if matches!(kind, StatementKind::Commit | StatementKind::Rollback) {
            self.transaction = Transaction::default();
            return self.finish(command_complete("ROLLBACK")).await;
        }
        self.refuse(ErrorKind::ConnectionLost, "transaction was rolled back")
            .await
    }

    /// Writes to the client, which has to keep reading.
    pub(super) async fn write(&mut self, bytes: Bytes) -> Result<()> {
        timeout(self.host.options.write_timeout, self.client.write(bytes))
            .await
            .map_err(|_| Report::new(ErrorKind::ConnectionLost))?
    }

    /// Raises the session's floor and ends the answer.
    pub(super) async fn complete(&mut self, group: &GroupName, done: Done) -> Result<()> {
        let mut buf = BytesMut::from(std::mem::take(&mut self.pending));
        if let Some(mark) = done.mark
            && self.raise_floor(group, mark)
        {
            match parameter::seal(&self.host, &self.state) {
                Ok(token) => {
                    buf.extend_from_slice(&parameter_status("burdockslip.token", &token));
                }
                Err(report) => {
                    warn!(session = self.state.entry.process, error = ?report.current_context(), "token not sealed");
                }
            }
        }
        buf.extend_from_slice(&ready(self.transaction.state()));
        self.write(buf.freeze()).await
    }

    fn raise_floor(&mut self, group: &GroupName, mark: LogPosition) -> bool {
        let floor = self.state.floors.entry(group.clone()).or_default();
        let is_higher = mark > *floor;
        *floor = mark.max(*floor);
        is_higher
    }

    async fn refuse_report(&mut self, report: &Report<ErrorKind>) -> Result<()> {
        let detail = report
            .downcast_ref::<&'static str>()
            .copied()
            .unwrap_or_default();
        self.refuse(*report.current_context(), detail).await
    }

    /// Answers with an error; an open transaction is rolled back, as a
    /// database does with the one that it was sent in.
    pub(super) async fn refuse(&mut self, kind: ErrorKind, detail: &str) -> Result<()> {
        if self.transaction.conversation.take().is_some() {
            self.transaction.is_failed = true;
            self.transaction.names.clear();
        }
        self.finish(error_response(kind, detail)).await
    }

    async fn finish(&mut self, answer: Bytes) -> Result<()> {
        let mut buf = BytesMut::from(answer);
        buf.extend_from_slice(&ready(self.transaction.state()));
        self.write(buf.freeze()).await
    }
}
