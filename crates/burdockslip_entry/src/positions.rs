//! Collects the log positions of primaries for all hosts.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_failover::Duty;
use burdockslip_runtime::sleep;
use burdockslip_session::Context;

/// How often the ages of positions are checked.
const TICK: Duration = Duration::from_millis(100);

/// The age at which the coordinator queries a position again. Together with the
/// period of reports, it stays below the age at which hosts query primaries
/// themselves.
const POSITION_AGE: Duration = Duration::from_millis(250);

/// Keeps positions recent while this host is the coordinator.
///
/// If every host queried the primaries itself, each would open a connection to each
/// of them. This would take more of their slots than reading from replicas saves.
pub(crate) async fn run(cx: Rc<Context>, duty: Duty) {
    loop {
        sleep(TICK).await;
        if duty.coordinator_role().is_some() {
            cx.refresh_positions(POSITION_AGE);
        }
    }
}
