//! Tests which registrations the coordinator removes.

use std::time::Duration;

use burdockslip_entry::{LastReports, SILENCE_LIMIT};
use burdockslip_runtime::{paused, sleep};
use burdockslip_types::{HostId, Revision};

fn fleet(count: u64) -> Vec<(HostId, Revision)> {
    (0..count)
        .map(|number| (HostId::from(format!("host-{number}")), Revision(number + 1)))
        .collect()
}

/// Guards against hosts that have ended but stay registered, and against removing those
/// that report or have only just registered.
#[test]
fn silent_hosts_are_removed() {
    paused::run(1, async {
        let reports = LastReports::default();
        let mut hosts = fleet(10);
        assert!(reports.silent(&hosts).is_empty());
        for _ in 0..7 {
            sleep(Duration::from_secs(1)).await;
            for (host, _) in &hosts[3..] {
                reports.record(host);
            }
        }
        // The first one has registered again.
        hosts[0].1 = Revision(99);
        let mut silent = reports.silent(&hosts);
        silent.sort();
        assert_eq!(silent, hosts[1..3].to_vec());
    });
}

/// Guards against a coordinator that is cut off and removes all others.
#[test]
fn majority_is_not_removed() {
    paused::run(2, async {
        let reports = LastReports::default();
        let hosts = fleet(10);
        assert!(reports.silent(&hosts).is_empty());
        sleep(SILENCE_LIMIT).await;
        for (host, _) in &hosts[..4] {
            reports.record(host);
        }
        assert!(reports.silent(&hosts).is_empty());
    });
}

/// Guards against a new coordinator that counts the time before its tenure as silence.
#[test]
fn tenure_starts_with_no_silence() {
    paused::run(3, async {
        let reports = LastReports::default();
        let hosts = fleet(10);
        assert!(reports.silent(&hosts).is_empty());
        sleep(SILENCE_LIMIT).await;
        reports.clear();
        assert!(reports.silent(&hosts).is_empty());
        for (host, _) in &hosts[1..] {
            reports.record(host);
        }
        assert!(reports.silent(&hosts).is_empty());
    });
}
