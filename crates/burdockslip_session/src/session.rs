//! The state of a client session and the handling of its statements.

use std::cell::Cell;
use std::rc::Rc;

use burdockslip_directory::{Consistency, Route};
use burdockslip_dispatch::Rank;
use burdockslip_runtime::{Instant, now};
use burdockslip_statement::{Access, ClientResponse, Query, Statement, TransactionStatus};
use burdockslip_telemetry::RequestMetrics;
use burdockslip_types::{ClassName, ErrorKind, GroupName, LogPosition, MemberName, Organisation};
use burdockslip_upstream::{PreparedStatement, SessionState};
use bytes::Bytes;
use tracing::info;

use crate::budget::{self, StateCharge};
use crate::context::Context;
use crate::outcome::{Job, ServedReply, Work, error_kind};
use crate::own_commits::OwnCommits;
use crate::tokens::Token;
use crate::transaction::OpenTransaction;
use crate::{place, pressure, read, write};

/// The organisation of clients without a key, which only open routes accept.
const PUBLIC: &str = "public";

/// A client session.
#[derive(Debug)]
pub(crate) struct Session {
    cx: Rc<Context>,
    database: String,
    key: String,
    organisation: Organisation,
    state: Rc<SessionState>,
    /// The memory that the state takes.
    charge: StateCharge,
    own_commits: OwnCommits,
    transaction: Option<OpenTransaction>,
    /// Whether the transaction was rolled back and the client has not ended it yet.
    has_failed: bool,
    /// The order in which the current operation gives way to others.
    rank: Rank,
    /// When the current statement arrived.
    started: Instant,
    /// The member that replied to the current statement, and the floor that was
    /// required of its log. Logged with the statement.
    last_reply: Option<(MemberName, Option<LogPosition>)>,
    /// The log position of the commit made by the current statement.
    committed: Option<LogPosition>,
    metrics: RequestMetrics,
}

/// The response to a handled statement, and whether the session ends after it.
#[derive(Debug)]
pub(crate) struct Handled {
    pub(crate) response: ClientResponse,
    pub(crate) ends_session: bool,
}

impl Handled {
    const fn continues(response: ClientResponse) -> Self {
        Self {
            response,
            ends_session: false,
        }
    }
}

impl Session {
    /// Opens a session after authorising the client.
    ///
    /// # Errors
    ///
    /// Returns `ConfigMissing`, `UnknownRoute` or `BadKey`.
    pub(crate) fn open(cx: Rc<Context>, database: String, key: String) -> Result<Self, ErrorKind> {
        let (route, organisation) = authorise(&cx, &database, &key)?;
        let class = ClassName::from(route.name.as_str());
        Ok(Self {
            metrics: cx.metrics.request_metrics(&organisation, &class),
            charge: StateCharge::new(Rc::clone(&cx.budget), organisation.clone()),
            cx,
            database,
            key,
            organisation,
            state: Rc::default(),
            own_commits: OwnCommits::default(),
            transaction: None,
            has_failed: false,
            rank: Rank::of_priority(route.priority),
            started: now(),
            last_reply: None,
            committed: None,
        })
    }

    /// Returns whether the host has the processor time to serve the session.
    pub(crate) fn has_room(&self) -> bool {
        let route = authorise(&self.cx, &self.database, &self.key);
        route.is_ok_and(|(route, _)| pressure::admits_session(&self.cx, &route))
    }

    /// Returns the transaction status that is reported to the client.
    pub(crate) const fn transaction_status(&self) -> TransactionStatus {
        if self.has_failed {
            TransactionStatus::Failed
        } else if self.transaction.is_some() {
            TransactionStatus::Open
        } else {
            TransactionStatus::Idle
        }
    }

    /// Returns when the open transaction is rolled back if the client stays idle, or
    /// `None` if no transaction is open or idle transactions are not limited.
    pub(crate) fn idle_deadline(&self) -> Option<Instant> {
        let limit = self.cx.directory.configuration()?.transaction_idle?;
        Some(self.transaction.as_ref()?.last_used + limit)
    }

