//! Runs the experiments and compares their figures with the targets.
//!
//! The targets come from `docs/design.md`, section 1.8. Recorded results are in
//! `docs/measurements.md`.

#[path = "measure/args.rs"]
mod args;
#[path = "measure/commits.rs"]
mod commits;
#[path = "measure/failover.rs"]
mod failover;
#[path = "measure/fairness.rs"]
mod fairness;
#[path = "measure/fleet.rs"]
mod fleet;
#[path = "measure/latency.rs"]
mod latency;
#[path = "measure/memory.rs"]
mod memory;
#[path = "measure/propagation.rs"]
mod propagation;
#[path = "measure/rates.rs"]
mod rates;
#[path = "measure/reads.rs"]
mod reads;
#[path = "measure/table.rs"]
mod table;
#[path = "measure/throughput.rs"]
mod throughput;

use std::path::Path;
use std::process::ExitCode;

use burdockslip_measure::{Experiment, Outcome, Summary, draw, render_table, summarise};
use burdockslip_types::{ErrorKind, Result};
use error_stack::ResultExt;

use args::Measure;

/// The exit code of the program.
enum ExitStatus {
    /// All figures are within their limits.
    Success = 0,
    /// At least one figure is outside its limit.
    Missed = 1,
    /// An experiment could not be run, or its results could not be written.
    Failed = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

fn main() -> ExitCode {
    let args = Measure::from_env_or_exit();
    match run(&args) {
        Ok(status) => status.into(),
        Err(report) => {
            eprintln!("error: {report:?}");
            ExitStatus::Failed.into()
        }
    }
}

fn run(args: &Measure) -> Result<ExitStatus> {
    let experiments = table::experiments();
    if args.list {
        for experiment in &experiments {
            println!("{:16} {}", experiment.name, experiment.about);
        }
        return Ok(ExitStatus::Success);
    }
    let is_selected = |experiment: &&Experiment| {
        args.only
            .as_ref()
            .is_none_or(|only| only == experiment.name)
    };
    let mut summaries = Vec::new();
    for experiment in experiments.iter().filter(is_selected) {
        let outcomes = repeat(experiment, args)?;
        if let (Some(directory), Some(outcome)) = (&args.plots, outcomes.last()) {
            plot(experiment.name, outcome, directory)?;
        }
        summaries.extend(summarise(experiment.name, &outcomes));
    }
    print(&summaries, args.json)?;
    let is_met = summaries.iter().all(|summary| summary.is_met);
    Ok(if is_met {
        ExitStatus::Success
    } else {
        ExitStatus::Missed
    })
}

fn repeat(experiment: &Experiment, args: &Measure) -> Result<Vec<Outcome>> {
    let first = args.seed.unwrap_or(1);
    let count = args.seeds.unwrap_or(3);
    (first..first + count)
        .map(|seed| {
            eprintln!("running {} seed={seed}", experiment.name);
            (experiment.run)(seed)
        })
        .collect()
}

fn plot(name: &str, outcome: &Outcome, directory: &Path) -> Result<()> {
    std::fs::create_dir_all(directory).change_context(ErrorKind::Internal)?;
    for curve in &outcome.curves {
        let file = format!("{name}-{}.svg", curve.name);
        draw(curve, &directory.join(file))?;
    }
    Ok(())
}

fn print(summaries: &[Summary], is_json: bool) -> Result<()> {
    if is_json {
        let text = serde_json::to_string_pretty(summaries).change_context(ErrorKind::Internal)?;
        println!("{text}");
    } else {
        print!("{}", render_table(summaries));
    }
    Ok(())
}
