//! Tests of the changes that hosts forward to each other.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Changes, Relay};
use burdockslip_runtime::{paused, random_range, sleep};
use burdockslip_store::{Entry, Event, MemoryStore};
use burdockslip_types::Revision;
use futures::FutureExt;

use support::{open, wait};

/// The values of records by key.
type Content = BTreeMap<String, Vec<u8>>;

/// Applies changes to the content that a peer knows.
fn apply(content: &mut Content, changes: Changes) {
    if let Some(keys) = changes.keys {
        content.retain(|key, _| keys.contains(key));
    }
    for event in changes.events {
        match event {
            Event::Put(entry) => content.insert(entry.key, entry.value),
            Event::Delete(key, _) => content.remove(&key),
            Event::Progress(_) => None,
        };
    }
}

/// Guards against a peer that is told a revision without a change before it: a record that
/// this host has written ahead of its watch has replaced the version in between.
#[test]
fn version_replaced_ahead_of_the_watch_is_passed_on() {
    paused::run(1, async {
        let store = MemoryStore::new();
        store.put("config", b"3");
        store.put("groups/ledger", b"stable");
        let directory = open(&store);
        wait().await;
        let changes = directory.changes_since(Revision(0));
        let known = changes.expect("the store was read").revision;
        store.put("groups/ledger", b"changing");
        store.put("fence", b"2");
        sleep(Duration::from_secs(2)).await;
        let mut written = directory.record("groups/ledger").expect("it exists");
        written.revision = Revision(written.revision.0 + 10);
        written.value = b"changed".to_vec();
        directory.apply(written);
        let mut peer = Content::from([("groups/ledger".to_owned(), b"stable".to_vec())]);
        apply(
            &mut peer,
            directory.changes_since(known).expect("it was read"),
        );
        assert_eq!(peer["fence"], b"2");
        assert_eq!(peer["groups/ledger"], b"changing");
    });
}

/// A store of which every change is known: its revision, key and value.
#[derive(Default)]
struct Model {
    log: Vec<(Revision, String, Option<Vec<u8>>)>,
}

impl Model {
    /// Returns the last change of each key up to a revision.
    fn last(&self, until: Revision) -> BTreeMap<String, Event> {
        let log = self.log.iter().filter(|(revision, ..)| *revision <= until);
        let change = |(revision, key, value): &(Revision, String, Option<Vec<u8>>)| {
            let (key, revision) = (key.clone(), *revision);
            let event = match value.clone() {
                Some(value) => Event::Put(Entry {
                    key: key.clone(),
                    value,
                    revision,
                }),
                None => Event::Delete(key.clone(), revision),
            };
            (key, event)
        };
        log.map(change).collect()
    }

    fn changes(&self, after: Revision, until: Revision) -> Changes {
        let mut events: Vec<_> = self.last(until).into_values().collect();
        events.retain(|event| event.revision() > after);
        Changes {
            events,
            keys: None,
            revision: until.max(after),
            age: Duration::ZERO,
        }
    }
}

/// Guards against changes that do not make up the state of the store at their revision: a
/// relay that has read some records ahead of what it follows passes the others on.
#[test]
fn changes_make_up_the_state_at_their_revision() {
    for seed in 0..60 {
        paused::run(seed, async move {
            let store = MemoryStore::new();
            store.put("config", b"3");
            let directory = open(&store);
            wait().await;
            let start = directory.applied();
            let model = Rc::new(RefCell::new(Model::default()));
            let followed = Rc::new(Cell::new(start));
            let (known_model, until) = (Rc::clone(&model), Rc::clone(&followed));
            let relay: Relay = Rc::new(move |after| {
                let changes = known_model.borrow().changes(after, until.get());
                async move {
                    sleep(Duration::from_millis(2)).await;
                    Ok(changes)
                }
                .boxed_local()
            });
            directory.set_relay(relay, "leader");
            sleep(Duration::from_secs(2)).await;
            let (mut peer, mut known) = (Content::new(), start);
            for step in 1..=200 {
                let key = format!("key-{}", random_range(0..3));
                let value = (random_range(0..3) > 0).then(|| step.to_string().into_bytes());
                let newest = Revision(start.0 + step);
                model.borrow_mut().log.push((newest, key.clone(), value));
                if random_range(0..3) == 0
                    && let Some(Event::Put(entry)) = model.borrow().last(newest).remove(&key)
                {
                    directory.apply(entry);
                }
                if random_range(0..3) == 0 {
                    let next = random_range(followed.get().0..newest.0 + 1);
                    followed.set(Revision(next));
                    sleep(Duration::from_millis(10)).await;
                }
                if random_range(0..3) > 0 {
                    continue;
                }
                let changes = directory.changes_since(known).expect("the store was read");
                known = changes.revision;
                apply(&mut peer, changes);
                let mut expected = Content::new();
                apply(&mut expected, model.borrow().changes(start, known));
                assert_eq!(peer, expected, "seed {seed}, step {step}");
                // A peer that has missed deletions is told which keys exist.
                let mut other = Content::from([("key-0".to_owned(), b"old".to_vec())]);
                let changes = directory.changes_since(Revision(0));
                apply(&mut other, changes.expect("the store was read"));
                other.remove("config");
                assert_eq!(other, expected, "seed {seed}, step {step}");
            }
            assert!(known > start);
        });
    }
}
