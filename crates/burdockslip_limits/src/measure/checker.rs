//! Checks the bound on admitted work over every time window of a run.

use burdockslip_runtime::Instant;
use burdockslip_types::Organisation;

use crate::{Limit, Tokens};

/// A request that the holder of the database accepted.
#[derive(Debug, Clone)]
pub struct Admission {
    /// The organisation that sent the request.
    pub organisation: Organisation,
    /// When the holder accepted the request.
    pub time: Instant,
    /// The tokens that the request used.
    pub cost: Tokens,
}

/// Returns by how many tokens the worst window exceeds the burst plus the rate times its length.
///
/// A bucket that starts full is overdrawn at an admission exactly if a window
/// that ends with this admission exceeds the bound, so one pass over the
/// admissions checks all windows.
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
