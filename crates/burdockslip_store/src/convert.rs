//! Conversions between the store's types and the messages of its protocol.

use std::time::Duration;

use burdockslip_types::{ErrorKind, Result, Revision};
use error_stack::{ResultExt, bail};

use crate::etcd::{
    self, CompareResult, CompareTarget, DeleteRangeRequest, EventType, KeyValue, PutRequest,
    RequestOp, ResponseHeader, TxnRequest, WatchEvent, request_op,
};
use crate::{Compare, Entry, Event, LeaseId, Operation, Txn};

/// Converts a revision to the number used in messages.
pub fn to_number(revision: Revision) -> i64 {
    i64::try_from(revision.0).unwrap_or(i64::MAX)
}

/// Converts a number in a message to a revision; a negative one becomes zero.
pub fn to_revision(number: i64) -> Revision {
    Revision(u64::try_from(number).unwrap_or(0))
}

/// Returns the store's revision in a response header, zero without a header.
pub fn header_revision(header: Option<ResponseHeader>) -> Revision {
    to_revision(header.map_or(0, |header| header.revision))
}

/// Converts a time to live to whole seconds, rounding up.
pub fn to_seconds(ttl: Duration) -> i64 {
    let round_up = u64::from(ttl.subsec_nanos() > 0);
    i64::try_from(ttl.as_secs() + round_up).unwrap_or(i64::MAX)
}

/// Converts a key-value message to an entry.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the key is not valid UTF-8.
pub fn entry(pair: KeyValue) -> Result<Entry> {
    Ok(Entry {
        key: key_text(pair.key)?,
        value: pair.value,
        revision: to_revision(pair.mod_revision),
    })
}

/// Converts an entry to a key-value message.
pub fn key_value(entry: Entry) -> KeyValue {
    KeyValue {
        key: entry.key.into_bytes(),
        mod_revision: to_number(entry.revision),
        value: entry.value,
    }
}

/// Converts a change in a response of a watch.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the change has no key or its key is not valid UTF-8.
pub fn event(event: WatchEvent) -> Result<Event> {
    let kind = event.r#type();
    let Some(pair) = event.kv else {
        bail!(ErrorKind::StoreUnavailable);
    };
    let entry = entry(pair)?;
    Ok(match kind {
        EventType::Put => Event::Put(entry),
        EventType::Delete => Event::Delete(entry.key, entry.revision),
    })
}

/// Converts an event to a message; `None` for progress, which the protocol
/// reports by a response without events.
pub fn watch_event(event: Event) -> Option<WatchEvent> {
    let (kind, pair) = match event {
        Event::Put(entry) => (EventType::Put, key_value(entry)),
        Event::Delete(key, revision) => {
            let value = Vec::new();
            let entry = Entry {
                key,
                value,
                revision,
            };
            (EventType::Delete, key_value(entry))
        }
        Event::Progress(_) => return None,
    };
    Some(WatchEvent {
        r#type: kind.into(),
        kv: Some(pair),
    })
}

/// Converts a transaction to a message.
pub fn txn_request(txn: Txn) -> TxnRequest {
    TxnRequest {
        compare: txn.compares.into_iter().map(compare_message).collect(),
        success: txn.operations.into_iter().map(operation_message).collect(),
    }
}

fn compare_message(compare: Compare) -> etcd::Compare {
    let Compare::Revision(key, revision) = compare;
    etcd::Compare {
        result: CompareResult::Equal.into(),
        target: CompareTarget::Mod.into(),
        key: key.into_bytes(),
        mod_revision: Some(to_number(revision)),
    }
}

fn operation_message(operation: Operation) -> RequestOp {
    let request = match operation {
        Operation::Put(key, value, lease) => request_op::Request::Put(PutRequest {
            key: key.into_bytes(),
            value,
            lease: lease.map_or(0, |LeaseId(id)| id),
        }),
        Operation::Delete(key) => request_op::Request::DeleteRange(DeleteRangeRequest {
            key: key.into_bytes(),
        }),
    };
    RequestOp {
        request: Some(request),
    }
}

/// Converts a message to a transaction.
///
/// # Errors
///
/// Returns `Protocol` if the message uses a comparison or operation that
/// [`Txn`] does not have.
pub fn txn(message: TxnRequest) -> Result<Txn> {
    let compares = message.compare.into_iter().map(compare);
    let operations = message.success.into_iter().map(operation);
    Ok(Txn {
        compares: compares.collect::<Result<_>>()?,
        operations: operations.collect::<Result<_>>()?,
    })
}

fn compare(message: etcd::Compare) -> Result<Compare> {
    if message.result() != CompareResult::Equal || message.target() != CompareTarget::Mod {
        bail!(ErrorKind::Protocol);
    }
    let revision = to_revision(message.mod_revision.unwrap_or(0));
    Ok(Compare::Revision(key_text(message.key)?, revision))
}

fn operation(message: RequestOp) -> Result<Operation> {
    match message.request {
        Some(request_op::Request::Put(put)) => {
            let lease = (put.lease != 0).then_some(LeaseId(put.lease));
            Ok(Operation::Put(key_text(put.key)?, put.value, lease))
        }
        Some(request_op::Request::DeleteRange(delete)) => {
            Ok(Operation::Delete(key_text(delete.key)?))
        }
        None => bail!(ErrorKind::Protocol),
    }
}

/// Decodes a key as text.
///
/// # Errors
///
/// Returns `StoreUnavailable` if the key is not valid UTF-8.
pub fn key_text(key: Vec<u8>) -> Result<String> {
    String::from_utf8(key).change_context(ErrorKind::StoreUnavailable)
}
