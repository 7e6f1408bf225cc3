//! Runs transactions, each on one connection from its first statement to its end.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Consistency, Route};
use burdockslip_runtime::{Instant, now, sleep, spawn};
use burdockslip_statement::{Access, Command, Reply, Transaction};
use burdockslip_types::{ErrorKind, Mark, MemberName};
use burdockslip_upstream::Lent;
use tracing::info;

use crate::context::Context;
use crate::outcome::{self, Job, Lost, Served, kind_of};
use crate::place::{self, Place};

/// Pauses before a place is looked for again.
const PAUSE: Duration = Duration::from_millis(10);

/// Holds an open transaction.
#[derive(Debug)]
pub(crate) struct Open {
    /// What the client announced.
    access: Access,
    /// The route at the start; a change applies to the next transaction.
    pub(crate) route: Rc<Route>,
    /// The connection, from the first statement on.
    lent: Option<Lent>,
    /// The position that the member's log had to hold at the start.
    floor: Option<Mark>,
    /// Whether a write was sent.
    has_written: bool,
    /// The moment of the last statement.
    pub(crate) used: Instant,
}

impl Open {
    /// Opens a transaction, for which a member is chosen at its first statement.
    pub(crate) fn new(access: Access, route: Rc<Route>) -> Self {
        Self {
            access,
            route,
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

    /// Chooses a member and opens the transaction there.
    async fn begin(&mut self, cx: &Rc<Context>, job: &Rc<Job>) -> Result<Lent, ErrorKind> {
        let mut tried = Vec::new();
        let mut last = None;
        loop {
            let kind = if let Some(place) = self.choose(cx, job, &tried) {
                tried.push(place.pool.member().name.clone());
                match self.begin_at(cx, job, &place).await {
                    Ok(lent) => {
                        self.floor = place.floor;
                        return Ok(lent);
                    }
                    Err(kind) => kind,
                }
            } else {
                tried.clear();
                place::refusal(cx, job)
            };
            if job.patience().is_past() {
                return Err(kind);
            }
            // An attempt every few milliseconds would fill the log.
            if last.replace(kind) != Some(kind) {
                info!(id = job.id(), outcome = ?kind, ?tried,
                    after_ms = job.started.elapsed().as_millis(),
                    "transaction not opened, trying again");
            }
            sleep(PAUSE).await;
        }
    }

    fn choose(&self, cx: &Rc<Context>, job: &Rc<Job>, tried: &[MemberName]) -> Option<Place> {
        let may_be_replica = matches!(self.route.consistency, Consistency::Bounded { .. });
        if self.access == Access::Read && may_be_replica {
            place::choose(cx, job, tried)
        } else {
            let place = place::primary(cx, &self.route)?;
            (!place.pool.health.is_suspected()).then_some(place)
        }
    }

    async fn begin_at(&self, cx: &Context, job: &Job, place: &Place) -> Result<Lent, ErrorKind> {
        let lost = |lost| match lost {
            Lost::NotSent(kind) => kind,
            Lost::Broken | Lost::TimedOut => ErrorKind::ConnectionLost,
        };
        let mut lent = outcome::lend(&place.pool, job).await.map_err(lost)?;
        if place.floor.is_none() && !outcome::may_use(cx, job, &lent) {
            return Err(ErrorKind::NoPrimary);
        }
        let begin = Command::Begin {
            access: self.access,
            floor: place.floor,
        };
        let reply = outcome::send(cx, &mut lent, job, begin, false)
            .await
            .map_err(lost)?;
        match reply.result {
            Ok(_) if reply.state == Transaction::Open => Ok(lent),
            Ok(_) => Err(ErrorKind::Internal),
            Err(failure) => {
                outcome::settle(lent, &reply);
                Err(kind_of(failure))
            }
        }
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

    fn served(&self, lent: &Lent, reply: Reply) -> Served {
        Served {
            reply,
            member: lent.member().name.clone(),
            floor: self.floor,
        }
    }

    /// Rolls back in the background, since the client need not wait for it.
    pub(crate) fn roll_back(mut self, cx: &Rc<Context>, job: Rc<Job>) {
        let Some(mut lent) = self.lent.take() else {
            return;
        };
        let cx = Rc::clone(cx);
        spawn(async move {
            // A connection without an answer is closed, which rolls back too.
            if let Ok(reply) = outcome::send_quick(&cx, &mut lent, &job, Command::Rollback).await {
                outcome::settle(lent, &reply);
            }
        })
        .detach();
    }
}