    /// Returns when the open transaction is rolled back because the availability zone of its
    /// member is evacuated, or `None` if it is not.
    pub(crate) fn evacuation_deadline(&self) -> Option<Instant> {
        Some(now() + self.transaction.as_ref()?.time_left(&self.cx)?)
    }

    /// Rolls back the open transaction if its client has been idle for too long or the zone
    /// of its member is evacuated.
    pub(crate) fn end_overdue(&mut self) {
        let is_past = |deadline: Option<Instant>| deadline.is_some_and(Instant::is_past);
        if is_past(self.evacuation_deadline()) {
            self.evacuate();
        } else if is_past(self.idle_deadline()) {
            self.abort("idle timeout");
        }
    }

    /// Rolls back the open transaction at its member. It fails with the next statement, so
    /// that its client gets a promise.
    fn evacuate(&mut self) {
        info!(organisation = %self.organisation, database = self.database,
            reason = "availability zone is evacuated", "transaction rolled back");
        if let Some(mut transaction) = self.transaction.take() {
            let job = self.rollback_job(&transaction.route);
            transaction.evacuate(&self.cx, job);
            self.transaction = Some(transaction);
        }
    }

    fn rollback_job(&self, route: &Rc<Route>) -> Rc<Job> {
        let work = Work::Direct(Bytes::new());
        self.job(route, Bytes::from_static(b"-"), work, Access::Read)
    }

    /// Rolls back the open transaction, if any. The next response reports the failed
    /// status to the client.
    pub(crate) fn abort(&mut self, reason: &str) {
        if let Some(transaction) = self.transaction.take() {
            info!(organisation = %self.organisation, database = self.database, reason,
                "transaction rolled back");
            let job = self.rollback_job(&transaction.route);
            transaction.roll_back(&self.cx, job);
            self.has_failed = true;
        }
    }

    /// Authorises and runs a statement.
    pub(crate) async fn handle(&mut self, query: Query) -> Handled {
        self.started = now();
        let Some(statement) = query.statement.clone() else {
            return Handled::continues(ClientResponse::failed(
                ErrorKind::Protocol,
                self.transaction_status(),
            ));
        };
        let route = match authorise(&self.cx, &self.database, &self.key) {
            Ok((route, organisation)) if organisation == self.organisation => route,
            Ok(_) => return self.end_unauthorised(&query, ErrorKind::BadKey),
            Err(ErrorKind::BadKey) => return self.end_unauthorised(&query, ErrorKind::KeyRevoked),
            Err(kind) => return self.end_unauthorised(&query, kind),
        };
        let is_upstream = !matches!(
            statement,
            Statement::Begin(_)
                | Statement::Set { .. }
                | Statement::Prepare { .. }
                | Statement::Deallocate(_)
        );
        let id = query.id.clone();
        // The statements of a transaction run on the route at `BEGIN`.
        let open = self.transaction.as_ref();
        let route_used = Rc::clone(open.map_or(&route, |transaction| &transaction.route));
        let response = if self.has_failed {
            self.handle_failed(&statement)
        } else {
            self.dispatch(&route, query, statement).await
        };
        if is_upstream || response.result.is_err() {
            self.record(&id, &route_used, &response);
        }
        Handled::continues(response)
    }

    /// Returns the error that the client gets if the statement is abandoned while it runs.
    pub(crate) fn kind_if_abandoned(&self, query: &Query) -> ErrorKind {
        let is_open = self.transaction.is_some();
        let access = match &query.statement {
            Some(Statement::Direct(access)) => *access,
            Some(Statement::Execute { name, .. }) => match self.state.prepared.get(name) {
                Some(prepared) => prepared.access,
                None => Access::Read,
            },
            Some(Statement::Commit) => return ErrorKind::OutcomeUnknown,
            _ => return ErrorKind::Draining,
        };
        match access {
            // The connection is closed, which rolls back the transaction.
            _ if is_open => ErrorKind::TransactionAborted,
            Access::Write => ErrorKind::OutcomeUnknown,
            Access::Read => ErrorKind::Cancelled,
        }
    }

