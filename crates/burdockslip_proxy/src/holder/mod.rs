//! Owns the connections and the queue of one database.

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

use crate::exchange::{Event, Run};
use crate::options::Options;
use crate::stamp::Stamps;
use gate::Gate;
pub(crate) use member::member;
use pool::Pool;

/// Holds the connections and the queue of one database.
#[derive(Debug)]
pub(crate) struct Holder {
    member: MemberName,
    group: Group,
    control: MemberClient,
    stamps: Rc<Stamps>,
    gate: Gate,
    pool: Pool,
    options: Rc<Options>,
}

impl Holder {
    /// Prepares to serve a member; connections are made when needed.
    pub(crate) fn open(
        member: &MemberName,
        watch: Group,
        (group, database): (&GroupEntry, &MemberEntry),
        stamps: &Rc<Stamps>,
        options: &Rc<Options>,
    ) -> Rc<Self> {
        let connections = pool::share(database.connections as usize);
        let slots = database.slots as usize;
        Rc::new(Self {
            member: member.clone(),
            group: watch,
            control: member::member(member, group, database, options),
            stamps: Rc::clone(stamps),
            gate: Gate::new(slots.min(connections).max(1), options),
            pool: Pool::open(group, database, connections, options),
            options: Rc::clone(options),
        })
    }
}

impl Holder {
    /// Shares the database between organisations by their weights in the catalogue.
    pub(crate) fn set_weights(&self, catalogue: &Catalogue) {
        for (organisation, entry) in &catalogue.organisations {
            self.gate.set_weight(organisation, entry.weight);
        }
    }
}

/// Runs the units of one conversation until the endpoint ends it.
pub(crate) async fn serve(
    holder: Rc<Holder>,
    mut runs: mpsc::Receiver<Run>,
    mut events: mpsc::Sender<Event>,
) {
    let mut pinned = None;
    while let Some(run) = runs.next().await {
        let end = match execute::execute(&holder, &mut pinned, run, &mut events).await {
            Ok(done) => Event::Done(done),
            Err(failed) => {
                // Closing the connection makes the database roll back.
                pinned = None;
                Event::Failed(failed)
            }
        };
        if events.send(end).await.is_err() {
            return;
        }
    }
}
