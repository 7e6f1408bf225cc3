//! Tests which file descriptors a running host opens.

use std::fs;
use std::time::Duration;

use burdockslip_measure::{Load, Pace, Site, SiteOptions, in_thread, run_load};

/// Returns the link target of each open file descriptor of this process.
fn descriptors() -> Vec<String> {
    fs::read_dir("/proc/self/fd")
        .expect("/proc/self/fd is readable")
        .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
        .map(|link| link.to_string_lossy().into_owned())
        .collect()
}

/// Guards against a runtime that uses `io_uring` where the kernel supports it. Hosts forbid it
/// (`docs/design.md`, section 1.6).
#[test]
fn a_site_under_load_opens_no_io_uring() {
    let site = Site::start(&SiteOptions::default()).expect("the site starts");
    let load = Load {
        target: site.host(1),
        clients: 2,
        pace: Pace::Closed,
        count: 20,
        span: Duration::from_mins(1),
        sql: "SELECT 1".to_owned(),
    };
    let report = in_thread(move || run_load(load)).expect("the load runs");
    assert_eq!((report.times.len(), report.failed), (40, 0));
    let open = descriptors();
    assert!(open.iter().any(|link| link.contains("eventpoll")));
    assert!(
        !open.iter().any(|link| link.contains("io_uring")),
        "{open:?}"
    );
}
