//! Counts tokens and rates in integers, so that no rounding adds tokens.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use burdockslip_types::domain;

domain! {
    /// Counts tokens in units of 10^-9; one request of normal cost takes [`Tokens::ONE`].
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct Tokens(pub u64);

    /// Counts tokens per second in units of 10^-3.
    ///
    /// A rate in these units times microseconds is a number of [`Tokens`] units.
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct Rate(pub u64);

    /// Holds the rate and burst of an organisation over all hosts.
    #[derive(Copy, Default)]
    pub struct Limit {
        /// The tokens per second.
        pub rate: Rate,
        /// The tokens that may be admitted at once.
        pub burst: Tokens,
    }
}

impl Tokens {
    /// Counts one whole token.
    pub const ONE: Self = Self(1_000_000_000);

    /// Counts `count` whole tokens.
    pub const fn whole(count: u64) -> Self {
        Self(count.saturating_mul(Self::ONE.0))
    }

    /// Returns the number of whole tokens.
    pub const fn count(self) -> u64 {
        self.0 / Self::ONE.0
    }

    /// Returns the whole tokens without the fraction.
    #[must_use]
    pub const fn floor(self) -> Self {
        Self(self.0 - self.0 % Self::ONE.0)
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Tokens {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl std::iter::Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), Add::add)
    }
}

impl Rate {
    /// Counts `count` whole tokens per second.
    pub const fn per_second(count: u64) -> Self {
        Self(count.saturating_mul(1_000))
    }

    /// Returns the tokens of `span`, rounded down to whole microseconds.
    pub fn tokens_in(self, span: Duration) -> Tokens {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Tokens(self.0.saturating_mul(micros))
    }

    /// Returns the time in which `tokens` accrue, rounded up.
    pub fn time_for(self, tokens: Tokens) -> Duration {
        Duration::from_micros(tokens.0.div_ceil(self.0.max(1)))
    }

    /// Returns this rate with a margin of a tenth on top.
    #[must_use]
    pub const fn with_margin(self) -> Self {
        Self(self.0.saturating_add(self.0 / 10))
    }
}

impl Add for Rate {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Rate {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl std::iter::Sum for Rate {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), Add::add)
    }
}

/// Tokens that rounding may take from the bucket of a part, in the unit of [`Tokens`].
const ROUNDING: u64 = 1_000;

impl Limit {
    /// Builds a limit from whole tokens.
    pub const fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate: Rate::per_second(rate),
            burst: Tokens::whole(burst),
        }
    }

    /// Returns part `index` of `count`; the parts add up to the whole.
    ///
    /// A bucket that holds less than one token never grants any. A small
    /// burst is therefore split into fewer parts, and the others are empty.
    #[must_use]
    pub fn equal_part(self, index: usize, count: usize) -> Self {
        let most = Tokens((self.burst.0 / 4 * 3).saturating_sub(ROUNDING)).count();
        let (index, count) = (to_u64(index), to_u64(count).min(most).max(1));
        if index >= count {
            return Self::default();
        }
        let share = |total: u64| total / count + u64::from(index < total % count);
        Self {
            rate: Rate(share(self.rate.0)),
            burst: Tokens(share(self.burst.0)),
        }
    }

    /// Returns what lies between two percentages; adjoining ranges from 0 to 100
    /// add up to the whole.
    #[must_use]
    pub fn percent_range(self, from: u32, to: u32) -> Self {
        let at = |total: u64, percent: u32| {
            let share = u128::from(total) * u128::from(percent.min(100)) / 100;
            u64::try_from(share).unwrap_or(total)
        };
        let share = |total: u64| at(total, to).saturating_sub(at(total, from));
        Self {
            rate: Rate(share(self.rate.0)),
            burst: Tokens(share(self.burst.0)),
        }
    }

    /// Returns how long granted tokens live, at most `longest`.
    ///
    /// The bucket is smaller than the burst by the rate over this time. Three
    /// quarters of the burst are left for the bucket: with half of it, the
    /// bucket of a zone with a small part overflowed between arrivals and
    /// 0.04% of requests at 90% of the rate were rejected.
    pub fn token_ttl(self, longest: Duration) -> Duration {
        longest.min(Duration::from_micros(self.burst.0 / 4 / self.rate.0.max(1)))
    }

    /// Returns the capacity of the bucket that grants tokens living for `life`.
    pub fn capacity(self, ttl: Duration) -> Tokens {
        self.burst - self.rate.tokens_in(ttl)
    }
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
