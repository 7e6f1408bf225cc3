//! Admits operations at the relay of the availability zone.
//!
//! In a large fleet each host sees an organisation's operations so rarely that tokens
//! held by it are of no use. At the relay the operations of the whole zone meet, and
//! its share of the rate serves the zone while the coordinator cannot be reached.
//! See `docs/platform.md`, "Relays".

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_failover::Duty;
use burdockslip_peer::{PeerPool, Router};
use burdockslip_runtime::{now, sleep, spawn, timeout};
use burdockslip_session::{Authority, Context, Ruling};
use burdockslip_types::{ErrorKind, HostId, Organisation, PeerClient, Zone};
use error_stack::Report;
use futures::FutureExt;
use futures::future::ready;
use tracing::{debug, info};

use crate::messages::{AdmitExchange, ReturnExchange};
use crate::registration::Fleet;
use crate::relay::Relays;

/// The timeout of a request to the relay, which may itself wait 40 ms for a token.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// How long a relay that did not answer is not asked. Meanwhile the next host of the
/// zone holds tokens, too, so that both have too few of them.
const AVOID_SPAN: Duration = Duration::from_secs(2);

/// How long after the start of an operation another relay is still asked.
const NEXT_RELAY_LIMIT: Duration = Duration::from_millis(30);

/// How long tokens that are given back to a relay are collected.
const RETURN_PAUSE: Duration = Duration::from_millis(25);

/// The tokens to be given back, by relay and organisation.
type Returned = HashMap<HostId, HashMap<Organisation, u32>>;

/// Returns the relay of the zone as the holder of its tokens.
pub(crate) fn authority(
    duty: Duty,
    host: HostId,
    zone: Zone,
    fleet: Fleet,
    peers: &PeerPool,
) -> Authority {
    let client: PeerClient<AdmitExchange> = peers.client();
    let relays = Rc::new(Relays::new(host, zone, AVOID_SPAN));
    let admit = move |organisation: Organisation, refused: u32| {
        let (client, relays) = (client.clone(), Rc::clone(&relays));
        let (hosts, holder) = (fleet.hosts(), duty.holder());
        let question = (organisation, refused);
        async move {
            let until = now() + NEXT_RELAY_LIMIT;
            while !until.is_past() {
                let relay = relays.choose(&hosts, holder.as_ref())?;
                let error = match ask(&client, &relay, &question).await {
                    Ok(None) => return Some(Ruling::Admitted(relay)),
                    Ok(Some(span)) => return Some(Ruling::Refused(span)),
                    // The relay does not know the organisation yet.
                    Err(ErrorKind::NoFreshData) => return None,
                    Err(error) => error,
                };
                info!(%relay, ?error, "relay admits no operations");
                relays.avoid(relay);
            }
            None
        }
        .boxed_local()
    };
    Authority {
        admit: Rc::new(admit),
        give_back: give_back(peers.client()),
    }
}

/// Returns the function that gives a token back to a relay. Tokens of a short time are sent
/// together, because a lost primary returns those of many operations at once.
fn give_back(client: PeerClient<ReturnExchange>) -> Rc<dyn Fn(HostId, Organisation)> {
    let returned: Rc<RefCell<Returned>> = Rc::default();
    Rc::new(move |relay, organisation| {
        let is_new = !returned.borrow().contains_key(&relay);
        let mut tokens = returned.borrow_mut();
        let count = tokens.entry(relay.clone()).or_default();
        *count.entry(organisation).or_default() += 1;
        if !is_new {
            return;
        }
        let (client, returned) = (client.clone(), Rc::clone(&returned));
        let task = spawn(async move {
            sleep(RETURN_PAUSE).await;
            let tokens = returned.borrow_mut().remove(&relay).unwrap_or_default();
            let tokens = tokens.into_iter().collect();
            let outcome = timeout(REQUEST_TIMEOUT, client.call(&relay, tokens)).await;
            debug!(%relay, is_taken = matches!(outcome, Ok(Ok(()))), "tokens given back");
        });
        task.detach();
    })
}

async fn ask(
    client: &PeerClient<AdmitExchange>,
    relay: &HostId,
    question: &(Organisation, u32),
) -> Result<Option<Duration>, ErrorKind> {
    match timeout(REQUEST_TIMEOUT, client.call(relay, question.clone())).await {
        Ok(reply) => reply.map_err(|report| *report.current_context()),
        Err(_) => Err(ErrorKind::ConnectionLost),
    }
}

/// Adds the exchanges in which other hosts ask this one to admit their operations, and give
/// tokens back.
pub(crate) fn serve(router: Router, cx: &Rc<Context>, is_draining: &Rc<Cell<bool>>) -> Router {
    let (returning, is_draining) = (Rc::clone(cx), Rc::clone(is_draining));
    let cx = Rc::clone(cx);
    let router = router.on(ReturnExchange, move |_, tokens| {
        for (organisation, count) in tokens {
            returning.take_back(&organisation, count);
        }
        ready(Ok(()))
    });
    router.on(AdmitExchange, move |_, (organisation, refused)| {
        let (cx, is_draining) = (Rc::clone(&cx), Rc::clone(&is_draining));
        async move {
            if is_draining.get() {
                return Err(Report::new(ErrorKind::Draining));
            }
            let ruling = cx.admit_for_peer(&organisation, refused).await;
            ruling.map(Result::err).map_err(Report::new)
        }
    })
}
