//! Counts what is under way, so that a planned stop can wait for it.

use std::cell::Cell;
use std::rc::Rc;

/// Counts what is under way on a host.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counter(Rc<Cell<usize>>);

/// Counts one until dropped.
#[derive(Debug)]
pub(crate) struct Counted(Counter);

impl Counter {
    /// Returns how many are under way.
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more.
    pub(crate) fn count(&self) -> Counted {
        self.0.set(self.0.get() + 1);
        Counted(self.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
