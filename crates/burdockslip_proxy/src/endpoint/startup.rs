//! Authenticates a client and prepares its session.

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

use super::registry::Entry;
use crate::host::Host;

/// The organisation that is charged for clients without a key on open routes.
const PUBLIC: &str = "public";

/// Detail for a client that would send its key in clear text.
const NOT_ENCRYPTED: &str = "this host accepts keys over TLS only";

/// Parameters reported to every client; drivers refuse to work without some of them.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Says what a connection has become.
pub(super) enum Started {
    /// A session.
    Session(Box<State>),
    /// A cancel request with process number and secret.
    Cancel(i32, i32),
}

/// Holds who a session belongs to and what it has chosen.
pub(super) struct State {
    pub(super) entry: Rc<Entry>,
    pub(super) organisation: Organisation,
    pub(super) key: Option<KeyId>,
    pub(super) route: RouteName,
    pub(super) class: Option<String>,
    pub(super) floors: BTreeMap<GroupName, LogPosition>,
}

/// Reads the startup message, authenticates and greets the client.
pub(super) async fn start(host: &Rc<Host>, client: &mut ClientStream) -> Result<Started> {
    let parameters = match client.open(host.options.tls.as_ref()).await? {
        StartupRequest::Unencrypted => bail!(Report::new(ErrorKind::BadKey).attach(NOT_ENCRYPTED)),
        StartupRequest::Start(parameters) => parameters,
        StartupRequest::Cancel { process, secret } => return Ok(Started::Cancel(process, secret)),
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
        Some(text) => open_token(host, &organisation, text)?,
        None => BTreeMap::new(),
    };
    let entry = host.sessions.add(&host.options.host);
    let state = State {
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
    Ok(Started::Session(Box::new(state)))
}

/// Finds the organisation that a session runs for.
///
/// An open route also serves clients without a key; they are charged to the
/// organisation `public`.
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

/// Opens a session token of the organisation.
pub(super) fn open_token(
    host: &Host,
    organisation: &Organisation,
    text: &str,
) -> Result<BTreeMap<GroupName, LogPosition>> {
    let token = Token::verify(text, organisation.as_str(), &host.secrets)
        .map_err(|report| report.change_context(ErrorKind::InvalidInput))?;
    Ok(token.floors)
}

/// Gathers parameters given directly or in the `options` parameter as `-c name=value`.
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

async fn greet(client: &mut ClientStream, entry: &Entry) -> Result<()> {
    let mut buf = BytesMut::new();
    buf.extend_from_slice(&auth_ok());
    for (name, value) in PARAMETERS {
        buf.extend_from_slice(&parameter_status(name, value));
    }
    buf.extend_from_slice(&backend_key(entry.process, entry.secret));
    buf.extend_from_slice(&ready(TransactionState::Idle));
    client.write(buf.freeze()).await
}
