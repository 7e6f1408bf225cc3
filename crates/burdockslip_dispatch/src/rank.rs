//! The order in which statements give way to others.

use burdockslip_types::domain;

domain! {
    /// The rank of a statement. Statements with a higher number give way first.
    #[derive(Copy)]
    pub struct Rank(u8);
}

impl Rank {
    /// The rank of operations beyond the usual of their organisation, whatever their
    /// priority: an organisation that sends many times its usual pays for itself.
    pub const EXCESS: Self = Self(u8::MAX);

    /// Returns the rank of a route's priority; zero is the highest.
    pub const fn of_priority(priority: u8) -> Self {
        if priority < u8::MAX {
            Self(priority)
        } else {
            Self(u8::MAX - 1)
        }
    }

    /// Returns whether statements of this rank are beyond the usual of their organisation.
    pub const fn is_excess(self) -> bool {
        self.0 == u8::MAX
    }

    /// Returns the label of the rank in metrics.
    pub fn label(self) -> String {
        if self.is_excess() {
            "excess".to_owned()
        } else {
            self.0.to_string()
        }
    }
}
