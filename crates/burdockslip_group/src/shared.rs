//! Holds the state that the tasks of a watcher share.

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

/// Holds the state of one watcher of one group.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) members: Vec<MemberClient>,
    pub(crate) watchers: RefCell<Vec<Watcher>>,
    pub(crate) view: RefCell<View>,
    pub(crate) commits: RefCell<PendingCommits>,
    /// Notifies of every change of the view.
    pub(crate) view_changed: Signal,
    /// Asks for polls before the next interval.
    pub(crate) poll_requested: Signal,
    /// Notifies of commits that wait for confirmation.
    pub(crate) commit_added: Signal,
    pub(crate) counters: Counters,
    pub(crate) peers: PeerClient<Watch>,
    /// Whether a planned switchover runs here, which stops new writes.
    pub(crate) is_switching: Cell<bool>,
    /// The number of reads in a row that waited for a replica in vain.
    pub(crate) failed_waits: Cell<u32>,
    /// The last last_promotion that this watcher completed.
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

    /// Numbers commits and queries in the order in which they happen here.
    ///
    /// Clock readings can be equal; tickets cannot, so a query never counts
    /// for a commit that was reported after the query was sent.
    pub(crate) fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    /// Asks a member for its status and records the answer. Returns whether
    /// the member answered.
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

    /// Records the answer of a member to a query sent with `sequence` at `asked`.
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

    /// Sends a request to another watcher and waits at most `limit`.
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
