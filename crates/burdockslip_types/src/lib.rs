//! The domain types and error kinds that all crates share.

mod error;
mod link;
mod macros;
mod mark;
mod names;

pub use error::{ErrorDetails, ErrorKind, Result};
pub use link::{Exchange, PeerClient};
pub use mark::{LogIndex, LogPosition, Revision, Term};
pub use names::{ClassName, GroupName, HostId, MemberName, Organisation, Region, RouteName, Zone};