    /// Ends an abandoned statement with `kind` and rolls back the open transaction.
    pub(crate) fn abandon(&mut self, id: &Bytes, kind: ErrorKind) -> Handled {
        let took = self.started.elapsed();
        info!(id = id_text(id), organisation = %self.organisation, database = self.database,
            outcome = ?kind, took_ms = took.as_millis(), "statement given up, host ends");
        self.metrics.record(Err(kind), took);
        self.abort("host is exiting");
        self.has_failed = false;
        Handled::continues(ClientResponse::failed(kind, TransactionStatus::Idle))
    }

    /// Ends the session because its client is no longer authorised.
    fn end_unauthorised(&mut self, query: &Query, kind: ErrorKind) -> Handled {
        info!(id = id_text(&query.id), organisation = %self.organisation, database = self.database,
            outcome = ?kind, config_age_ms = self.cx.directory.configuration_age().map(|age| age.as_millis()),
            "session ended, caller not authorised");
        self.abort("caller not authorised");
        self.has_failed = false;
        Handled {
            response: ClientResponse::failed(kind, TransactionStatus::Idle),
            ends_session: true,
        }
    }

    /// Handles a statement in a failed transaction, where only `COMMIT` and `ROLLBACK`
    /// are accepted.
    fn handle_failed(&mut self, statement: &Statement) -> ClientResponse {
        match statement {
            Statement::Rollback => {
                self.has_failed = false;
                ClientResponse::done(TransactionStatus::Idle)
            }
            Statement::Commit => {
                self.has_failed = false;
                ClientResponse::failed(ErrorKind::TransactionAborted, TransactionStatus::Idle)
            }
            _ => ClientResponse::failed(ErrorKind::Protocol, TransactionStatus::Failed),
        }
    }

    async fn dispatch(
        &mut self,
        route: &Rc<Route>,
        query: Query,
        statement: Statement,
    ) -> ClientResponse {
        match statement {
            Statement::Begin(access) => self.begin(route, access, &query).await,
            Statement::Commit => self.commit(query).await,
            Statement::Rollback => self.roll_back(query),
            Statement::Direct(access) => {
                let work = Work::Direct(query.text);
                self.execute(route, query.id, work, access).await
            }
            Statement::Execute { name, arguments } => {
                let Some(prepared) = self.state.prepared.get(&name).cloned() else {
                    return self.fail(ErrorKind::UnknownStatement);
                };
                let access = prepared.access;
                self.execute(route, query.id, Work::Prepared(prepared, arguments), access)
                    .await
            }
            Statement::Set { name, value } => self.set(&name, &value),
            Statement::Prepare { name, access, text } => self.prepare(&name, access, &text),
            Statement::Deallocate(name) => {
                let freed = budget::prepared_bytes(&self.state, &name);
                let _ = self.charge.replace(freed, 0);
                Rc::make_mut(&mut self.state).prepared.remove(&name);
                ClientResponse::done(self.transaction_status())
            }
        }
    }

    /// Keeps a value of the session. Name and value are copied, because they are parts of a
    /// larger buffer.
    fn set(&mut self, name: &[u8], value: &[u8]) -> ClientResponse {
        let old = budget::value_bytes(&self.state, name);
        let new = budget::entry_bytes(name, value);
        if let Err(kind) = self.charge.replace(old, new) {
            return self.fail(kind);
        }
        let (name, value) = (Bytes::copy_from_slice(name), Bytes::copy_from_slice(value));
        Rc::make_mut(&mut self.state).values.insert(name, value);
        ClientResponse::done(self.transaction_status())
    }

    /// Keeps a prepared statement of the session.
    fn prepare(&mut self, name: &[u8], access: Access, text: &[u8]) -> ClientResponse {
        let old = budget::prepared_bytes(&self.state, name);
        let new = budget::entry_bytes(name, text);
        if let Err(kind) = self.charge.replace(old, new) {
            return self.fail(kind);
        }
        let text = Bytes::copy_from_slice(text);
        let prepared = PreparedStatement { access, text };
        let name = Bytes::copy_from_slice(name);
        Rc::make_mut(&mut self.state)
            .prepared
            .insert(name, prepared);
        ClientResponse::done(self.transaction_status())
    }

