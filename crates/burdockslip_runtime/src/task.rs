//! Tasks on the runtime of this thread.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::{AbortHandle, abortable};
use futures::task::LocalSpawnExt;

use crate::paused;

/// A handle to a task, which is stopped when the handle is dropped.
///
/// Awaiting it yields the output, or `None` if the task was stopped.
#[derive(Debug)]
#[must_use = "a task stops when its handle is dropped; call detach to let it run"]
pub struct Task<T> {
    abort: Option<AbortHandle>,
    output: oneshot::Receiver<T>,
}

impl<T> Task<T> {
    /// Drops the handle without stopping the task.
    pub fn detach(mut self) {
        self.abort = None;
    }

    /// Stops the task at its next suspension point.
    pub fn abort(&self) {
        if let Some(abort) = &self.abort {
            abort.abort();
        }
    }
}

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.abort();
    }
}

impl<T> Future for Task<T> {
    type Output = Option<T>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T>> {
        self.output.poll_unpin(cx).map(Result::ok)
    }
}

/// Starts `future` as a task on this thread.
pub fn spawn<F>(future: F) -> Task<F::Output>
where
    F: Future + 'static,
    F::Output: 'static,
{
    let (sender, output) = oneshot::channel();
    let (future, abort) = abortable(future);
    // An async block around the future would store it twice, once as a captured
    // variable and once as the awaited future, which costs kilobytes for each
    // client connection.
    let run = future.map(|output| {
        if let Ok(value) = output {
            // The receiver is gone when the task was detached.
            let _ = sender.send(value);
        }
    });
    if let Some(spawner) = paused::spawner() {
        // Spawning fails only while the pool is being dropped, when the task
        // would be dropped as well.
        let _ = spawner.spawn_local(run);
    } else {
        drop(monoio::spawn(run));
    }
    Task {
        abort: Some(abort),
        output,
    }
}

/// Yields to other tasks that are ready to run.
pub async fn yield_now() {
    let mut has_yielded = false;
    std::future::poll_fn(|cx| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
