//! Guards single mechanisms of the bound on one shard with two hosts.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_limits::{
    Authority, Envelope, FleetView, Limit, Limiter, Rate, RateExchange, Reply, Request, Settings,
    Tokens,
};
use burdockslip_runtime::{now, paused, sleep, sleep_until};
use burdockslip_store::{Entry, LeaseId, Page, Reply as StoreReply, Store, TxnReply};
use burdockslip_types::{ErrorKind, HostId, PeerClient, Revision, Zone};
use error_stack::Report;

const ORGANISATION: &str = "one";

/// What a host sees of the store.
#[derive(Clone, Copy, PartialEq)]
enum View {
    /// No record exists and claims succeed.
    Vacant,
    /// Another host has the record.
    Taken,
    /// Calls get no answer.
    Down,
}

fn store(view: Rc<Cell<View>>) -> Store {
    Store::new(
        move |request| {
            let view = view.get();
            Box::pin(async move {
                if view == View::Down {
                    std::future::pending::<()>().await;
                }
                Ok(answer(view, &request))
            })
        },
        |_, _| Box::pin(async { Err(Report::new(ErrorKind::NotSupported)) }),
    )
}

fn answer(view: View, request: &burdockslip_store::Request) -> StoreReply {
    use burdockslip_store::Request as Call;
    let ttl = Settings::default().lease_ttl;
    let record = Entry {
        key: "burdockslip/leases/zone-1/0".to_owned(),
        value: Vec::new(),
        revision: Revision(1),
    };
    match request {
        Call::Range(_) => StoreReply::Page(Page {
            revision: Revision(1),
            entries: if view == View::Taken {
                vec![record]
            } else {
                Vec::new()
            },
        }),
        Call::Txn(_) => StoreReply::Txn(TxnReply {
            is_applied: view == View::Vacant,
            revision: Revision(1),
        }),
        Call::GrantLease(_) | Call::KeepLease(_) => StoreReply::Lease(LeaseId(1), ttl),
        Call::RevokeLease(_) => StoreReply::Done,
    }
}

/// Two hosts of one zone; a second zone exists without hosts.
struct Pair {
    views: [Rc<Cell<View>>; 2],
    hosts: Rc<RefCell<HashMap<HostId, Rc<Authority>>>>,
    /// The host that is ranked first.
    first: Rc<Cell<usize>>,
    /// The time that replies to the limiter take.
    delay: Rc<Cell<Duration>>,
}

const NAMES: [&str; 2] = ["host-1", "host-2"];

impl Pair {
    /// Starts the hosts; the first one owns the shard after 3 s.
    async fn start(limit: Limit) -> Self {
        let pair = Self {
            views: [View::Vacant, View::Taken].map(|view| Rc::new(Cell::new(view))),
            hosts: Rc::default(),
            first: Rc::default(),
            delay: Rc::default(),
        };
        for (index, name) in NAMES.iter().enumerate() {
            let authority = Authority::spawn(
                pair.fleet_view(index, limit),
                settings(),
                store(Rc::clone(&pair.views[index])),
                pair.link(),
            );
            let mut hosts = pair.hosts.borrow_mut();
            hosts.insert(HostId::from(*name), Rc::new(authority));
        }
        sleep(Duration::from_secs(3)).await;
        assert!(pair.grants(0) && !pair.grants(1));
        pair
    }

    fn fleet_view(&self, index: usize, limit: Limit) -> FleetView {
        let first = Rc::clone(&self.first);
        FleetView {
            host: NAMES[index].into(),
            zone: "zone-1".into(),
            zones: vec!["zone-1".into(), "zone-2".into()],
            limit_of: Rc::new(move |_| Some(limit)),
            zone_shares: Rc::new(|_| Vec::new()),
            zone_hosts: Rc::new(|_| NAMES.map(HostId::from).to_vec()),
            ranked_hosts: Rc::new(move |zone, _| {
                let count = if *zone == Zone::from("zone-1") { 2 } else { 0 };
                let mut hosts = NAMES.map(HostId::from).to_vec();
                hosts.rotate_left(first.get());
                hosts.truncate(count);
                hosts
            }),
        }
    }

