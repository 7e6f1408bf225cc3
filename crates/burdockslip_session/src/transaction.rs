//! Client transactions, each of which uses one connection from its first statement to its end.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Route;
use burdockslip_runtime::{Instant, now, spawn};
use burdockslip_statement::{Access, Command, MemberReply};
use burdockslip_types::{ErrorKind, LogPosition};
use burdockslip_upstream::PooledConnection;

use crate::acknowledge;
use crate::begin::{self, EagerBegin};
use crate::context::Context;
use crate::outcome::{self, Job, SendError, ServedReply};
use crate::pacing;
use crate::tokens::Token;

/// A client's open transaction.
#[derive(Debug)]
pub(crate) struct OpenTransaction {
    /// The access that the client requested in `BEGIN`.
    access: Access,
    /// The route at `BEGIN`; a change of the route applies to later transactions.
    pub(crate) route: Rc<Route>,
    /// The token of the transaction, until something of it is sent to a member.
    token: Option<Token>,
    /// The job of `BEGIN`.
    opening: Rc<Job>,
    /// The transaction that is opened at a member before the first statement.
    eager: Option<EagerBegin>,
    /// The connection, from the first statement on.
    connection: Option<PooledConnection>,
    /// The position that the member's log had to have reached when the transaction
    /// was opened; `None` at the primary.
    floor: Option<LogPosition>,
    /// Whether a write was sent.
    has_written: bool,
    /// Whether a write succeeded, so that the commit has a position of its own.
    has_changed: bool,
    /// Whether it was rolled back because the zone of its member is evacuated.
    is_evacuated: bool,
    /// When the last statement started or ended.
    pub(crate) last_used: Instant,
}

impl OpenTransaction {
    /// Creates a transaction and starts to open it at a member.
    pub(crate) fn new(
        cx: &Rc<Context>,
        job: Rc<Job>,
        access: Access,
        token: Option<Token>,
    ) -> Self {
        Self {
            access,
            route: Rc::clone(&job.route),
            token,
            opening: Rc::clone(&job),
            eager: Some(EagerBegin::spawn(cx, job, access)),
            connection: None,
            floor: None,
            has_written: false,
            has_changed: false,
            is_evacuated: false,
            last_used: now(),
        }
    }

    /// Runs a statement of the transaction.
    pub(crate) async fn run(
        &mut self,
        cx: &Rc<Context>,
        job: &Rc<Job>,
    ) -> Result<ServedReply, ErrorKind> {
        self.last_used = now();
        let mut connection = self.connection(cx, job).await?;
        if job.access == Access::Write {
            self.has_written = true;
        }
        let reply = match outcome::run_in_transaction(cx, &mut connection, job).await {
            Ok(reply) => reply,
            // Dropping the connection rolls back the transaction.
            Err(SendError::NotSent(kind)) => return Err(kind),
            Err(SendError::Broken | SendError::TimedOut) => {
                return Err(ErrorKind::TransactionAborted);
            }
        };
        self.last_used = now();
        self.has_changed |= job.access == Access::Write && reply.result.is_ok();
        let served = self.served(&connection, reply);
        self.connection = Some(connection);
        Ok(served)
    }

    /// Returns the connection for the next statement, which the member's availability zone
    /// may still receive.
    async fn connection(
        &mut self,
        cx: &Rc<Context>,
        job: &Rc<Job>,
    ) -> Result<PooledConnection, ErrorKind> {
        if self.is_evacuated {
            return Err(ErrorKind::TransactionAborted);
        }
        let Some(connection) = self.connection.take() else {
            return self.begin(cx, job).await;
        };
        // Dropping the connection rolls back the transaction.
        match cx.time_left(connection.member()) {
            Some(Duration::ZERO) => Err(ErrorKind::TransactionAborted),
            _ => Ok(connection),
        }
    }

    /// Returns the time for which the availability zone of the member may still receive
    /// statements of the transaction, or `None` if it is not limited.
    pub(crate) fn time_left(&self, cx: &Context) -> Option<Duration> {
        cx.time_left(self.connection.as_ref()?.member())
    }

    /// Rolls back at the member, whose zone is evacuated. The client learns it from the
    /// response to its next statement.
    pub(crate) fn evacuate(&mut self, cx: &Rc<Context>, job: Rc<Job>) {
        self.is_evacuated = true;
        self.release(cx, job);
    }

    /// Returns the connection of the eagerly opened transaction, or opens one now.
    async fn begin(
        &mut self,
        cx: &Rc<Context>,
        job: &Rc<Job>,
    ) -> Result<PooledConnection, ErrorKind> {
        let eager = match self.eager.take() {
            Some(eager) => eager.finish(cx, job).await,
            None => None,
        };
        let begun = match eager {
            Some(begun) => Ok(begun),
            None => begin::begin(cx, job, self.access).await,
        };
        let token = self.token.take();
        if begun.is_err() && !self.opening.was_sent.get() && !job.was_sent.get() {
            cx.give_back(token);
        }
        let begun = begun?;
        self.floor = begun.floor;
        Ok(begun.connection)
    }

    /// Commits the transaction.
    pub(crate) async fn commit(
        mut self,
        cx: &Rc<Context>,
        job: &Rc<Job>,
    ) -> Result<ServedReply, ErrorKind> {
        let mut connection = self.connection(cx, job).await?;
        let command = Command::Forward {
            id: job.id.clone(),
            text: job.text(),
            floor: None,
        };
        // Nothing is kept without the command: dropping the connection rolls back.
        if let Err(SendError::NotSent(kind)) = outcome::set_up(cx, &mut connection, job).await {
            return Err(kind);
        }
        let position = connection.pool().health.position();
        let reply = outcome::send(cx, &mut connection, job, command, self.has_written).await;
        match reply {
            Ok(reply) => {
                let mut served = self.served(&connection, reply);
                served.preceding = position.filter(|_| self.has_changed);
                outcome::return_if_idle(connection, &served.reply);
                if self.has_written && served.reply.result.is_ok() {
                    acknowledge::confirm(cx, job, &served).await?;
                }
                Ok(served)
            }
            Err(_) if self.has_written => Err(ErrorKind::OutcomeUnknown),
            Err(_) => Err(ErrorKind::TransactionAborted),
        }
    }

    fn served(&self, connection: &PooledConnection, reply: MemberReply) -> ServedReply {
        ServedReply {
            reply,
            member: connection.member().name.clone(),
            floor: self.floor,
            preceding: None,
        }
    }

    /// Rolls back in the background, because the client does not need to wait for it.
    pub(crate) fn roll_back(mut self, cx: &Rc<Context>, job: Rc<Job>) {
        self.release(cx, job);
    }

    fn release(&mut self, cx: &Rc<Context>, job: Rc<Job>) {
        let cx = Rc::clone(cx);
        let (connection, eager) = (self.connection.take(), self.eager.take());
        spawn(async move {
            let eager = match eager {
                Some(eager) => eager.finish(&cx, &job).await.map(|begun| begun.connection),
                None => None,
            };
            let Some(mut connection) = connection.or(eager) else {
                return;
            };
            if !pacing::try_permits(&cx, connection.member(), 1) {
                return;
            }
            // Without a reply, the connection is closed, which also rolls back.
            if let Ok(reply) =
                outcome::send_unqueued(&cx, &mut connection, &job, Command::Rollback).await
            {
                outcome::return_if_idle(connection, &reply);
            }
        })
        .detach();
    }
}
