//! Reads the processor time, memory and file descriptors of this process.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use burdockslip_types::{ErrorKind, Result};
use error_stack::{Report, ResultExt};

/// The size of a memory page on the measured platforms, in bytes.
const PAGE: u64 = 4096;

/// Reads the processor time that one thread has used.
///
/// It reads `schedstat`, which counts nanoseconds; `stat` counts ticks of 10 ms,
/// which is too coarse for short runs.
#[derive(Debug, Clone)]
pub struct ThreadClock(PathBuf);

impl ThreadClock {
    /// Returns the clock of the calling thread.
    ///
    /// # Errors
    ///
    /// Returns `Internal` if the process file system is not there.
    pub fn current() -> Result<Self> {
        let link = fs::read_link("/proc/thread-self").change_context(ErrorKind::Internal)?;
        Ok(Self(PathBuf::from("/proc").join(link).join("schedstat")))
    }

    /// Returns the processor time that the thread has used so far.
    ///
    /// # Errors
    ///
    /// Returns `Internal` if the thread has ended.
    pub fn used(&self) -> Result<Duration> {
        let text = fs::read_to_string(&self.0).change_context(ErrorKind::Internal)?;
        first_number(&text).map(Duration::from_nanos)
    }
}

/// Returns the resident memory of this process in bytes.
///
/// # Errors
///
/// Returns `Internal` if the process file system is not there.
pub fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").change_context(ErrorKind::Internal)?;
    let (_, rest) = text.split_once(' ').unwrap_or_default();
    Ok(first_number(rest)? * PAGE)
}

/// Returns the number of open file descriptors of this process.
///
/// # Errors
///
/// Returns `Internal` if the process file system is not there.
pub fn open_descriptors() -> Result<usize> {
    let entries = fs::read_dir("/proc/self/fd").change_context(ErrorKind::Internal)?;
    Ok(entries.count())
}

/// Returns the limit of open file descriptors of this process.
///
/// # Errors
///
/// Returns `Internal` if the process file system is not there.
pub fn descriptor_limit() -> Result<usize> {
    let text = fs::read_to_string("/proc/self/limits").change_context(ErrorKind::Internal)?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))
        .unwrap_or_default();
    let limit = first_number(line)?;
    usize::try_from(limit).change_context(ErrorKind::Internal)
}

fn first_number(text: &str) -> Result<u64> {
    text.split_whitespace()
        .next()
        .and_then(|word| word.parse().ok())
        .ok_or_else(|| Report::new(ErrorKind::Internal))
}
