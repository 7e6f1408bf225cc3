//! Polls the members.

use std::rc::Rc;

use burdockslip_runtime::{now, sleep_until, timeout_at};

use crate::shared::Shared;

/// Polls one member at the set interval and earlier when a read asks for it.
pub(crate) async fn run(shared: Rc<Shared>, index: usize) {
    let timing = shared.settings.timing;
    loop {
        let started = now();
        let wanted = shared.poll_requested.listen();
        shared.counters.update(|c| c.polls += 1);
        shared.poll_member(index).await;
        // Ends early when a read asks for a newer report.
        let _ = timeout_at(started + timing.poll_interval, wanted).await;
        sleep_until(started + timing.poll_gap).await;
    }
}
