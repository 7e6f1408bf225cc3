//! Defines the messages that spread the configuration.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{Exchange, HostId, Revision, Zone, domain};

use crate::Section;

domain! {
    /// Holds one key of the configuration.
    pub struct Entry {
        /// The key in the store.
        pub key: Rc<str>,
        /// The value.
        pub value: Rc<[u8]>,
        /// The store's revision of the last change.
        pub revision: Revision,
    }

    /// Names the point at which a change continues that exceeds one message.
    pub struct Cursor {
        /// The section.
        pub section: Section,
        /// The revision that the change leads to.
        pub target: Revision,
        /// The last key that has arrived.
        pub after: Rc<str>,
    }

    /// Asks for changes after the given revisions.
    pub struct Follow {
        /// The revisions that the sender has.
        pub revisions: Vec<(Section, Revision)>,
        /// The continuation of a change, if one is incomplete.
        pub cursor: Option<Cursor>,
        /// How long the answer may wait for a change.
        pub max_wait: Duration,
    }

    /// Announces that the sender has newer revisions.
    pub struct ChangeNotice {
        /// The sender.
        pub from: HostId,
        /// Its revisions.
        pub revisions: Vec<(Section, Revision)>,
    }

    /// Lists the requests between hosts.
    pub enum Request {
        /// Asks for changes.
        Follow(Follow),
        /// Announces changes.
        ChangeNotice(ChangeNotice),
    }

    /// Changes the middle of a large value that the receiver has.
    pub struct Patch {
        /// The key in the store.
        pub key: Rc<str>,
        /// The revision of the value that is changed.
        pub base: Revision,
        /// The revision of the new value.
        pub revision: Revision,
        /// The number of bytes kept from the start.
        pub prefix: usize,
        /// The number of bytes kept from the end.
        pub suffix: usize,
        /// The bytes between them.
        pub middle: Vec<u8>,
    }

    /// Leads one section from a revision to another.
    pub struct Change {
        /// The section.
        pub section: Section,
        /// The revision that the change leads to.
        pub revision: Revision,
        /// Whether the entries replace the whole section.
        pub is_full: bool,
        /// The entries that are new or have changed, in the order of keys.
        pub puts: Vec<Entry>,
        /// The changes of large values.
        pub patches: Vec<Patch>,
        /// The removed keys with the revisions of the removal.
        pub deletes: Vec<(Rc<str>, Revision)>,
        /// The last key contained, if the rest follows in further messages.
        pub continue_after: Option<Rc<str>>,
    }

    /// Bounds the age of what is known of one zone.
    pub struct ZoneAge {
        /// The zone.
        pub zone: Zone,
        /// The age, or nothing if its relays were never heard of.
        pub age: Option<Duration>,
    }

    /// Bounds the age of the sender's knowledge.
    pub struct Freshness {
        /// The time since the store confirmed it.
        pub store: Option<Duration>,
        /// The time since it agreed with the relays of each zone.
        pub zones: Vec<ZoneAge>,
        /// The time that the answer has waited for a change.
        pub waited: Duration,
    }

    /// Answers `Follow`.
    pub struct Update {
        /// The change, if there is one.
        pub change: Option<Change>,
        /// The age of the sender's knowledge.
        pub freshness: Freshness,
    }

    /// Lists the replies, one for each request.
    pub enum Reply {
        /// Answers `Follow`.
        Update(Update),
        /// Answers `ChangeNotice`.
        Done,
    }
}

/// Carries the configuration between hosts.
#[derive(Debug)]
pub struct Distribution;

impl Exchange for Distribution {
    type Request = Request;
    type Reply = Reply;
    const NAME: &'static str = "config";
}
