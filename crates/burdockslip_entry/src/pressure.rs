//! Exchanges what hosts see of members under pressure; see
//! `docs/design/order-under-pressure.md`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_dispatch::{
    Holdback, HostPressure, PressureReply, PressureReport, Regulators, Usual,
};
use burdockslip_runtime::{Instant, now, sleep};
use burdockslip_session::Context;
use burdockslip_types::{MemberName, Revision};
use tracing::info;

/// The period of the timer whose delay shows how long ready tasks wait.
const LAG_PERIOD: Duration = Duration::from_millis(20);

/// The minimum time between two log lines about pressure.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// What the coordinator knows about the fleet under pressure, for one tenure.
#[derive(Debug, Default)]
pub(crate) struct FleetPressure {
    /// The token of the tenure. Other coordinators have decided since an earlier one.
    token: Cell<Option<Revision>>,
    regulators: RefCell<Regulators>,
    usual: RefCell<Usual>,
}

impl FleetPressure {
    /// Adds the report of a host and returns what all hosts are told.
    pub(crate) fn answer(&self, token: Revision, report: PressureReport) -> PressureReply {
        if self.token.replace(Some(token)) != Some(token) {
            *self.regulators.borrow_mut() = Regulators::default();
            *self.usual.borrow_mut() = Usual::default();
        }
        let mut regulators = self.regulators.borrow_mut();
        let mut usual = self.usual.borrow_mut();
        regulators.record(report.members);
        usual.record(&report.arrivals);
        PressureReply {
            members: regulators.decide(),
            is_watched: regulators.is_watched(),
            excess: usual.excess().to_vec(),
        }
    }
}

/// Returns the counts for a regular report, and nothing for an urgent one.
pub(crate) fn take_report(cx: &Context, is_full: bool) -> PressureReport {
    if is_full && cx.pressure.is_on() {
        cx.pressure.take_report()
    } else {
        PressureReport::default()
    }
}

/// Applies a reply of the coordinator to a regular report.
pub(crate) fn apply(cx: &Context, reply: Option<PressureReply>) {
    if let Some(reply) = reply
        && cx.pressure.is_on()
    {
        cx.pressure.apply(reply);
    }
}

/// Measures the delay of timers, and logs where pressure begins and ends.
pub(crate) async fn run(cx: std::rc::Rc<Context>) {
    if !cx.pressure.is_on() {
        return;
    }
    let mut log = PressureLog::new();
    loop {
        let started = now();
        sleep(LAG_PERIOD).await;
        cx.pressure.record_lag(LAG_PERIOD, started.elapsed());
        log.update(&cx, &cx.pressure);
    }
}

/// What was last logged about pressure.
struct PressureLog {
    logged: Instant,
    members: BTreeMap<MemberName, Holdback>,
    host: Option<Holdback>,
}

impl PressureLog {
    const fn new() -> Self {
        Self {
            logged: Instant::START,
            members: BTreeMap::new(),
            host: None,
        }
    }

    fn update(&mut self, cx: &Context, pressure: &HostPressure) {
        if self.logged.elapsed() < LOG_PERIOD {
            return;
        }
        let members = pressure.holdbacks();
        let host = pressure.own_holdback();
        self.logged = now();
        let begun: Vec<_> = missing(&members, &self.members);
        let ended: Vec<_> = missing(&self.members, &members);
        if !begun.is_empty() || !ended.is_empty() {
            info!(
                ?begun,
                ?ended,
                under_pressure = members.len(),
                "pressure on members changed"
            );
        }
        if host.is_some() != self.host.is_some() {
            info!(
                lag_ms = pressure.lag().as_millis(),
                holdback = ?host,
                "pressure on this host changed"
            );
        }
        cx.metrics
            .set_pressure(members.len(), cx.pools.waiting(), pressure.lag());
        (self.members, self.host) = (members, host);
    }
}

/// Returns the members in `left` that are not in `right`.
fn missing<'a>(
    left: &'a BTreeMap<MemberName, Holdback>,
    right: &BTreeMap<MemberName, Holdback>,
) -> Vec<&'a str> {
    let members = left.keys().filter(|member| !right.contains_key(*member));
    members.map(MemberName::as_str).collect()
}
