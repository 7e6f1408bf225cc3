//! Sends requests to holders: rate admission, retries and the response.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, sleep, timeout_at};
use burdockslip_types::{ErrorKind, HostId, MemberName, Result};
use burdockslip_wire::TransactionState;
use bytes::Bytes;
use error_stack::{Report, bail};
use futures::future::{Either, select};

use super::request::Request;
use super::session::{BoundConversation, Session, Transaction};
use crate::conversation::Conversation;
use crate::exchange::{Access, Done, Event, Failure, PERMISSION_EXPIRED, RunUnit};
use crate::stamp::HolderProof;

/// The pause before a request is retried at another member.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// A failed attempt to run a request, of whose answer nothing was sent to the client.
struct AttemptFailure {
    failure: Failure,
}

impl Session {
    /// Admits a request, runs it and completes its answer.
    pub(super) async fn serve_request(&mut self, mut request: Request) -> Result<()> {
        let start = now();
        let admitted = self.admit(&mut request).await;
        let outcome = match admitted {
            Ok(()) => self.dispatch(&mut request).await?,
            Err(failure) => Err(failure),
        };
        let record_request = Rc::clone(&self.host.hooks.record_request);
        let result = outcome.as_ref().map(|_| ()).map_err(|failure| failure.kind);
        let RunUnit {
            organisation,
            class,
            group,
            ..
        } = &request.run;
        record_request(organisation, class, result, start.elapsed());
        match outcome {
            Ok(done) => self.complete(group, done).await,
            Err(Failure { kind, detail, .. }) => self.refuse(kind, &detail).await,
        }
    }

    /// Checks that the configuration is recent enough for the class, then waits
    /// for a permit within the organisation's rate.
    async fn admit(&self, request: &mut Request) -> Result<(), Failure> {
        let hooks = &self.host.hooks;
        if (hooks.config_age)() > request.class.offline_limit {
            return Err(Failure::not_sent(
                ErrorKind::ConfigMissing,
                "the configuration was not confirmed for too long",
            ));
        }
        let admitted = (hooks.admit)(request.run.organisation.clone(), request.deadline);
        let permit = admitted.await.map_err(|report| {
            let detail = report.downcast_ref::<String>().cloned().unwrap_or_default();
            Failure::not_sent(*report.current_context(), detail)
        })?;
        request.permit = Some(permit);
        Ok(())
    }

