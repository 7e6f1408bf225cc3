//! Keeps a client that never waits from occupying the host.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::time::Duration;

use burdockslip_runtime::sleep;

/// The number of turns in a row that a session may take without waiting for anything.
const MAX_PROMPT: u32 = 16;

/// The pause after that. Ordinary clients wait for each answer, so none of their sessions
/// pauses.
const PAUSE: Duration = Duration::from_millis(5);

/// Counts the turns of a session, each of which handles one message.
///
/// All sessions share a thread, and a task is left only when it has to wait. A client that
/// sends messages which the host answers itself, faster than they are answered, would
/// leave no time to any other task, including those that end the session.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    /// The number of turns since the session last waited.
    prompt: u32,
}

impl Pace {
    /// Runs a turn, after a pause if the session has taken too many without waiting.
    ///
    /// The turn is boxed, because it would be stored twice otherwise.
    pub(crate) async fn run<F: Future>(&mut self, mut turn: Pin<Box<F>>) -> F::Output {
        if self.prompt >= MAX_PROMPT {
            self.prompt = 0;
            sleep(PAUSE).await;
        }
        let mut has_waited = false;
        let output = poll_fn(|cx| {
            let poll = turn.as_mut().poll(cx);
            has_waited |= poll.is_pending();
            poll
        })
        .await;
        self.prompt = if has_waited { 0 } else { self.prompt + 1 };
        output
    }
}
