//! Holds the state that the tasks of a watcher share.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use burdockslip_runtime::{Instant, now, timeout};
use burdockslip_types::{HostId, PeerClient};

use crate::confirm::Waiters;
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
    pub(crate) waiters: RefCell<Waiters>,
    /// Notifies of every change of the view.
    pub(crate) changed: Signal,
    /// Asks for polls before the next interval.
    pub(crate) wanted: Signal,
    /// Notifies of commits that wait for confirmation.
    pub(crate) pending: Signal,
    pub(crate) counters: Counters,
    pub(crate) link: PeerClient<Watch>,
    /// Whether a planned switchover runs here, which stops new writes.
    pub(crate) is_switching: Cell<bool>,
    /// The number of reads in a row that waited for a replica in vain.
    pub(crate) vain_waits: Cell<u32>,
    /// The last promotion that this watcher completed.
    pub(crate) promotion: Cell<Option<PromotionTimes>>,
    ticket: Cell<u64>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        members: Vec<MemberClient>,
        link: PeerClient<Watch>,
    ) -> Self {
        let names: Vec<_> = members.iter().map(|m| m.name.clone()).collect();
        let majority = names.len() / 2 + 1;
        Self {
            watchers: RefCell::new(settings.watchers.clone()),
            settings,
            members,
            view: RefCell::new(View::new(names)),
            waiters: RefCell::new(Waiters::new(majority)),
            changed: Signal::default(),
            wanted: Signal::default(),
            pending: Signal::default(),
            counters: Counters::default(),
            link,
            is_switching: Cell::new(false),
            vain_waits: Cell::new(0),
            promotion: Cell::new(None),
            ticket: Cell::new(0),
        }
    }

    /// Numbers commits and queries in the order in which they happen here.
    ///
    /// Clock readings can be equal; tickets cannot, so a query never counts
    /// for a commit that was reported after the query was sent.
    pub(crate) fn next_ticket(&self) -> u64 {
        let ticket = self.ticket.get() + 1;
        self.ticket.set(ticket);
        ticket
    }

    /// Asks a member for its status and records the answer. Returns whether
    /// the member answered.
    pub(crate) async fn ask(&self, index: usize) -> bool {
        let (ticket, asked) = (self.next_ticket(), now());
        let call = (self.members[index].status)();
        match timeout(self.settings.timing.poll_timeout, call).await {
            Ok(Ok(status)) => {
                self.observe(index, ticket, asked, status);
                true
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Records the answer of a member to a query sent with `ticket` at `asked`.
    pub(crate) fn observe(&self, index: usize, ticket: u64, asked: Instant, status: MemberStatus) {
        let confirmed = self.waiters.borrow_mut().count(index, ticket, &status);
        self.counters.update(|c| c.confirmed += confirmed);
        self.view.borrow_mut().answer(index, asked, status);
        self.changed.notify();
    }

    /// Sends a request to another watcher and waits at most `limit`.
    pub(crate) async fn send(
        &self,
        host: &HostId,
        request: WatchRequest,
        limit: Duration,
    ) -> Option<WatchReply> {
        self.counters.update(|c| c.messages += 1);
        timeout(limit, self.link.call(host, request))
            .await
            .ok()?
            .ok()
    }
}
