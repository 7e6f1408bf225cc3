//! Which members may lead a group next, and which are preferred.

use std::rc::Rc;

use burdockslip_directory::Member;
use burdockslip_statement::MemberStatus;
use burdockslip_types::Zone;

use crate::GroupRecord;

/// Returns the members that can replace a primary in an evacuated availability zone: those
/// outside of all evacuated zones that stay and whose logs count. There are none if the
/// primary itself stands outside.
pub fn successors(
    record: &GroupRecord,
    members: &[Rc<Member>],
    evacuated: &[Zone],
) -> Vec<Rc<Member>> {
    let is_inside = |member: &Member| evacuated.contains(&member.zone);
    let primary = members.iter().find(|member| member.name == record.primary);
    if !primary.is_some_and(|primary| is_inside(primary)) {
        return Vec::new();
    }
    let mut successors = members.to_vec();
    successors
        .retain(|member| record.can_confirm(member) && !member.is_draining && !is_inside(member));
    successors
}

/// Chooses the member with the newest log; among equals, one outside of the evacuated
/// availability zones, then one that is not about to leave, then one that is not cold. A
/// member that leads already is no candidate, since its promotion would change nothing, nor
/// is one without a status.
pub fn newest_member(
    members: &[Rc<Member>],
    status: impl Fn(&Member) -> Option<MemberStatus>,
    evacuated: &[Zone],
    is_cold: impl Fn(&Member) -> bool,
) -> Option<Rc<Member>> {
    let rank = |member: &Member, status: &MemberStatus| {
        let is_outside = !evacuated.contains(&member.zone);
        (
            status.received,
            is_outside,
            !member.is_draining,
            !is_cold(member),
        )
    };
    members
        .iter()
        .filter_map(|member| Some((member, status(member)?)))
        .filter(|(_, status)| !status.is_primary)
        .max_by_key(|(member, status)| rank(member, status))
        .map(|(member, _)| Rc::clone(member))
}
