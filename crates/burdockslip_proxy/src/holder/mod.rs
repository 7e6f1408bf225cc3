//! The holder of a database: it owns the connection pool and the request queue of
//! one group member.

mod converse;
mod execute;
mod gate;
mod member;
mod pool;
mod release;
mod route;
mod status;

use std::rc::Rc;

use burdockslip_catalogue::{Catalogue, GroupEntry, MemberEntry};
use burdockslip_group::{Group, MemberClient};
use burdockslip_types::MemberName;
use futures::channel::mpsc;
use futures::{SinkExt, StreamExt};

use crate::exchange::{Event, RunUnit};
use crate::options::Options;
use crate::stamp::Stamps;
use gate::AdmissionQueue;
pub(crate) use member::member;
use pool::Pool;

/// The connection pool and the admission queue of one database.
///
/// Usually one host holds a database and all others send their units to it; in
/// direct mode every host has a holder of its own for each database.
#[derive(Debug)]
pub(crate) struct Holder {
    member: MemberName,
    group: Group,
    control: MemberClient,
    stamps: Rc<Stamps>,
    queue: AdmissionQueue,
    pool: Pool,
    options: Rc<Options>,
}

impl Holder {
    /// Creates the holder of a member; connections are opened on demand.
    pub(crate) fn open(
        member: &MemberName,
        watched: Group,
        (group, database): (&GroupEntry, &MemberEntry),
        stamps: &Rc<Stamps>,
        options: &Rc<Options>,
    ) -> Rc<Self> {
        let connections = pool::connection_limit(database.connections as usize);
        let slots = database.slots as usize;
        Rc::new(Self {
            member: member.clone(),
            group: watched,
            control: member::member(member, group, database, options),
            stamps: Rc::clone(stamps),
            queue: AdmissionQueue::new(slots.min(connections).max(1), options),
            pool: Pool::open(group, database, connections, options),
            options: Rc::clone(options),
        })
    }
}

impl Holder {
    /// Sets the queue weights of all organisations from the catalogue.
    pub(crate) fn set_weights(&self, catalogue: &Catalogue) {
        for (organisation, entry) in &catalogue.organisations {
            self.queue.set_weight(organisation, entry.weight);
        }
    }
}

/// Runs the units of one conversation in order until the endpoint closes it.
pub(crate) async fn serve(
    holder: Rc<Holder>,
    mut runs: mpsc::Receiver<RunUnit>,
    mut events: mpsc::Sender<Event>,
) {
    let mut pinned = None;
    while let Some(run) = runs.next().await {
        let end = match execute::execute(&holder, &mut pinned, run, &mut events).await {
            Ok(done) => Event::Done(done),
            Err(failure) => {
                // Dropping the connection makes the database roll the transaction back.
                pinned = None;
                Event::Failed(failure)
            }
        };
        if events.send(end).await.is_err() {
            return;
        }
    }
}
