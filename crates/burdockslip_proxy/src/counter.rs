//! A counter of sessions or conversations in flight, which a drain waits for.

use std::cell::Cell;
use std::rc::Rc;

/// A shared counter; each [`CountGuard`] adds one to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counter(Rc<Cell<usize>>);

/// Decrements the counter on drop.
#[derive(Debug)]
pub(crate) struct CountGuard(Counter);

impl Counter {
    /// Returns the number of live guards.
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }

    /// Increments the counter until the returned guard is dropped.
    pub(crate) fn increment(&self) -> CountGuard {
        self.0.set(self.0.get() + 1);
        CountGuard(self.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
