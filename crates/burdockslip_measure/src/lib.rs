//! Measures hosts under load on loopback.
//!
//! The database stand-ins, each host and the clients run in separate threads, so
//! that the processor time of one host can be measured. Results are kept in
//! `docs/measurements.md`.

mod experiment;
mod idle;
mod load;
mod plot;
mod process;
mod report;
mod site;

pub use experiment::{Curve, Experiment, Figure, Limit, Outcome};
pub use idle::IdleClients;
pub use load::{Load, LoadReport, Pace, Target, compare, run_load};
pub use plot::draw;
pub use process::{ThreadClock, descriptor_limit, open_descriptors, resident_bytes};
pub use report::{Summary, fit_line, median, render_table, summarise, worst};
pub use site::{Site, SiteOptions, in_thread};