    /// Runs a request, retrying until its deadline where that is safe.
    ///
    /// The outer error means that the client is gone or its answer broke off.
    async fn dispatch(&mut self, request: &mut Request) -> Result<Result<Done, Failure>> {
        loop {
            request.run.remaining = request.deadline.remaining();
            let attempt = match self.attempt(request).await? {
                Ok(done) => return Ok(Ok(done)),
                Err(attempt) => attempt,
            };
            if attempt.failure.detail == PERMISSION_EXPIRED && !request.is_renewed {
                // Either the request took too long to arrive, or the holder has
                // restarted and its clock with it, so that known stamps are stale.
                request.is_renewed = true;
                self.host.stamps.forget_all();
                match self.admit(request).await {
                    Ok(()) => continue,
                    Err(failure) => return Ok(Err(failure)),
                }
            }
            if !self.may_retry(request, &attempt) {
                return Ok(Err(attempt.failure));
            }
            if attempt.failure.kind == ErrorKind::Draining {
                self.suspect_holder(&request.run);
            } else if let Some(member) = attempt.failure.redirect {
                if request.run.access == Access::Write {
                    self.host.set_primary(&request.run.group, member.clone());
                }
                self.select_member(&mut request.run, member);
            } else {
                self.select_next_member(&mut request.run);
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Avoids the current holder of the member, so that the next attempt goes to
    /// the next host in the member's ranking.
    fn suspect_holder(&self, run: &RunUnit) {
        if let Some(zone) = self.host.member_zone(&run.group, &run.member) {
            let holder = self.host.holder_host(&run.member, &zone);
            self.host.placement.suspect(&holder);
        }
    }

    /// Directs a request to a member.
    ///
    /// The request takes the member's zone, so that its holder prefers this
    /// member to other replicas.
    fn select_member(&self, run: &mut RunUnit, member: MemberName) {
        if let Some(zone) = self.host.member_zone(&run.group, &member) {
            run.zone = zone;
        }
        run.member = member;
    }

    /// Directs a request to the next member of the group, whose holder may
    /// redirect it.
    fn select_next_member(&self, run: &mut RunUnit) {
        let config = self.host.active_config();
        let Some(group) = config.catalogue.group(run.group.as_str()) else {
            return;
        };
        let mut names = group.members.keys().cycle().take(group.members.len() * 2);
        if names.any(|name| *name == run.member)
            && let Some(next) = names.next()
        {
            self.select_member(run, next.clone());
        }
    }

    /// Returns whether a request may be retried.
    ///
    /// Inside a transaction nothing is retried, because its earlier statements
    /// were rolled back with the connection.
    fn may_retry(&self, request: &Request, attempt: &AttemptFailure) -> bool {
        let failure = &attempt.failure;
        let is_safe = !failure.is_sent || request.class.repeatable;
        let is_transient = failure.kind == ErrorKind::OutcomeUnknown
            || matches!(
                failure.kind,
                ErrorKind::ConnectionLost
                    | ErrorKind::Draining
                    | ErrorKind::NoPrimary
                    | ErrorKind::NoFreshData
            );
        is_safe
            && is_transient
            && self.transaction.conversation.is_none()
            && !(request.deadline.is_past() || now() + RETRY_PAUSE >= request.deadline)
    }

    /// Runs a request once and forwards its answer.
    ///
    /// The outer error means that the client is gone, or that the answer broke
    /// off after some of it was sent. The session has to end then, because the
    /// client would take an error message for the rest of the answer.
    async fn attempt(&mut self, request: &Request) -> Result<Result<Done, AttemptFailure>> {
        let is_open = self.transaction.conversation.is_some();
        let opened = match self.transaction.conversation.take() {
            Some(bound) => continue_transaction(bound, request).await,
            None => self.open(request).await,
        };
        let mut bound = match opened {
            Ok(bound) => bound,
            Err(report) => {
                self.transaction.is_failed = is_open;
                let failure = Failure::not_sent(*report.current_context(), "");
                return Ok(Err(AttemptFailure { failure }));
            }
        };
        match self
            .forward_response(&mut bound.conversation, request)
            .await?
        {
            Ok(done) => {
                self.retain(bound, &done, is_open, &request.run);
                Ok(Ok(done))
            }
            Err(failure) => {
                self.transaction.is_failed = is_open;
                self.transaction.statements.clear();
                Ok(Err(AttemptFailure { failure }))
            }
        }
    }

    /// Forwards an answer to the client; its last part stays in `pending`, to be
    /// sent together with the end of the answer.
    async fn forward_response(
        &mut self,
        conversation: &mut Conversation,
        request: &Request,
    ) -> Result<Result<Done, Failure>> {
        let mut has_output = false;
        loop {
            match self.next_event(conversation, request).await {
                Ok(Event::Part(bytes)) => {
                    let earlier = std::mem::replace(&mut self.pending, bytes);
                    if !earlier.is_empty() {
                        has_output = true;
                        self.write(earlier).await?;
                    }
                }
                Ok(Event::Done(done)) => return Ok(Ok(done)),
                Ok(Event::Failed(failure)) | Err(failure) => {
                    self.pending = Bytes::new();
                    if has_output {
                        // The part already sent may end inside a message.
                        bail!(ErrorKind::ConnectionLost);
                    }
                    return Ok(Err(failure));
                }
            }
        }
    }

    /// Keeps the conversation for its open transaction or for the next request.
    fn retain(&mut self, bound: BoundConversation, done: &Done, was_open: bool, run: &RunUnit) {
        if done.state == TransactionState::Idle {
            self.transaction = Transaction::default();
            // The conversation of a finished transaction is not reused, so that
            // the next request looks up its holder again.
            self.idle_conversation = (!was_open).then_some(bound);
            return;
        }
        self.transaction.conversation = Some(bound);
        if was_open {
            self.transaction
                .statements
                .extend(run.statements.iter().cloned());
        }
    }

    /// Waits for an event from the holder, the deadline or a cancel request.
    async fn next_event(
        &self,
        conversation: &mut Conversation,
        request: &Request,
    ) -> Result<Event, Failure> {
        let epoch = self.state.entry.cancelled.epoch();
        // The holder enforces the deadline. The endpoint waits slightly longer
        // for the holder's reply, which tells whether the request has run.
        let deadline = request.deadline + Duration::from_millis(200);
        let next = std::pin::pin!(timeout_at(deadline, conversation.next()));
        let cancelled = std::pin::pin!(self.state.entry.cancelled.changed(epoch));
        match select(next, cancelled).await {
            Either::Left((Ok(Ok(event)), _)) => Ok(event),
            Either::Left((Ok(Err(_)), _)) => Err(Failure::sent("connection to the holder lost")),
            Either::Left((Err(_), _)) => Err(Failure::sent("no answer from the holder")),
            Either::Right(_) => Err(Failure {
                kind: ErrorKind::Cancelled,
                ..Failure::sent("")
            }),
        }
    }

    /// Sends the unit to the holder of the member, reusing the idle conversation
    /// if it is bound to the same holder and member.
    async fn open(&mut self, request: &Request) -> Result<BoundConversation> {
        let mut run = request.run.clone();
        let zone = self
            .host
            .member_zone(&run.group, &run.member)
            .ok_or_else(|| Report::new(ErrorKind::NoPrimary))?;
        let holder = self.host.holder_host(&run.member, &zone);
        run.proof = self.permission_proof(&holder, request).await?;
        let bound = self.idle_conversation.take();
        if let Some(mut bound) = bound
            && (&bound.holder, &bound.group) == (&holder, &run.group)
            && bound.member == run.member
            && bound.conversation.send(run.clone()).await.is_ok()
        {
            return Ok(bound);
        }
        let (group, member) = (run.group.clone(), run.member.clone());
        let opened = if holder == self.host.options.host {
            self.open_local(run).await
        } else {
            Conversation::remote(&self.host, &holder, &run).await
        };
        let conversation = opened.inspect_err(|_| self.mark_unreachable(&holder))?;
        Ok(BoundConversation {
            holder,
            group,
            member,
            conversation,
        })
    }

    async fn open_local(&self, run: RunUnit) -> Result<Conversation> {
        let local = self
            .host
            .holder(&run.group, &run.member)
            .ok_or_else(|| Report::new(ErrorKind::NoPrimary))?;
        let mut conversation = Conversation::local(local);
        conversation.send(run).await?;
        Ok(conversation)
    }

    /// Builds the proof by which the holder checks that the request's permission
    /// has not expired; `None` if the request has no permit.
    async fn permission_proof(
        &self,
        holder: &HostId,
        request: &Request,
    ) -> Result<Option<HolderProof>> {
        let Some(permit) = &request.permit else {
            return Ok(None);
        };
        let stamps = &self.host.stamps;
        if *holder == self.host.options.host {
            return Ok(Some(stamps.local_proof(permit)));
        }
        let proof = stamps.remote_proof(&self.host.peers, holder, permit).await;
        proof
            .map(Some)
            .inspect_err(|_| self.mark_unreachable(holder))
    }

    /// Avoids an unreachable holder and discards its stamp, as it may have restarted.
    fn mark_unreachable(&self, holder: &HostId) {
        self.host.stamps.forget(holder);
        self.host.placement.suspect(holder);
    }
}

/// Sends the unit to the member that runs the open transaction.
async fn continue_transaction(
    mut bound: BoundConversation,
    request: &Request,
) -> Result<BoundConversation> {
    bound.conversation.send(request.run.clone()).await?;
    Ok(bound)
}
