//! Tests when writes are refused because commits get no receipts.

use std::time::Duration;

use burdockslip_runtime::{paused, sleep};
use burdockslip_session::ReceiptProgress;
use burdockslip_types::LogPosition;

const PAUSE: Duration = Duration::from_millis(20);

fn position(number: u64) -> LogPosition {
    LogPosition::new(2, number)
}

/// Guards against writes that are refused although their receipts arrive, because there is
/// always another commit that waits for its own.
#[test]
fn receipts_that_arrive_are_progress() {
    paused::run(1, async {
        let mut progress = ReceiptProgress::new(position(1));
        for number in 1..100 {
            progress.want(position(number + 1));
            sleep(PAUSE).await;
            progress.record(position(number));
            assert!(progress.covers(position(number)));
            assert!(!progress.is_complete());
            assert!(!progress.is_stalled(), "{number}");
        }
        for _ in 0..20 {
            sleep(PAUSE).await;
        }
        assert!(progress.is_stalled());
        progress.record(position(100));
        assert!(progress.is_complete() && !progress.is_stalled());
        sleep(Duration::from_secs(1)).await;
        progress.want(position(101));
        assert!(!progress.is_stalled(), "the commit has just begun to wait");
    });
}

/// Guards against a commit that counts as received because the log of a later term is at a
/// higher position.
#[test]
fn position_of_another_term_is_no_receipt() {
    paused::run(2, async {
        let mut progress = ReceiptProgress::new(position(7));
        progress.record(LogPosition::new(3, 1));
        assert!(!progress.covers(position(7)));
        assert!(progress.covers(LogPosition::new(3, 1)));
        assert_eq!(progress.wanted(), Some(position(7)));
    });
}
