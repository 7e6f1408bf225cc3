//! Tests `apply` with concurrent operators and lost messages.

use crate::support::{EXAMPLE, Fate, Network, apply_edit, edited, seed};
use burdockslip_runtime::paused;
use burdockslip_store::Faults;
use burdockslipctl::commands::{diff, show};
use burdockslipctl::{ApplyId, CATALOGUE_KEY, ExitStatus, MAX_APPLY_IDS, StoredDocument};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

/// Guards against a first apply that requires a base, and against changes of the
/// text on the way to the store and back.
#[test]
fn applied_text_is_shown() {
    paused::run(1, async {
        let store = Network::new(&[]).client();
        let (outcome, _) = show::show(&store).await.expect("it answers");
        assert_eq!(outcome.status, ExitStatus::NotFound);
        seed(&store).await;
        let (outcome, text) = show::show(&store).await.expect("it answers");
        assert_eq!(outcome.status, ExitStatus::Success);
        assert_eq!(text.as_deref(), Some(EXAMPLE));
        let newer = edited("\"weight\": 4", "\"weight\": 5");
        let outcome = diff::diff(&store, &newer, "f").await.expect("it answers");
        assert_eq!(outcome.status, ExitStatus::Different);
        assert_eq!(outcome.text, "organisations.northern-air.weight: 4 -> 5");
        let outcome = apply_edit(&store, &newer, Some(EXAMPLE)).await;
        assert_eq!(outcome.text, "applied, revision 2");
        let outcome = apply_edit(&store, &newer, Some(EXAMPLE)).await;
        assert_eq!(outcome.text, "already in the store, revision 2");
        let outcome = diff::diff(&store, &newer, "f").await.expect("it answers");
        assert_eq!(outcome.status, ExitStatus::Success);
    });
}

/// Guards against writing an invalid catalogue to the store.
#[test]
fn invalid_catalogue_is_not_written() {
    paused::run(1, async {
        let network = Network::new(&[]);
        let outcome = apply_edit(&network.client(), "{}", None).await;
        assert_eq!(outcome.status, ExitStatus::Invalid);
        assert!(
            outcome.text.contains("f:1:1: zones: seen nothing"),
            "{}",
            outcome.text
        );
        assert_eq!(network.store.calls().total(), 0);
    });
}

/// Guards against an edit of a stale copy that reverts what others applied since.
#[test]
fn edit_of_a_stale_copy_is_refused() {
    paused::run(1, async {
        let network = Network::new(&[]);
        let store = network.client();
        seed(&store).await;
        let theirs = edited("\"weight\": 4", "\"weight\": 5");
        let outcome = apply_edit(&store, &theirs, Some(EXAMPLE)).await;
        assert_eq!(outcome.status, ExitStatus::Success);
        let ours = edited("\"weight\": 4", "\"weight\": 6").replace("\"300ms\"", "\"400ms\"");
        let outcome = apply_edit(&store, &ours, Some(EXAMPLE)).await;
        assert_eq!(outcome.status, ExitStatus::Conflict);
        assert_eq!(
            outcome.text,
            "nothing was changed: the store holds another catalogue than the base, revision 2\n\
             ours:\n\
             \x20 classes.check.deadline: \"300ms\" -> \"400ms\"\n\
             \x20 organisations.northern-air.weight: 4 -> 6\n\
             theirs:\n\
             \x20 organisations.northern-air.weight: 4 -> 5\n\
             conflicts:\n\
             \x20 organisations.northern-air.weight: base 4, ours 6, theirs 5\n\
             resolve the conflicts by hand"
        );
        assert_eq!(outcome.json["conflicts"][0]["theirs"], "5");
        assert_eq!(network.text().await, theirs);
        let outcome = apply_edit(&store, &ours, None).await;
        assert_eq!(outcome.status, ExitStatus::Conflict);
        assert!(outcome.text.contains("the base of the file is not known"));
        assert_eq!(network.text().await, theirs);
    });
}

