//! Measures the number of statements that a host serves per second of processor time.

use std::time::Duration;

use burdockslip_measure::{
    Curve, Figure, IdleClients, Limit, Load, LoadReport, Outcome, Pace, Site, SiteOptions,
    fit_line, in_thread, open_descriptors, run_load,
};
use burdockslip_types::Result;

/// How long each load runs.
const SPAN: Duration = Duration::from_secs(3);
/// The maximum number of statements per client.
const COUNT: usize = 200_000;
/// Numbers of clients of the closed loads.
const CLIENTS: [usize; 5] = [1, 4, 16, 64, 128];
/// The number of clients at which throughput is compared with the target.
const TARGET_CLIENTS: usize = 64;
/// Rates of the paced loads, in statements per second.
const RATES: [u32; 4] = [1_000, 2_000, 4_000, 8_000];
/// The minimum throughput, in statements per second and core.
const TARGET: f64 = 40_000.0;
/// The measured statement, which reads one record.
const READ: &str = "SELECT value FROM records WHERE key = 'k1'";

/// Numbers of clients when endpoint and holder are measured separately.
const ROLE_CLIENTS: [usize; 4] = [4, 16, 64, 128];

/// Numbers of idle clients. Both ends of their connections are in this process.
const IDLE: [usize; 4] = [0, 500, 1_000, 2_000];
/// Number of active clients while others are idle.
const BESIDE_IDLE: usize = 16;

/// The report of a load and the processor time that the host used for it.
struct Run {
    report: LoadReport,
    busy: Duration,
}

/// Measures a closed loop: each client sends its next statement after the reply.
pub(crate) fn run() -> Result<Outcome> {
    let site = Site::start(&SiteOptions::default())?;
    let mut outcome = Outcome::default();
    let mut points = Vec::new();
    load(
        &site,
        TARGET_CLIENTS,
        Pace::Closed,
        Duration::from_millis(500),
    )?;
    for clients in CLIENTS {
        let run = load(&site, clients, Pace::Closed, SPAN)?;
        let per_core = count(&run) / run.busy.as_secs_f64();
        let per_second = count(&run) / run.report.elapsed.as_secs_f64();
        let limit = if clients == TARGET_CLIENTS {
            Limit::AtLeast(TARGET)
        } else {
            Limit::None
        };
        points.push((number(clients), per_core));
        outcome.figures.extend([
            Figure::new(format!("{clients}/per_core"), per_core, "statements/s").limited(limit),
            Figure::new(format!("{clients}/rate"), per_second, "statements/s"),
            Figure::new(
                format!("{clients}/busy"),
                100.0 * run.busy.as_secs_f64() / run.report.elapsed.as_secs_f64(),
                "% of a core",
            ),
            Figure::new(format!("{clients}/p50"), quantile(&run, 0.5), "us"),
            failures(format!("{clients}/failed"), &run),
        ]);
    }
    outcome.curves.push(Curve {
        name: "per-core".to_owned(),
        across: "clients",
        upward: "statements/s per core",
        points,
    });
    Ok(outcome)
}

/// Measures an open loop: statements are sent at fixed rates.
pub(crate) fn run_paced() -> Result<Outcome> {
    let site = Site::start(&SiteOptions::default())?;
    let mut outcome = Outcome::default();
    let mut points = Vec::new();
    load(
        &site,
        TARGET_CLIENTS,
        Pace::Closed,
        Duration::from_millis(500),
    )?;
    for rate in RATES {
        let run = load(&site, TARGET_CLIENTS, Pace::Open(f64::from(rate)), SPAN)?;
        points.push((f64::from(rate), quantile(&run, 0.99)));
        outcome.figures.extend([
            Figure::new(format!("{rate}/p50"), quantile(&run, 0.5), "us"),
            Figure::new(format!("{rate}/p99"), quantile(&run, 0.99), "us"),
            Figure::new(
                format!("{rate}/busy"),
                100.0 * run.busy.as_secs_f64() / run.report.elapsed.as_secs_f64(),
                "% of a core",
            ),
            failures(format!("{rate}/failed"), &run),
        ]);
    }
    outcome.curves.push(Curve {
        name: "p99".to_owned(),
        across: "statements/s",
        upward: "p99 in us",
        points,
    });
    Ok(outcome)
}

