//! Holds the state that all sessions of a host share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use burdockslip_catalogue::GroupEntry;
use burdockslip_group::{Group, ReadPolicy, Settings, Timing, WatchReply, WatchRequest, Watcher};
use burdockslip_keys::TokenSecrets;
use burdockslip_peer::PeerPool;
use burdockslip_types::{GroupName, HostId, MemberName, Zone};

use crate::counter::Counter;
use crate::endpoint::Sessions;
use crate::holder::{self, Holder};
use crate::hooks::Hooks;
use crate::in_force::ActiveConfig;
use crate::options::Options;
use crate::placement::Placement;
use crate::stamp::Stamps;

/// Holds the state that all sessions of a host share.
pub(crate) struct Host {
    pub(crate) options: Rc<Options>,
    pub(crate) secrets: TokenSecrets,
    pub(crate) peers: PeerPool,
    pub(crate) sessions: Sessions,
    /// Counts the conversations that other hosts have opened.
    pub(crate) conversations: Counter,
    pub(crate) is_draining: Cell<bool>,
    pub(crate) hooks: Hooks,
    pub(crate) stamps: Rc<Stamps>,
    pub(crate) placement: Placement,
    active_config: RefCell<Rc<ActiveConfig>>,
    holders: RefCell<HashMap<MemberName, Rc<Holder>>>,
    groups: RefCell<HashMap<GroupName, Group>>,
    primaries: RefCell<HashMap<GroupName, MemberName>>,
}

impl Host {
    pub(crate) fn new(
        options: Rc<Options>,
        secrets: TokenSecrets,
        peers: PeerPool,
        hooks: Hooks,
        placement: Placement,
        config: Rc<ActiveConfig>,
    ) -> Self {
        Self {
            options,
            secrets,
            peers,
            sessions: Sessions::default(),
            conversations: Counter::default(),
            is_draining: Cell::new(false),
            hooks,
            stamps: Rc::new(Stamps::new()),
            placement,
            active_config: RefCell::new(config),
            holders: RefCell::default(),
            groups: RefCell::default(),
            primaries: RefCell::default(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn active_config(&self) -> Rc<ActiveConfig> {
        Rc::clone(&self.active_config.borrow())
    }

    /// Puts a configuration in force.
    pub(crate) fn set_active_config(&self, config: Rc<ActiveConfig>) {
        self.active_config.replace(config);
    }

    /// Returns the holder of a member on this host, opening it if needed.
    pub(crate) fn holder(&self, group: &GroupName, member: &MemberName) -> Option<Rc<Holder>> {
        if let Some(holder) = self.holders.borrow().get(member) {
            return Some(Rc::clone(holder));
        }
        let config = self.active_config();
        let entry = config.catalogue.group(group.as_str())?;
        let database = entry.members.get(member)?;
        let watch = self.watch(group, entry);
        let holder = Holder::open(
            member,
            watch,
            (entry, database),
            &self.stamps,
            &self.options,
        );
        holder.set_weights(&config.catalogue);
        self.holders
            .borrow_mut()
            .insert(member.clone(), Rc::clone(&holder));
        Some(holder)
    }

    /// Returns the watcher of a group on this host, starting it if needed.
    fn watch(&self, name: &GroupName, entry: &GroupEntry) -> Group {
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(name.clone()).or_insert_with(|| {
            let settings = Settings {
                group: name.clone(),
                host: self.options.host.clone(),
                zone: self.options.zone.clone(),
                watchers: self.watchers(entry),
                policy: ReadPolicy::default(),
                timing: Timing::default(),
            };
            let members = entry
                .members
                .iter()
                .map(|(member, database)| holder::member(member, entry, database, &self.options))
                .collect();
            Group::spawn(settings, members, self.peers.client())
        });
        group.clone()
    }

    /// Lists the hosts that watch a group: the holders of its members.
    fn watchers(&self, entry: &GroupEntry) -> Vec<Watcher> {
        let mut watchers: Vec<Watcher> = Vec::new();
        for (member, database) in &entry.members {
            let host = self.holder_host(member, &database.zone);
            if watchers.iter().all(|watcher| watcher.host != host) {
                let zone = self.zone_of(&host).unwrap_or_else(|| database.zone.clone());
                watchers.push(Watcher { host, zone });
            }
        }
        watchers
    }

    fn zone_of(&self, host: &HostId) -> Option<Zone> {
        let view = self.placement.view();
        view.peer(host).map(|peer| peer.zone.clone())
    }

    /// Starts, adjusts and stops holders and watchers after a change.
    pub(crate) fn refresh(&self) {
        let config = self.active_config();
        for (group, member, database) in config.catalogue.members() {
            let is_own = self.holder_host(member, &database.zone) == self.options.host;
            if is_own {
                // Watchers have to run before the first request, since they promote.
                if let Some(holder) = self.holder(group, member) {
                    holder.set_weights(&config.catalogue);
                }
            } else {
                self.holders.borrow_mut().remove(member);
            }
        }
        let groups = config.catalogue.groups();
        let watched: HashMap<&GroupName, Vec<Watcher>> = groups
            .map(|(name, entry)| (name, self.watchers(entry)))
            .collect();
        self.groups.borrow_mut().retain(|name, group| {
            let Some(watchers) = watched.get(name) else {
                return false;
            };
            group.set_watchers(watchers.clone());
            watchers.iter().any(|w| w.host == self.options.host)
        });
    }

    /// Answers another watcher of a group.
    pub(crate) fn answer_watcher(&self, request: WatchRequest) -> WatchReply {
        let name = match &request {
            WatchRequest::View { group }
            | WatchRequest::Freshness { group }
            | WatchRequest::Promoted { group, .. } => group,
        };
        let group = self.groups.borrow().get(name).cloned();
        group.map_or(WatchReply::Nothing, |group| group.handle(request))
    }

    /// Returns the host that holds the connections of a member: the highest
    /// ranked in the member's zone, or of all if that zone has none.
    pub(crate) fn holder_host(&self, member: &MemberName, zone: &Zone) -> HostId {
        if self.options.is_direct {
            return self.options.host.clone();
        }
        self.placement.holder(member, zone)
    }

    /// Returns the availability zone of a member.
    pub(crate) fn member_zone(&self, group: &GroupName, member: &MemberName) -> Option<Zone> {
        let config = self.active_config();
        let entry = config.catalogue.group(group.as_str())?;
        entry.members.get(member).map(|entry| entry.zone.clone())
    }

    /// Returns the member that was last known as the group's primary.
    pub(crate) fn primary(&self, group: &GroupName) -> Option<MemberName> {
        let watched = self.groups.borrow().get(group).cloned();
        if let Some(Ok(primary)) = watched.map(|group| group.primary()) {
            return Some(primary.member);
        }
        if let Some(member) = self.primaries.borrow().get(group) {
            return Some(member.clone());
        }
        let config = self.active_config();
        let entry = config.catalogue.group(group.as_str())?;
        entry.members.keys().next().cloned()
    }

    /// Remembers the member that a holder named as primary.
    pub(crate) fn set_primary(&self, group: &GroupName, member: MemberName) {
        self.primaries.borrow_mut().insert(group.clone(), member);
    }
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Host").field(&self.options.host).finish()
    }
}
