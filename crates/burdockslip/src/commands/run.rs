//! The `run` command, which runs an entry host.

use std::path::Path;

use burdockslip_host::Host;
use burdockslip_runtime::{block_on, spawn};
use burdockslip_settings::Settings;
use burdockslip_telemetry::install_logs;
use futures::StreamExt;
use futures::channel::mpsc;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{error, info, warn};

use crate::exit_status::ExitStatus;

/// Runs a host with the settings in `path` until SIGTERM or SIGINT. The first
/// signal starts a planned stop, a second one exits at once.
pub(crate) fn run(path: &Path) -> ExitStatus {
    let settings = match Settings::open(path) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitStatus::Invalid;
        }
    };
    if let Err(report) = install_logs(&settings.log_filter) {
        eprintln!("log_filter: {report}");
        return ExitStatus::Invalid;
    }
    match signals() {
        Ok(signals) => block_on(serve(&settings, signals)),
        Err(fault) => {
            error!(error = %fault, "signal handlers not installed");
            ExitStatus::Failure
        }
    }
}

/// Starts a thread that forwards SIGTERM and SIGINT to the returned channel.
fn signals() -> std::io::Result<mpsc::UnboundedReceiver<i32>> {
    let (sender, receiver) = mpsc::unbounded();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if sender.unbounded_send(signal).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

async fn serve(settings: &Settings, mut signals: mpsc::UnboundedReceiver<i32>) -> ExitStatus {
    let host = match Host::bind(settings) {
        Ok(host) => host,
        Err(report) => {
            error!(error = ?report, "host not started");
            return ExitStatus::Failure;
        }
    };
    signals.next().await;
    info!("planned stop started");
    let draining = spawn(async move { host.drain().await });
    match futures::future::select(draining, signals.next()).await {
        futures::future::Either::Left((Some(0), _)) => ExitStatus::Success,
        futures::future::Either::Left(_) => ExitStatus::Unfinished,
        futures::future::Either::Right(_) => {
            warn!("second signal, stopped at once");
            ExitStatus::Unfinished
        }
    }
}
