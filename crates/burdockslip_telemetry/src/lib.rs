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

pub use admin::{Admin, AdminServer, MAX_CONNECTIONS, answer_connection, serve_admin};
pub use http::{EXCHANGE_DEADLINE, MAX_REQUEST, MAX_RESPONSE, Response, fetch};
pub use logs::{install_logs, subscriber};
pub use metrics::{Metrics, RequestMetrics, Source};
pub use ready::serve_ready;
pub use status::HostStatus;
