//! A single-threaded executor whose clock advances only when all tasks wait.
//!
//! Two runs with the same seed take the same steps, because the order of tasks
//! depends on nothing outside the executor.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::future::Future;
use std::task::Waker;

use futures::executor::{LocalPool, LocalSpawner};
use futures::task::LocalSpawnExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Instant;

thread_local! {
    static STATE: RefCell<Option<State>> = const { RefCell::new(None) };
}

struct State {
    now: Instant,
    timers: BinaryHeap<Reverse<Timer>>,
    sequence: u64,
    spawner: LocalSpawner,
    rng: ChaCha8Rng,
}

struct Timer {
    deadline: Instant,
    sequence: u64,
    waker: Waker,
}

impl Timer {
    fn key(&self) -> (Instant, u64) {
        (self.deadline, self.sequence)
    }
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Timer {}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// Runs `future` to completion on a paused clock, with random numbers from `seed`.
///
/// # Panics
///
/// Panics if every task waits and no timer is set, since the run would never
/// end, and if called from inside another paused run.
pub fn run<F>(seed: u64, future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    let mut pool = LocalPool::new();
    let spawner = pool.spawner();
    STATE.with_borrow_mut(|state| {
        assert!(state.is_none(), "paused runs do not nest");
        *state = Some(State {
            now: Instant::START,
            timers: BinaryHeap::new(),
            sequence: 0,
            spawner: spawner.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        });
    });
    let guard = ClockGuard;
    let mut main = spawner
        .spawn_local_with_handle(future)
        .expect("the pool accepts tasks until it is dropped");
    let output = loop {
        pool.run_until_stalled();
        if let Some(output) = futures::FutureExt::now_or_never(&mut main) {
            break output;
        }
        assert!(advance(), "every task waits and no timer is set");
    };
    drop(pool);
    drop(guard);
    output
}

/// Restores the real clock at the end of a run, even if it panics.
struct ClockGuard;

impl Drop for ClockGuard {
    fn drop(&mut self) {
        let state = STATE.with_borrow_mut(Option::take);
        drop(state);
    }
}

/// Moves the clock to the next timer and wakes all tasks that are due then.
///
/// Returns whether there was any.
fn advance() -> bool {
    let mut due = Vec::new();
    STATE.with_borrow_mut(|state| {
        let Some(state) = state else { return };
        let Some(Reverse(first)) = state.timers.peek() else {
            return;
        };
        state.now = state.now.max(first.deadline);
        while let Some(Reverse(timer)) = state.timers.peek()
            && timer.deadline <= state.now
        {
            if let Some(Reverse(timer)) = state.timers.pop() {
                due.push(timer.waker);
            }
        }
    });
    let has_due = !due.is_empty();
    due.into_iter().for_each(Waker::wake);
    has_due
}

/// Returns whether this thread runs on the paused clock.
pub fn is_active() -> bool {
    STATE.with_borrow(Option::is_some)
}

pub(crate) fn current_time() -> Option<Instant> {
    STATE.with_borrow(|state| state.as_ref().map(|s| s.now))
}

pub(crate) fn wake_at(deadline: Instant, waker: Waker) {
    STATE.with_borrow_mut(|state| {
        if let Some(state) = state {
            state.sequence += 1;
            let sequence = state.sequence;
            state.timers.push(Reverse(Timer {
                deadline,
                sequence,
                waker,
            }));
        }
    });
}

pub(crate) fn spawner() -> Option<LocalSpawner> {
    STATE.with_borrow(|state| state.as_ref().map(|s| s.spawner.clone()))
}

pub(crate) fn with_rng<T>(f: impl FnOnce(&mut ChaCha8Rng) -> T) -> Option<T> {
    STATE.with_borrow_mut(|state| state.as_mut().map(|s| f(&mut s.rng)))
}
