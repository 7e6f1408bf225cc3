//! The command line of the measurement program.

#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Runs the experiments and compares their figures with the targets.
    cmd measure {
        /// Lists the experiments and exits.
        optional --list
        /// Runs only the experiment with this name.
        optional --only name: String
        /// Sets the first seed (default: 1).
        optional --seed seed: u64
        /// Sets the number of runs, each with the next seed (default: 3).
        optional --seeds count: u64
        /// Prints the summary as JSON.
        optional --json
        /// Writes SVG plots of the last run to a directory.
        optional --plots directory: PathBuf
    }
}
