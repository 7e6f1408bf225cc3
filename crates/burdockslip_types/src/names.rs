//! Defines the names of things as shared immutable strings.

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
                /// Returns the name as text.
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
    /// Names a host, one process of the system.
    HostId;
    /// Names an availability zone.
    Zone;
    /// Names an organisation, the owner of keys, rates and requests.
    Organisation;
    /// Names a class of request in the catalogue.
    ClassName;
    /// Names a route, which callers select as the database of their connection.
    RouteName;
    /// Names a database group.
    GroupName;
    /// Names a member of a database group, unique within the fleet.
    MemberName;
}