/// Guards against an apply that removes comments which others added.
#[test]
fn changed_comment_is_kept() {
    paused::run(1, async {
        let network = Network::new(&[]);
        let store = network.client();
        seed(&store).await;
        let theirs = format!("{EXAMPLE}// reviewed\n");
        let outcome = apply_edit(&store, &theirs, Some(EXAMPLE)).await;
        assert_eq!(outcome.status, ExitStatus::Success);
        let ours = edited("\"weight\": 4", "\"weight\": 6");
        let outcome = apply_edit(&store, &ours, Some(EXAMPLE)).await;
        assert_eq!(outcome.status, ExitStatus::Conflict);
        assert!(
            outcome.text.contains("theirs: only comments or layout"),
            "{}",
            outcome.text
        );
        assert_eq!(network.text().await, theirs);
    });
}

/// Guards against success of two concurrent applies, for many orders of their calls.
#[test]
fn one_of_two_concurrent_applies_succeeds() {
    for run in 0..50 {
        paused::run(run, async {
            let network = Network::new(&[]).delayed(20);
            seed(&network.client()).await;
            let ours = edited("\"weight\": 4", "\"weight\": 5");
            let theirs = edited("\"weight\": 4", "\"weight\": 6");
            let (first, second) = (network.client(), network.client());
            let (left, right) = futures::join!(
                apply_edit(&first, &ours, Some(EXAMPLE)),
                apply_edit(&second, &theirs, Some(EXAMPLE)),
            );
            let (winner, loser, text) = if left.status == ExitStatus::Success {
                (left, right, ours)
            } else {
                (right, left, theirs)
            };
            assert_eq!(winner.status, ExitStatus::Success, "{}", winner.text);
            assert_eq!(loser.status, ExitStatus::Conflict, "{}", loser.text);
            assert!(
                loser
                    .text
                    .contains("conflicts:\n  organisations.northern-air.weight")
            );
            assert_eq!(network.text().await, text);
            assert_eq!(network.written().len(), 2);
        });
    }
}

/// Guards against an apply that is reported as failed, or takes effect twice,
/// because a request or response was lost.
#[parameterized(
    response = { &[Fate::ResponseLost], "applied, revision 2" },
    two_responses = { &[Fate::ResponseLost, Fate::ResponseLost], "applied, revision 2" },
    request = { &[Fate::RequestLost, Fate::RequestLost], "applied, revision 2" },
    delayed_request = { &[Fate::Delayed], "applied, revision 2" },
    superseded = { &[Fate::Superseded], "applied, and followed by another apply, revision 3" },
)]
fn lost_messages_are_resolved(fates: &[Fate], expected: &str) {
    let fates = [&[Fate::Answered], fates].concat();
    let expected = expected.to_owned();
    paused::run(1, async move {
        let network = Network::new(&fates);
        let store = network.client();
        seed(&store).await;
        let newer = edited("\"weight\": 4", "\"weight\": 5");
        let outcome = apply_edit(&store, &newer, Some(EXAMPLE)).await;
        assert_eq!(outcome.text, expected);
        assert_eq!(outcome.status, ExitStatus::Success);
        let own = network
            .written()
            .iter()
            .filter(|found| found.text == newer)
            .count();
        assert_eq!(own, 1);
    });
}

/// Guards against reporting a definite result of an apply when the store stays
/// unreachable.
#[test]
fn long_outage_is_reported() {
    paused::run(1, async {
        let lost = [&[Fate::Answered][..], &[Fate::RequestLost; 20]].concat();
        let network = Network::new(&lost);
        let store = network.client();
        seed(&store).await;
        let newer = edited("\"weight\": 4", "\"weight\": 5");
        let outcome = apply_edit(&store, &newer, Some(EXAMPLE)).await;
        assert_eq!(outcome.status, ExitStatus::Unknown);
        assert!(
            outcome.text.contains("was sent; run `show`"),
            "{}",
            outcome.text
        );
        network.store.set_faults(Faults {
            is_down: true,
            ..Faults::default()
        });
        let outcome = apply_edit(&store, &newer, Some(EXAMPLE)).await;
        assert_eq!(outcome.status, ExitStatus::Unavailable);
    });
}

