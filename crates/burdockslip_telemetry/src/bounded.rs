//! Writes log lines to standard output, rate-limited and without blocking.

use std::cell::RefCell;
use std::io::{self, Write};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// The sustained rate limit, in lines per second. A busy host writes about 100.
const LINES_PER_SECOND: f64 = 400.0;

/// The number of lines that may be written in one burst.
const BURST: f64 = 1_200.0;

/// The maximum length of a line, in bytes; longer lines are truncated. A pipe
/// that polls as writable accepts this many bytes without blocking.
const MAX_LINE_BYTES: usize = 4_096;

/// A timeout of zero, so that polling standard output does not block.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

thread_local! {
    static BUDGET: RefCell<LineBudget> = RefCell::new(LineBudget::new());
}

/// A token bucket for log lines, which also counts the dropped ones.
#[derive(Debug)]
pub(crate) struct LineBudget {
    tokens: f64,
    refilled: Instant,
    dropped: u64,
}

impl LineBudget {
    pub(crate) fn new() -> Self {
        Self {
            tokens: BURST,
            refilled: now(),
            dropped: 0,
        }
    }

    /// Takes the token for one line. Returns the number of lines dropped since
    /// the last written line, or `None` if this line must be dropped.
    pub(crate) fn take(&mut self, is_writable: bool) -> Option<u64> {
        let span: Duration = self.refilled.elapsed();
        self.refilled = now();
        self.tokens = (self.tokens + span.as_secs_f64() * LINES_PER_SECOND).min(BURST);
        if !is_writable || self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Writes lines to standard output, and drops those that exceed the rate limit
/// or that a slow reader does not take.
#[derive(Debug, Default)]
pub(crate) struct BoundedStdout;

impl Write for BoundedStdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let taken = BUDGET.with_borrow_mut(|budget| budget.take(is_writable()));
        let Some(dropped) = taken else {
            return Ok(bytes.len());
        };
        let mut stdout = io::stdout().lock();
        if dropped > 0 {
            writeln!(
                stdout,
                "level=warn message=\"log lines left out\" count={dropped}"
            )?;
        }
        if bytes.len() > MAX_LINE_BYTES {
            stdout.write_all(&bytes[..MAX_LINE_BYTES])?;
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

/// Returns whether a line can be written without blocking on the reader.
fn is_writable() -> bool {
    let stdout = rustix::stdio::stdout();
    let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
    let ready = poll(&mut fds, Some(&NO_WAIT));
    // If polling fails, writing is tried anyway, so that the log is not lost.
    ready.is_err() || fds[0].revents().contains(PollFlags::OUT)
}
