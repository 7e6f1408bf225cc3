//! Startup of a connection: parameters, authentication and greeting.

use std::collections::BTreeMap;
use std::rc::Rc;

use burdockslip_keys::{Key, KeyId, Token};
use burdockslip_types::{ErrorKind, GroupName, LogPosition, Organisation, Result, RouteName};
use burdockslip_wire::{
    ClientStream, StartupRequest, TransactionState, auth_cleartext, auth_ok, backend_key,
    parameter_status, ready,
};
use bytes::BytesMut;
use error_stack::{Report, bail};

use super::registry::SessionEntry;
use crate::host::Host;

/// The organisation that clients without a key on open routes are charged to.
const PUBLIC: &str = "public";

/// The error detail for a client that does not use TLS where it is required.
const NOT_ENCRYPTED: &str = "this host accepts keys over TLS only";

/// The parameters reported to every client. Some drivers require them.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// What a connection turned out to be.
pub(super) enum StartupOutcome {
    /// A client's session.
    Session(Box<SessionState>),
    /// A cancel request, with process number and secret.
    Cancel(i32, i32),
}

/// The identity and the parameters of a session.
pub(super) struct SessionState {
    pub(super) entry: Rc<SessionEntry>,
    pub(super) organisation: Organisation,
    pub(super) key: Option<KeyId>,
    pub(super) route: RouteName,
    pub(super) class: Option<String>,
    /// The log position per group that reads of the session must include.
    pub(super) floors: BTreeMap<GroupName, LogPosition>,
}

/// Reads the startup message, authenticates the client and sends the greeting.
pub(super) async fn start(host: &Rc<Host>, client: &mut ClientStream) -> Result<StartupOutcome> {
    let parameters = match client.open(host.options.tls.as_ref()).await? {
        StartupRequest::Unencrypted => bail!(Report::new(ErrorKind::BadKey).attach(NOT_ENCRYPTED)),
        StartupRequest::Start(parameters) => parameters,
        StartupRequest::Cancel { process, secret } => {
            return Ok(StartupOutcome::Cancel(process, secret));
        }
    };
    if host.is_draining.get() {
        bail!(ErrorKind::Draining);
    }
    if !(host.hooks.is_ready)() {
        bail!(ErrorKind::ConfigMissing);
    }
    let user = parameters.get("user").map_or("", String::as_str);
    let route = parameters.get("database").map_or(user, String::as_str);
    client.write(auth_cleartext()).await?;
    let password = client.read_password().await?;
    let (organisation, key) = authenticate(host, user, route, &password)?;
    let options = custom_options(&parameters);
    let floors = match options.get("burdockslip.token") {
        Some(text) => verify_token(host, &organisation, text)?,
        None => BTreeMap::new(),
    };
    let entry = host.sessions.add(&host.options.host);
    let state = SessionState {
        entry: Rc::clone(&entry),
        organisation,
        key,
        route: route.into(),
        class: options.get("burdockslip.class").cloned(),
        floors,
    };
    if let Err(report) = greet(client, &entry).await {
        host.sessions.remove(entry.process);
        return Err(report);
    }
    Ok(StartupOutcome::Session(Box::new(state)))
}

/// Returns the organisation that a session runs for, and the key that it has used.
///
/// Open routes also accept clients without a key, as the organisation `public`.
fn authenticate(
    host: &Host,
    user: &str,
    route: &str,
    password: &str,
) -> Result<(Organisation, Option<KeyId>)> {
    let config = host.active_config();
    let is_open = config
        .catalogue
        .route(route)
        .is_some_and(|entry| entry.is_open);
    if is_open && password.is_empty() {
        config.catalogue.route_for(PUBLIC, route)?;
        return Ok((PUBLIC.into(), None));
    }
    let key = Key::parse(password.as_bytes())?;
    let id = config.keys.authenticate(user, &key)?;
    config.catalogue.route_for(user, route)?;
    Ok((user.into(), Some(id)))
}

/// Verifies a session token of the organisation and returns its floors: the log
/// position per group that reads must include.
pub(super) fn verify_token(
    host: &Host,
    organisation: &Organisation,
    text: &str,
) -> Result<BTreeMap<GroupName, LogPosition>> {
    let token = Token::verify(text, organisation.as_str(), &host.secrets)
        .map_err(|report| report.change_context(ErrorKind::InvalidInput))?;
    Ok(token.floors)
}

/// Collects parameters that are given directly as `burdockslip.*`, or in the
/// `options` parameter as `-c name=value`.
fn custom_options(parameters: &BTreeMap<String, String>) -> BTreeMap<String, String> {
    let mut found: BTreeMap<String, String> = parameters
        .iter()
        .filter(|(name, _)| name.starts_with("burdockslip."))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    let text = parameters.get("options").map_or("", String::as_str);
    for word in text.split_whitespace() {
        let word = word.strip_prefix("-c").unwrap_or(word);
        if let Some((name, value)) = word.trim_start_matches("--").split_once('=') {
            found.insert(name.to_owned(), value.to_owned());
        }
    }
    found
}

async fn greet(client: &mut ClientStream, entry: &SessionEntry) -> Result<()> {
    let mut buf = BytesMut::new();
    buf.extend_from_slice(&auth_ok());
    for (name, value) in PARAMETERS {
        buf.extend_from_slice(&parameter_status(name, value));
    }
    buf.extend_from_slice(&backend_key(entry.process, entry.secret));
    buf.extend_from_slice(&ready(TransactionState::Idle));
    client.write(buf.freeze()).await
}
