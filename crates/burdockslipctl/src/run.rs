//! Runs a parsed command line: reads files, connects to the store and calls the command.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_settings::Settings;
use burdockslip_store::Store;
use burdockslip_telemetry::fetch;
use burdockslip_types::Result;
use futures::FutureExt;

use crate::args::{
    Apply, Burdockslipctl, BurdockslipctlCmd, CompletionCmd, Diff, Key, KeyCmd, Show, Status,
};
use crate::commands::apply::{Edit, Wait};
use crate::commands::{apply, check, completion, diff, key, show, status};
use crate::{DEFAULT_ADMIN_PORT, ExitStatus, Fetch, Outcome};

/// The timeout of a store call, unless the settings of a host are given.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of a status request to a host.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// How long `apply --wait` waits for hosts by default, in seconds. The target
/// for a change to be in force on all hosts is 10 s.
const DEFAULT_WAIT_SECONDS: u64 = 30;

/// Runs a command line and returns the outcome to print.
pub async fn run(args: Burdockslipctl) -> Outcome {
    let Burdockslipctl {
        store,
        settings,
        subcommand,
        ..
    } = args;
    let result = match subcommand {
        BurdockslipctlCmd::Check(args) => match read(&args.file) {
            Ok(text) => Ok(check::check(&text, &display_name(&args.file))),
            Err(outcome) => Ok(outcome),
        },
        BurdockslipctlCmd::Completion(args) => match args.subcommand {
            CompletionCmd::Bash(_) => Ok(completion::bash()),
        },
        command => match connect(&store, settings.as_deref()) {
            Ok(store) => with_store(&store, command).await,
            Err(outcome) => Ok(outcome),
        },
    };
    result.unwrap_or_else(|report| Outcome::from_error(&report))
}

/// Runs the commands that need a store.
async fn with_store(store: &Store, command: BurdockslipctlCmd) -> Result<Outcome> {
    match command {
        BurdockslipctlCmd::Show(args) => run_show(store, &args).await,
        BurdockslipctlCmd::Diff(args) => run_diff(store, &args).await,
        BurdockslipctlCmd::Apply(args) => run_apply(store, &args).await,
        BurdockslipctlCmd::Key(args) => run_key(store, &args).await,
        BurdockslipctlCmd::Status(args) => run_status(store, &args).await,
        BurdockslipctlCmd::Check(_) | BurdockslipctlCmd::Completion(_) => Ok(Outcome::message(
            ExitStatus::Failure,
            "the command needs no store",
        )),
    }
}

/// Connects to the store addresses of the command line, or else to those of the settings.
fn connect(addresses: &[SocketAddr], path: Option<&Path>) -> std::result::Result<Store, Outcome> {
    if !addresses.is_empty() {
        return Ok(Store::connect(addresses, STORE_TIMEOUT));
    }
    let Some(path) = path else {
        let text = "name the store with --store ADDRESS or --settings FILE";
        return Err(Outcome::message(ExitStatus::Usage, text));
    };
    // Skips the check of the files that the settings refer to: they are on the
    // host and not needed here.
    let settings = Settings::parse(&read(path)?).map_err(|faults| {
        Outcome::new(ExitStatus::Invalid, &faults.with_source(display_name(path)))
    })?;
    Ok(Store::connect(
        &settings.store.endpoints,
        settings.store.timeout,
    ))
}

async fn run_show(store: &Store, args: &Show) -> Result<Outcome> {
    let (mut outcome, shown) = show::show(store).await?;
    if let (Some(path), Some(text)) = (&args.output, shown) {
        let base = base_path(path);
        let written = std::fs::write(path, &text).and_then(|()| std::fs::write(&base, &text));
        if let Err(error) = written {
            return Ok(write_failure(path, &error));
        }
        outcome.text = format!("wrote {} and {}", path.display(), base.display());
    }
    Ok(outcome)
}

async fn run_diff(store: &Store, args: &Diff) -> Result<Outcome> {
    match read(&args.file) {
        Ok(text) => diff::diff(store, &text, &display_name(&args.file)).await,
        Err(outcome) => Ok(outcome),
    }
}

async fn run_apply(store: &Store, args: &Apply) -> Result<Outcome> {
    let default_base = base_path(&args.file);
    let base = match &args.base {
        Some(path) => read(path).map(Some),
        None if default_base.exists() => read(&default_base).map(Some),
        None => Ok(None),
    };
    let (text, base) = match (read(&args.file), base) {
        (Ok(text), Ok(base)) => (text, base),
        (Err(outcome), _) | (_, Err(outcome)) => return Ok(outcome),
    };
    let edit = Edit {
        text: &text,
        base: base.as_deref(),
        source: &display_name(&args.file),
    };
    let wait = args.wait.then(|| Wait {
        fetch: network_fetch(),
        admin_port: args.admin_port.unwrap_or(DEFAULT_ADMIN_PORT),
        timeout: Duration::from_secs(args.wait_seconds.unwrap_or(DEFAULT_WAIT_SECONDS)),
    });
    let outcome = apply::apply(store, edit, wait.as_ref()).await?;
    // The applied text is the base of the next edit of the same file.
    if matches!(outcome.status, ExitStatus::Success | ExitStatus::Incomplete)
        && let Err(error) = std::fs::write(&default_base, &text)
    {
        let mut outcome = outcome;
        let warning = write_failure(&default_base, &error).text;
        outcome.text = format!("{}\n{warning}", outcome.text);
        return Ok(outcome);
    }
    Ok(outcome)
}

async fn run_key(store: &Store, args: &Key) -> Result<Outcome> {
    match &args.subcommand {
        KeyCmd::Issue(args) => key::issue(store, &args.organisation).await,
        KeyCmd::List(args) => key::list(store, &args.organisation).await,
        KeyCmd::Withdraw(args) => key::withdraw(store, &args.organisation, &args.id).await,
    }
}

async fn run_status(store: &Store, args: &Status) -> Result<Outcome> {
    let admin_port = args.admin_port.unwrap_or(DEFAULT_ADMIN_PORT);
    status::status(store, &network_fetch(), admin_port).await
}

/// Returns a function that requests `/status` over the network.
fn network_fetch() -> Fetch {
    Rc::new(|address| async move { fetch(address, "/status", HOST_TIMEOUT).await }.boxed_local())
}

fn base_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".base");
    PathBuf::from(name)
}

fn display_name(path: &Path) -> String {
    path.display().to_string()
}

fn read(path: &Path) -> std::result::Result<String, Outcome> {
    std::fs::read_to_string(path).map_err(|error| {
        let text = format!("cannot read {}: {error}", path.display());
        Outcome::message(ExitStatus::Failure, text)
    })
}

fn write_failure(path: &Path, error: &io::Error) -> Outcome {
    let text = format!("cannot write {}: {error}", path.display());
    Outcome::message(ExitStatus::Failure, text)
}
