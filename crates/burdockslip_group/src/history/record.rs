//! Defines the records of a history.

use std::cell::RefCell;
use std::rc::Rc;

use burdockslip_types::{ErrorKind, LogPosition, domain};

use crate::fake::AppliedWrite;

domain! {
    /// States what an operation asked for.
    #[derive(Copy)]
    pub enum Access {
        /// Writes a value, which is unique in the history.
        Write {
            /// The value.
            value: u64,
            /// The request id, if the class uses one.
            request: Option<u64>,
        },
        /// Reads the value of the key.
        Read {
            /// The age in microseconds that the class allows, or none for any age.
            max_age: Option<u64>,
        },
    }

    /// States what the client was told.
    #[derive(Copy)]
    pub enum Outcome {
        /// The write was acknowledged.
        Acknowledged,
        /// The read returned this value, or none if the key had none.
        Returned(Option<u64>),
        /// The operation was rejected; the kind says whether it proves "not run".
        Failed(ErrorKind),
    }

    /// Holds one operation of a client. Times are microseconds of one clock.
    #[derive(Copy)]
    pub struct Operation {
        /// The session, which may move between hosts.
        pub session: u64,
        /// The key.
        pub key: u64,
        /// What was asked.
        pub access: Access,
        /// What the client was told.
        pub outcome: Outcome,
        /// The position of the write, or the position after the read.
        #[serde(rename = "mark")]
        pub position: Option<LogPosition>,
        /// When the client started the operation.
        pub start: u64,
        /// When the client learned the outcome.
        pub end: u64,
    }

    /// Holds the operations of all sessions and the log at the end of the run.
    #[derive(Default)]
    pub struct History {
        /// The operations in the order in which they ended.
        pub operations: Vec<Operation>,
        /// The confirmed log of the group, in order.
        pub applied: Vec<AppliedWrite>,
    }
}

/// Collects operations of several sessions.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Rc<RefCell<Vec<Operation>>>);

impl Recorder {
    /// Adds an operation that has ended.
    pub fn record(&self, operation: Operation) {
        self.0.borrow_mut().push(operation);
    }

    /// Builds the history from the operations so far and the final log.
    pub fn history(&self, applied: Vec<AppliedWrite>) -> History {
        History {
            operations: self.0.borrow().clone(),
            applied,
        }
    }
}
