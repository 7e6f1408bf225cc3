//! Guards the confirmation of commits (`docs/design.md`, section 4.2).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_group::{Group, MemberClient, MemberStatus, Settings, Timing, WatchReply};
use burdockslip_runtime::{now, paused, sleep};
use burdockslip_types::{ErrorKind, LogPosition, PeerClient, Result, Term};
use futures::FutureExt;

/// Builds a member that answers after 1 ms with whatever `state` holds.
fn member(state: &Rc<RefCell<MemberStatus>>) -> MemberClient {
    let (name, state) = (state.borrow().member.clone(), Rc::clone(state));
    let answer = move || {
        let state = Rc::clone(&state);
        async move {
            sleep(Duration::from_millis(1)).await;
            Ok(state.borrow().clone())
        }
        .boxed_local()
    };
    let (fence, promote) = (answer.clone(), answer.clone());
    MemberClient {
        name,
        zone: "zone-0".into(),
        status: Rc::new(answer),
        fence: Rc::new(move |_| fence()),
        promote: Rc::new(move |_| promote()),
    }
}

/// Starts a watcher of three members with the given terms and positions.
fn group(states: [(u64, LogPosition); 3]) -> Group {
    let members = states
        .into_iter()
        .enumerate()
        .map(|(index, (term, position))| {
            member(&Rc::new(RefCell::new(MemberStatus {
                member: format!("member-{index}").into(),
                term: Term(term),
                position,
                is_primary: index == 0,
                is_leaving: false,
            })))
        });
    let settings = Settings {
        group: "group".into(),
        host: "host".into(),
        zone: "zone-0".into(),
        watchers: Vec::new(),
        policy: burdockslip_group::ReadPolicy::default(),
        timing: Timing::default(),
    };
    let link = PeerClient::new(|_, _| async { Ok(WatchReply::Nothing) }.boxed_local());
    Group::spawn(settings, members.collect(), link)
}

fn confirm(states: [(u64, LogPosition); 3], position: LogPosition) -> Result<()> {
    paused::run(1, async move {
        let group = group(states);
        group
            .confirm(position, now() + Duration::from_millis(300))
            .await
    })
}

/// Guards against commits that stay unconfirmed although a majority holds them.
#[test]
fn majority_confirms() {
    let position = LogPosition::new(2, 7);
    let states = [
        (2, position),
        (2, LogPosition::new(2, 9)),
        (2, LogPosition::new(2, 6)),
    ];
    assert!(confirm(states, position).is_ok());
}

/// Guards against false success: too few holders, entries of another term at
/// the same position, and promises of a later term.
#[yare::parameterized(
    lagging = { [(2, LogPosition::new(2, 7)), (2, LogPosition::new(2, 6)), (2, LogPosition::new(2, 5))] },
    other_term = { [(2, LogPosition::new(2, 7)), (2, LogPosition::new(1, 9)), (2, LogPosition::new(1, 8))] },
    later_promise = { [(2, LogPosition::new(2, 7)), (3, LogPosition::new(2, 7)), (3, LogPosition::new(2, 7))] },
    later_log = { [(2, LogPosition::new(2, 7)), (3, LogPosition::new(3, 8)), (3, LogPosition::new(3, 8))] },
)]
fn minority_stays_unknown(states: [(u64, LogPosition); 3]) {
    let error =
        confirm(states, LogPosition::new(2, 7)).expect_err("no majority holds the position");
    assert_eq!(error.current_context(), &ErrorKind::OutcomeUnknown);
}
