//! Defines the domain types and the closed list of error kinds shared by all crates.

mod error;
mod link;
mod macros;
mod mark;
mod names;

pub use error::{Answer, ErrorKind, Result};
pub use link::{Exchange, Link};
pub use mark::{Mark, Position, Revision, Term};
pub use names::{ClassName, GroupName, HostId, MemberName, Organisation, RouteName, Zone};
