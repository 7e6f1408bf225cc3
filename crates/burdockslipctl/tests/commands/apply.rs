//! Guards `apply` against concurrent operators and lost answers.

use crate::support::{EXAMPLE, Fate, Network, apply_edit, edited, seed};
use burdockslip_runtime::paused;
use burdockslip_store::Faults;
use burdockslipctl::commands::{diff, show};
use burdockslipctl::{ApplyId, CATALOGUE_KEY, ExitStatus, MAX_APPLIES, StoredDocument};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

/// Guards against a first apply that needs a base, and a later one that changes the text.
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

/// Guards against a faulty catalogue in the store.
#[test]
fn faults_change_nothing() {
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

/// Guards against an edit of an old copy that undoes what others applied since.
#[test]
fn edit_of_an_old_copy_is_refused() {
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

/// Guards against comments of others that an apply removes.
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

/// Guards against two operators who apply at the same time and both succeed,
/// for many orders of their calls.
#[test]
fn one_of_two_racing_operators_wins() {
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

/// Guards against an apply that is reported as failed, or runs twice, because
/// an answer or a request was lost.
#[parameterized(
    answer = { &[Fate::AnswerLost], "applied, revision 2" },
    answer_twice = { &[Fate::AnswerLost, Fate::AnswerLost], "applied, revision 2" },
    request = { &[Fate::RequestLost, Fate::RequestLost], "applied, revision 2" },
    late_request = { &[Fate::Late], "applied, revision 2" },
    overtaken = { &[Fate::Overtaken], "applied, and followed by another apply, revision 3" },
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

/// Guards against a wrong claim about an apply when the store stays away.
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

/// Guards against a list of ids that fills the document.
#[test]
fn apply_ids_are_bounded() {
    paused::run(1, async {
        let mut document = StoredDocument {
            applies: Vec::new(),
            text: String::new(),
        };
        let ids: Vec<_> = (0..MAX_APPLIES + 5).map(|_| ApplyId::new()).collect();
        for id in &ids {
            document = document.followed_by(id, EXAMPLE);
        }
        let newest: Vec<_> = ids.iter().rev().take(MAX_APPLIES).cloned().collect();
        assert_eq!(document.applies, newest);
        let value = document.render().expect("it fits");
        assert_eq!(StoredDocument::parse(&value).expect("it is text"), document);
        let large = document.followed_by(&ids[0], &"x".repeat(1_000_000));
        assert!(large.render().is_err());
    });
}

/// Guards against a document that hosts cannot read because of the ids.
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

/// Runs every property with the same numbers each time, so that a verdict depends on the tree alone.
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
        Fate::AnswerLost,
        Fate::RequestLost,
        Fate::Late,
    ])
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against a lost or repeated change among many operators with a
    /// bad network: a success is written once, all else not at all.
    #[test]
    fn outcomes_tell_the_truth(
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

    /// Guards against a decoder that panics on what the store holds, or a text
    /// that changes on the way.
    #[test]
    fn stored_documents_round_trip(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(document) = StoredDocument::parse(&bytes) {
            let value = document.render().expect("it is small");
            prop_assert_eq!(StoredDocument::parse(&value).expect("it is text"), document);
        }
    }
}
