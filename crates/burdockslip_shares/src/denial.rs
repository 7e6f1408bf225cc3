//! Refuses operations of organisations that are out of tokens at another host.
//!
//! An organisation that sends many times its rate would otherwise cost an exchange with
//! the holder of the tokens for each operation, and crowd out those of others.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::Organisation;

use crate::local::DENIAL_PERIOD;

/// How long after its last refusal an organisation is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The number of organisations from which those without recent refusals are removed.
const PRUNE_SIZE: usize = 64;

#[derive(Debug)]
struct Denial {
    until: Instant,
    /// The operations refused since the holder of the tokens was asked.
    refused: u32,
}

/// For how long organisations are out of tokens at the host that holds them.
#[derive(Debug, Default)]
pub struct Denials {
    organisations: HashMap<Organisation, Denial>,
}

impl Denials {
    /// Returns whether an operation is refused without asking, and counts it if so.
    pub fn refuse(&mut self, organisation: &Organisation) -> bool {
        let denial = self.organisations.get_mut(organisation);
        let Some(denial) = denial.filter(|denial| !denial.until.is_past()) else {
            return false;
        };
        denial.refused = denial.refused.saturating_add(1);
        true
    }

    /// Returns the number of operations refused since the last question, for the next one.
    pub fn take_refused(&mut self, organisation: &Organisation) -> u32 {
        let denial = self.organisations.get_mut(organisation);
        denial.map_or(0, |denial| std::mem::take(&mut denial.refused))
    }

    /// Records that the holder of the tokens has none for `span`, which is limited because
    /// the holder learns of new tokens meanwhile.
    pub fn record(&mut self, organisation: &Organisation, span: Duration) {
        if self.organisations.len() >= PRUNE_SIZE {
            self.organisations
                .retain(|_, denial| denial.until.elapsed() < FORGET_AFTER);
        }
        let until = now() + span.min(DENIAL_PERIOD);
        let denial = Denial { until, refused: 0 };
        self.organisations.insert(organisation.clone(), denial);
    }
}
