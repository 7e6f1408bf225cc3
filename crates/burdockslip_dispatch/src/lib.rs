//! Decides which statements are served where room is short: by priority, remaining time
//! and organisation.
//!
//! Nothing here uses a network; see `docs/design/order-under-pressure.md`.

mod holdback;
mod lag;
mod local;
mod message;
mod observer;
mod rank;
mod regulator;
mod regulators;
mod turns;
mod usual;
mod window;

pub use holdback::Holdback;
pub use lag::TimerLag;
pub use local::HostPressure;
pub use message::{Observation, PressureReply, PressureReport};
pub use observer::{Answer, Observer};
pub use rank::Rank;
pub use regulator::Regulator;
pub use regulators::Regulators;
pub use turns::{Claim, TurnQueue, Waiting};
pub use usual::Usual;
pub use window::Window;
