//! Dispatches a request: admission, the holder, retries and the response.

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
use crate::exchange::{Access, Done, EXPIRED, Event, Failed, Run};
use crate::stamp::HolderProof;

/// Pause before a request is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Says how an attempt to run a request failed, before any of its answer was passed on.
struct Attempt {
    failed: Failed,
}

impl Session {
    /// Admits a request, runs it and ends its answer.
    pub(super) async fn serve_request(&mut self, mut request: Request) -> Result<()> {
        let start = now();
        let admitted = self.admit(&mut request).await;
        let outcome = match admitted {
            Ok(()) => self.dispatch(&mut request).await?,
            Err(failed) => Err(failed),
        };
        let record_request = Rc::clone(&self.host.hooks.record_request);
        let verdict = outcome.as_ref().map(|_| ()).map_err(|failed| failed.kind);
        let Run {
            organisation,
            class,
            group,
            ..
        } = &request.run;
        record_request(organisation, class, verdict, start.elapsed());
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
    async fn dispatch(&mut self, request: &mut Request) -> Result<Result<Done, Failed>> {
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
                self.select_member(&mut request.run, member);
            } else {
                self.select_next_member(&mut request.run);
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

    /// Asks for a member, whose holder prefers it because of its zone.
    fn select_member(&self, run: &mut Run, member: MemberName) {
        if let Some(zone) = self.host.member_zone(&run.group, &member) {
            run.zone = zone;
        }
        run.member = member;
    }

    /// Turns to another member of the group, whose holder knows where to go.
    fn select_next_member(&self, run: &mut Run) {
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

    /// Decides whether a request may run again.
    ///
    /// Inside a transaction nothing is repeated, because its earlier
    /// statements are gone with the connection.
    fn may_retry(&self, request: &Request, attempt: &Attempt) -> bool {
        let failed = &attempt.failed;
        let is_safe = !failed.is_sent || request.class.repeatable;
        let is_transient = failed.kind == ErrorKind::OutcomeUnknown
            || matches!(
                failed.kind,
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

    /// Runs a request once and passes its answer on.
    ///
    /// The outer error means that the client is gone, or that its answer broke
    /// off: what follows could not be told from the missing rest.
    async fn attempt(&mut self, request: &Request) -> Result<Result<Done, Attempt>> {
        let is_open = self.transaction.conversation.is_some();
        let opened = match self.transaction.conversation.take() {
            Some(kept) => resume(kept, request).await,
            None => self.open(request).await,
        };
        let mut kept = match opened {
            Ok(kept) => kept,
            Err(report) => {
                self.transaction.is_failed = is_open;
                let failed = Failed::not_sent(*report.current_context(), "");
                return Ok(Err(Attempt { failed }));
            }
        };
        match self
            .forward_response(&mut kept.conversation, request)
            .await?
        {
            Ok(done) => {
                self.keep(kept, &done, is_open, &request.run);
                Ok(Ok(done))
            }
            Err(failed) => {
                self.transaction.is_failed = is_open;
                self.transaction.names.clear();
                Ok(Err(Attempt { failed }))
            }
        }
    }

    /// Passes an answer on; its last part stays in `pending`.
    async fn forward_response(
        &mut self,
        conversation: &mut Conversation,
        request: &Request,
    ) -> Result<Result<Done, Failed>> {
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
                Ok(Event::Failed(failed)) | Err(failed) => {
                    self.pending = Bytes::new();
                    if has_output {
                        // Parts may end inside a message.
                        bail!(ErrorKind::ConnectionLost);
                    }
                    return Ok(Err(failed));
                }
            }
        }
    }

    /// Keeps the conversation for its open transaction or for the next request.
    fn keep(&mut self, kept: BoundConversation, done: &Done, was_open: bool, run: &Run) {
        if done.state == TransactionState::Idle {
            self.transaction = Transaction::default();
            // The holder of a transaction is not remembered, so that the next
            // request looks for it anew.
            self.kept = (!was_open).then_some(kept);
            return;
        }
        self.transaction.conversation = Some(kept);
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

    /// Sends the unit to the holder of the member, in the kept conversation if
    /// it is with that holder.
    async fn open(&mut self, request: &Request) -> Result<BoundConversation> {
        let mut run = request.run.clone();
        let zone = self
            .host
            .member_zone(&run.group, &run.member)
            .ok_or_else(|| Report::new(ErrorKind::NoPrimary))?;
        let holder = self.host.holder_host(&run.member, &zone);
        run.proof = self.prove(&holder, request).await?;
        let kept = self.kept.take();
        if let Some(mut kept) = kept
            && (&kept.holder, &kept.member) == (&holder, &run.member)
            && kept.conversation.send(run.clone()).await.is_ok()
        {
            return Ok(kept);
        }
        let member = run.member.clone();
        let opened = if holder == self.host.options.host {
            self.open_local(run).await
        } else {
            Conversation::remote(&self.host, &holder, &run).await
        };
        let conversation = opened.inspect_err(|_| self.avoid(&holder))?;
        Ok(BoundConversation {
            holder,
            member,
            conversation,
        })
    }

    async fn open_local(&self, run: Run) -> Result<Conversation> {
        let local = self
            .host
            .holder(&run.group, &run.member)
            .ok_or_else(|| Report::new(ErrorKind::NoPrimary))?;
        let mut conversation = Conversation::local(local);
        conversation.send(run).await?;
        Ok(conversation)
    }

    /// Proves to the holder that the request's permission has not expired.
    async fn prove(&self, holder: &HostId, request: &Request) -> Result<Option<HolderProof>> {
        let Some(permit) = &request.permit else {
            return Ok(None);
        };
        let stamps = &self.host.stamps;
        if *holder == self.host.options.host {
            return Ok(Some(stamps.prove_here(permit)));
        }
        let proof = stamps.prove_to(&self.host.peers, holder, permit).await;
        proof.map(Some).inspect_err(|_| self.avoid(holder))
    }

    /// Avoids a holder that could not be reached.
    fn avoid(&self, holder: &HostId) {
        self.host.stamps.forget(holder);
        self.host.placement.suspect(holder);
    }
}

/// Goes on with the conversation of the open transaction, which stays with its member.
async fn resume(mut kept: BoundConversation, request: &Request) -> Result<BoundConversation> {
    let run = Run {
        member: kept.member.clone(),
        ..request.run.clone()
    };
    kept.conversation.send(run).await?;
    Ok(kept)
}
