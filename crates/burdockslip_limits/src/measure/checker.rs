//! Checks the bound over every window of a run.

use burdockslip_runtime::Instant;
use burdockslip_types::Organisation;

use crate::{Limit, Tokens};

/// Records one admitted request at the moment when the database's holder accepted it.
#[derive(Debug, Clone)]
pub struct Admission {
    /// The organisation.
    pub organisation: Organisation,
    /// The time of acceptance.
    pub time: Instant,
    /// The tokens.
    pub cost: Tokens,
}

/// Returns by how much the worst window exceeds burst plus rate times its length.
///
/// A bucket that starts full is overdrawn exactly when some window that ends
/// with the current admission is over the bound, so one pass checks all windows.
pub fn over_admission<'a>(
    limit: Limit,
    admissions: impl IntoIterator<Item = &'a Admission>,
) -> Tokens {
    let mut admissions: Vec<_> = admissions.into_iter().collect();
    admissions.sort_by_key(|admission| admission.time);
    let mut used = Tokens::default();
    let mut last = Instant::START;
    let mut worst = Tokens::default();
    for admission in admissions {
        used = used - limit.rate.tokens_in(admission.time.since(last)) + admission.cost;
        last = admission.time;
        worst = worst.max(used - limit.burst);
    }
    worst
}
