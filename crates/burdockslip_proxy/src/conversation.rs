//! Connects an endpoint to a holder, on this host or on another one.

use std::rc::Rc;

use burdockslip_peer::{StreamReceiver, StreamSender};
use burdockslip_runtime::{Task, spawn};
use burdockslip_types::{ErrorKind, HostId, Result};
use error_stack::{Report, ResultExt};
use futures::SinkExt;
use futures::StreamExt;
use futures::channel::mpsc;

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
    /// Returns `ConnectionLost` if the host cannot be reached; the unit has
    /// not run then.
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
    if host.is_draining.get() {
        let failed = Failed::not_sent(ErrorKind::Draining, "holder is shutting down");
        // The endpoint may be gone.
        let _ = sender.send(&Event::Failed(failed)).await;
        let _ = sender.close();
        return;
    }
    let Some(holder) = host.holder(&first.group, &first.member) else {
        return;
    };
    let _counted = host.conversations.count();
    let mut conversation = Conversation::local(holder);
    let mut run = Some(first);
    while let Some(unit) = run.take() {
        if conversation.send(unit).await.is_err() {
            return;
        }
        // The endpoint sends nothing while a unit runs, so a message or an
        // end here means that it gave up; dropping the conversation stops the unit.
        let finished = {
            let forward = std::pin::pin!(forward(&mut conversation, &mut sender));
            let watch = std::pin::pin!(receiver.next());
            match futures::future::select(forward, watch).await {
                futures::future::Either::Left((finished, _)) => finished,
                futures::future::Either::Right(_) => return,
            }
        };
        if finished.is_err() {
            return;
        }
        run = receiver.next().await.ok().flatten();
    }
}

/// Passes the events of one unit on.
async fn forward(conversation: &mut Conversation, sender: &mut StreamSender<Event>) -> Result<()> {
    loop {
        let event = conversation.next().await?;
        sender.send(&event).await?;
        if !matches!(event, Event::Part(_)) {
            return Ok(());
        }
    }
}
