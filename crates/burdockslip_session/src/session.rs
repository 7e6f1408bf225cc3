//! Runs the statements of one session.

use std::rc::Rc;

use burdockslip_directory::{Consistency, Route};
use burdockslip_runtime::{Instant, now};
use burdockslip_statement::{Access, ClientResponse, Query, Statement, TransactionStatus};
use burdockslip_telemetry::RequestMetrics;
use burdockslip_types::{ClassName, ErrorKind, GroupName, LogPosition, MemberName, Organisation};
use burdockslip_upstream::{PreparedStatement, SessionState};
use bytes::Bytes;
use tracing::info;

use crate::context::Context;
use crate::outcome::{Job, Served, Work, kind_of};
use crate::transaction::Open;
use crate::{read, write};

/// Is charged for callers of open routes, which need no key.
const PUBLIC: &str = "public";

/// Holds the state of one client's session.
#[derive(Debug)]
pub(crate) struct Session {
    cx: Rc<Context>,
    database: String,
    key: String,
    organisation: Organisation,
    state: Rc<SessionState>,
    own: Option<(GroupName, LogPosition)>,
    open: Option<Open>,
    has_failed: bool,
    /// When the running statement arrived.
    started: Instant,
    /// The member that answered last and the position that its log had to hold.
    last: Option<(MemberName, Option<LogPosition>)>,
    /// The position of the commit that the running statement made.
    committed: Option<LogPosition>,
    metrics: RequestMetrics,
}

/// Says what a client is told and whether the session ends.
#[derive(Debug)]
pub(crate) struct Verdict {
    pub(crate) response: ClientResponse,
    pub(crate) is_final: bool,
}

impl Verdict {
    const fn goes_on(response: ClientResponse) -> Self {
        Self {
            response,
            is_final: false,
        }
    }
}

impl Session {
    /// Opens a session for a caller.
    ///
    /// # Errors
    ///
    /// Returns `ConfigMissing`, `UnknownRoute` or `BadKey`.
    pub(crate) fn open(cx: Rc<Context>, database: String, key: String) -> Result<Self, ErrorKind> {
        let (route, organisation) = authorise(&cx, &database, &key)?;
        let class = ClassName::from(route.name.as_str());
        Ok(Self {
            metrics: cx.metrics.request_metrics(&organisation, &class),
            cx,
            database,
            key,
            organisation,
            state: Rc::default(),
            own: None,
            open: None,
            has_failed: false,
            started: now(),
            last: None,
            committed: None,
        })
    }

    /// Returns the state that clients are told.
    pub(crate) const fn transaction(&self) -> TransactionStatus {
        if self.has_failed {
            TransactionStatus::Failed
        } else if self.open.is_some() {
            TransactionStatus::Open
        } else {
            TransactionStatus::Idle
        }
    }

    /// Returns the moment at which an idle transaction is rolled back.
    pub(crate) fn idle_limit(&self) -> Option<Instant> {
        let limit = self.cx.directory.configuration()?.transaction_idle?;
        Some(self.open.as_ref()?.used + limit)
    }

    /// Rolls an open transaction back; the client learns it from the next answer.
    pub(crate) fn abort(&mut self, reason: &str) {
        if let Some(open) = self.open.take() {
            info!(organisation = %self.organisation, database = self.database, reason,
                "transaction rolled back");
            let job = self.job(
                &open.route,
                Bytes::from_static(b"-"),
                Work::Direct(Bytes::new()),
                Access::Read,
            );
            open.roll_back(&self.cx, job);
            self.has_failed = true;
        }
    }

    /// Runs a statement.
    pub(crate) async fn handle(&mut self, query: Query) -> Verdict {
        self.started = now();
        let Some(statement) = query.statement.clone() else {
            return Verdict::goes_on(ClientResponse::failed(
                ErrorKind::Protocol,
                self.transaction(),
            ));
        };
        let route = match authorise(&self.cx, &self.database, &self.key) {
            Ok((route, organisation)) if organisation == self.organisation => route,
            Ok(_) => return self.expel(&query, ErrorKind::BadKey),
            Err(ErrorKind::BadKey) => return self.expel(&query, ErrorKind::KeyRevoked),
            Err(kind) => return self.expel(&query, kind),
        };
        let is_upstream = !matches!(
            statement,
            Statement::Begin(_)
                | Statement::Set { .. }
                | Statement::Prepare { .. }
                | Statement::Deallocate(_)
        );
        let id = query.id.clone();
        let response = if self.has_failed {
            self.handle_failed(&statement)
        } else {
            self.dispatch(&route, query, statement).await
        };
        if is_upstream || response.result.is_err() {
            self.record(&id, &route, &response);
        }
        Verdict::goes_on(response)
    }

