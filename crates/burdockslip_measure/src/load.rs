//! Sends statements and records their response times.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, sleep_until, spawn};
use burdockslip_types::{ErrorKind, Result};
use burdockslip_wire::{QueryResult, UpstreamStream};
use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;

/// The maximum length of a message that a client accepts, in bytes.
const MESSAGE_LIMIT: usize = 1 << 20;
/// The maximum time that can be recorded, in nanoseconds: one minute.
const MAX_NANOS: u64 = 60_000_000_000;
/// The number of significant digits of recorded times.
const DIGITS: u8 = 3;

/// The server that a client connects to and its credentials there.
#[derive(Debug, Clone)]
pub struct Target {
    /// The address.
    pub address: SocketAddr,
    /// The user; for a host, the organisation.
    pub user: String,
    /// The database; for a host, the route.
    pub database: String,
    /// The password; for a host, the key.
    pub password: String,
    /// The class of the statements; members ignore it.
    pub class: &'static str,
}

/// When a client sends its next statement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pace {
    /// As soon as the previous response has arrived (closed loop).
    Closed,
    /// At fixed times (open loop); the value is the rate of all clients
    /// together, in statements per second.
    ///
    /// Response times are counted from when a statement was due, so that a stall
    /// is included in the time of every statement that it delayed.
    Open(f64),
}

/// A load of limited duration.
#[derive(Debug, Clone)]
pub struct Load {
    /// The server that the clients connect to.
    pub target: Target,
    /// The number of clients.
    pub clients: usize,
    /// When statements are sent.
    pub pace: Pace,
    /// The maximum number of statements of one client.
    pub count: usize,
    /// The maximum time during which statements are sent.
    pub span: Duration,
    /// The statement.
    pub sql: String,
}

/// What the clients of a load observed.
#[derive(Debug)]
pub struct LoadReport {
    /// The times until the response was complete, in nanoseconds.
    pub times: Histogram<u64>,
    /// The number of statements that failed.
    pub failed: u64,
    /// The time from the first statement to the last response.
    pub elapsed: Duration,
}

impl Target {
    /// Connects and sets the class of the statements.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the target refuses.
    pub async fn connect(&self) -> Result<UpstreamStream> {
        let mut stream = UpstreamStream::connect(
            self.address,
            &self.user,
            &self.database,
            &self.password,
            MESSAGE_LIMIT,
        )
        .await?;
        let sql = format!("SET burdockslip.class = '{}'", self.class);
        check(stream.query(&sql).await?)?;
        Ok(stream)
    }
}

/// Runs a load until it is complete.
///
/// # Errors
///
/// Returns `ConnectionLost` if a client loses its connection.
pub async fn run_load(load: Load) -> Result<LoadReport> {
    let load = Rc::new(load);
    let mut streams = Vec::new();
    for _ in 0..load.clients {
        streams.push(load.target.connect().await?);
    }
    let start = now();
    let tasks: Vec<_> = streams
        .into_iter()
        .enumerate()
        .map(|(index, stream)| spawn(run_client(Rc::clone(&load), index, stream, start)))
        .collect();
    let mut times = histogram()?;
    let mut failed = 0;
    for task in tasks {
        let (own, errors) = task
            .await
            .ok_or_else(|| Report::new(ErrorKind::Internal))??;
        times.add(&own).change_context(ErrorKind::Internal)?;
        failed += errors;
    }
    Ok(LoadReport {
        times,
        failed,
        elapsed: start.elapsed(),
    })
}

async fn run_client(
    load: Rc<Load>,
    index: usize,
    mut stream: UpstreamStream,
    start: Instant,
) -> Result<(Histogram<u64>, u64)> {
    let mut times = histogram()?;
    let mut failed = 0;
    for number in 0..load.count {
        let due = match load.pace {
            Pace::Closed => now(),
            Pace::Open(rate) => start + offset(number * load.clients + index, rate),
        };
        if due.since(start) >= load.span {
            break;
        }
        sleep_if_early(due).await;
        if stream.query(&load.sql).await?.error.is_some() {
            failed += 1;
        }
        record(&mut times, due.elapsed())?;
    }
    stream.close().await;
    Ok((times, failed))
}

/// Returns when the statement with this number is due, relative to the start.
fn offset(number: usize, rate: f64) -> Duration {
    let number = u32::try_from(number).unwrap_or(u32::MAX);
    Duration::from_secs_f64(f64::from(number) / rate)
}

async fn sleep_if_early(due: Instant) {
    if !due.is_past() {
        sleep_until(due).await;
    }
}

/// Sends blocks of statements to each target in turn and returns the response
/// times by target.
///
/// Blocks are short, so that other work on the machine affects all targets alike.
///
/// # Errors
///
/// Returns `ConnectionLost` if a connection breaks and `Internal` if a
/// statement fails.
pub async fn compare(
    targets: &[Target],
    sql: &str,
    rounds: usize,
    block: usize,
) -> Result<Vec<Histogram<u64>>> {
    let mut streams = Vec::new();
    for target in targets {
        streams.push((target.connect().await?, histogram()?));
    }
    // The first round is not recorded, because it opens the pooled connections.
    for round in 0..=rounds {
        for (stream, times) in &mut streams {
            for _ in 0..block {
                let start = now();
                check(stream.query(sql).await?)?;
                if round > 0 {
                    record(times, start.elapsed())?;
                }
            }
        }
    }
    Ok(streams.into_iter().map(|(_, times)| times).collect())
}

/// Returns `Internal` if the statement failed.
fn check(outcome: QueryResult) -> Result<()> {
    match outcome.error {
        None => Ok(()),
        Some((code, text)) => {
            Err(Report::new(ErrorKind::Internal).attach(format!("{code} {text}")))
        }
    }
}

fn histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_max(MAX_NANOS, DIGITS).change_context(ErrorKind::Internal)
}

fn record(times: &mut Histogram<u64>, time: Duration) -> Result<()> {
    let nanos = u64::try_from(time.as_nanos()).unwrap_or(MAX_NANOS);
    times
        .record(nanos.clamp(1, MAX_NANOS))
        .change_context(ErrorKind::Internal)
}
