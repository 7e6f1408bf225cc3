//! Challenges a coordinator that this host does not hear.
//!
//! See `docs/design/duty-under-partition.md`; the decisions are those of
//! `burdockslip_failover::rivalry`.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_failover::{
    Reach, Registration, Rival, SAMPLE_SIZE, Standing, UNANSWERED_SPAN, Verdict, is_outranked,
    is_rival, judge, keys, project,
};
use burdockslip_peer::PeerPool;
use burdockslip_runtime::{Instant, now, random_range, sleep, timeout};
use burdockslip_session::Context;
use burdockslip_store::{Compare, Operation, Txn, with_timeout};
use burdockslip_types::{HostId, PeerClient, Result, Revision};
use futures::future::join_all;
use tracing::info;

use crate::messages::ReachExchange;
use crate::registration::Fleet;

/// How often a host checks whether the coordinator answers it.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// The maximum random delay before hosts are asked, in milliseconds, so that the others
/// have noticed the silence as well.
const MAX_DELAY_MS: u64 = 200;

/// The most hosts with more processor time that are asked to find out whether one of them
/// will challenge the coordinator.
const MAX_SENIORS: usize = 6;

/// The timeout of a question to another host.
const REACH_TIMEOUT: Duration = Duration::from_millis(150);

/// The pause after an attempt to challenge the coordinator.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// The TTL of the rival's record, longer than the coordinator takes to notice that it is
/// in a minority.
const RIVAL_TTL: Duration = Duration::from_secs(3);

/// The timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How long ago the store may have answered. Hosts without a coordinator renew their
/// permission at the store more often.
const STORE_AGE: Duration = Duration::from_millis(900);

/// Returns what this host answers to a rival.
pub(crate) fn reach(cx: &Context) -> Reach {
    let answered = cx.limiter.borrow().answer_age();
    Reach {
        has_coordinator: answered.is_some_and(|age| age < UNANSWERED_SPAN),
        has_store: has_store(cx),
    }
}

fn has_store(cx: &Context) -> bool {
    let proof = cx.permission.lease_proof_age();
    proof.is_some_and(|(_, age)| age < STORE_AGE)
}

/// Challenges coordinators that this host does not hear, until the task is dropped.
pub(crate) async fn run(cx: Rc<Context>, host: HostId, fleet: Fleet, peers: PeerPool) {
    let client = peers.client();
    let mut known: Option<(Revision, Instant)> = None;
    loop {
        sleep(CHECK_PERIOD).await;
        let duty = keys::duty(cx.directory.era());
        let token = cx.directory.revision(&duty);
        // A new coordinator is given the same time as an earlier one.
        if known.map(|(token, _)| token) != token {
            known = token.map(|token| (token, now()));
        }
        let Some((token, since)) = known else {
            continue;
        };
        let answered = cx.limiter.borrow().answer_age();
        let standing = Standing {
            unanswered: answered.map_or(since.elapsed(), |age| age.min(since.elapsed())),
            has_store: has_store(&cx),
        };
        if !is_rival(standing) {
            continue;
        }
        sleep(Duration::from_millis(random_range(0..MAX_DELAY_MS))).await;
        if let Err(error) = challenge(&cx, &host, &fleet, &client, token).await {
            info!(?error, "challenge of the coordinator failed");
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn challenge(
    cx: &Context,
    host: &HostId,
    fleet: &Fleet,
    client: &PeerClient<ReachExchange>,
    token: Revision,
) -> Result<()> {
    let hosts = fleet.hosts();
    let Some((_, own)) = hosts.iter().find(|(known, _)| known == host) else {
        return Ok(());
    };
    let rank = |(host, record): &(HostId, Registration)| (record.capacity, host.clone());
    let seniors = hosts
        .iter()
        .filter(|known| rank(known) > (own.capacity, host.clone()))
        .map(|(host, _)| host.clone());
    let answers = ask(client, draw(seniors.collect(), MAX_SENIORS)).await;
    if is_outranked(&answers) {
        return Ok(());
    }
    let others: Vec<_> = hosts
        .iter()
        .map(|(other, _)| other.clone())
        .filter(|other| other != host)
        .collect();
    let count = others.len();
    let sample = draw(others, SAMPLE_SIZE);
    let asked = sample.len();
    let reached = ask(client, sample).await.len();
    let heard = project(count, asked, reached);
    // The coordinator hears itself at least.
    if judge(hosts.len(), 1, Some(heard)) == Verdict::Stay {
        return Ok(());
    }
    let rival = Rival {
        host: host.clone(),
        token,
        heard,
    };
    announce(cx, &rival).await
}

/// Writes the record of the rival, unless one is known that hears as many hosts.
async fn announce(cx: &Context, rival: &Rival) -> Result<()> {
    let known = cx.directory.record(keys::RIVAL);
    let is_weaker = |other: &Rival| other.token != rival.token || other.heard < rival.heard;
    let other = known.as_ref().map(|entry| Rival::read(&entry.value));
    if other.is_some_and(|other| other.is_ok_and(|other| !is_weaker(&other))) {
        return Ok(());
    }
    let store = cx.directory.store();
    let lease = with_timeout(CALL_TIMEOUT, store.grant_lease(RIVAL_TTL)).await?;
    let replaced = known.map_or(Revision(0), |entry| entry.revision);
    let txn = Txn {
        compares: vec![
            Compare::Revision(keys::duty(rival.token.era()), rival.token),
            Compare::Revision(keys::RIVAL.to_owned(), replaced),
        ],
        operations: vec![Operation::Put(
            keys::RIVAL.to_owned(),
            rival.write()?,
            Some(lease),
        )],
    };
    let reply = with_timeout(CALL_TIMEOUT, store.txn(txn)).await?;
    info!(
        heard = rival.heard,
        fence = rival.token.0,
        is_applied = reply.is_applied,
        "coordinator does not answer, challenged"
    );
    Ok(())
}

/// Asks hosts at the same time and returns the answers of those that can be reached.
async fn ask(client: &PeerClient<ReachExchange>, hosts: Vec<HostId>) -> Vec<Reach> {
    let calls = hosts
        .iter()
        .map(|host| timeout(REACH_TIMEOUT, client.call(host, ())));
    let outcomes = join_all(calls).await;
    outcomes
        .into_iter()
        .filter_map(|outcome| outcome.ok()?.ok())
        .collect()
}

/// Draws up to `count` hosts at random.
pub(crate) fn draw(mut hosts: Vec<HostId>, count: usize) -> Vec<HostId> {
    let mut drawn = Vec::new();
    while drawn.len() < count && !hosts.is_empty() {
        let last = u64::try_from(hosts.len()).unwrap_or(1);
        let index = usize::try_from(random_range(0..last)).unwrap_or_default();
        drawn.push(hosts.swap_remove(index));
    }
    drawn
}
