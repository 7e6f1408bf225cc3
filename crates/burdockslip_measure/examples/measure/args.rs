//! Defines the command line.

#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Runs the experiments and compares their figures with the targets.
    cmd measure {
        /// Lists the experiments and ends.
        optional --list
        /// Runs one experiment.
        optional --only name: String
        /// Sets the first seed, by default 1.
        optional --seed seed: u64
        /// Sets the number of runs with successive seeds, by default 3.
        optional --seeds count: u64
        /// Prints the summary as JSON.
        optional --json
        /// Writes plots as SVG into a directory.
        optional --plots directory: PathBuf
    }
}
