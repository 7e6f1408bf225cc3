//! `SET` and `SHOW` of session parameters, answered by the proxy without a database.

use burdockslip_keys::Token;
use burdockslip_types::{ErrorKind, Result};
use burdockslip_wire::{Field, command_complete, data_row, row_description};
use bytes::{Bytes, BytesMut};
use error_stack::bail;

use super::startup::{self, SessionState};
use crate::host::Host;

/// Parameters that drivers commonly set on connect, with the accepted values,
/// which are those of pooled connections.
///
/// An empty list accepts any value, because the parameter has no effect on
/// answers.
const FIXED: [(&str, &[&str]); 6] = [
    ("application_name", &[]),
    ("client_encoding", &["utf8", "utf-8", "unicode"]),
    ("client_min_messages", &[]),
    ("datestyle", &["iso", "iso, mdy"]),
    ("standard_conforming_strings", &["on", "true"]),
    ("timezone", &["utc"]),
];

/// Sets a parameter and returns the answer.
///
/// # Errors
///
/// Returns `NotSupported` for another parameter or a value that pooled
/// connections do not have, `UnknownClass` for an unknown class, `InvalidInput`
/// for an invalid token.
pub(super) fn set(host: &Host, state: &mut SessionState, name: &str, value: &str) -> Result<Bytes> {
    match name {
        "burdockslip.class" => {
            let config = host.active_config();
            let catalogue = &config.catalogue;
            let route = catalogue.route_for(state.organisation.as_str(), state.route.as_str())?;
            catalogue.class_for(route, Some(value))?;
            state.class = Some(value.to_owned());
        }
        "burdockslip.token" => {
            for (group, position) in startup::verify_token(host, &state.organisation, value)? {
                let floor = state.floors.entry(group).or_default();
                *floor = (*floor).max(position);
            }
        }
        _ => check_fixed(name, value)?,
    }
    Ok(command_complete("SET"))
}

fn check_fixed(name: &str, value: &str) -> Result<()> {
    let value = value.to_ascii_lowercase();
    let is_fixed = FIXED.iter().any(|(fixed, values)| {
        *fixed == name && (values.is_empty() || values.contains(&value.as_str()))
    });
    if !is_fixed {
        bail!(ErrorKind::NotSupported);
    }
    Ok(())
}

/// Returns the answer to `SHOW`.
///
/// # Errors
///
/// Returns `NotSupported` for a parameter that the proxy does not answer itself.
pub(super) fn show(host: &Host, state: &SessionState, name: &str) -> Result<Bytes> {
    let value = match name.to_ascii_lowercase().as_str() {
        "burdockslip.token" => sign_token(host, state)?,
        "burdockslip.class" => state.class.clone().unwrap_or_default(),
        "burdockslip.host" => host.options.host.to_string(),
        "server_version" => "15.0".to_owned(),
        "transaction_isolation" => "read committed".to_owned(),
        "standard_conforming_strings" => "on".to_owned(),
        _ => bail!(ErrorKind::NotSupported),
    };
    let mut buf = BytesMut::new();
    let field = Field {
        name: name.to_owned(),
        format: 0,
    };
    buf.extend_from_slice(&row_description(&[field]));
    buf.extend_from_slice(&data_row(&[Some(&value)]));
    buf.extend_from_slice(&command_complete("SHOW"));
    Ok(buf.freeze())
}

/// Returns a session token with the session's floors.
///
/// # Errors
///
/// Returns `TooLarge` if the session has used too many groups to fit.
pub(super) fn sign_token(host: &Host, state: &SessionState) -> Result<String> {
    let token = Token {
        organisation: state.organisation.clone(),
        floors: state.floors.clone(),
    };
    token.sign(&host.secrets)
}
