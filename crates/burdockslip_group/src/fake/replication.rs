//! Carries log entries from the primary to the other members.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, sleep, sleep_until, timeout};
use burdockslip_types::Term;

use super::database::Inner;

/// The time after which a primary contacts an idle member again.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// The time after which a primary retries a member that it cannot reach.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Sends the log of the primary of `term` to one other member.
///
/// Entries arrive in order, each one lag and one latency after it was written.
pub(crate) async fn run(inner: Rc<Inner>, from: usize, to: usize, term: Term) {
    loop {
        if !inner.is_primary_of(from, term) {
            return;
        }
        if inner.is_blocked(from, to) {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        let delay = inner.lag(to) + inner.network.latency();
        let written = inner.appended.listen();
        let next = {
            let log = &inner.nodes[from].borrow().log;
            let ready = log.partition_point(|e| e.written + delay <= now());
            inner.nodes[to].borrow_mut().accept(term, &log[..ready]);
            log.get(ready).map(|e| e.written + delay)
        };
        match next {
            // The lag may change meanwhile, so the wait is bounded.
            Some(due) => sleep_until(due.min(now() + HEARTBEAT_INTERVAL)).await,
            // Both outcomes lead to another look at the log.
            None => drop(timeout(HEARTBEAT_INTERVAL, written).await),
        }
    }
}
