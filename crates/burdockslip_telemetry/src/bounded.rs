//! Writes log lines to standard output within a rate and without waiting.

use std::cell::RefCell;
use std::io::{self, Write};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Lines that may be written in a second on average. A busy host of today
/// writes about 100.
const LINES_A_SECOND: f64 = 400.0;

/// Lines that may be written at once.
const BURST: f64 = 1_200.0;

/// Bounds a line in bytes; a pipe that is ready takes as much without waiting.
const MAX_LINE: usize = 4_096;

/// Waits for nothing when the state of standard output is asked for.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

thread_local! {
    static BUDGET: RefCell<Budget> = RefCell::new(Budget::new());
}

/// Counts what may be written and what was left out.
#[derive(Debug)]
pub(crate) struct Budget {
    lines: f64,
    filled: Instant,
    omitted: u64,
}

impl Budget {
    pub(crate) fn new() -> Self {
        Self {
            lines: BURST,
            filled: now(),
            omitted: 0,
        }
    }

    /// Takes one line; returns how many were left out since the last one that
    /// was taken, or `None` if this one has to be left out.
    pub(crate) fn take(&mut self, is_writable: bool) -> Option<u64> {
        let span: Duration = self.filled.elapsed();
        self.filled = now();
        self.lines = (self.lines + span.as_secs_f64() * LINES_A_SECOND).min(BURST);
        if !is_writable || self.lines < 1.0 {
            self.omitted += 1;
            return None;
        }
        self.lines -= 1.0;
        Some(std::mem::take(&mut self.omitted))
    }
}

/// Writes lines to standard output, or leaves them out.
#[derive(Debug, Default)]
pub(crate) struct BoundedStdout;

impl Write for BoundedStdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let taken = BUDGET.with_borrow_mut(|budget| budget.take(is_writable()));
        let Some(omitted) = taken else {
            return Ok(bytes.len());
        };
        let mut stdout = io::stdout().lock();
        if omitted > 0 {
            writeln!(
                stdout,
                "level=warn message=\"log lines left out\" count={omitted}"
            )?;
        }
        if bytes.len() > MAX_LINE {
            stdout.write_all(&bytes[..MAX_LINE])?;
            stdout.write_all(b"\n")?;
        } else {
            stdout.write_all(bytes)?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stdout().flush()
    }
}

/// Returns whether a line can be written without waiting for a reader.
fn is_writable() -> bool {
    let stdout = rustix::stdio::stdout();
    let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
    let ready = poll(&mut fds, Some(&NO_WAIT));
    // A state that cannot be asked for is no reason to lose the log.
    ready.is_err() || fds[0].revents().contains(PollFlags::OUT)
}