    fn link(&self) -> PeerClient<RateExchange> {
        let (hosts, delay) = (Rc::clone(&self.hosts), Rc::clone(&self.delay));
        PeerClient::new(move |to, envelope| {
            let (hosts, delay) = (Rc::clone(&hosts), delay.get());
            Box::pin(async move {
                let authority = hosts.borrow().get(&to).cloned();
                let Some(authority) = authority else {
                    return Err(Report::new(ErrorKind::ConnectionLost));
                };
                let reply = authority.handle(envelope);
                sleep(delay).await;
                Ok(reply)
            })
        })
    }

    fn ask(&self, index: usize, request: Request) -> Reply {
        let authority = Rc::clone(&self.hosts.borrow()[NAMES[index]]);
        authority.handle(Envelope {
            from: "client".into(),
            request,
        })
    }

    fn grant(&self, index: usize, wanted: u64) -> Reply {
        self.ask(
            index,
            Request::Grant {
                organisation: ORGANISATION.into(),
                wanted: Tokens::whole(wanted),
                arrived: Tokens(0),
            },
        )
    }

    fn grants(&self, index: usize) -> bool {
        matches!(self.grant(index, 0), Reply::Granted { .. })
    }

    fn granted(&self, index: usize, wanted: u64) -> u64 {
        match self.grant(index, wanted) {
            Reply::Granted { count, .. } => count.count(),
            _ => 0,
        }
    }

    fn borrow(&self, rate: u64, ttl: Duration, sequence: u64) -> (Rate, Duration) {
        let request = Request::Borrow {
            organisation: ORGANISATION.into(),
            zone: "zone-2".into(),
            rate: Rate::per_second(rate),
            ttl,
            sequence,
        };
        match self.ask(0, request) {
            Reply::Lent { rate, ttl } => (rate, ttl),
            reply => panic!("no loan: {reply:?}"),
        }
    }
}

fn settings() -> Settings {
    Settings {
        shards: 1,
        ..Settings::default()
    }
}

/// Guards against a claimant that pledged: two owners would each grant the zone's rate.
#[test]
fn claimant_waits_for_its_own_pledge() {
    for seed in 0..20 {
        paused::run(seed, async move {
            let pair = Pair::start(Limit::new(100, 400)).await;
            pair.views[0].set(View::Down);
            sleep(Duration::from_secs(10)).await;
            assert!(
                pair.grants(0),
                "the pledges of all hosts must continue the authority"
            );
            sleep(Duration::from_millis(seed * 37)).await;
            pair.views[1].set(View::Vacant);
            let end = now() + Duration::from_secs(10);
            while !end.is_past() {
                assert!(
                    !(pair.grants(0) && pair.grants(1)),
                    "two owners at {:?}",
                    now()
                );
                sleep(Duration::from_millis(1)).await;
            }
            assert!(pair.grants(1), "the claimant must own the shard in the end");
        });
    }
}

/// Guards against an authority that continues without pledges because its list of hosts is empty.
#[test]
fn empty_host_list_proves_nothing() {
    paused::run(1, async {
        let pair = Pair::start(Limit::new(100, 400)).await;
        let mut fleet_view = pair.fleet_view(0, Limit::new(100, 400));
        fleet_view.zone_hosts = Rc::new(|_| Vec::new());
        let view = Rc::new(Cell::new(View::Vacant));
        let own = store(Rc::clone(&view));
        let authority = Authority::spawn(fleet_view, settings(), own, pair.link());
        sleep(Duration::from_secs(3)).await;
        assert_eq!(authority.shards().len(), 1);
        view.set(View::Down);
        sleep(Duration::from_secs(3)).await;
        assert!(authority.shards().is_empty());
    });
}

