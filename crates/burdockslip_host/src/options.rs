//! Translates settings into the options of the proxy.

use std::path::Path;

use burdockslip_peer::Tls;
use burdockslip_proxy::Options;
use burdockslip_settings::{Settings, UpstreamMode};
use burdockslip_types::{ErrorKind, Result};
use burdockslip_wire::ServerTls;
use error_stack::ResultExt;

/// The longest unit that fits into one message between hosts, in bytes.
const UNIT_LIMIT: usize = 900_000;

/// Translates settings into the options of the proxy.
///
/// # Errors
///
/// Returns `InvalidInput` if a certificate file cannot be used.
pub(crate) fn from_settings(settings: &Settings) -> Result<Options> {
    let defaults = Options::new(
        settings.host.as_str(),
        settings.zone.as_str(),
        settings.client_address,
        settings.peer_address,
    );
    Ok(Options {
        tls: client_tls(settings)?,
        peer_tls: peer_tls(settings)?,
        token_secret: settings.tokens.secret.expose().to_vec(),
        older_secret: settings
            .tokens
            .older
            .as_ref()
            .map(|secret| secret.expose().to_vec()),
        status_statement: settings.statements.status.clone(),
        fence_statement: settings.statements.fence.clone(),
        promote_statement: settings.statements.promote.clone(),
        marker_statement: settings.statements.marker.clone(),
        unit_limit: settings.limits.unit_bytes.min(UNIT_LIMIT),
        message_limit: settings.limits.message_bytes,
        queue_length: settings.limits.queue_length,
        organisation_queue: settings.limits.organisation_queue,
        connect_timeout: settings.timeouts.connect,
        client_limit: settings.limits.connections,
        startup_timeout: settings.timeouts.handshake,
        upstream_password: settings
            .upstreams
            .password
            .as_ref()
            .map(|secret| String::from_utf8_lossy(secret.expose()).into_owned())
            .unwrap_or_default(),
        transaction_timeout: settings.timeouts.transaction,
        idle_timeout: settings.timeouts.idle,
        drain_timeout: settings.drain_deadline,
        is_direct: settings.upstreams.mode == UpstreamMode::Direct,
        ..defaults
    })
}

/// Reads the files with which this host authenticates to clients.
fn client_tls(settings: &Settings) -> Result<Option<ServerTls>> {
    match &settings.tls {
        burdockslip_settings::Tls::Plain => Ok(None),
        burdockslip_settings::Tls::Files {
            certificate, key, ..
        } => ServerTls::open(certificate, key).map(Some),
    }
}

/// Reads the files that authenticate hosts.
fn peer_tls(settings: &Settings) -> Result<Option<Tls>> {
    let burdockslip_settings::Tls::Files {
        certificate,
        key,
        authority,
    } = &settings.tls
    else {
        return Ok(None);
    };
    let read = |path: &Path| std::fs::read(path).change_context(ErrorKind::InvalidInput);
    Tls::new(&read(certificate)?, &read(key)?, &read(authority)?).map(Some)
}
