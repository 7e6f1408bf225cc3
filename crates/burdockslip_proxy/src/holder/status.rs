//! Reads the status row that a database reports about itself.

use burdockslip_types::{ErrorKind, Mark, Result, Term};
use burdockslip_wire::Outcome;
use error_stack::{Report, bail};

/// Holds what a member reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberStatus {
    /// The highest term that the member has granted.
    pub(crate) promised: Term,
    /// The term and position of its last log entry.
    pub(crate) mark: Mark,
    /// Whether it accepts writes.
    pub(crate) is_primary: bool,
    /// Whether it is about to leave.
    pub(crate) is_leaving: bool,
}

impl MemberStatus {
    /// Reads the row (member, promised, term, position, role, state).
    ///
    /// # Errors
    ///
    /// Returns `Protocol` if the answer has another form.
    pub(crate) fn read(outcome: &Outcome) -> Result<Self> {
        if let Some((code, text)) = &outcome.error {
            return Err(Report::new(ErrorKind::Protocol)
                .attach(format!("status statement failed: {code} {text}")));
        }
        let [row] = outcome.rows.as_slice() else {
            bail!(ErrorKind::Protocol);
        };
        let [
            _,
            Some(promised),
            Some(term),
            Some(position),
            Some(role),
            Some(state),
        ] = row.as_slice()
        else {
            bail!(ErrorKind::Protocol);
        };
        Ok(Self {
            promised: Term(number(promised)?),
            mark: Mark::new(number(term)?, number(position)?),
            is_primary: role == "primary",
            is_leaving: state == "leaving",
        })
    }
}

fn number(text: &str) -> Result<u64> {
    text.parse()
        .map_err(|_| Report::new(ErrorKind::Protocol).attach(format!("not a number: {text}")))
}
