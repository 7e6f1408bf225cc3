//! Conversations between an endpoint and a holder, on the same host or across hosts.

use std::rc::Rc;

use burdockslip_peer::{StreamReceiver, StreamSender};
use burdockslip_runtime::{Task, spawn};
use burdockslip_types::{ErrorKind, HostId, Result};
use burdockslip_wire::TransactionState;
use error_stack::{Report, ResultExt};
use futures::SinkExt;
use futures::StreamExt;
use futures::channel::mpsc;
use futures::future::{Either, select};

use crate::counter::CountGuard;
use crate::exchange::{EXECUTE, Event, Failure, RunUnit};
use crate::holder::{self, Holder};
use crate::host::Host;

/// The capacity of the event channel between a local holder and an endpoint.
const EVENT_BACKLOG: usize = 4;

/// A two-way channel to one holder: units in one direction, events in the other.
///
/// Dropping it makes the holder close the database connection of an open
/// transaction or a running unit.
#[derive(Debug)]
pub(crate) enum Conversation {
    /// The holder is on this host.
    Local {
        /// Sends units to the holder.
        runs: mpsc::Sender<RunUnit>,
        /// Receives events from the holder.
        events: mpsc::Receiver<Event>,
        /// The task that runs the units; cancelled on drop.
        _task: Task<()>,
    },
    /// The holder is on another host.
    Remote {
        /// Sends units to the holder.
        runs: StreamSender<RunUnit>,
        /// Receives events from the holder.
        events: StreamReceiver<Event>,
    },
}

impl Conversation {
    /// Starts a conversation with a holder on this host.
    pub(crate) fn local(holder: Rc<Holder>) -> Self {
        let (runs, incoming) = mpsc::channel(1);
        let (outgoing, events) = mpsc::channel(EVENT_BACKLOG);
        let task = spawn(holder::serve(holder, incoming, outgoing));
        Self::Local {
            runs,
            events,
            _task: task,
        }
    }

    /// Starts a conversation with a holder on another host and sends the first unit.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the host is unreachable. The unit has not run
    /// then: the host runs only messages that arrive completely, and an error
    /// here means that some bytes of the message were not sent.
    pub(crate) async fn remote(host: &Host, peer: &HostId, first: &RunUnit) -> Result<Self> {
        let (runs, events) = host.peers.stream(peer, EXECUTE, first).await?;
        Ok(Self::Remote { runs, events })
    }

    /// Sends a unit.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the holder is gone.
    pub(crate) async fn send(&mut self, run: RunUnit) -> Result<()> {
        match self {
            Self::Local { runs, .. } => runs
                .send(run)
                .await
                .change_context(ErrorKind::ConnectionLost),
            Self::Remote { runs, .. } => runs.send(&run).await,
        }
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the holder is gone.
    pub(crate) async fn next(&mut self) -> Result<Event> {
        let event = match self {
            Self::Local { events, .. } => events.next().await,
            Self::Remote { events, .. } => events.next().await?,
        };
        event.ok_or_else(|| Report::new(ErrorKind::ConnectionLost))
    }
}

/// Serves a conversation that another host opened.
pub(crate) async fn serve_remote(
    host: Rc<Host>,
    mut receiver: StreamReceiver<RunUnit>,
    mut sender: StreamSender<Event>,
) {
    let Ok(Some(first)) = receiver.next().await else {
        return;
    };
    let Some(holder) = host.holder(&first.group, &first.member) else {
        return;
    };
    let member = first.member.clone();
    let mut conversation = Conversation::local(holder);
    let mut next = Some(first);
    // Held while a transaction is open: a drain waits for running units and
    // open transactions, but not for idle conversations.
    let mut transaction: Option<CountGuard> = None;
    while let Some(run) = next.take() {
        if run.member != member {
            return;
        }
        if transaction.is_none() && host.is_draining.get() {
            return refuse_draining(sender).await;
        }
        let guard = transaction
            .take()
            .unwrap_or_else(|| host.conversations.increment());
        if conversation.send(run).await.is_err() {
            return;
        }
        // The endpoint sends nothing while a unit runs. A message or the end of
        // the stream here means that the endpoint has given up; dropping the
        // conversation stops the unit.
        let finished = {
            let forward = std::pin::pin!(forward(&mut conversation, &mut sender));
            let watch = std::pin::pin!(receiver.next());
            match select(forward, watch).await {
                Either::Left((finished, _)) => finished,
                Either::Right(_) => return,
            }
        };
        match finished {
            Ok(TransactionState::Idle) => {}
            Ok(_) => transaction = Some(guard),
            Err(_) => return,
        }
        next = receiver.next().await.ok().flatten();
    }
}

/// Rejects a unit as not run because the host is draining.
async fn refuse_draining(mut sender: StreamSender<Event>) {
    let failure = Failure::not_sent(ErrorKind::Draining, "holder is shutting down");
    // Errors are ignored: the endpoint may be gone.
    let _ = sender.send(&Event::Failed(failure)).await;
    let _ = sender.close();
}

/// Forwards the events of one unit and returns the transaction state after it.
async fn forward(
    conversation: &mut Conversation,
    sender: &mut StreamSender<Event>,
) -> Result<TransactionState> {
    loop {
        let event = conversation.next().await?;
        sender.send(&event).await?;
        match event {
            Event::Part(_) => {}
            Event::Done(done) => return Ok(done.state),
            Event::Failed(_) => return Ok(TransactionState::Idle),
        }
    }
}
