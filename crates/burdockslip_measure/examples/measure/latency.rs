//! Measures the latency that a host adds to a statement.

use burdockslip_measure::{Figure, Limit, Outcome, Site, SiteOptions, compare, in_thread};
use burdockslip_types::Result;

/// Statements sent to one target before switching to the next.
const BLOCK: usize = 200;
/// Number of blocks sent to each target.
const ROUNDS: usize = 25;
/// The measured statement, which reads one record.
const READ: &str = "SELECT value FROM records WHERE key = 'k1'";
/// The maximum added median latency, in microseconds.
const ADDED_LIMIT: f64 = 100.0;

/// Median and 99th percentile of one path, in microseconds.
struct Times {
    p50: f64,
    p99: f64,
}

/// Compares a direct connection to the database, the holder's host and a host that needs an
/// extra hop, first pooled and then with `is_direct`.
pub(crate) fn run() -> Result<Outcome> {
    // Zone `b` has a replica, held by that zone's host. The primary's zone has
    // no replica, so its host forwards reads to the holder in `b`.
    let site = Site::start(&SiteOptions::default())?;
    let pooled = measure(&site, "pooled")?;
    drop(site);
    let site = Site::start(&SiteOptions {
        is_direct: true,
        ..SiteOptions::default()
    })?;
    let direct = measure(&site, "direct_mode")?;
    Ok(Outcome {
        figures: [pooled, direct].concat(),
        curves: Vec::new(),
    })
}

fn measure(site: &Site, mode: &str) -> Result<Vec<Figure>> {
    let targets = [site.member(1), site.host(1), site.host(0)];
    let histograms =
        in_thread(move || async move { compare(&targets, READ, ROUNDS, BLOCK).await })?;
    let times: Vec<Times> = histograms
        .iter()
        .map(|times| Times {
            p50: micros(times.value_at_quantile(0.5)),
            p99: micros(times.value_at_quantile(0.99)),
        })
        .collect();
    let [base, near, far] = times.as_slice() else {
        return Ok(Vec::new());
    };
    let limit = match mode {
        "pooled" => Limit::AtMost(ADDED_LIMIT),
        _ => Limit::None,
    };
    Ok(vec![
        Figure::new(format!("{mode}/connection_p50"), base.p50, "us"),
        Figure::new(format!("{mode}/connection_p99"), base.p99, "us"),
        Figure::new(format!("{mode}/added_p50"), near.p50 - base.p50, "us").limited(limit),
        Figure::new(format!("{mode}/added_p99"), near.p99 - base.p99, "us"),
        Figure::new(
            format!("{mode}/ratio_p50"),
            near.p50 / base.p50,
            "of connection",
        ),
        Figure::new(
            format!("{mode}/ratio_p99"),
            near.p99 / base.p99,
            "of connection",
        ),
        Figure::new(format!("{mode}/other_zone_p50"), far.p50 - base.p50, "us"),
        Figure::new(format!("{mode}/other_zone_p99"), far.p99 - base.p99, "us"),
        Figure::new(format!("{mode}/hop_p50"), far.p50 - near.p50, "us"),
    ])
}

fn micros(nanos: u64) -> f64 {
    std::time::Duration::from_nanos(nanos).as_secs_f64() * 1e6
}
