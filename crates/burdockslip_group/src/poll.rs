//! Regular polls of the members.

use std::rc::Rc;

use burdockslip_runtime::{now, sleep_until, timeout_at};

use crate::shared::Shared;

/// Polls one member at `poll_interval`, or earlier when another task requests it,
/// but no more often than every `poll_gap`.
pub(crate) async fn run(shared: Rc<Shared>, index: usize) {
    let timing = shared.settings.timing;
    loop {
        let started = now();
        let wanted = shared.poll_requested.listen();
        shared.counters.update(|c| c.polls += 1);
        shared.poll_member(index).await;
        // Ends early when another task requests a newer report.
        let _ = timeout_at(started + timing.poll_interval, wanted).await;
        sleep_until(started + timing.poll_gap).await;
    }
}
