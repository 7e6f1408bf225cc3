//! Defines the messages of the etcd v3 protocol that the store uses.
//!
//! Field numbers follow the published protocol; fields that the project does
//! not use are left out, which the encoding permits.

use prost::{Enumeration, Message, Oneof};

/// Names the call that reads a range of keys.
pub const RANGE: &str = "/etcdserverpb.KV/Range";
/// Names the call that runs a transaction.
pub const TXN: &str = "/etcdserverpb.KV/Txn";
/// Names the call that grants a lease.
pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
/// Names the call that ends a lease.
pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
/// Names the stream that renews leases.
pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
/// Names the stream of watches.
pub const WATCH: &str = "/etcdserverpb.Watch/Watch";

/// Heads each response.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHeader {
    /// The store's revision.
    #[prost(int64, tag = "3")]
    pub revision: i64,
}

/// Holds one key.
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

/// Reads the keys from `key` to `range_end`.
#[derive(Clone, PartialEq, Message)]
pub struct RangeRequest {
    /// The first key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The key after the last.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// The largest number of keys returned, zero for all.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// The revision to read at, zero for the current one.
    #[prost(int64, tag = "4")]
    pub revision: i64,
}

/// Answers a [`RangeRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct RangeResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys in order.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit left out further keys.
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

/// Removes keys.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeRequest {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
}

/// Lists the results that a comparison may demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum CompareResult {
    /// Both sides are equal.
    Equal = 0,
}

/// Lists the properties that a comparison may look at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum CompareTarget {
    /// The number of changes of the key.
    Version = 0,
    /// The revision of the last change.
    Mod = 2,
}

/// Compares the revision of a key.
#[derive(Clone, PartialEq, Message)]
pub struct Compare {
    /// The demanded result.
    #[prost(enumeration = "CompareResult", tag = "1")]
    pub result: i32,
    /// The property.
    #[prost(enumeration = "CompareTarget", tag = "2")]
    pub target: i32,
    /// The key.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// The value of the property, zero for a missing key.
    #[prost(int64, optional, tag = "6")]
    pub mod_revision: Option<i64>,
}

/// Wraps one operation of a transaction.
#[derive(Clone, PartialEq, Message)]
pub struct RequestOp {
    /// The operation.
    #[prost(oneof = "request_op::Request", tags = "2, 3")]
    pub request: Option<request_op::Request>,
}

/// Holds the alternatives of [`RequestOp`].
pub mod request_op {
    use super::{DeleteRangeRequest, Oneof, PutRequest};

    /// Lists the operations.
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

/// Applies operations if all comparisons hold.
#[derive(Clone, PartialEq, Message)]
pub struct TxnRequest {
    /// The comparisons.
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    /// The operations.
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
}

/// Answers a [`TxnRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct TxnResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Whether the comparisons held.
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
}

/// Asks for a lease.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseGrantRequest {
    /// The time to live in seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
}

/// Names a lease to end or renew.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// The lease.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// Answers a grant or a renewal.
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

/// Answers the end of a lease.
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
    /// The key after the last.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// The first revision of interest.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
}

/// Asks for a response although nothing changed.
#[derive(Clone, PartialEq, Message)]
pub struct WatchProgressRequest {}

/// Wraps a request on the stream of watches.
#[derive(Clone, PartialEq, Message)]
pub struct WatchRequest {
    /// The request.
    #[prost(oneof = "watch_request::Request", tags = "1, 3")]
    pub request: Option<watch_request::Request>,
}

/// Holds the alternatives of [`WatchRequest`].
pub mod watch_request {
    use super::{Oneof, WatchCreateRequest, WatchProgressRequest};

    /// Lists the requests.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Request {
        /// Opens a watch.
        #[prost(message, tag = "1")]
        Create(WatchCreateRequest),
        /// Asks for progress.
        #[prost(message, tag = "3")]
        Progress(WatchProgressRequest),
    }
}

/// Lists the kinds of change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum EventType {
    /// The key has a new value.
    Put = 0,
    /// The key was removed.
    Delete = 1,
}

/// Reports one change.
#[derive(Clone, PartialEq, Message)]
pub struct WatchEvent {
    /// The kind.
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    /// The key and its value.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}

/// Reports changes, progress, or the state of a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchResponse {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Whether this answers the request that opened the watch.
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
    // A single zero stands for the end of the key space.
    vec![0]
}