/// Guards against an owner that answers after a pause, before its tasks notice the lost lease.
#[test]
fn authority_that_was_paused_refuses() {
    paused::run(1, async {
        let pair = Pair::start(Limit::new(100, 400)).await;
        // Without store and pledges the tasks change nothing, as in a pause.
        pair.views[0].set(View::Down);
        let other = pair.hosts.borrow_mut().remove(NAMES[1]);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(pair.grant(0, 1), Reply::NotOwner);
        drop(other);
    });
}

/// Guards against a new owner that grants a burst which its predecessor may have granted.
#[test]
fn new_authority_starts_empty() {
    paused::run(1, async {
        let pair = Pair::start(Limit::new(100, 400)).await;
        // The authority began less than a second ago; a full bucket holds 150.
        assert!(pair.granted(0, 200) <= 50);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(pair.granted(0, 200), 50);
    });
}

/// Guards against two owners after a hand-over, and against a bucket that is lost or counted twice.
#[test]
fn hand_over_moves_the_bucket_once() {
    paused::run(1, async {
        let pair = Pair::start(Limit::new(100, 400)).await;
        sleep(Duration::from_secs(10)).await;
        pair.views[1].set(View::Vacant);
        pair.first.set(1);
        let end = now() + Duration::from_secs(2);
        while !pair.grants(1) {
            assert!(!end.is_past(), "the shard was not handed over");
            sleep(Duration::from_millis(1)).await;
        }
        assert!(!pair.grants(0), "two owners");
        // The bucket of the zone holds half of the burst less the granted tokens' part.
        assert_eq!(pair.granted(1, 400), 150);
        assert_eq!(pair.granted(0, 400), 0);
    });
}

/// Guards against a lender that uses its rate before the borrower's window ends.
#[test]
fn lender_does_without_its_rate_while_it_is_lent() {
    paused::run(1, async {
        let pair = Pair::start(Limit::new(100, 400)).await;
        let (rate, ttl) = pair.borrow(1_000, Duration::from_secs(1), 1);
        assert_eq!(rate, Rate::per_second(50));
        pair.granted(0, 400);
        let end = now() + ttl;
        while !end.is_past() {
            assert_eq!(pair.granted(0, 1), 0, "tokens during the loan");
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_secs(1)).await;
        assert!((49..=50).contains(&pair.granted(0, 400)));
    });
}

/// Guards against a request overtaken by a later one that frees the later loan for the lender.
#[test]
fn overtaken_request_does_not_reduce_a_later_loan() {
    paused::run(1, async {
        let pair = Pair::start(Limit::new(100, 400)).await;
        pair.borrow(1_000, Duration::from_secs(1), 2);
        pair.borrow(0, Duration::from_secs(1), 1);
        pair.granted(0, 400);
        sleep(Duration::from_millis(900)).await;
        assert_eq!(pair.granted(0, 400), 0, "the rate is still lent");
        // A later request does give the loan back.
        pair.borrow(0, Duration::from_secs(1), 3);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(pair.granted(0, 400), 5);
    });
}

/// Guards against a borrower whose window is counted from the reply: the lender's would end first.
#[test]
fn borrowed_rate_ends_with_the_window_from_before_the_request() {
    paused::run(1, async {
        let limit = Limit::new(100, 400);
        let pair = Pair::start(limit).await;
        // The lender answers once, after 1.5 s of the loan's 2 s.
        let lent = Rc::new(Cell::new(false));
        let link = PeerClient::new(move |_, _| {
            let is_first = !lent.replace(true);
            let rate = Rate::per_second(if is_first { 50 } else { 0 });
            let ttl = Duration::from_secs(2);
            Box::pin(async move {
                sleep(Duration::from_millis(1_500)).await;
                Ok(Reply::Lent { rate, ttl })
            })
        });
        let mut fleet_view = pair.fleet_view(0, limit);
        fleet_view.ranked_hosts = Rc::new(|_, _| vec!["host-1".into()]);
        let settings = Settings {
            peer_timeout: Duration::from_secs(10),
            loan_cooldown: Duration::from_mins(1),
            ..settings()
        };
        let view = Rc::new(Cell::new(View::Vacant));
        let authority = Authority::spawn(fleet_view, settings, store(view), link);
        sleep(Duration::from_secs(3)).await;
        let mut granted = 0;
        let end = now() + Duration::from_secs(10);
        while !end.is_past() {
            let reply = authority.handle(Envelope {
                from: "client".into(),
                request: Request::Grant {
                    organisation: ORGANISATION.into(),
                    wanted: Tokens::whole(400),
                    arrived: Tokens::whole(10),
                },
            });
            if let Reply::Granted { count, .. } = reply {
                granted += count.count();
            }
            sleep(Duration::from_millis(100)).await;
        }
        // Up to 1 s before and 10 s of 50 tokens a second, and 0.5 s of the loan.
        assert!((520..=576).contains(&granted), "{granted}");
    });
}

