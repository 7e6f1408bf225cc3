//! Measures the memory used by idle client connections.

use std::time::Duration;

use burdockslip_measure::{
    Curve, Figure, IdleClients, Limit, Outcome, Site, SiteOptions, descriptor_limit, fit_line,
    open_descriptors, resident_bytes,
};
use burdockslip_types::Result;

/// Numbers of clients, each capped by the available file descriptors.
const SIZES: [usize; 5] = [1, 100, 1_000, 5_000, 10_000];
/// File descriptors reserved for the site itself.
const RESERVED: usize = 500;
/// How long the host may settle before the resident memory is read.
const SETTLE: Duration = Duration::from_millis(300);
/// The maximum memory of one connection, in bytes.
const TARGET: f64 = 20_000.0;

/// Connects idle clients and reads the resident memory after each step.
pub(crate) fn run() -> Result<Outcome> {
    let site = Site::start(&SiteOptions::default())?;
    let target = site.host(1);
    // Both ends of each connection are in this process and take a descriptor each.
    let max_clients = descriptor_limit()?.saturating_sub(open_descriptors()? + RESERVED) / 2;
    let mut clients = IdleClients::default();
    std::thread::sleep(SETTLE);
    let base = bytes()?;
    let mut outcome = Outcome::default();
    let mut points = Vec::new();
    for wanted in SIZES {
        let count = wanted.min(max_clients);
        clients.grow(&target, count)?;
        std::thread::sleep(SETTLE);
        let used = bytes()? - base;
        let number = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        points.push((number, used));
        outcome.figures.extend([
            Figure::new(format!("{count}/total"), used, "bytes"),
            Figure::new(format!("{count}/each"), used / number, "bytes"),
        ]);
    }
    let (base, slope, r2) = fit_line(&points);
    outcome.figures.extend([
        Figure::new("fit/base", base, "bytes"),
        Figure::new("fit/each", slope, "bytes").limited(Limit::AtMost(TARGET)),
        Figure::new("fit/r2", r2, ""),
    ]);
    outcome.curves.push(Curve {
        name: "idle".to_owned(),
        across: "idle clients",
        upward: "resident bytes",
        points,
    });
    Ok(outcome)
}

fn bytes() -> Result<f64> {
    // Page counts below 2^32 are exact, since a `u32` converts to `f64` without loss.
    let pages = u32::try_from(resident_bytes()? / 4096).unwrap_or(u32::MAX);
    Ok(f64::from(pages) * 4096.0)
}
