//! The messages of the etcd v3 protocol that the store uses.
//!
//! Field numbers follow the published protocol; fields that the project does
//! not use are left out, which the encoding permits.

use prost::{Enumeration, Message, Oneof};

/// The path of the call that reads a range of keys.
pub const RANGE: &str = "/etcdserverpb.KV/Range";
/// The path of the call that runs a transaction.
pub const TXN: &str = "/etcdserverpb.KV/Txn";
/// The path of the call that grants a lease.
pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
/// The path of the call that ends a lease.
pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
/// The path of the stream that renews leases.
pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
/// The path of the stream of watches.
pub const WATCH: &str = "/etcdserverpb.Watch/Watch";

/// The header of each response.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHeader {
    /// The store's revision.
    #[prost(int64, tag = "3")]
    pub revision: i64,
}

/// A key with its value.
#[derive(Clone, PartialEq, Message)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The revision of the last change.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// The value.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
}

/// Reads the keys from `key` up to, but not including, `range_end`.
#[derive(Clone, PartialEq, Message)]
pub struct RangeRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// The largest number of keys returned, zero for all.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// The revision to read at, zero for the current one.
    #[prost(int64, tag = "4")]
    pub revision: i64,
}

/// The response to a [`RangeRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct RangeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The entries, ordered by key.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether the range has more keys than the limit allowed.
    #[prost(bool, tag = "3")]
    pub more: bool,
}

/// Writes one key.
#[derive(Clone, PartialEq, Message)]
pub struct PutRequest {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// The lease, zero for none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// Removes one key.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeRequest {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
}

/// The required result of a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum CompareResult {
    /// Both sides are equal.
    Equal = 0,
}

/// The property of a key that a comparison checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum CompareTarget {
    /// The number of changes since the key was created.
    Version = 0,
    /// The revision of the last change.
    Mod = 2,
}

/// A condition of a transaction on the revision of a key.
#[derive(Clone, PartialEq, Message)]
pub struct Compare {
    /// The required result, a [`CompareResult`].
    #[prost(enumeration = "CompareResult", tag = "1")]
    pub result: i32,
    /// The property, a [`CompareTarget`].
    #[prost(enumeration = "CompareTarget", tag = "2")]
    pub target: i32,
    /// The key.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// The value of the property, zero for a missing key.
    #[prost(int64, optional, tag = "6")]
    pub mod_revision: Option<i64>,
}

/// One operation of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct RequestOp {
    /// The operation.
    #[prost(oneof = "request_op::Request", tags = "2, 3")]
    pub request: Option<request_op::Request>,
}

/// The variants of [`RequestOp`].
pub mod request_op {
    use super::{DeleteRangeRequest, Oneof, PutRequest};

    /// An operation.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Request {
        /// Writes a key.
        #[prost(message, tag = "2")]
        Put(PutRequest),
        /// Removes a key.
        #[prost(message, tag = "3")]
        DeleteRange(DeleteRangeRequest),
    }
}

/// Applies all operations if every comparison holds, otherwise none.
#[derive(Clone, PartialEq, Message)]
pub struct TxnRequest {
    /// The comparisons.
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    /// The operations to apply.
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
}

/// The response to a [`TxnRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct TxnResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Whether the comparisons held.
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
}

/// Requests a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantRequest {
    /// The time to live in seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
}

/// Ends or renews a lease, depending on the path.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// The lease.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// The response to the grant or the renewal of a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// The time to live in seconds, zero if the lease is gone.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// The response to the end of a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRevokeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Opens a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCreateRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// The first revision whose changes are reported.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
}

/// Requests a response even if nothing changed.
#[derive(Clone, PartialEq, Message)]
pub struct WatchProgressRequest {}

/// A request on the stream of watches.
#[derive(Clone, PartialEq, Message)]
pub struct WatchRequest {
    /// The request.
    #[prost(oneof = "watch_request::Request", tags = "1, 3")]
    pub request: Option<watch_request::Request>,
}

/// The variants of [`WatchRequest`].
pub mod watch_request {
    use super::{Oneof, WatchCreateRequest, WatchProgressRequest};

    /// A request.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Request {
        /// Opens a watch.
        #[prost(message, tag = "1")]
        Create(WatchCreateRequest),
        /// Requests a progress notice.
        #[prost(message, tag = "3")]
        Progress(WatchProgressRequest),
    }
}

/// The kind of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum EventType {
    /// The key has a new value.
    Put = 0,
    /// The key was removed.
    Delete = 1,
}

/// One change.
#[derive(Clone, PartialEq, Message)]
pub struct WatchEvent {
    /// The kind, an [`EventType`].
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    /// The key and its value.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}

/// Changes, a progress notice, or the state of a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Whether this is the response to the request that opened the watch.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// Whether the store ended the watch.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// The changes.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<WatchEvent>,
}

/// Returns the end of the range of all keys that start with `prefix`.
pub fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // A single zero byte means the end of the key space.
    vec![0]
}
