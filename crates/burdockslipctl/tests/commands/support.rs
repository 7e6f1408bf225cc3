//! A store whose transactions fail as a test specifies, and catalogues to apply.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use burdockslip_runtime::{random_range, sleep};
use burdockslip_store::{MemoryStore, Operation, Store, Txn, TxnReply};
use burdockslip_types::{ErrorKind, Result};
use burdockslipctl::commands::apply::{Edit, apply};
use burdockslipctl::{CATALOGUE_KEY, ExitStatus, Outcome, StoredDocument};
use error_stack::bail;
use futures::FutureExt;

/// The example catalogue.
pub(crate) const EXAMPLE: &str =
    include_str!("../../../burdockslip_catalogue/tests/fixtures/catalogue.example.jsonc");

/// What happens to one transaction on its way to the store.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fate {
    /// It runs and the response arrives.
    Answered,
    /// It runs and the response is lost.
    ResponseLost,
    /// It does not reach the store.
    RequestLost,
    /// It reaches the store when the next transaction is sent.
    Delayed,
    /// It runs, the response is lost, and another operator applies a change.
    Superseded,
}

/// The connection between an operator and the store, with delays and losses.
#[derive(Clone)]
pub(crate) struct Network {
    /// The store at the other end.
    pub(crate) store: MemoryStore,
    fates: Rc<RefCell<VecDeque<Fate>>>,
    delayed_txns: Rc<RefCell<Vec<Txn>>>,
    written: Rc<RefCell<Vec<StoredDocument>>>,
    /// The maximum delay of a call, in milliseconds.
    delay: u64,
}

impl Network {
    /// Builds a network with the fates of the first transactions; later ones are
    /// answered.
    pub(crate) fn new(fates: &[Fate]) -> Self {
        Self {
            store: MemoryStore::new(),
            fates: Rc::new(RefCell::new(fates.iter().copied().collect())),
            delayed_txns: Rc::default(),
            written: Rc::default(),
            delay: 0,
        }
    }

    /// Delays each call by a random time up to `millis`.
    pub(crate) fn delayed(mut self, millis: u64) -> Self {
        self.delay = millis;
        self
    }

    /// Returns a client of the store whose calls go through this network.
    pub(crate) fn client(&self) -> Store {
        let network = self.clone();
        let inner = self.store.client("operator");
        let watch_store = inner.clone();
        Store::new(
            move |request| {
                let (network, inner) = (network.clone(), inner.clone());
                async move {
                    use burdockslip_store::{Reply, Request};
                    sleep(std::time::Duration::from_millis(random_range(
                        0..network.delay + 1,
                    )))
                    .await;
                    match request {
                        Request::Range(prefix) => inner.range(&prefix).await.map(Reply::Page),
                        Request::Txn(txn) => network.txn(&inner, txn).await.map(Reply::Txn),
                        _ => bail!(ErrorKind::NotSupported),
                    }
                }
                .boxed_local()
            },
            move |prefix, after| {
                let watch_store = watch_store.clone();
                async move { watch_store.watch(&prefix, after).await }.boxed_local()
            },
        )
    }

    async fn txn(&self, inner: &Store, txn: Txn) -> Result<TxnReply> {
        let delayed = self.delayed_txns.take();
        let fate = self.fates.borrow_mut().pop_front();
        for txn in delayed {
            self.run(inner, &txn).await?;
        }
        match fate.unwrap_or(Fate::Answered) {
            Fate::Answered => return self.run(inner, &txn).await,
            Fate::ResponseLost => {
                self.run(inner, &txn).await?;
            }
            Fate::RequestLost => {}
            Fate::Delayed => self.delayed_txns.borrow_mut().push(txn),
            Fate::Superseded => {
                self.run(inner, &txn).await?;
                let text = self.text().await.replace("\"weight\": 1", "\"weight\": 9");
                let base = self.text().await;
                let edit = edit(&text, Some(&base));
                apply(inner, edit, None).await?;
            }
        }
        bail!(ErrorKind::StoreUnavailable)
    }

    async fn run(&self, inner: &Store, txn: &Txn) -> Result<TxnReply> {
        let reply = inner.txn(txn.clone()).await?;
        if let (true, [Operation::Put(key, value, _)]) = (reply.is_applied, &txn.operations[..])
            && key == CATALOGUE_KEY
        {
            self.written
                .borrow_mut()
                .push(StoredDocument::parse(value)?);
        }
        Ok(reply)
    }

    /// Returns the documents written through this network, in order.
    pub(crate) fn written(&self) -> Vec<StoredDocument> {
        self.written.borrow().clone()
    }

    /// Returns the catalogue text in the store.
    pub(crate) async fn text(&self) -> String {
        let store = self.store.client("reader");
        let page = store.range(CATALOGUE_KEY).await.expect("the store is up");
        let value = &page.entries[0].value;
        StoredDocument::parse(value).expect("it is text").text
    }
}

/// Builds an edit of a file called `f`.
pub(crate) fn edit<'a>(text: &'a str, base: Option<&'a str>) -> Edit<'a> {
    Edit {
        text,
        base,
        source: "f",
    }
}

/// Returns the example catalogue with the first occurrence of `from` replaced.
pub(crate) fn edited(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "the example has no {from}");
    EXAMPLE.replacen(from, to, 1)
}

/// Applies an edit; an error becomes its outcome, as in the program.
pub(crate) async fn apply_edit(store: &Store, text: &str, base: Option<&str>) -> Outcome {
    let result = apply(store, edit(text, base), None).await;
    result.unwrap_or_else(|report| Outcome::from_error(&report))
}

/// Applies the example catalogue to an empty store.
pub(crate) async fn seed(store: &Store) {
    let outcome = apply_edit(store, EXAMPLE, None).await;
    assert_eq!(outcome.status, ExitStatus::Success, "{}", outcome.text);
}
