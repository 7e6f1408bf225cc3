//! The session of one client, from authentication to disconnect.

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
use super::request::{self, PreparedUnit};
use super::startup::SessionState;
use crate::conversation::Conversation;
use crate::exchange::Done;
use crate::host::Host;

/// How long an idle session keeps the conversation of its last request.
///
/// A request within this time needs no new stream or task. A longer time would
/// cost memory for idle clients.
const CONVERSATION_IDLE_TIME: Duration = Duration::from_secs(1);

/// How long a drain waits after the last answer before it ends the session.
///
/// Some client libraries report the disconnect instead of an answer that they
/// have received but not read yet.
const DRAIN_GRACE: Duration = Duration::from_millis(200);

/// The session of one client.
pub(super) struct Session {
    pub(super) host: Rc<Host>,
    client: ClientStream,
    pub(super) state: SessionState,
    statements: PreparedStatements,
    pub(super) transaction: Transaction,
    /// The conversation of the last request outside of a transaction, for reuse.
    pub(super) idle_conversation: Option<BoundConversation>,
    /// The last part of an answer, sent together with the end of the answer.
    pub(super) pending: Bytes,
    /// When the last unit was answered, from which idle timeouts are counted.
    served_at: Instant,
}

/// A conversation, and the holder and member that it is bound to.
pub(super) struct BoundConversation {
    pub(super) holder: HostId,
    /// The group of the member. The route may lead to another one meanwhile.
    pub(super) group: GroupName,
    pub(super) member: MemberName,
    pub(super) conversation: Conversation,
}

/// The transaction state of a session.
#[derive(Default)]
pub(super) struct Transaction {
    pub(super) conversation: Option<BoundConversation>,
    /// The names of the prepared statements on the transaction's connection.
    pub(super) statements: BTreeSet<String>,
    /// Whether the transaction was rolled back and the client has not ended it yet.
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

/// Serves a client until it disconnects or the proxy ends the session.
pub(super) async fn run(host: Rc<Host>, client: ClientStream, state: SessionState) {
    let process = state.entry.process;
    let mut session = Session {
        host: Rc::clone(&host),
        client,
        state,
        statements: PreparedStatements::default(),
        transaction: Transaction::default(),
        idle_conversation: None,
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
            // Errors are ignored: the client may be gone, or may not read.
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
                // The unit is read before it is refused: closing a connection
                // with unread bytes resets it, and the client would lose the
                // error message.
                Ok(Some(_)) if self.should_drain() => bail!(ErrorKind::Draining),
                Ok(Some(unit)) => {
                    self.handle(unit).await?;
                    self.served_at = now();
                    // Otherwise a client that pipelines units without pause
                    // would starve all other sessions of the thread.
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

    /// Returns whether the session has to end for a drain: the host is draining and
    /// no transaction is open.
    fn should_drain(&self) -> bool {
        self.host.is_draining.get() && self.transaction.state() == TransactionState::Idle
    }

    /// Waits until the client sends data.
    ///
    /// # Errors
    ///
    /// Returns `Draining` or `KeyRevoked` if the session has to end, or the error
    /// of the connection.
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

    /// Returns the time of the next [`Session::handle_idle_timeout`] if the client
    /// stays idle.
    fn idle_deadline(&self) -> Instant {
        let options = &self.host.options;
        if self.should_drain() {
            self.served_at + DRAIN_GRACE
        } else if self.idle_conversation.is_some() {
            self.served_at + CONVERSATION_IDLE_TIME
        } else if self.transaction.conversation.is_some() {
            self.served_at + options.transaction_timeout
        } else {
            self.served_at + options.idle_timeout
        }
    }

    /// Closes the idle conversation, rolls back an abandoned transaction, or ends
    /// the session, whichever applies first.
    fn handle_idle_timeout(&mut self) -> Result<()> {
        if !self.should_drain() && self.idle_conversation.take().is_some() {
            return Ok(());
        }
        if self.transaction.conversation.take().is_some() {
            self.transaction.is_failed = true;
            self.transaction.statements.clear();
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
            None => {
                let open = self.transaction.conversation.as_ref();
                match request::authorize(&self.host, &self.state, prepared, open) {
                    Ok(request) => self.serve_request(request).await,
                    Err(report) => self.refuse_report(&report).await,
                }
            }
        }
    }

    fn prepare(&mut self, unit: &Unit) -> Result<PreparedUnit> {
        match &unit.kind {
            UnitKind::Simple(text) => Ok(PreparedUnit {
                statement: classify(text),
                frames: unit.first_frame_bytes(),
                injected: 0,
                statements: Vec::new(),
            }),
            UnitKind::Extended => {
                let rewritten = self
                    .statements
                    .rewrite(&unit.frames, &self.transaction.statements)?;
                Ok(PreparedUnit {
                    statement: rewritten.statement,
                    frames: rewritten.frames,
                    injected: rewritten.injected,
                    statements: rewritten.statements,
                })
            }
        }
    }

    /// Answers a statement in a transaction that the proxy has rolled back.
    async fn handle_failed(&mut self, kind: &StatementKind) -> Result<()> {
        if matches!(kind, StatementKind::Commit | StatementKind::Rollback) {
            self.transaction = Transaction::default();
            return self.finish(command_complete("ROLLBACK")).await;
        }
        self.refuse(ErrorKind::ConnectionLost, "transaction was rolled back")
            .await
    }

    /// Writes to the client.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the client is gone or does not read in time.
    pub(super) async fn write(&mut self, bytes: Bytes) -> Result<()> {
        timeout(self.host.options.write_timeout, self.client.write(bytes))
            .await
            .map_err(|_| Report::new(ErrorKind::ConnectionLost))?
    }

    /// Completes an answer: raises the session's floor, sends the new token and
    /// `ReadyForQuery`.
    pub(super) async fn complete(&mut self, group: &GroupName, done: Done) -> Result<()> {
        let mut buf = BytesMut::from(std::mem::take(&mut self.pending));
        if let Some(position) = done.position
            && self.raise_floor(group, position)
        {
            let signed = parameter::sign_token(&self.host, &self.state);
            // The client's earlier token lacks this position. An empty one takes it back:
            // hosts refuse it.
            let token = signed.unwrap_or_else(|report| {
                warn!(session = self.state.entry.process, error = ?report.current_context(), "session token taken back");
                String::new()
            });
            buf.extend_from_slice(&parameter_status("burdockslip.token", &token));
        }
        buf.extend_from_slice(&ready(self.transaction.state()));
        self.write(buf.freeze()).await
    }

    fn raise_floor(&mut self, group: &GroupName, position: LogPosition) -> bool {
        let floor = self.state.floors.entry(group.clone()).or_default();
        let is_higher = position > *floor;
        *floor = position.max(*floor);
        is_higher
    }

    async fn refuse_report(&mut self, report: &Report<ErrorKind>) -> Result<()> {
        let detail = report
            .downcast_ref::<&'static str>()
            .copied()
            .unwrap_or_default();
        self.refuse(*report.current_context(), detail).await
    }

    /// Answers with an error and aborts an open transaction, as PostgreSQL does
    /// after an error.
    pub(super) async fn refuse(&mut self, kind: ErrorKind, detail: &str) -> Result<()> {
        if self.transaction.conversation.take().is_some() {
            self.transaction.is_failed = true;
            self.transaction.statements.clear();
        }
        self.finish(error_response(kind, detail)).await
    }

    async fn finish(&mut self, answer: Bytes) -> Result<()> {
        let mut buf = BytesMut::from(answer);
        buf.extend_from_slice(&ready(self.transaction.state()));
        self.write(buf.freeze()).await
    }
}