/// Guards against a loan that outlives the lender, whose successor knows nothing of it.
#[test]
fn loan_ends_with_the_authority() {
    paused::run(1, async {
        let pair = Pair::start(Limit::new(100, 400)).await;
        pair.views[0].set(View::Down);
        let other = pair.hosts.borrow_mut().remove(NAMES[1]);
        sleep(Duration::from_millis(800)).await;
        let (_, ttl) = pair.borrow(1_000, Duration::from_secs(2), 1);
        // The authority ends before or when the loan ends, or the loan is shorter.
        let end = now() + ttl;
        sleep_until(end - Duration::from_millis(1)).await;
        assert!(pair.grants(0), "the loan outlives the authority");
        drop(other);
    });
}

/// Guards against tokens that are used after a pause of their holder: the database's holder refuses them.
#[test]
fn proof_of_a_paused_holder_is_refused() {
    paused::run(1, async {
        let pair = Pair::start(Limit::new(100, 400)).await;
        sleep(Duration::from_secs(5)).await;
        let limiter = Limiter::new(
            pair.fleet_view(1, Limit::new(100, 400)),
            settings(),
            pair.link(),
        );
        let (stamp, received) = (now().micros(), now());
        let mut proofs = Vec::new();
        for _ in 0..100 {
            let deadline = now() + Duration::from_secs(1);
            let permit = limiter
                .admit(&ORGANISATION.into(), Tokens::ONE, deadline)
                .await;
            proofs.push(permit.unwrap().proof(stamp, received));
        }
        assert!(proofs.iter().all(burdockslip_limits::Proof::is_valid));
        sleep(Duration::from_secs(1)).await;
        assert!(!proofs.iter().any(burdockslip_limits::Proof::is_valid));
    });
}

/// Guards against an expiry counted from the receipt: a slow reply would extend the life of tokens.
#[test]
fn tokens_of_a_late_reply_are_not_used() {
    paused::run(1, async {
        let limit = Limit::new(100, 400);
        let pair = Pair::start(limit).await;
        sleep(Duration::from_secs(5)).await;
        let settings = Settings {
            peer_timeout: Duration::from_secs(10),
            ..settings()
        };
        let limiter = Limiter::new(pair.fleet_view(1, limit), settings, pair.link());
        pair.delay.set(Duration::from_millis(1_500));
        let deadline = now() + Duration::from_secs(5);
        let admitted = limiter
            .admit(&ORGANISATION.into(), Tokens::ONE, deadline)
            .await;
        let rejection = admitted.unwrap_err();
        assert!(rejection.kind().did_not_run() && rejection.retry_after > Duration::ZERO);
        assert!(now() >= deadline);
    });
}

/// Guards against a restarted host that claims although it may have pledged before.
#[test]
fn restarted_host_waits_before_it_claims() {
    paused::run(1, async {
        let pair = Pair::start(Limit::new(100, 400)).await;
        let start = now();
        let authority = Authority::spawn(
            pair.fleet_view(0, Limit::new(100, 400)),
            settings(),
            store(Rc::new(Cell::new(View::Vacant))),
            pair.link(),
        );
        sleep_until(start + settings().pledge_ttl - Duration::from_millis(1)).await;
        assert!(authority.shards().is_empty());
        sleep(Duration::from_secs(1)).await;
        assert_eq!(authority.shards().len(), 1);
    });
}
