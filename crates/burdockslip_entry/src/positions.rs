//! Learns positions of primaries for all hosts.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_failover::Duty;
use burdockslip_runtime::sleep;
use burdockslip_session::Context;

/// How often the ages of positions are looked at.
const TICK: Duration = Duration::from_millis(100);

/// The age at which the coordinator asks for a position again. Together with
/// the period of reports it stays below the age at which hosts ask themselves.
const POSITION_AGE: Duration = Duration::from_millis(250);

/// Keeps positions recent while this host is the coordinator.
///
/// A host that asked primaries itself would open a connection to each of them,
/// which takes more of their slots than the reads that replicas serve.
pub(crate) async fn run(cx: Rc<Context>, duty: Duty) {
    loop {
        sleep(TICK).await;
        if duty.coordinator_role().is_some() {
            cx.refresh_positions(POSITION_AGE);
        }
    }
}
