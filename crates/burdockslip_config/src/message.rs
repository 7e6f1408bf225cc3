//! The messages that distribute the configuration.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_types::{Exchange, HostId, Revision, Zone, domain};

use crate::Section;

domain! {
    /// A key of the configuration with its value.
    pub struct Entry {
        /// The store key.
        pub key: Rc<str>,
        /// The value as the store has it.
        pub value: Rc<[u8]>,
        /// The store revision at which the value was last written.
        pub revision: Revision,
    }

    /// The position at which a change that exceeds one message continues.
    pub struct Cursor {
        /// The section that the change is about.
        pub section: Section,
        /// The revision that the change leads to.
        pub target: Revision,
        /// The last key that was received.
        pub after: Rc<str>,
    }

    /// Requests the changes after the given revisions (long polling).
    pub struct Follow {
        /// The revisions that the sender has.
        pub revisions: Vec<(Section, Revision)>,
        /// Where to continue if a change was received in part.
        pub cursor: Option<Cursor>,
        /// How long the reply may be delayed until there is a change.
        pub max_wait: Duration,
    }

    /// Announces the revisions of the sender after a change.
    pub struct ChangeNotice {
        /// The sender.
        pub from: HostId,
        /// The revisions that the sender has.
        pub revisions: Vec<(Section, Revision)>,
    }

    /// The requests of the configuration exchange.
    pub enum Request {
        /// Requests changes.
        Follow(Follow),
        /// Announces changes.
        ChangeNotice(ChangeNotice),
    }

    /// A change of a large value: replaces the bytes between a common prefix and
    /// a common suffix.
    pub struct Patch {
        /// The store key.
        pub key: Rc<str>,
        /// The revision of the value that the patch applies to.
        pub base: Revision,
        /// The revision of the new value.
        pub revision: Revision,
        /// The number of bytes kept from the start.
        pub prefix: usize,
        /// The number of bytes kept from the end.
        pub suffix: usize,
        /// The new bytes between prefix and suffix.
        pub middle: Vec<u8>,
    }

    /// A change of one section to a newer revision, or a part of it.
    pub struct Change {
        /// The section that changes.
        pub section: Section,
        /// The revision that the change leads to.
        pub revision: Revision,
        /// Whether the entries replace the whole section.
        pub is_full: bool,
        /// The new and changed entries, ordered by key.
        pub puts: Vec<Entry>,
        /// The changes of large values that are sent as patches.
        pub patches: Vec<Patch>,
        /// The deleted keys with the revisions at which they were deleted.
        pub deletes: Vec<(Rc<str>, Revision)>,
        /// The last key in this part, or `None` if the change is complete.
        pub continue_after: Option<Rc<str>>,
    }

    /// An upper bound on the age of the sender's configuration relative to one zone.
    pub struct ZoneAge {
        /// The zone.
        pub zone: Zone,
        /// The time since the sender was up to date with the relays of the zone,
        /// or `None` if it never was.
        pub age: Option<Duration>,
    }

    /// Upper bounds on the age of the sender's configuration.
    pub struct Freshness {
        /// The time since the store confirmed it, or `None` if it never did.
        pub store: Option<Duration>,
        /// The time since it agreed with the relays of each zone.
        pub zones: Vec<ZoneAge>,
        /// How long the reply was delayed to wait for a change.
        pub waited: Duration,
    }

    /// The reply to `Follow`.
    pub struct Update {
        /// The next change, or `None` if the receiver is up to date.
        pub change: Option<Change>,
        /// The age of the sender's configuration.
        pub freshness: Freshness,
    }

    /// The replies of the configuration exchange, one for each request.
    pub enum Reply {
        /// The reply to `Follow`.
        Update(Update),
        /// The reply to `ChangeNotice`.
        Done,
    }
}

/// The exchange that distributes the configuration between hosts.
#[derive(Debug)]
pub struct Distribution;

impl Exchange for Distribution {
    type Request = Request;
    type Reply = Reply;
    const NAME: &'static str = "config";
}