    /// Returns what the client is told if a statement is given up while it runs.
    pub(crate) fn kind_if_given_up(&self, query: &Query) -> ErrorKind {
        let is_open = self.open.is_some();
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
            // Its connection is closed, which rolls the transaction back.
            _ if is_open => ErrorKind::TransactionAborted,
            Access::Write => ErrorKind::OutcomeUnknown,
            Access::Read => ErrorKind::Cancelled,
        }
    }

    /// Ends a statement that was given up, and the session.
    pub(crate) fn give_up(&mut self, id: &Bytes, kind: ErrorKind) -> Verdict {
        let took = self.started.elapsed();
        info!(id = text(id), organisation = %self.organisation, database = self.database,
            outcome = ?kind, took_ms = took.as_millis(), "statement given up, host ends");
        self.metrics.record(Err(kind), took);
        self.abort("host ends");
        self.has_failed = false;
        Verdict::goes_on(ClientResponse::failed(kind, TransactionStatus::Idle))
    }

    /// Ends a session whose caller may not go on.
    fn expel(&mut self, query: &Query, kind: ErrorKind) -> Verdict {
        info!(id = text(&query.id), organisation = %self.organisation, database = self.database,
            outcome = ?kind, config_age_ms = self.cx.directory.configuration_age().map(|age| age.as_millis()),
            "session ended, caller not authorised");
        self.abort("caller not authorised");
        self.has_failed = false;
        Verdict {
            response: ClientResponse::failed(kind, TransactionStatus::Idle),
            is_final: true,
        }
    }

    /// Answers in a failed transaction, which can only be ended.
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
            Statement::Commit => self.commit(route, query).await,
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
            Statement::Set { name, value } => {
                Rc::make_mut(&mut self.state).values.insert(name, value);
                ClientResponse::done(self.transaction())
            }
            Statement::Prepare { name, access, text } => {
                let prepared = PreparedStatement { access, text };
                Rc::make_mut(&mut self.state)
                    .prepared
                    .insert(name, prepared);
                ClientResponse::done(self.transaction())
            }
            Statement::Deallocate(name) => {
                Rc::make_mut(&mut self.state).prepared.remove(&name);
                ClientResponse::done(self.transaction())
            }
        }
    }

    async fn begin(&mut self, route: &Rc<Route>, access: Access, query: &Query) -> ClientResponse {
        if self.open.is_some() {
            return self.fail(ErrorKind::Protocol);
        }
        if let Err(kind) = self.cx.admit(&self.organisation, text(&query.id)).await {
            return ClientResponse::failed(kind, TransactionStatus::Idle);
        }
        let work = Work::Direct(query.text.clone());
        let job = self.job(route, query.id.clone(), work, access);
        self.open = Some(Open::new(&self.cx, job, access));
        ClientResponse::done(TransactionStatus::Open)
    }

    async fn commit(&mut self, route: &Rc<Route>, query: Query) -> ClientResponse {
        let Some(open) = self.open.take() else {
            return ClientResponse::failed(ErrorKind::Protocol, TransactionStatus::Idle);
        };
        let group = open.route.group.clone();
        let job = self.job(route, query.id, Work::Direct(query.text), Access::Write);
        let reply = open.commit(&self.cx, &job).await;
        self.note_commit(&group, &reply);
        let mut response = self.respond(reply);
        if response.result == Err(ErrorKind::NoPrimary) {
            response.result = Err(ErrorKind::TransactionAborted);
        }
        response.state = TransactionStatus::Idle;
        response
    }

    fn roll_back(&mut self, query: Query) -> ClientResponse {
        let Some(open) = self.open.take() else {
            return ClientResponse::failed(ErrorKind::Protocol, TransactionStatus::Idle);
        };
        let job = self.job(
            &open.route,
            query.id,
            Work::Direct(query.text),
            Access::Read,
        );
        open.roll_back(&self.cx, job);
        ClientResponse::done(TransactionStatus::Idle)
    }

    async fn execute(
        &mut self,
        route: &Rc<Route>,
        id: Bytes,
        work: Work,
        access: Access,
    ) -> ClientResponse {
        if let Some(open) = self.open.take() {
            return self.execute_in(open, id, work, access).await;
        }
        if let Err(kind) = self.cx.admit(&self.organisation, text(&id)).await {
            return ClientResponse::failed(kind, TransactionStatus::Idle);
        }
        let job = self.job(route, id, work, access);
        if access == Access::Read {
            let reply = read::run(&self.cx, &job).await;
            return self.respond(reply);
        }
        let reply = write::run(&self.cx, &job).await;
        self.note_commit(&route.group, &reply);
        self.respond(reply)
    }

    async fn execute_in(
        &mut self,
        mut open: Open,
        id: Bytes,
        work: Work,
        access: Access,
    ) -> ClientResponse {
        let route = Rc::clone(&open.route);
        let job = self.job(&route, id, work, access);
        let reply = open.run(&self.cx, &job).await;
        let is_open = matches!(&reply, Ok(served) if served.reply.state == TransactionStatus::Open);
        if is_open {
            self.open = Some(open);
        } else {
            // The member has rolled back or will, as its connection is closed.
            self.has_failed = true;
            open.roll_back(&self.cx, job);
        }
        self.respond(reply)
    }

    /// Ends a transaction that the proxy itself cannot carry on.
    fn fail(&mut self, kind: ErrorKind) -> ClientResponse {
        self.abort("statement refused");
        ClientResponse::failed(kind, self.transaction())
    }

    fn respond(&mut self, served: Result<Served, ErrorKind>) -> ClientResponse {
        let state = self.transaction();
        match served {
            Ok(Served {
                reply,
                member,
                floor,
            }) => {
                self.last = Some((member, floor));
                ClientResponse {
                    rows: reply.rows,
                    result: reply.result.map(Some).map_err(kind_of),
                    state,
                    position: reply.position,
                }
            }
            Err(kind) => ClientResponse::failed(kind, state),
        }
    }

    /// Remembers the position that later reads of this session must see.
    fn note_commit(&mut self, group: &GroupName, served: &Result<Served, ErrorKind>) {
        if let Ok(Served { reply, .. }) = served
            && reply.result.is_ok()
            && let Some(mark) = reply.position
        {
            self.committed = Some(mark);
            let known = self.own.take().filter(|(known, _)| known == group);
            let mark = known.map_or(mark, |(_, known)| known.max(mark));
            self.own = Some((group.clone(), mark));
        }
    }

    fn job(&self, route: &Rc<Route>, id: Bytes, work: Work, access: Access) -> Rc<Job> {
        let reads_own = matches!(
            route.consistency,
            Consistency::Bounded {
                is_session: true,
                ..
            }
        );
        let own = self
            .own
            .as_ref()
            .filter(|(group, _)| reads_own && *group == route.group);
        Rc::new(Job {
            id,
            work,
            access,
            route: Rc::clone(route),
            organisation: self.organisation.clone(),
            state: Rc::clone(&self.state),
            own: own.map(|(_, mark)| *mark),
            started: self.started,
        })
    }

    fn record(&mut self, id: &Bytes, route: &Route, response: &ClientResponse) {
        let result = response.result.as_ref().map(|_| ()).map_err(|kind| *kind);
        let took = self.started.elapsed();
        self.metrics.record(result, took);
        let (member, floor) = self.last.take().unzip();
        let committed = self.committed.take();
        let proof = self.cx.permission.proof(&route.group);
        if let Some(proof) = proof.as_ref().filter(|_| committed.is_some()) {
            self.cx.metrics.count_commit(proof.source.name());
        }
        info!(
            id = text(id),
            organisation = %self.organisation,
            database = self.database,
            group = %route.group,
            outcome = ?result.err(),
            took_ms = took.as_millis(),
            member = member.as_ref().map(MemberName::as_str),
            floor = floor.flatten().map(tracing::field::display),
            own = self.own.as_ref().map(|(_, mark)| tracing::field::display(mark)),
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

/// Returns the route and the organisation of a caller.
fn authorise(
    cx: &Context,
    database: &str,
    key: &str,
) -> Result<(Rc<Route>, Organisation), ErrorKind> {
    let configuration = cx.current()?;
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

pub(crate) fn text(id: &Bytes) -> &str {
    std::str::from_utf8(id).unwrap_or("?")
}
