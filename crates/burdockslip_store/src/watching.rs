//! A watch on a store in memory, which reads the store's log of changes.

use std::time::Duration;

use burdockslip_runtime::{Instant, now, sleep_until};
use burdockslip_types::{Result, Revision};
use futures::future::select;

use crate::memory::{MemoryStore, broken};
use crate::{Event, PROGRESS_PERIOD};

/// The position of a watch in the log.
pub(crate) struct Cursor {
    store: MemoryStore,
    client: String,
    prefix: String,
    after: Revision,
    index: usize,
    generation: u64,
    /// The number of watches that were opened up to this one.
    number: u64,
    progress_due: Instant,
    is_broken: bool,
}

impl Cursor {
    pub(crate) fn new(store: MemoryStore, client: &str, prefix: String, after: Revision) -> Self {
        let state = store.state().borrow();
        let (generation, number) = (state.generation, state.calls.watches);
        drop(state);
        Self {
            store,
            client: client.to_owned(),
            prefix,
            after,
            index: 0,
            generation,
            number,
            progress_due: now() + PROGRESS_PERIOD,
            is_broken: false,
        }
    }

    /// Waits for the next event; ends after the first error.
    pub(crate) async fn advance(mut self) -> Option<(Result<Event>, Self)> {
        if self.is_broken {
            return None;
        }
        loop {
            if let Some(event) = self.poll_once() {
                return Some((event, self));
            }
            let changed = self.store.changed();
            select(changed, sleep_until(self.wake_time())).await;
        }
    }

    fn poll_once(&mut self) -> Option<Result<Event>> {
        let has_expired = self.store.state().borrow_mut().expire();
        if has_expired {
            self.store.notify();
        }
        let mut state = self.store.state().borrow_mut();
        if state.faults.is_down || state.generation != self.generation {
            self.is_broken = true;
            return Some(Err(broken()));
        }
        if state.disconnected.contains(&self.client) || self.number <= state.silenced {
            self.progress_due = now() + PROGRESS_PERIOD;
            return None;
        }
        while let Some(event) = state.log.get(self.index) {
            self.index += 1;
            let (key, revision) = key_and_revision(event);
            if revision > self.after && key.starts_with(&self.prefix) {
                return Some(Ok(event.clone()));
            }
        }
        if !self.progress_due.is_past() {
            return None;
        }
        self.progress_due = now() + PROGRESS_PERIOD;
        state.calls.progress += 1;
        Some(Ok(Event::Progress(Revision(state.revision))))
    }

    fn wake_time(&self) -> Instant {
        let state = self.store.state().borrow();
        // Without this minimum, a lease that has expired but is not removed yet
        // would wake the watch in a busy loop.
        let earliest = now() + Duration::from_millis(1);
        state.next_expiry().map_or(self.progress_due, |end| {
            end.min(self.progress_due).max(earliest)
        })
    }
}

fn key_and_revision(event: &Event) -> (&str, Revision) {
    match event {
        Event::Put(entry) => (&entry.key, entry.revision),
        Event::Delete(key, revision) => (key, *revision),
        Event::Progress(revision) => ("", *revision),
    }
}
