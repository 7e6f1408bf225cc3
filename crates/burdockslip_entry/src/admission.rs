//! Admits operations at the relay of the availability zone.
//!
//! In a large fleet each host sees an organisation's operations so rarely that tokens
//! held by it are of no use. At the relay the operations of the whole zone meet, and
//! its share of the rate serves the zone while the coordinator cannot be reached.
//! See `docs/platform.md`, "Relays".

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_failover::Duty;
use burdockslip_peer::{PeerPool, Router};
use burdockslip_runtime::{now, timeout};
use burdockslip_session::{Authority, Context};
use burdockslip_types::{ErrorKind, HostId, Organisation, PeerClient, Zone};
use error_stack::Report;
use futures::FutureExt;
use tracing::info;

use crate::messages::AdmitExchange;
use crate::registration::Fleet;
use crate::relay::Relays;

/// The timeout of a request to the relay, which may itself wait 40 ms for a token.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// How long a relay that did not answer is not asked. Meanwhile the next host of the
/// zone holds tokens, too, so that both have too few of them.
const AVOID_SPAN: Duration = Duration::from_secs(2);

/// How long after the start of an operation another relay is still asked.
const NEXT_RELAY_LIMIT: Duration = Duration::from_millis(30);

/// Returns the function that admits operations at the relay of the zone.
pub(crate) fn authority(
    duty: Duty,
    host: HostId,
    zone: Zone,
    fleet: Fleet,
    peers: &PeerPool,
) -> Authority {
    let client: PeerClient<AdmitExchange> = peers.client();
    let relays = Rc::new(Relays::new(host, zone, AVOID_SPAN));
    Rc::new(move |organisation: Organisation| {
        let (client, relays) = (client.clone(), Rc::clone(&relays));
        let (hosts, holder) = (fleet.hosts(), duty.holder());
        async move {
            let until = now() + NEXT_RELAY_LIMIT;
            while !until.is_past() {
                let relay = relays.choose(&hosts, holder.as_ref())?;
                let error = match ask(&client, &relay, &organisation).await {
                    Ok(is_admitted) => return Some(is_admitted),
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
    })
}

async fn ask(
    client: &PeerClient<AdmitExchange>,
    relay: &HostId,
    organisation: &Organisation,
) -> Result<bool, ErrorKind> {
    match timeout(REQUEST_TIMEOUT, client.call(relay, organisation.clone())).await {
        Ok(reply) => reply.map_err(|report| *report.current_context()),
        Err(_) => Err(ErrorKind::ConnectionLost),
    }
}

/// Adds the exchange in which other hosts ask this one to admit their operations.
pub(crate) fn serve(router: Router, cx: &Rc<Context>, is_draining: &Rc<Cell<bool>>) -> Router {
    let (cx, is_draining) = (Rc::clone(cx), Rc::clone(is_draining));
    router.on(AdmitExchange, move |_, organisation| {
        let (cx, is_draining) = (Rc::clone(&cx), Rc::clone(&is_draining));
        async move {
            if is_draining.get() {
                return Err(Report::new(ErrorKind::Draining));
            }
            let admitted = cx.admit_for_peer(&organisation).await;
            admitted.map_err(Report::new)
        }
    })
}
