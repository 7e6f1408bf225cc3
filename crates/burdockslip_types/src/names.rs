//! Typed names and ids, stored as shared immutable strings that are cheap to clone.

use std::fmt;
use std::sync::Arc;

use crate::domain;

macro_rules! name {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $(
            domain! {
                $(#[$doc])*
                #[serde(transparent)]
                pub struct $name(Arc<str>);
            }

            impl $name {
                /// Returns the name as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self(Arc::from(text))
                }
            }

            impl From<String> for $name {
                fn from(text: String) -> Self {
                    Self(Arc::from(text))
                }
            }

            impl std::borrow::Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}

name! {
    /// The id of a host: one running process of the proxy.
    HostId;
    /// The name of an availability zone.
    Zone;
    /// The name of a region, which contains availability zones.
    Region;
    /// The name of an organisation, to which keys, rate limits and requests belong.
    Organisation;
    /// The name of a request class in the catalogue, which sets limits such as age and deadline.
    ClassName;
    /// The name of a route, which clients select as the database of their connection.
    RouteName;
    /// The name of a database group: one primary and its replicas.
    GroupName;
    /// The name of a member of a database group, unique across all groups.
    MemberName;
}
