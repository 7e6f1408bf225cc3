//! Connects an endpoint to a holder, on this host or on another one.

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

use crate::counter::Counted;
use crate::exchange::{EXECUTE, Event, Failed, Run};
use crate::holder::{self, Holder};
use crate::host::Host;

/// How many events may wait between a holder and an endpoint.
const EVENT_BACKLOG: usize = 4;

/// Exchanges units and events with one holder.
///
/// Dropping it makes the holder close the connection that an open transaction
/// or a running unit uses.
#[derive(Debug)]
pub(crate) enum Conversation {
    /// The holder is on this host.
    Local {
        /// Takes units.
        runs: mpsc::Sender<Run>,
        /// Yields events.
        events: mpsc::Receiver<Event>,
        /// Serves the units; stops when dropped.
        _task: Task<()>,
    },
    /// The holder is on another host.
    Remote {
        /// Takes units.
        runs: StreamSender<Run>,
        /// Yields events.
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
    /// Returns `ConnectionLost` if the host cannot be reached. The unit has not
    /// run then: a host runs only messages that arrived whole, and an error
    /// here means that some of its bytes were not handed over.
    pub(crate) async fn remote(host: &Host, peer: &HostId, first: &Run) -> Result<Self> {
        let (runs, events) = host.peers.stream(peer, EXECUTE, first).await?;
        Ok(Self::Remote { runs, events })
    }

    /// Sends a unit.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the holder is gone.
    pub(crate) async fn send(&mut self, run: Run) -> Result<()> {
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
    mut receiver: StreamReceiver<Run>,
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
    // A planned stop waits for units and transactions, not for idle conversations.
    let mut transaction: Option<Counted> = None;
    while let Some(run) = next.take() {
        if run.member != member {
            return;
        }
        if transaction.is_none() && host.is_draining.get() {
            return refuse(sender).await;
        }
        let counted = transaction
            .take()
            .unwrap_or_else(|| host.conversations.count());
        if conversation.send(run).await.is_err() {
            return;
        }
        // The endpoint sends nothing while a unit runs, so a message or an
        // end here means that it gave up; dropping the conversation stops the unit.
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
            Ok(_) => transaction = Some(counted),
            Err(_) => return,
        }
        next = receiver.next().await.ok().flatten();
    }
}

/// Tells the endpoint that its unit has not run because the host stops.
async fn refuse(mut sender: StreamSender<Event>) {
    let failed = Failed::not_sent(ErrorKind::Draining, "holder is shutting down");
    // The endpoint may be gone.
    let _ = sender.send(&Event::Failed(failed)).await;
    let _ = sender.close();
}

/// Passes the events of one unit on and returns the transaction state after it.
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