    async fn begin(&mut self, route: &Rc<Route>, access: Access, query: &Query) -> ClientResponse {
        if self.transaction.is_some() {
            return self.fail(ErrorKind::Protocol);
        }
        let token = match self.admit(route, access, &query.id).await {
            Ok(token) => token,
            Err(kind) => return ClientResponse::failed(kind, TransactionStatus::Idle),
        };
        let work = Work::Direct(query.text.clone());
        let job = self.job(route, query.id.clone(), work, access);
        self.transaction = Some(OpenTransaction::new(&self.cx, job, access, token));
        ClientResponse::done(TransactionStatus::Open)
    }

    /// Admits an operation once it can be served.
    async fn admit(
        &mut self,
        route: &Route,
        access: Access,
        id: &Bytes,
    ) -> Result<Option<Token>, ErrorKind> {
        self.rank = self.cx.pressure.rank(&self.organisation, route.priority);
        place::wait_until_servable(&self.cx, route, access, self.started).await?;
        pressure::check(&self.cx, route, access, self.rank)?;
        self.cx.admit(&self.organisation, id_text(id)).await
    }

    /// Commits the open transaction in the group where it was opened, to which the route may
    /// no longer lead.
    async fn commit(&mut self, query: Query) -> ClientResponse {
        let Some(transaction) = self.transaction.take() else {
            return ClientResponse::failed(ErrorKind::Protocol, TransactionStatus::Idle);
        };
        let route = Rc::clone(&transaction.route);
        let job = self.job(&route, query.id, Work::Direct(query.text), Access::Write);
        let reply = transaction.commit(&self.cx, &job).await;
        self.record_commit(&route.group, &reply);
        let mut response = self.respond(reply);
        if response.result == Err(ErrorKind::NoPrimary) {
            response.result = Err(ErrorKind::TransactionAborted);
        }
        response.state = TransactionStatus::Idle;
        response
    }

    fn roll_back(&mut self, query: Query) -> ClientResponse {
        let Some(transaction) = self.transaction.take() else {
            return ClientResponse::failed(ErrorKind::Protocol, TransactionStatus::Idle);
        };
        let job = self.job(
            &transaction.route,
            query.id,
            Work::Direct(query.text),
            Access::Read,
        );
        transaction.roll_back(&self.cx, job);
        ClientResponse::done(TransactionStatus::Idle)
    }

    async fn execute(
        &mut self,
        route: &Rc<Route>,
        id: Bytes,
        work: Work,
        access: Access,
    ) -> ClientResponse {
        if let Some(transaction) = self.transaction.take() {
            return self.execute_in(transaction, id, work, access).await;
        }
        let token = match self.admit(route, access, &id).await {
            Ok(token) => token,
            Err(kind) => return ClientResponse::failed(kind, TransactionStatus::Idle),
        };
        let job = self.job(route, id, work, access);
        let reply = if access == Access::Read {
            read::run(&self.cx, &job).await
        } else {
            let reply = write::run(&self.cx, &job).await;
            self.record_commit(&route.group, &reply);
            reply
        };
        if reply.is_err() && !job.was_sent.get() {
            self.cx.give_back(token);
        }
        self.respond(reply)
    }

    async fn execute_in(
        &mut self,
        mut transaction: OpenTransaction,
        id: Bytes,
        work: Work,
        access: Access,
    ) -> ClientResponse {
        let route = Rc::clone(&transaction.route);
        let job = self.job(&route, id, work, access);
        let reply = transaction.run(&self.cx, &job).await;
        let is_open = matches!(&reply, Ok(served) if served.reply.state == TransactionStatus::Open);
        if is_open {
            self.transaction = Some(transaction);
        } else {
            // The member has rolled back already, or does so when the connection is closed.
            self.has_failed = true;
            transaction.roll_back(&self.cx, job);
        }
        self.respond(reply)
    }

