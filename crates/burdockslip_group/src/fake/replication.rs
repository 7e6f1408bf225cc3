//! The replication from the primary to the other members.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, sleep, sleep_until, timeout};
use burdockslip_types::Term;

use super::database::Inner;

/// The maximum time between two messages of a primary to an idle member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// The time between two attempts of a primary to reach a member.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Sends the log of the primary of `term` to one other member.
///
/// Entries arrive in order, each after the replication delay plus one latency.
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
            // The wait is bounded because a test may change the lag meanwhile.
            Some(due) => sleep_until(due.min(now() + HEARTBEAT_INTERVAL)).await,
            // The next iteration reads the log after an append and after the timeout.
            None => drop(timeout(HEARTBEAT_INTERVAL, written).await),
        }
    }
}
