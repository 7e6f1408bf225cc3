//! The fractions of statements that are refused so that the others are served in time.

use burdockslip_types::domain;

use crate::Rank;

/// All statements, in thousandths.
pub(crate) const ALL: u32 = 1_000;

/// The part of the room that lower priorities keep together, in thousandths, so that no
/// kind of request stops and the room that is left becomes visible.
const KEPT: f64 = 50.0;

domain! {
    /// The fractions of statements to be held back, lowest rank first.
    #[derive(Copy)]
    pub struct Holdback {
        /// The rank that is held back in part. Lower ranks are held back whole.
        pub rank: Rank,
        /// The fraction of it, in thousandths.
        pub thousandths: u32,
        /// The fraction of each priority that passes in any case, in thousandths.
        pub passing: u32,
    }
}

impl Holdback {
    /// Returns the fraction of the statements of `rank` that are refused, in thousandths.
    pub fn held(self, rank: Rank) -> u32 {
        let held = match rank.cmp(&self.rank) {
            std::cmp::Ordering::Less => 0,
            std::cmp::Ordering::Equal => self.thousandths,
            std::cmp::Ordering::Greater => ALL,
        };
        if rank.is_excess() {
            held.min(ALL)
        } else {
            held.min(ALL.saturating_sub(self.passing))
        }
    }

    /// Divides `room` statements among ranks that offer more, the highest rank first.
    ///
    /// `offered` is sorted by rank. Returns `None` if there is room for all.
    pub(crate) fn divide(room: f64, offered: &[(Rank, f64)]) -> Option<Self> {
        let total: f64 = offered.iter().map(|(_, count)| count).sum();
        let passing = thousandths(KEPT * (room / total).min(1.0)).max(1);
        let mut room = room;
        for &(rank, count) in offered {
            if count > room {
                let held = (1.0 - room.max(0.0) / count) * f64::from(ALL);
                return Some(Self {
                    rank,
                    thousandths: thousandths(held),
                    passing,
                });
            }
            room -= count;
        }
        None
    }
}

/// Converts a fraction in thousandths from a calculation, with rounding.
pub(crate) fn thousandths(value: f64) -> u32 {
    let bounded = value.round().clamp(0.0, f64::from(ALL));
    // The value is a whole number between 0 and 1,000.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = bounded as u32;
    whole
}
