//! The `check` command, which checks files without starting a host.

use std::path::Path;

use burdockslip_catalogue::Catalogue;
use burdockslip_settings::Settings;

use crate::exit_status::ExitStatus;

/// Checks the settings and, if given, the catalogue, and prints all faults.
pub(crate) fn run(settings: &Path, catalogue: Option<&Path>) -> ExitStatus {
    let mut is_valid = true;
    if let Err(faults) = Settings::open(settings) {
        eprintln!("{faults}");
        is_valid = false;
    }
    if let Some(path) = catalogue {
        is_valid &= check_catalogue(path);
    }
    if is_valid {
        println!("valid");
        ExitStatus::Success
    } else {
        ExitStatus::Invalid
    }
}

fn check_catalogue(path: &Path) -> bool {
    let source = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{source}: {error}");
            return false;
        }
    };
    match Catalogue::parse(&text) {
        Ok(_) => true,
        Err(faults) => {
            eprintln!("{}", faults.with_source(&source));
            false
        }
    }
}
