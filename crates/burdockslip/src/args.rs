//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// A database proxy with session consistency.
    cmd burdockslip {
        /// Runs an entry host until SIGTERM.
        cmd run {
            /// The settings file, JSON with comments.
            required settings: PathBuf
        }
        /// Checks settings and, if one is given, a catalogue, without starting.
        cmd check {
            /// The settings file, JSON with comments.
            required settings: PathBuf
            /// The catalogue file, JSON with comments.
            optional catalogue: PathBuf
        }
        /// Prints the version.
        cmd version {}
        /// Prints a completion script for bash.
        cmd completion {}
    }
}
