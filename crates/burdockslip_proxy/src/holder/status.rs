//! Reads the status row that a database reports about itself.

use burdockslip_group::MemberStatus;
use burdockslip_types::{ErrorKind, LogPosition, MemberName, Result, Term};
use burdockslip_wire::QueryResult;
use error_stack::{Report, bail};

/// Reads the row (member, promised term, log term, position, role, state).
///
/// # Errors
///
/// Returns `Protocol` if the answer has another form or comes from another
/// member, which happens when an address was given to a different database.
pub(super) fn read(member: &MemberName, outcome: &QueryResult) -> Result<MemberStatus> {
    if let Some((code, text)) = &outcome.error {
        return Err(Report::new(ErrorKind::Protocol)
            .attach(format!("status statement failed: {code} {text}")));
    }
    let [row] = outcome.rows.as_slice() else {
        bail!(ErrorKind::Protocol);
    };
    let [
        Some(name),
        Some(promised),
        Some(term),
        Some(position),
        Some(role),
        Some(state),
    ] = row.as_slice()
    else {
        bail!(ErrorKind::Protocol);
    };
    if name != member.as_str() {
        return Err(
            Report::new(ErrorKind::Protocol).attach(format!("member {member} answered as {name}"))
        );
    }
    Ok(MemberStatus {
        member: member.clone(),
        term: Term(number(promised)?),
        position: LogPosition::new(number(term)?, number(position)?),
        is_primary: role == "primary",
        is_leaving: state == "leaving",
    })
}

fn number(text: &str) -> Result<u64> {
    text.parse()
        .map_err(|_| Report::new(ErrorKind::Protocol).attach(format!("not a number: {text}")))
}
