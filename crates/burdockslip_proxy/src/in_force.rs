//! Holds the configuration that requests are judged by.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use burdockslip_catalogue::Catalogue;
use burdockslip_keys::KeyRing;
use burdockslip_types::{HostId, Zone};

/// Holds one state of the configuration; a change replaces it as a whole.
#[derive(Debug, Clone)]
pub struct InForce {
    /// The catalogue.
    pub catalogue: Rc<Catalogue>,
    /// The keys.
    pub keys: Rc<KeyRing>,
    /// The live hosts.
    pub hosts: Rc<BTreeMap<HostId, HostEntry>>,
}

/// Describes a host as its peers see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// The availability zone of the host.
    pub zone: Zone,
    /// The address for other hosts.
    pub address: SocketAddr,
}
