//! Runs transactions, each on one connection from its first statement to its end.

use std::rc::Rc;

use burdockslip_directory::Route;
use burdockslip_runtime::{Instant, now, spawn};
use burdockslip_statement::{Access, Command, MemberReply};
use burdockslip_types::{ErrorKind, LogPosition};
use burdockslip_upstream::PooledConnection;

use crate::begin::{self, EagerBegin};
use crate::context::Context;
use crate::outcome::{self, Job, Lost, Served};

/// Holds an open transaction.
#[derive(Debug)]
pub(crate) struct Open {
    /// What the client announced.
    access: Access,
    /// The route at the start; a change applies to the next transaction.
    pub(crate) route: Rc<Route>,
    /// The transaction at a member that is opened before the first statement.
    eager: Option<EagerBegin>,
    /// The connection, from the first statement on.
    lent: Option<PooledConnection>,
    /// The position that the member's log had to hold at the start.
    floor: Option<LogPosition>,
    /// Whether a write was sent.
    has_written: bool,
    /// The moment of the last statement.
    pub(crate) used: Instant,
}

impl Open {
    /// Opens a transaction for the client and starts to open it at a member.
    pub(crate) fn new(cx: &Rc<Context>, job: Rc<Job>, access: Access) -> Self {
        Self {
            access,
            route: Rc::clone(&job.route),
            eager: Some(EagerBegin::spawn(cx, job, access)),
            lent: None,
            floor: None,
            has_written: false,
            used: now(),
        }
    }

    /// Runs a statement of the transaction.
    pub(crate) async fn run(
        &mut self,
        cx: &Rc<Context>,
        job: &Rc<Job>,
    ) -> Result<Served, ErrorKind> {
        self.used = now();
        let mut lent = match self.lent.take() {
            Some(lent) => lent,
            None => self.begin(cx, job).await?,
        };
        if job.access == Access::Write {
            self.has_written = true;
        }
        let reply = match outcome::run_pinned(cx, &mut lent, job).await {
            Ok(reply) => reply,
            // Dropping the connection rolls the transaction back.
            Err(Lost::NotSent(kind)) => return Err(kind),
            Err(Lost::Broken | Lost::TimedOut) => return Err(ErrorKind::TransactionAborted),
        };
        self.used = now();
        let served = self.served(&lent, reply);
        self.lent = Some(lent);
        Ok(served)
    }

    /// Opens the transaction at a member, unless that was done ahead.
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
            Some(begun) => begun,
            None => begin::begin(cx, job, self.access).await?,
        };
        self.floor = begun.floor;
        Ok(begun.lent)
    }

    /// Sends the client's commit.
    pub(crate) async fn commit(
        mut self,
        cx: &Rc<Context>,
        job: &Rc<Job>,
    ) -> Result<Served, ErrorKind> {
        let mut lent = match self.lent.take() {
            Some(lent) => lent,
            None => self.begin(cx, job).await?,
        };
        let command = Command::Forward {
            id: job.id.clone(),
            text: job.text(),
            floor: None,
        };
        let reply = outcome::send(cx, &mut lent, job, command, self.has_written).await;
        match reply {
            Ok(reply) => {
                let served = self.served(&lent, reply);
                outcome::settle(lent, &served.reply);
                Ok(served)
            }
            Err(_) if self.has_written => Err(ErrorKind::OutcomeUnknown),
            Err(_) => Err(ErrorKind::TransactionAborted),
        }
    }

    fn served(&self, lent: &PooledConnection, reply: MemberReply) -> Served {
        Served {
            reply,
            member: lent.member().name.clone(),
            floor: self.floor,
        }
    }

    /// Rolls back in the background, since the client need not wait for it.
    pub(crate) fn roll_back(mut self, cx: &Rc<Context>, job: Rc<Job>) {
        let cx = Rc::clone(cx);
        let (lent, eager) = (self.lent.take(), self.eager.take());
        spawn(async move {
            let eager = match eager {
                Some(eager) => eager.finish(&cx, &job).await.map(|begun| begun.lent),
                None => None,
            };
            let Some(mut lent) = lent.or(eager) else {
                return;
            };
            // A connection without an answer is closed, which rolls back too.
            if let Ok(reply) = outcome::send_quick(&cx, &mut lent, &job, Command::Rollback).await {
                outcome::settle(lent, &reply);
            }
        })
        .detach();
    }
}
