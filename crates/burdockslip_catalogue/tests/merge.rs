//! Tests the diff and the three-way merge.

use std::rc::Rc;

use burdockslip_catalogue::{Catalogue, MergeError};
use burdockslip_types::Organisation;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

const EXAMPLE: &str = include_str!("fixtures/catalogue.example.jsonc");

fn example() -> Catalogue {
    Catalogue::parse(EXAMPLE).expect("the example has no faults")
}

fn edited(from: &str, to: &str) -> Catalogue {
    assert!(EXAMPLE.contains(from), "the example has no {from}");
    Catalogue::parse(&EXAMPLE.replacen(from, to, 1)).expect("the edit is valid")
}

/// Guards against changes that the diff does not show to an operator.
#[parameterized(
    changed = { "\"weight\": 4", "\"weight\": 5", "organisations.northern-air.weight: 4 -> 5" },
    added = { "\"zones\": {", "\"zones\": { \"e\": { \"owner\": \"x\" },", "zones.e: nothing -> {\"owner\":\"x\"}" },
    default_made_explicit = { "\"deadline\": \"300ms\"", "\"deadline\": \"300ms\", \"offline_limit\": \"30s\"", "" },
    list = { "\"routes\": [] }", "\"routes\": [\"entitlements\"] }", "organisations.visitor.routes: [] -> [\"entitlements\"]" },
    span = { "\"300ms\"", "\"1s\"", "classes.check.deadline: \"300ms\" -> \"1s\"" },
)]
fn changes_are_listed_by_path(from: &str, to: &str, expected: &str) {
    let newer = edited(from, to);
    let lines: Vec<_> = example()
        .diff(&newer)
        .iter()
        .map(ToString::to_string)
        .collect();
    // A new zone also changes the shares of organisations that set none.
    let lines: Vec<_> = lines
        .iter()
        .filter(|line| !line.contains(".shares"))
        .collect();
    assert_eq!(
        lines
            .iter()
            .map(|line| line.as_str())
            .collect::<Vec<_>>()
            .join("\n"),
        expected
    );
}

/// Guards against a merge that silently drops one side of a conflict.
#[test]
fn conflict_names_the_path_and_all_sides() {
    let ours = edited("\"weight\": 4", "\"weight\": 5");
    let theirs = edited("\"weight\": 4", "\"weight\": 6");
    let error = Catalogue::merge(&example(), &ours, &theirs).expect_err("both changed it");
    assert_eq!(
        error.to_string(),
        "organisations.northern-air.weight: base 4, ours 5, theirs 6"
    );
}

/// Guards against a change that is lost because the other side removed its entry.
#[test]
fn removal_conflicts_with_a_change_inside() {
    let mut ours = example();
    ours.organisations.remove("visitor");
    let theirs = edited("\"rate\": 20", "\"rate\": 21");
    let error = Catalogue::merge(&example(), &ours, &theirs).expect_err("both changed it");
    assert!(
        error
            .to_string()
            .starts_with("organisations.visitor: base {"),
        "{error}"
    );
}

/// Guards against merging two valid versions into an invalid catalogue.
#[test]
fn invalid_merge_is_rejected() {
    let ours = edited(
        "\"classes\": [\"check\", \"admit\"]",
        "\"classes\": [\"admit\"]",
    );
    let mut ours = ours;
    ours.classes.remove("check");
    let theirs = edited(
        "\"classes\": [\"browse\"]",
        "\"classes\": [\"browse\", \"check\"]",
    );
    let error = Catalogue::merge(&example(), &ours, &theirs).expect_err("a class is missing");
    let MergeError::Invalid(faults) = error else {
        panic!("expected faults, not {error}");
    };
    assert_eq!(faults.list[0].path, "routes.lounges.classes[1]");
}

/// A random change to a catalogue.
#[derive(Debug, Clone)]
enum Edit {
    Weight(usize, u32),
    Rate(usize, u32),
    Owner(usize, String),
    Remove(usize),
    Add(u8, u32),
}

