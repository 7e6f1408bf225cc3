//! Tests how fast connections to a member are opened and how long they are kept.

use std::time::Duration;

use burdockslip_runtime::{paused, sleep};
use burdockslip_upstream::ConnectPacer;

const LIMIT: Duration = Duration::from_secs(30);

/// Guards against hosts that retry every few milliseconds while a member has no
/// connection left: the attempts crowd out hosts that could be served.
#[test]
fn refusals_pause_opening_with_exponential_backoff() {
    paused::run(1, async {
        let pacer = ConnectPacer::default();
        let mut attempts = 0;
        for _ in 0..300 {
            if !pacer.is_paused() {
                attempts += 1;
                pacer.record_refusal();
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert!(attempts <= 15, "{attempts} attempts in 3 s");
        assert!(attempts >= 5, "{attempts} attempts in 3 s");
    });
}

/// Guards against long pauses after a member has connections available again.
#[test]
fn success_resets_the_pause() {
    paused::run(1, async {
        let pacer = ConnectPacer::default();
        (0..5).for_each(|_| pacer.record_refusal());
        sleep(Duration::from_secs(1)).await;
        assert!(!pacer.is_paused());
        pacer.record_success();
        pacer.record_refusal();
        assert!(pacer.is_paused());
        sleep(Duration::from_millis(80)).await;
        assert!(!pacer.is_paused());
    });
}

/// Guards against hosts that together keep more connections than a member has.
/// The host here opens one connection every 500 ms and has a share of half a
/// connection.
#[test]
fn idle_timeout_follows_the_share() {
    paused::run(1, async {
        let pacer = ConnectPacer::default();
        let first = pacer.idle_timeout(500, LIMIT);
        assert!(first < Duration::from_secs(1), "{first:?} at the start");
        for _ in 0..60 {
            pacer.record_success();
            sleep(Duration::from_millis(500)).await;
        }
        let timeout = pacer.idle_timeout(500, LIMIT);
        assert!(
            timeout > Duration::from_millis(220) && timeout < Duration::from_millis(320),
            "{timeout:?}"
        );
        assert_eq!(pacer.idle_timeout(0, LIMIT), Duration::from_millis(100));
    });
}
