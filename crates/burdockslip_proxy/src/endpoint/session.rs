//! Serves one client from its first statement to its end.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, sleep, timeout, timeout_at, yield_now};
use burdockslip_types::{ErrorKind, GroupName, HostId, Mark, Result};
use burdockslip_wire::{
    ClientStream, StatementNames, TransactionState, Unit, UnitKind, Verb, classify,
    command_complete, error_response, parameter_status, ready,
};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, bail};
use futures::future::{Either, select};
use tracing::{debug, warn};

use super::parameter;
use super::request::{self, Prepared, Request};
use super::startup::State;
use crate::conversation::Conversation;
use crate::exchange::{Access, Done, EXPIRED, Event, Failed, Run};
use crate::host::Host;

/// Pause before a request is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Time that a client has to read its last answer before a drain ends the
/// session; some libraries report the end instead of an answer that they have
/// not read yet.
const DRAIN_GRACE: Duration = Duration::from_millis(200);

/// Holds one client's session.
struct Session {
    host: Rc<Host>,
    client: ClientStream,
    state: State,
    names: StatementNames,
    transaction: Transaction,
    served_at: Instant,
}

/// Holds the transaction of a session.
#[derive(Default)]
struct Transaction {
    conversation: Option<Conversation>,
    names: BTreeSet<String>,
    is_failed: bool,
}

impl Transaction {
    fn state(&self) -> TransactionState {
        if self.is_failed {
            TransactionState::Failed
        } else if self.conversation.is_some() {
            TransactionState::Open
        } else {
            TransactionState::Idle
        }
    }
}

/// Says how an attempt to run a request failed.
struct Attempt {
    failed: Failed,
    has_output: bool,
}