    /// Rolls back the open transaction because the proxy itself rejects the statement.
    fn fail(&mut self, kind: ErrorKind) -> ClientResponse {
        self.abort("statement rejected");
        ClientResponse::failed(kind, self.transaction_status())
    }

    fn respond(&mut self, served: Result<ServedReply, ErrorKind>) -> ClientResponse {
        let state = self.transaction_status();
        match served {
            Ok(ServedReply {
                reply,
                member,
                floor,
                preceding: _,
            }) => {
                self.last_reply = Some((member, floor));
                ClientResponse {
                    rows: reply.rows,
                    result: reply.result.map(Some).map_err(error_kind),
                    state,
                    position: reply.position,
                }
            }
            Err(kind) => ClientResponse::failed(kind, state),
        }
    }

    /// Records the position of a commit, which later reads of this session must include.
    fn record_commit(&mut self, group: &GroupName, served: &Result<ServedReply, ErrorKind>) {
        if let Ok(ServedReply { reply, .. }) = served
            && reply.result.is_ok()
            && let Some(position) = reply.position
        {
            self.committed = Some(position);
            self.own_commits.record(group, position);
        }
    }

    fn job(&self, route: &Rc<Route>, id: Bytes, work: Work, access: Access) -> Rc<Job> {
        let reads_own_writes = matches!(
            route.consistency,
            Consistency::Bounded {
                is_session: true,
                ..
            }
        );
        let last_commit = self.own_commits.last(&route.group);
        Rc::new(Job {
            id,
            work,
            access,
            route: Rc::clone(route),
            organisation: self.organisation.clone(),
            rank: self.rank,
            state: Rc::clone(&self.state),
            last_commit: last_commit.filter(|_| reads_own_writes),
            started: self.started,
            was_sent: Cell::default(),
        })
    }

    fn record(&mut self, id: &Bytes, route: &Route, response: &ClientResponse) {
        let result = response.result.as_ref().map(|_| ()).map_err(|kind| *kind);
        let took = self.started.elapsed();
        self.metrics.record(result, took);
        let (member, floor) = self.last_reply.take().unzip();
        let committed = self.committed.take();
        let proof = self.cx.permission.proof(&route.group);
        if let Some(proof) = proof.as_ref().filter(|_| committed.is_some()) {
            self.cx.metrics.count_commit(proof.source.name());
        }
        info!(
            id = id_text(id),
            organisation = %self.organisation,
            database = self.database,
            group = %route.group,
            outcome = ?result.err(),
            took_ms = took.as_millis(),
            member = member.as_ref().map(MemberName::as_str),
            floor = floor.flatten().map(tracing::field::display),
            own = self.own_commits.last(&route.group).map(tracing::field::display),
            position = response.position.map(tracing::field::display),
            commit = committed.map(tracing::field::display),
            proof = proof.as_ref().map(|proof| proof.source.name()),
            replica = proof.as_ref().and_then(|proof| proof.source.replica()).map(MemberName::as_str),
            primary_age_ms = proof.as_ref().map(|proof| proof.age().as_millis()),
            config_age_ms = self.cx.directory.configuration_age().map(|age| age.as_millis()),
            "statement answered"
        );
    }
}

/// Returns the route and the organisation of a client.
///
/// # Errors
///
/// Returns `ConfigMissing`, `UnknownRoute` or `BadKey`.
fn authorise(
    cx: &Context,
    database: &str,
    key: &str,
) -> Result<(Rc<Route>, Organisation), ErrorKind> {
    let configuration = cx.current_configuration()?;
    let route = configuration
        .routes
        .get(database)
        .ok_or(ErrorKind::UnknownRoute)?;
    let organisation = configuration.keys.get(key).cloned();
    match organisation {
        Some(organisation) => Ok((Rc::clone(route), organisation)),
        None if route.is_open => Ok((Rc::clone(route), Organisation::from(PUBLIC))),
        None => Err(ErrorKind::BadKey),
    }
}

/// Returns the request id for log lines.
pub(crate) fn id_text(id: &Bytes) -> &str {
    std::str::from_utf8(id).unwrap_or("?")
}
