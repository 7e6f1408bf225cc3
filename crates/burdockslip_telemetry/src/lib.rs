//! Writes log lines, keeps metrics and serves both to operators.
//!
//! See `docs/operators.md` for the fields of log lines, the metrics and the
//! paths of the admin endpoint.

mod admin;
mod bounded;
mod http;
mod logs;
mod metrics;
mod ready;
mod redact;
mod status;

pub use admin::{Admin, AdminServer, MAX_CONNECTIONS, serve_admin, serve_connection};
pub use http::{EXCHANGE_TIMEOUT, MAX_REQUEST, MAX_RESPONSE, Response, fetch};
pub use logs::{install_logs, subscriber};
pub use metrics::{Metrics, ReadSource, RequestMetrics};
pub use ready::serve_readiness;
pub use status::HostStatus;