fn edits() -> impl Strategy<Value = Vec<Edit>> {
    let edit = prop_oneof![
        (0_usize..3, 1_u32..5).prop_map(|(index, weight)| Edit::Weight(index, weight)),
        (0_usize..3, 1_u32..5).prop_map(|(index, rate)| Edit::Rate(index, rate)),
        (0_usize..3, "[a-c]").prop_map(|(index, owner)| Edit::Owner(index, owner)),
        (0_usize..3).prop_map(Edit::Remove),
        (0_u8..3, 1_u32..3).prop_map(|(name, weight)| Edit::Add(name, weight)),
    ];
    proptest::collection::vec(edit, 0..5)
}

fn apply(base: &Catalogue, edits: &[Edit]) -> Catalogue {
    let names: Vec<_> = base.organisations.keys().cloned().collect();
    let mut catalogue = base.clone();
    for edit in edits {
        let organisations = &mut catalogue.organisations;
        let mut change =
            |index: usize, edit: &dyn Fn(&mut burdockslip_catalogue::OrganisationEntry)| {
                if let Some(entry) = organisations.get_mut(names[index].as_str()) {
                    edit(Rc::make_mut(entry));
                }
            };
        match edit {
            Edit::Weight(index, weight) => change(*index, &|entry| entry.weight = *weight),
            Edit::Rate(index, rate) => change(*index, &|entry| entry.rate = *rate),
            Edit::Owner(index, owner) => change(*index, &|entry| entry.owner.clone_from(owner)),
            Edit::Remove(index) => drop(organisations.remove(names[*index].as_str())),
            Edit::Add(name, weight) => {
                let mut entry = base.organisations["visitor"].clone();
                Rc::make_mut(&mut entry).weight = *weight;
                organisations.insert(Organisation::from(format!("new-{name}")), entry);
            }
        }
    }
    catalogue
}

/// Fixes the seed, so that every run tests the same cases.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against a lost change: a value that a side changed has its new
    /// value in the result or is a conflict, and all others are as in the base.
    #[test]
    fn no_change_is_lost(our_edits in edits(), their_edits in edits()) {
        let base = example();
        let (ours, theirs) = (apply(&base, &our_edits), apply(&base, &their_edits));
        let from_ours = base.diff(&ours);
        let from_theirs = base.diff(&theirs);
        match Catalogue::merge(&base, &ours, &theirs) {
            Ok(merged) => {
                let mut expected = [from_ours, from_theirs].concat();
                expected.sort();
                expected.dedup();
                prop_assert_eq!(base.diff(&merged), expected);
            }
            Err(MergeError::Conflicts(conflicts)) => {
                prop_assert!(!conflicts.is_empty());
                for conflict in conflicts {
                    let touches = |changes: &[burdockslip_catalogue::Change]| {
                        changes.iter().any(|change| {
                            change.path.starts_with(&conflict.path)
                                || conflict.path.starts_with(&change.path)
                        })
                    };
                    prop_assert!(touches(&from_ours) && touches(&from_theirs), "{}", conflict);
                }
            }
            Err(MergeError::Invalid(faults)) => prop_assert!(false, "{}", faults),
        }
    }

    /// Guards against a result that depends on which side is `ours`.
    #[test]
    fn merge_is_symmetric(our_edits in edits(), their_edits in edits()) {
        let base = example();
        let (ours, theirs) = (apply(&base, &our_edits), apply(&base, &their_edits));
        let forth = Catalogue::merge(&base, &ours, &theirs);
        let back = Catalogue::merge(&base, &theirs, &ours);
        prop_assert_eq!(forth.ok(), back.ok());
    }

    /// Guards against a parser that panics on an edited document.
    #[test]
    fn damaged_document_is_handled(index: prop::sample::Index, length in 0_usize..40) {
        let start = EXAMPLE.floor_char_boundary(index.index(EXAMPLE.len()));
        let end = EXAMPLE.ceil_char_boundary((start + length).min(EXAMPLE.len()));
        let _ = Catalogue::parse(&format!("{}{}", &EXAMPLE[..start], &EXAMPLE[end..]));
    }
}
