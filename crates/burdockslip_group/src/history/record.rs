//! The operations of a history.

use std::cell::RefCell;
use std::rc::Rc;

use burdockslip_types::{ErrorKind, LogPosition, domain};

use crate::fake::AppliedWrite;

domain! {
    /// The kind of an operation and its arguments.
    #[derive(Copy)]
    pub enum Access {
        /// A write of a value that is unique in the history.
        Write {
            /// The value.
            value: u64,
            /// The request id, or `None` if the class uses none.
            request: Option<u64>,
        },
        /// A read of the key's value.
        Read {
            /// The maximum age in microseconds that the class allows, or `None`
            /// for any age.
            max_age: Option<u64>,
        },
    }

    /// The answer that the client received.
    #[derive(Copy)]
    pub enum Outcome {
        /// The write was acknowledged.
        Acknowledged,
        /// The read returned this value, or `None` if the key had none.
        Returned(Option<u64>),
        /// The operation failed. [`ErrorKind::did_not_run`] tells whether the kind
        /// guarantees that it did not run.
        Failed(ErrorKind),
    }

    /// An operation of a client. Times are in microseconds on one shared clock.
    #[derive(Copy)]
    pub struct Operation {
        /// The session, which may move between hosts.
        pub session: u64,
        /// The key that was read or written.
        pub key: u64,
        /// The kind of the operation.
        pub access: Access,
        /// The answer that the client received.
        pub outcome: Outcome,
        /// The log position of the write or after the read, or `None` if the
        /// operation failed.
        #[serde(rename = "mark")]
        pub position: Option<LogPosition>,
        /// When the client started the operation.
        pub start: u64,
        /// When the client received the outcome.
        pub end: u64,
    }

    /// The operations of all sessions and the log at the end of a run.
    #[derive(Default)]
    pub struct History {
        /// The operations in the order in which they ended.
        pub operations: Vec<Operation>,
        /// The writes in the group's final log, in log order.
        pub applied: Vec<AppliedWrite>,
    }
}

/// Collects operations of several sessions.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Rc<RefCell<Vec<Operation>>>);

impl Recorder {
    /// Adds a completed operation.
    pub fn record(&self, operation: Operation) {
        self.0.borrow_mut().push(operation);
    }

    /// Returns the history of the operations recorded so far and the final log.
    pub fn history(&self, applied: Vec<AppliedWrite>) -> History {
        History {
            operations: self.0.borrow().clone(),
            applied,
        }
    }
}
