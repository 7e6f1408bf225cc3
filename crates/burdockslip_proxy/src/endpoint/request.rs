//! Turns a unit into a request for a holder.

use std::rc::Rc;

use burdockslip_catalogue::ClassEntry;
use burdockslip_limits::Permit;
use burdockslip_runtime::{Instant, now};
use burdockslip_types::{ErrorKind, GroupName, MemberName, Result};
use burdockslip_wire as wire;
use burdockslip_wire::{Statement, StatementKind};
use bytes::Bytes;
use error_stack::bail;

use super::startup::State;
use crate::exchange::{Access, Run};
use crate::host::Host;

/// Holds the text of a unit that may go to any connection.
pub(super) struct Prepared {
    pub(super) statement: Statement,
    pub(super) frames: Bytes,
    pub(super) injected: usize,
    pub(super) names: Vec<String>,
}

/// Holds a request with what the endpoint needs to carry it out.
pub(super) struct Request {
    pub(super) run: Run,
    pub(super) class: Rc<ClassEntry>,
    pub(super) deadline: Instant,
    /// The share of the organisation's rate that the request uses.
    pub(super) permit: Option<Permit>,
    /// Whether the permit was replaced, which happens once at most.
    pub(super) is_renewed: bool,
}

/// Checks a unit against the configuration in force.
///
/// # Errors
///
/// Returns the kind of the first rule that the unit breaks; it has not run.
pub(super) fn authorize(host: &Host, state: &State, prepared: Prepared) -> Result<Request> {
    let config = host.active_config();
    check_key(&config, state)?;
    let catalogue = &config.catalogue;
    let route = catalogue.route_for(state.organisation.as_str(), state.route.as_str())?;
    let tag = prepared.statement.tags.class.as_deref();
    let (name, class) = catalogue.class_for(route, tag.or(state.class.as_deref()))?;
    let access = access(&prepared.statement, class)?;
    let Some(member) = choose_member(host, state, &route.group, access) else {
        bail!(ErrorKind::NoPrimary);
    };
    let may_stream = access == Access::Read && !prepared.statement.has_control;
    let request = request_id(prepared.statement, access)?;
    let run = Run {
        organisation: state.organisation.clone(),
        class: name.clone(),
        group: route.group.clone(),
        access,
        proof: None,
        priority: u8::try_from(class.priority).unwrap_or(u8::MAX),
        floor: state.floors.get(&route.group).copied(),
        zone: host
            .member_zone(&route.group, &member)
            .unwrap_or_else(|| host.options.zone.clone()),
        member,
        max_age: class.max_age,
        remaining: class.deadline,
        request,
        may_stream,
        frames: prepared.frames,
        injected: prepared.injected,
        names: prepared.names,
    };
    Ok(Request {
        run,
        class: Rc::clone(class),
        deadline: now() + class.deadline,
        permit: None,
        is_renewed: false,
    })
}

/// Returns the identifier under which a write is recorded.
///
/// The record is written in the same transaction, so a statement that opens or
/// ends a transaction cannot carry one; the first write inside it can.
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

/// Checks that the session's key still works.
///
/// # Errors
///
/// Returns `KeyRevoked` if it was withdrawn.
pub(super) fn check_key(config: &crate::ActiveConfig, state: &State) -> Result<()> {
    let Some(key) = &state.key else {
        return Ok(());
    };
    if config.keys.is_live(state.organisation.as_str(), key) {
        Ok(())
    } else {
        bail!(ErrorKind::KeyRevoked)
    }
}

/// Decides how a statement of a class is treated.
///
/// A class that reads refuses statements that write. In a class that writes,
/// plain reads are still reads.
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

/// Returns the member whose holder is asked first; that one may name another.
///
/// A session stays with one replica, so that it can keep its conversation;
/// sessions of a host without a replica in its zone are spread over all.
fn choose_member(
    host: &Host,
    state: &State,
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
