//! Watches the members of a database group: freshness, confirmation of
//! writes, routing of reads, and promotion (`docs/design.md`, sections 4.2 to 4.4).

mod confirm;
mod confirmed;
mod counts;
mod exchange;
pub mod fake;
mod group;
pub mod history;
pub mod measure;
mod member;
mod messages;
mod poll;
mod promotion;
mod read;
mod samples;
mod settings;
mod shared;
mod signal;
mod suspicion;
mod switchover;
mod view;

pub use counts::WatcherCounts;
pub use group::{Group, Primary};
pub use member::{MemberClient, MemberStatus, StatusFn, TermFn};
pub use messages::{Observation, Watch, WatchReply, WatchRequest};
pub use promotion::PromotionTimes;
pub use read::{ReadChoice, ReadRequirements};
pub use settings::{ReadPolicy, Settings, Timing, Watcher};
