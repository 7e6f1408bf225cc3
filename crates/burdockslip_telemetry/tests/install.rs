//! Tests the installation of the global subscriber, which a process can do only once.

use burdockslip_telemetry::install_logs;
use burdockslip_types::ErrorKind;

/// Guards against a second installation that has no effect but reports
/// success, and against a malformed filter that prevents a later installation.
#[test]
fn logs_are_installed_once() {
    let kind = |filter| install_logs(filter).map_err(|report| *report.current_context());
    assert_eq!(kind("a=b=c"), Err(ErrorKind::InvalidInput));
    assert_eq!(kind("info"), Ok(()));
    assert_eq!(kind("info"), Err(ErrorKind::Internal));
}