/// Serves a client until it leaves or is told to go.
pub(super) async fn run(host: Rc<Host>, client: ClientStream, state: State) {
    let process = state.entry.process;
    let mut session = Session {
        host: Rc::clone(&host),
        client,
        state,
        names: StatementNames::default(),
        transaction: Transaction::default(),
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
            request::check_key(&self.host.in_force(), &self.state)?;
            let limit = self.waiting_limit();
            if limit.is_past() {
                self.give_up()?;
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
    fn waiting_limit(&self) -> Instant {
        let options = &self.host.options;
        if self.is_leaving() {
            self.served_at + DRAIN_GRACE
        } else if self.transaction.conversation.is_some() {
            self.served_at + options.transaction_timeout
        } else {
            self.served_at + options.idle_timeout
        }
    }

    /// Rolls an abandoned transaction back, or ends an idle session.
    fn give_up(&mut self) -> Result<()> {
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
            return self.handle_failed(&prepared.statement.verb).await;
        }
        let local = match &prepared.statement.verb {
            Verb::Set(name, value) if is_simple => {
                Some(parameter::set(&self.host, &mut self.state, name, value))
            }
            Verb::Show(name) if is_simple => Some(parameter::show(&self.host, &self.state, name)),
            Verb::Set(..) | Verb::Show(_) => Some(Err(Report::new(ErrorKind::NotSupported))),
            _ => None,
        };
        match local {
            Some(Ok(answer)) => self.finish(answer).await,
            Some(Err(report)) => self.refuse_report(&report).await,
            None => match request::judge(&self.host, &self.state, prepared) {
                Ok(request) => self.serve_request(request).await,
                Err(report) => self.refuse_report(&report).await,
            },
        }
    }

    fn prepare(&mut self, unit: &Unit) -> Result<Prepared> {
        match &unit.kind {
            UnitKind::Simple(text) => Ok(Prepared {
                statement: classify(text),
                frames: unit.first_bytes(),
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
    async fn handle_failed(&mut self, verb: &Verb) -> Result<()> {
        if matches!(verb, Verb::Commit | Verb::Rollback) {
            self.transaction = Transaction::default();
            return self.finish(command_complete("ROLLBACK")).await;
        }
        self.refuse(ErrorKind::ConnectionLost, "transaction was rolled back")
            .await
    }

    /// Admits a request, runs it and ends its answer.
    async fn serve_request(&mut self, mut request: Request) -> Result<()> {
        let start = now();
        let admitted = self.admit(&mut request).await;
        let outcome = match admitted {
            Ok(()) => self.carry_out(&mut request).await?,
            Err(failed) => Err(failed),
        };
        let finished = Rc::clone(&self.host.hooks.finished);
        let verdict = outcome.as_ref().map(|_| ()).map_err(|failed| failed.kind);
        let Run {
            organisation,
            class,
            group,
            ..
        } = &request.run;
        finished(organisation, class, verdict, start.elapsed());
        match outcome {
            Ok(done) => self.complete(group, done).await,
            Err(Failed { kind, detail, .. }) => self.refuse(kind, &detail).await,
        }
    }

    /// Waits for the organisation's rate, and checks that the configuration is
    /// recent enough for the class.
    async fn admit(&self, request: &mut Request) -> Result<(), Failed> {
        let hooks = &self.host.hooks;
        if (hooks.config_age)() > request.class.offline_limit {
            return Err(Failed::not_sent(
                ErrorKind::ConfigMissing,
                "the configuration was not confirmed for too long",
            ));
        }
        let admitted = (hooks.admit)(request.run.organisation.clone(), request.deadline);
        let permit = admitted.await.map_err(|report| {
            let detail = report.downcast_ref::<String>().cloned().unwrap_or_default();
            Failed::not_sent(*report.current_context(), detail)
        })?;
        request.permit = Some(permit);
        Ok(())
    }

    /// Runs a request, again if that is safe, until its deadline.
    ///
    /// The outer error means that the client is gone.
    async fn carry_out(&mut self, request: &mut Request) -> Result<Result<Done, Failed>> {
        loop {
            request.run.remaining = request.deadline.remaining();
            let attempt = match self.attempt(request).await? {
                Ok(done) => return Ok(Ok(done)),
                Err(attempt) => attempt,
            };
            if attempt.failed.detail == EXPIRED && !request.is_renewed {
                // Either the request was late, or the holder has started anew
                // and with it the clock of its stamps.
                request.is_renewed = true;
                self.host.stamps.forget_all();
                match self.admit(request).await {
                    Ok(()) => continue,
                    Err(failed) => return Ok(Err(failed)),
                }
            }
            if !self.may_retry(request, &attempt) {
                return Ok(Err(attempt.failed));
            }
            if attempt.failed.kind == ErrorKind::Draining {
                self.avoid_holder(&request.run);
            } else if let Some(member) = attempt.failed.redirect {
                if request.run.access == Access::Write {
                    self.host.set_primary(&request.run.group, member.clone());
                }
                request.run.member = member;
            } else {
                self.ask_next_member(&mut request.run);
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Turns to the next host in the ranking for the member.
    fn avoid_holder(&self, run: &Run) {
        if let Some(zone) = self.host.member_zone(&run.group, &run.member) {
            let holder = self.host.holder_host(&run.member, &zone);
            self.host.placement.suspect(&holder);
        }
    }

    /// Turns to another member of the group, whose holder knows where to go.
    fn ask_next_member(&self, run: &mut Run) {
        let in_force = self.host.in_force();
        let Some(group) = in_force.catalogue.group(run.group.as_str()) else {
            return;
        };
        let mut names = group.members.keys().cycle().take(group.members.len() * 2);
        if names.any(|name| *name == run.member)
            && let Some(next) = names.next()
        {
            run.member = next.clone();
        }
    }

    /// Decides whether a request may run again.
    ///
    /// Inside a transaction nothing is repeated, because its earlier
    /// statements are gone with the connection.
    fn may_retry(&self, request: &Request, attempt: &Attempt) -> bool {
        let Attempt { failed, has_output } = attempt;
        let is_safe = !failed.is_sent || request.class.repeatable;
        let is_transient = failed.kind == ErrorKind::OutcomeUnknown
            || matches!(
                failed.kind,
                ErrorKind::ConnectionLost
                    | ErrorKind::Draining
                    | ErrorKind::NoPrimary
                    | ErrorKind::NoFreshData
            );
        !has_output
            && is_safe
            && is_transient
            && self.transaction.conversation.is_none()
            && !(request.deadline.is_past() || now() + RETRY_PAUSE >= request.deadline)
    }

    /// Runs a request once and passes its answer on.
    ///
    /// The outer error means that the client is gone.
    async fn attempt(&mut self, request: &Request) -> Result<Result<Done, Attempt>> {
        let is_open = self.transaction.conversation.is_some();
        let conversation = match self.transaction.conversation.take() {
            Some(mut conversation) => match conversation.send(request.run.clone()).await {
                Ok(()) => Ok(conversation),
                Err(report) => Err(report),
            },
            None => self.open(request).await,
        };
        let mut conversation = match conversation {
            Ok(conversation) => conversation,
            Err(report) => {
                self.transaction.is_failed = is_open;
                return Ok(Err(Attempt {
                    failed: Failed::not_sent(*report.current_context(), ""),
                    has_output: false,
                }));
            }
        };
        let mut has_output = false;
        let end = loop {
            match self.next_event(&mut conversation, request).await {
                Ok(Event::Part(bytes)) => {
                    has_output = true;
                    self.write(bytes).await?;
                }
                Ok(Event::Done(done)) => break Ok(done),
                Ok(Event::Failed(failed)) | Err(failed) => break Err(failed),
            }
        };
        match end {
            Ok(done) => {
                self.keep(conversation, &done, is_open, &request.run);
                Ok(Ok(done))
            }
            Err(failed) => {
                self.transaction.is_failed = is_open;
                self.transaction.names.clear();
                Ok(Err(Attempt { failed, has_output }))
            }
        }
    }

    /// Keeps the conversation while its transaction is open.
    fn keep(&mut self, conversation: Conversation, done: &Done, was_open: bool, run: &Run) {
        if done.state == TransactionState::Idle {
            self.transaction = Transaction::default();
            return;
        }
        self.transaction.conversation = Some(conversation);
        if was_open {
            self.transaction.names.extend(run.names.iter().cloned());
        }
    }

    /// Waits for an event, the deadline or a cancel request.
    async fn next_event(
        &self,
        conversation: &mut Conversation,
        request: &Request,
    ) -> Result<Event, Failed> {
        let epoch = self.state.entry.cancelled.epoch();
        // The holder keeps the deadline; the endpoint waits a little longer to
        // get its verdict, which says whether the request has run.
        let deadline = request.deadline + Duration::from_millis(200);
        let next = std::pin::pin!(timeout_at(deadline, conversation.next()));
        let cancelled = std::pin::pin!(self.state.entry.cancelled.changed(epoch));
        match select(next, cancelled).await {
            Either::Left((Ok(Ok(event)), _)) => Ok(event),
            Either::Left((Ok(Err(_)), _)) => Err(Failed::sent("connection to the holder lost")),
            Either::Left((Err(_), _)) => Err(Failed::sent("no answer from the holder")),
            Either::Right(_) => Err(Failed {
                kind: ErrorKind::Cancelled,
                ..Failed::sent("")
            }),
        }
    }

    /// Opens a conversation with the holder of the member and sends the unit.
    async fn open(&self, request: &Request) -> Result<Conversation> {
        let mut run = request.run.clone();
        let zone = self
            .host
            .member_zone(&run.group, &run.member)
            .ok_or_else(|| Report::new(ErrorKind::NoPrimary))?;
        let holder = self.host.holder_host(&run.member, &zone);
        let stamps = &self.host.stamps;
        if holder != self.host.options.host {
            let opened = self.open_remote(&holder, request, run).await;
            if opened.is_err() {
                stamps.forget(&holder);
                self.host.placement.suspect(&holder);
            }
            return opened;
        }
        let local = self
            .host
            .holder(&run.group, &run.member)
            .ok_or_else(|| Report::new(ErrorKind::NoPrimary))?;
        run.proof = request.permit.as_ref().map(|p| stamps.prove_here(p));
        let mut conversation = Conversation::local(local);
        conversation.send(run).await?;
        Ok(conversation)
    }

    async fn open_remote(
        &self,
        holder: &HostId,
        request: &Request,
        mut run: Run,
    ) -> Result<Conversation> {
        if let Some(permit) = &request.permit {
            let stamps = &self.host.stamps;
            let proof = stamps.prove_to(&self.host.peers, holder, permit).await?;
            run.proof = Some(proof);
        }
        Conversation::remote(&self.host, holder, &run).await
    }

    /// Writes to the client, which has to keep reading.
    async fn write(&mut self, bytes: Bytes) -> Result<()> {
        timeout(self.host.options.write_timeout, self.client.write(bytes))
            .await
            .map_err(|_| Report::new(ErrorKind::ConnectionLost))?
    }

    /// Raises the session's floor and ends the answer.
    async fn complete(&mut self, group: &GroupName, done: Done) -> Result<()> {
        let mut buf = BytesMut::new();
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

    fn raise_floor(&mut self, group: &GroupName, mark: Mark) -> bool {
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
    async fn refuse(&mut self, kind: ErrorKind, detail: &str) -> Result<()> {
        if self.transaction.conversation.take().is_some() {
            self.transaction.is_failed = true;
            self.transaction.names.clear();
        }
        self.finish(error_response(kind, detail)).await
    }

    async fn finish(&mut self, answer: Bytes) -> Result<()> {
        let mut buf = BytesMut::from(answer.as_ref());
        buf.extend_from_slice(&ready(self.transaction.state()));
        self.write(buf.freeze()).await
    }
}
