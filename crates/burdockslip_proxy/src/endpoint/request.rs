//! Checks a client's unit and turns it into a request for a holder.

use std::rc::Rc;

use burdockslip_catalogue::ClassEntry;
use burdockslip_limits::Permit;
use burdockslip_runtime::{Instant, now};
use burdockslip_types::{ErrorKind, GroupName, MemberName, Result};
use burdockslip_wire as wire;
use burdockslip_wire::{Statement, StatementKind};
use bytes::Bytes;
use error_stack::bail;

use super::session::BoundConversation;
use super::startup::SessionState;
use crate::exchange::{Access, RunUnit};
use crate::host::Host;

/// A unit whose statement names were rewritten, so that it can run on any pooled connection.
pub(super) struct PreparedUnit {
    pub(super) statement: Statement,
    pub(super) frames: Bytes,
    pub(super) injected: usize,
    pub(super) statements: Vec<String>,
}

/// A request with the state that the endpoint needs to run it.
pub(super) struct Request {
    pub(super) run: RunUnit,
    pub(super) class: Rc<ClassEntry>,
    pub(super) deadline: Instant,
    /// The permit within the organisation's rate; `None` before admission.
    pub(super) permit: Option<Permit>,
    /// Whether an expired permit was already replaced; this is done at most once.
    pub(super) is_renewed: bool,
}

/// Checks a unit against the configuration in force. A unit of an open transaction runs at
/// the member of its conversation, to which the route may no longer lead.
///
/// # Errors
///
/// Returns the error of the first check that fails; the unit has not run.
pub(super) fn authorize(
    host: &Host,
    state: &SessionState,
    prepared: PreparedUnit,
    open: Option<&BoundConversation>,
) -> Result<Request> {
    let config = host.active_config();
    check_key(&config, state)?;
    let catalogue = &config.catalogue;
    let route = catalogue.route_for(state.organisation.as_str(), state.route.as_str())?;
    let tag = prepared.statement.tags.class.as_deref();
    let (name, class) = catalogue.class_for(route, tag.or(state.class.as_deref()))?;
    let access = access(&prepared.statement, class)?;
    let (group, member) = match open {
        Some(bound) => (&bound.group, Some(bound.member.clone())),
        None => (
            &route.group,
            choose_member(host, state, &route.group, access),
        ),
    };
    let Some(member) = member else {
        bail!(ErrorKind::NoPrimary);
    };
    let may_stream = access == Access::Read && !prepared.statement.has_control;
    let request = request_id(prepared.statement, access)?;
    let run = RunUnit {
        organisation: state.organisation.clone(),
        class: name.clone(),
        group: group.clone(),
        access,
        proof: None,
        priority: u8::try_from(class.priority).unwrap_or(u8::MAX),
        floor: state.floors.get(group).copied(),
        zone: host
            .member_zone(group, &member)
            .unwrap_or_else(|| host.options.zone.clone()),
        member,
        max_age: class.max_age,
        remaining: class.deadline,
        request,
        may_stream,
        frames: prepared.frames,
        injected: prepared.injected,
        statements: prepared.statements,
    };
    Ok(Request {
        run,
        class: Rc::clone(class),
        deadline: now() + class.deadline,
        permit: None,
        is_renewed: false,
    })
}

/// Returns the request identifier of a write, by which a repeated run is detected.
///
/// The identifier is recorded in the transaction of the write, so a statement
/// that opens or ends a transaction cannot have one.
///
/// # Errors
///
/// Returns `NotSupported` for an identifier on such a statement.
fn request_id(statement: Statement, access: Access) -> Result<Option<String>> {
    if access == Access::Read {
        return Ok(None);
    }
    if statement.has_control && statement.tags.request_id.is_some() {
        return Err(error_stack::Report::new(ErrorKind::NotSupported)
            .attach("a request id goes on the first write of a transaction"));
    }
    Ok(statement.tags.request_id)
}

/// Checks that the session's key is still valid.
///
/// # Errors
///
/// Returns `KeyRevoked` if the key was revoked.
pub(super) fn check_key(config: &crate::ActiveConfig, state: &SessionState) -> Result<()> {
    let Some(key) = &state.key else {
        return Ok(());
    };
    if config.keys.is_live(state.organisation.as_str(), key) {
        Ok(())
    } else {
        bail!(ErrorKind::KeyRevoked)
    }
}

/// Returns whether a statement runs as a read or a write.
///
/// Plain reads stay reads in a class with write access.
///
/// # Errors
///
/// Returns `NotSupported` for a write in a class with read access, and for
/// statements that the proxy does not support.
fn access(statement: &Statement, class: &ClassEntry) -> Result<Access> {
    if statement.kind == StatementKind::Unsupported {
        bail!(ErrorKind::NotSupported);
    }
    match (statement.access(), class.access) {
        (wire::Access::Read, _) => Ok(Access::Read),
        (wire::Access::Write, burdockslip_catalogue::Access::Write) => Ok(Access::Write),
        (wire::Access::Write, burdockslip_catalogue::Access::Read) => {
            Err(error_stack::Report::new(ErrorKind::NotSupported).attach("the class only reads"))
        }
    }
}

/// Returns the member whose holder is asked first; it may redirect the request.
///
/// Reads of a session always start at the same replica, so that its
/// conversation can be reused. It is a replica in the zone of this host if there
/// is one; otherwise sessions are spread over all replicas.
fn choose_member(
    host: &Host,
    state: &SessionState,
    group: &GroupName,
    access: Access,
) -> Option<MemberName> {
    let config = host.active_config();
    let members = &config.catalogue.group(group.as_str())?.members;
    let primary = host.primary(group);
    if access == Access::Write {
        return primary.or_else(|| members.keys().next().cloned());
    }
    let replicas: Vec<_> = members
        .iter()
        .filter(|(name, _)| Some(*name) != primary.as_ref())
        .collect();
    let near = replicas
        .iter()
        .find(|(_, member)| member.zone == host.options.zone);
    let session = usize::try_from(state.entry.process).unwrap_or_default();
    let far = || replicas.get(session % replicas.len().max(1));
    near.or_else(far)
        .map(|(name, _)| (*name).clone())
        .or(primary)
}
