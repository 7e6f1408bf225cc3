//! The state that the tasks of a watcher share.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use burdockslip_runtime::{Instant, now, timeout};
use burdockslip_types::{HostId, PeerClient};

use crate::confirm::PendingCommits;
use crate::counts::Counters;
use crate::promotion::PromotionTimes;
use crate::signal::Signal;
use crate::view::View;
use crate::{MemberClient, MemberStatus, Settings, Watch, WatchReply, WatchRequest, Watcher};

/// The state of the watcher of one group.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) members: Vec<MemberClient>,
    pub(crate) watchers: RefCell<Vec<Watcher>>,
    pub(crate) view: RefCell<View>,
    pub(crate) commits: RefCell<PendingCommits>,
    /// Notified when the view changes.
    pub(crate) view_changed: Signal,
    /// Notified to request polls before the next interval.
    pub(crate) poll_requested: Signal,
    /// Notified when a commit starts to wait for confirmation.
    pub(crate) commit_added: Signal,
    pub(crate) counters: Counters,
    pub(crate) peers: PeerClient<Watch>,
    /// Whether this host runs a planned switchover, during which it rejects new
    /// writes.
    pub(crate) is_switching: Cell<bool>,
    /// The number of consecutive reads that waited for a replica without success.
    pub(crate) failed_waits: Cell<u32>,
    /// The last promotion that this watcher completed.
    pub(crate) last_promotion: Cell<Option<PromotionTimes>>,
    sequence: Cell<u64>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        members: Vec<MemberClient>,
        peers: PeerClient<Watch>,
    ) -> Self {
        let names: Vec<_> = members.iter().map(|m| m.name.clone()).collect();
        let majority = names.len() / 2 + 1;
        Self {
            watchers: RefCell::new(settings.watchers.clone()),
            settings,
            members,
            view: RefCell::new(View::new(names)),
            commits: RefCell::new(PendingCommits::new(majority)),
            view_changed: Signal::default(),
            poll_requested: Signal::default(),
            commit_added: Signal::default(),
            counters: Counters::default(),
            peers,
            is_switching: Cell::new(false),
            failed_waits: Cell::new(0),
            last_promotion: Cell::new(None),
            sequence: Cell::new(0),
        }
    }

    /// Returns the next sequence number, which orders the commits and queries of
    /// this watcher.
    ///
    /// Unlike clock readings, sequence numbers are never equal. A query therefore
    /// never counts for a commit that was registered after the query was sent.
    pub(crate) fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    /// Queries a member's status and records the answer. Returns whether the
    /// member answered within `poll_timeout`.
    pub(crate) async fn poll_member(&self, index: usize) -> bool {
        let (sequence, asked) = (self.next_sequence(), now());
        let call = (self.members[index].status)();
        match timeout(self.settings.timing.poll_timeout, call).await {
            Ok(Ok(status)) => {
                self.record_answer(index, sequence, asked, status);
                true
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Records a member's answer to the query number `sequence`, sent at `asked`.
    pub(crate) fn record_answer(
        &self,
        index: usize,
        sequence: u64,
        asked: Instant,
        status: MemberStatus,
    ) {
        let confirmed = self
            .commits
            .borrow_mut()
            .count_report(index, sequence, &status);
        self.counters.update(|c| c.confirmed += confirmed);
        self.view.borrow_mut().record_answer(index, asked, status);
        self.view_changed.notify();
    }

    /// Sends a request to another watcher and waits for the reply for at most
    /// `limit`.
    pub(crate) async fn send(
        &self,
        host: &HostId,
        request: WatchRequest,
        limit: Duration,
    ) -> Option<WatchReply> {
        self.counters.update(|c| c.messages += 1);
        timeout(limit, self.peers.call(host, request))
            .await
            .ok()?
            .ok()
    }
}
