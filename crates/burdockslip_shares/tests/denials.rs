//! Tests the refusals of a host that asks another one for tokens.

use std::time::Duration;

use burdockslip_runtime::{paused, sleep};
use burdockslip_shares::Denials;
use burdockslip_types::Organisation;

/// Guards against an organisation that sends many times its rate and occupies the holder of
/// the tokens with a question for each operation. 48 hosts send 20 operations a second each,
/// of which the holder admits none, beside an organisation within its rate.
#[test]
fn organisation_beyond_its_rate_asks_seldom() {
    paused::run(1, async {
        let (heavy, other) = (Organisation::from("heavy"), Organisation::from("other"));
        let mut hosts: Vec<_> = (0..48).map(|_| Denials::default()).collect();
        let (mut questions, mut counted, mut others) = (0, 0, 0);
        for _ in 0..100 {
            for host in &mut hosts {
                if !host.refuse(&heavy) {
                    questions += 1;
                    counted += 1 + host.take_refused(&heavy);
                    host.record(&heavy, Duration::from_secs(5));
                }
                others += u32::from(host.refuse(&other));
            }
            sleep(Duration::from_millis(50)).await;
        }
        // One of two operations: each refusal holds for 100 ms at most.
        assert!(questions <= 48 * 51, "{questions}");
        // All operations but those after the last question are known to the holder.
        assert!(counted >= 48 * 98, "{counted}");
        assert_eq!(others, 0);
    });
}