/// Measures the processor time of a host that forwards statements, and of the holder.
pub(crate) fn run_roles() -> Result<Outcome> {
    let site = Site::start(&SiteOptions::default())?;
    let mut outcome = Outcome::default();
    for clients in ROLE_CLIENTS {
        let load = Load {
            target: site.host(0),
            clients,
            pace: Pace::Closed,
            count: COUNT,
            span: SPAN,
            sql: READ.to_owned(),
        };
        let before = (site.host_time(0)?, site.host_time(1)?);
        let report = in_thread(move || run_load(load))?;
        let endpoint = site.host_time(0)?.saturating_sub(before.0);
        let holder = site.host_time(1)?.saturating_sub(before.1);
        let run = Run {
            report,
            busy: endpoint,
        };
        let each = |busy: Duration| 1e6 * busy.as_secs_f64() / count(&run);
        outcome.figures.extend([
            Figure::new(
                format!("{clients}/endpoint"),
                each(endpoint),
                "us/statement",
            ),
            Figure::new(format!("{clients}/holder"), each(holder), "us/statement"),
            Figure::new(format!("{clients}/p50"), quantile(&run, 0.5), "us"),
            failures(format!("{clients}/failed"), &run),
        ]);
    }
    Ok(outcome)
}

/// Measures the processor time of a statement while other clients are connected and idle.
pub(crate) fn run_beside_idle() -> Result<Outcome> {
    let mut outcome = Outcome::default();
    // This figure grows from run to run if hosts leave connections open.
    outcome.figures.push(Figure::new(
        "descriptors_at_start",
        number(open_descriptors()?),
        "descriptors",
    ));
    let site = Site::start(&SiteOptions::default())?;
    let mut idle = IdleClients::default();
    let mut points = Vec::new();
    load(&site, BESIDE_IDLE, Pace::Closed, Duration::from_millis(500))?;
    for size in IDLE {
        idle.grow(&site.host(1), size)?;
        let run = load(&site, BESIDE_IDLE, Pace::Closed, SPAN)?;
        let cost = 1e6 * run.busy.as_secs_f64() / count(&run);
        points.push((number(size), cost));
        outcome.figures.extend([
            Figure::new(format!("{size}/host"), cost, "us/statement"),
            failures(format!("{size}/failed"), &run),
        ]);
    }
    let (base, slope, r2) = fit_line(&points);
    outcome.figures.extend([
        Figure::new("fit/base", base, "us/statement"),
        Figure::new("fit/each_thousand", 1e3 * slope, "us/statement"),
        Figure::new("fit/r2", r2, ""),
    ]);
    outcome.curves.push(Curve {
        name: "cost".to_owned(),
        across: "idle clients",
        upward: "us of host per statement",
        points,
    });
    Ok(outcome)
}

fn load(site: &Site, clients: usize, pace: Pace, span: Duration) -> Result<Run> {
    let load = Load {
        target: site.host(1),
        clients,
        pace,
        count: COUNT,
        span,
        sql: READ.to_owned(),
    };
    let before = site.host_time(1)?;
    let report = in_thread(move || run_load(load))?;
    let busy = site.host_time(1)?.saturating_sub(before);
    Ok(Run { report, busy })
}

fn failures(name: String, run: &Run) -> Figure {
    let failed = u32::try_from(run.report.failed).unwrap_or(u32::MAX);
    Figure::new(name, f64::from(failed), "statements").limited(Limit::AtMost(0.0))
}

fn count(run: &Run) -> f64 {
    f64::from(u32::try_from(run.report.times.len()).unwrap_or(u32::MAX))
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn quantile(run: &Run, quantile: f64) -> f64 {
    let nanos = run.report.times.value_at_quantile(quantile);
    Duration::from_nanos(nanos).as_secs_f64() * 1e6
}
