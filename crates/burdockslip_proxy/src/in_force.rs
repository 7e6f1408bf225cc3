//! The configuration in force, against which requests are checked.

use std::rc::Rc;

use burdockslip_catalogue::Catalogue;
use burdockslip_keys::KeyRing;

/// The configuration in force; a change replaces it as a whole.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfig {
    /// The groups, members, routes, classes and organisations.
    pub catalogue: Rc<Catalogue>,
    /// The keys that clients authenticate with.
    pub keys: Rc<KeyRing>,
}