/// Guards against a list of apply ids that grows without bound.
#[test]
fn apply_ids_are_bounded() {
    paused::run(1, async {
        let mut document = StoredDocument {
            apply_ids: Vec::new(),
            text: String::new(),
        };
        let ids: Vec<_> = (0..MAX_APPLY_IDS + 5).map(|_| ApplyId::new()).collect();
        for id in &ids {
            document = document.with_apply(id, EXAMPLE);
        }
        let newest: Vec<_> = ids.iter().rev().take(MAX_APPLY_IDS).cloned().collect();
        assert_eq!(document.apply_ids, newest);
        let value = document.render().expect("it fits");
        assert_eq!(StoredDocument::parse(&value).expect("it is text"), document);
        let large = document.with_apply(&ids[0], &"x".repeat(1_000_000));
        assert!(large.render().is_err());
    });
}

/// Guards against a stored document that hosts cannot parse because of its line
/// of apply ids.
#[test]
fn stored_document_is_a_catalogue() {
    paused::run(1, async {
        let network = Network::new(&[]);
        seed(&network.client()).await;
        let page = network
            .client()
            .range(CATALOGUE_KEY)
            .await
            .expect("it answers");
        let text = String::from_utf8(page.entries[0].value.clone()).expect("it is text");
        burdockslip_catalogue::Catalogue::parse(&text).expect("it has no faults");
    });
}

/// Uses the same random numbers in every run, so that the result depends on the
/// source alone.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop::sample::select(vec![
        Fate::Answered,
        Fate::ResponseLost,
        Fate::RequestLost,
        Fate::Delayed,
    ])
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against lost and repeated changes of several operators on an
    /// unreliable network: a change reported as successful is written exactly
    /// once and one reported as a conflict never.
    #[test]
    fn outcomes_match_what_was_written(
        seed_number: u64,
        fates in proptest::collection::vec(fate(), 0..12),
        count in 2_usize..5,
    ) {
        let fates = [&[Fate::Answered][..], &fates].concat();
        let (outcomes, written) = paused::run(seed_number, async move {
            let network = Network::new(&fates).delayed(3000);
            seed(&network.client()).await;
            let operators = (0..count).map(|index| {
                let store = network.client();
                async move {
                    let to = format!("\"weight\": {}", index + 10);
                    let (_, base) = show::show(&store).await.expect("it answers");
                    let base = base.expect("the store holds a catalogue");
                    let text = base.replacen("\"weight\": 4", &to, 1);
                    let outcome = apply_edit(&store, &text, Some(&base)).await;
                    (text, outcome)
                }
            });
            let outcomes = futures::future::join_all(operators).await;
            (outcomes, network.written())
        });
        for (text, outcome) in outcomes {
            let times = written.iter().filter(|found| found.text == text).count();
            match outcome.status {
                ExitStatus::Success => prop_assert_eq!(times, 1, "{}", outcome.text),
                ExitStatus::Conflict => prop_assert_eq!(times, 0, "{}", outcome.text),
                status => prop_assert_eq!(status, ExitStatus::Unknown, "{}", outcome.text),
            }
        }
    }

    /// Guards against panics on arbitrary stored values, and against documents
    /// that change when they are rendered and parsed.
    #[test]
    fn stored_documents_round_trip(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(document) = StoredDocument::parse(&bytes) {
            let value = document.render().expect("it is small");
            prop_assert_eq!(StoredDocument::parse(&value).expect("it is text"), document);
        }
    }
}
