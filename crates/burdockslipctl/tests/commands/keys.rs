//! Tests `key issue`, `key list` and `key withdraw`.

use crate::support::{Fate, Network, seed};
use burdockslip_keys::{Key, KeyRing};
use burdockslip_runtime::paused;
use burdockslip_store::Faults;
use burdockslip_types::ErrorKind;
use burdockslipctl::commands::key;
use burdockslipctl::{ExitStatus, Outcome};
use yare::parameterized;

fn outcome(result: burdockslip_types::Result<Outcome>) -> Outcome {
    result.unwrap_or_else(|report| Outcome::from_error(&report))
}

async fn ring(network: &Network) -> KeyRing {
    let page = network
        .client()
        .range("burdockslip/keys/")
        .await
        .expect("it answers");
    let entries = page.entries.iter();
    let (ring, malformed) =
        KeyRing::from_entries(entries.map(|entry| (entry.key.as_str(), entry.value.as_slice())));
    assert_eq!(malformed, Vec::<String>::new());
    ring
}

/// Guards against keys that do not work, still work after their withdrawal, or
/// are shown more than once, also when messages to the store are lost.
#[parameterized(
    no_losses = { &[] },
    responses_lost = { &[Fate::ResponseLost; 4] },
    requests_lost = { &[Fate::RequestLost; 4] },
    requests_delayed = { &[Fate::Delayed, Fate::Answered, Fate::Delayed] },
)]
fn key_works_until_withdrawn(fates: &[Fate]) {
    let fates = [&[Fate::Answered], fates].concat();
    paused::run(1, async move {
        let network = Network::new(&fates);
        let store = network.client();
        seed(&store).await;
        let issued = outcome(key::issue(&store, "visitor").await);
        assert_eq!(issued.status, ExitStatus::Success, "{}", issued.text);
        let text = issued.json["key"].as_str().expect("it is shown");
        assert!(issued.text.ends_with(text));
        let key = Key::parse(text.as_bytes()).expect("it is a key");
        let id = key.id();
        let found = ring(&network).await.authenticate("visitor", &key);
        assert_eq!(found.expect("it works"), id);
        let listed = outcome(key::list(&store, "visitor").await);
        assert!(
            listed
                .text
                .starts_with(&format!("1 keys of visitor\n{id} live"))
        );
        assert!(!listed.text.contains("bsk_"));
        for _ in 0..2 {
            let withdrawn = outcome(key::withdraw(&store, "visitor", id.as_str()).await);
            assert_eq!(withdrawn.status, ExitStatus::Success, "{}", withdrawn.text);
        }
        let error = ring(&network).await.authenticate("visitor", &key);
        let error = error.expect_err("it was withdrawn");
        assert_eq!(*error.current_context(), ErrorKind::KeyRevoked);
        let listed = outcome(key::list(&store, "visitor").await);
        assert!(
            listed.text.contains(&format!("{id} revoked")),
            "{}",
            listed.text
        );
    });
}

/// Guards against success for organisations and keys that do not exist.
#[test]
fn unknown_names_are_refused() {
    paused::run(1, async {
        let network = Network::new(&[]);
        let store = network.client();
        seed(&store).await;
        let issued = outcome(key::issue(&store, "nobody").await);
        assert_eq!(issued.status, ExitStatus::NotFound);
        let listed = outcome(key::list(&store, "nobody").await);
        assert_eq!(listed.status, ExitStatus::NotFound);
        let withdrawn = outcome(key::withdraw(&store, "visitor", "0123456789abcdef").await);
        assert_eq!(withdrawn.status, ExitStatus::NotFound);
        let withdrawn = outcome(key::withdraw(&store, "visitor", "bsk_x").await);
        assert_eq!(withdrawn.status, ExitStatus::Invalid);
        assert!(ring(&network).await.is_empty());
    });
}

/// Guards against showing a key that may not work, and against an error without
/// the id by which the key can be withdrawn.
#[test]
fn key_of_unknown_outcome_is_not_shown() {
    paused::run(1, async {
        let lost = [&[Fate::Answered][..], &[Fate::RequestLost; 20]].concat();
        let network = Network::new(&lost);
        let store = network.client();
        seed(&store).await;
        let issued = outcome(key::issue(&store, "visitor").await);
        assert_eq!(issued.status, ExitStatus::Unknown);
        assert!(
            issued.text.contains("the change of key "),
            "{}",
            issued.text
        );
        assert!(!issued.text.contains("bsk_"));
        network.store.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        let issued = outcome(key::issue(&store, "visitor").await);
        assert_eq!(issued.status, ExitStatus::Unavailable);
    });
}
