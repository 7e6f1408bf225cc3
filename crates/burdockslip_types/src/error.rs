//! The error kinds and the SQLSTATE code, message and hint that clients get for each.

use std::fmt;

use crate::domain;

/// A result whose error is an [`ErrorKind`] with the context in which it occurred.
pub type Result<T, E = error_stack::Report<ErrorKind>> = std::result::Result<T, E>;

domain! {
    /// The kind of an error. `docs/operators.md` lists what clients get for each.
    ///
    /// The variant names are used in metric labels, log fields and JSON output.
    #[derive(Copy)]
    pub enum ErrorKind {
        /// The key is unknown or belongs to another organisation.
        BadKey,
        /// The key was revoked.
        KeyRevoked,
        /// The organisation may not use the route.
        RouteDenied,
        /// The catalogue does not define the class for this route.
        UnknownClass,
        /// The organisation's rate limit provides no token within the deadline.
        RateExceeded,
        /// The queue of the database is full.
        QueueFull,
        /// The deadline expired before the request was sent to an upstream.
        DeadlineExceeded,
        /// No member has data that is recent enough for the class and the session.
        NoFreshData,
        /// The group has no confirmed primary.
        NoPrimary,
        /// The write was sent, but its outcome could not be confirmed.
        OutcomeUnknown,
        /// A request with the same request id has already run.
        AlreadyRun,
        /// The host is shutting down.
        Draining,
        /// The connection was lost before the request was sent to an upstream.
        ConnectionLost,
        /// A peer or client violated the protocol.
        Protocol,
        /// A message exceeds its size limit.
        TooLarge,
        /// The proxy does not support the statement.
        NotSupported,
        /// The client cancelled the request.
        Cancelled,
        /// The host has no configuration, or confirmed it too long ago.
        ConfigMissing,
        /// The store is unreachable or rejected the call.
        StoreUnavailable,
        /// A compare-and-swap failed because of a concurrent change.
        Conflict,
        /// A settings file or catalogue is invalid.
        InvalidInput,
        /// A bug in the program.
        Internal,
        /// The database name matches no route.
        UnknownRoute,
        /// The session has no prepared statement of that name.
        UnknownStatement,
        /// The transaction was rolled back before its commit was sent.
        TransactionAborted,
        /// The upstream ran the statement, and it failed.
        StatementFailed,
        /// The statement timed out and may have run.
        StatementTimeout,
    }
}

/// What a client gets for an [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorDetails {
    /// The SQLSTATE code.
    pub sqlstate: &'static str,
    /// The message, stable between releases.
    pub message: &'static str,
    /// What the client should do.
    pub hint: &'static str,
    /// Whether the error proves that the request did not run.
    pub did_not_run: bool,
}

const fn not_run(
    sqlstate: &'static str,
    message: &'static str,
    hint: &'static str,
) -> ErrorDetails {
    ErrorDetails {
        sqlstate,
        message,
        hint,
        did_not_run: true,
    }
}

const fn may_have_run(
    sqlstate: &'static str,
    message: &'static str,
    hint: &'static str,
) -> ErrorDetails {
    ErrorDetails {
        sqlstate,
        message,
        hint,
        did_not_run: false,
    }
}

impl ErrorKind {
    /// Returns the SQLSTATE code, message and hint of this kind.
    pub const fn details(self) -> ErrorDetails {
        match self {
            Self::BadKey => not_run(
                "28P01",
                "key refused",
                "Check the organisation and its key.",
            ),
            Self::KeyRevoked => not_run("28000", "key revoked", "Ask the operator for a new key."),
            Self::RouteDenied => not_run(
                "42501",
                "route not allowed for this organisation",
                "Check the database name of the connection.",
            ),
            Self::UnknownClass => not_run(
                "22023",
                "unknown class",
                "Use a class that the catalogue lists for this route.",
            ),
            Self::RateExceeded => not_run(
                "53400",
                "rate exceeded, not run",
                "Retry after the time given in the detail.",
            ),
            Self::QueueFull => not_run("53300", "queue full, not run", "Retry with backoff."),
            Self::DeadlineExceeded => not_run(
                "53000",
                "deadline exceeded before start, not run",
                "Retry, or use a class with a longer deadline.",
            ),
            Self::NoFreshData => not_run(
                "72000",
                "no data fresh enough for the class, not run",
                "Retry, or use a class that allows older data.",
            ),
            Self::NoPrimary => not_run(
                "57P03",
                "no confirmed primary, not run",
                "Retry with backoff.",
            ),
            Self::OutcomeUnknown => may_have_run(
                "40003",
                "outcome unknown",
                "Repeat with the same request id, or read back before repeating.",
            ),
            Self::AlreadyRun => may_have_run(
                "23505",
                "request id has run before",
                "Read the result of the first run.",
            ),
            Self::Draining => not_run("57P01", "host is shutting down, not run", "Connect again."),
            Self::ConnectionLost => {
                not_run("08006", "connection lost before start, not run", "Retry.")
            }
            Self::Protocol => not_run("08P01", "protocol violation", "Check the client library."),
            Self::TooLarge => not_run("54000", "message too large, not run", "Split the request."),
            Self::NotSupported => not_run(
                "0A000",
                "statement not supported through the proxy, not run",
                "See the list of supported statements.",
            ),
            Self::Cancelled => may_have_run(
                "57014",
                "request cancelled",
                "Read back before repeating a write.",
            ),
            Self::ConfigMissing => not_run(
                "57P03",
                "host has no current configuration, not run",
                "Connect to another host.",
            ),
            Self::StoreUnavailable => {
                may_have_run("58000", "store unavailable", "Retry with backoff.")
            }
            Self::Conflict => not_run(
                "40001",
                "changed by another operator",
                "Look at the difference and apply again.",
            ),
            Self::InvalidInput => not_run("22023", "invalid input", "Correct the reported faults."),
            Self::Internal => {
                may_have_run("XX000", "internal error", "Report it with the host's log.")
            }
            Self::UnknownRoute
            | Self::UnknownStatement
            | Self::TransactionAborted
            | Self::StatementFailed
            | Self::StatementTimeout => self.statement_details(),
        }
    }

    /// Returns the details of the kinds that occur with statements forwarded unchanged.
    const fn statement_details(self) -> ErrorDetails {
        match self {
            Self::UnknownRoute => not_run(
                "3D000",
                "unknown database",
                "Use a database name that the configuration lists.",
            ),
            Self::UnknownStatement => not_run(
                "26000",
                "unknown prepared statement, not run",
                "Prepare the statement in this session.",
            ),
            Self::TransactionAborted => not_run(
                "25P02",
                "transaction rolled back, nothing kept",
                "Run the transaction again.",
            ),
            Self::StatementFailed => may_have_run(
                "38000",
                "statement failed at the upstream",
                "Repeat reads; read back before repeating a write.",
            ),
            Self::StatementTimeout => may_have_run(
                "57015",
                "statement timed out",
                "Read back before repeating a write.",
            ),
            _ => may_have_run("XX000", "internal error", "Report it with the host's log."),
        }
    }

    /// Returns whether the error proves that the request did not run.
    pub const fn did_not_run(self) -> bool {
        self.details().did_not_run
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.details().message)
    }
}

impl std::error::Error for ErrorKind {}
