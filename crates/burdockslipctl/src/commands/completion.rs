//! The `completion` command, which prints completion scripts.

use crate::{ExitStatus, Outcome};

/// Returns the completion script for bash.
pub fn bash() -> Outcome {
    Outcome::message(
        ExitStatus::Success,
        include_str!("completion.bash").trim_end(),
    )
}
