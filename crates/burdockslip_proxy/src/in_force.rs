//! Holds the configuration against which requests are checked.

use std::rc::Rc;

use burdockslip_catalogue::Catalogue;
use burdockslip_keys::KeyRing;

/// Holds one state of the configuration; a change replaces it as a whole.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfig {
    /// The catalogue.
    pub catalogue: Rc<Catalogue>,
    /// The keys.
    pub keys: Rc<KeyRing>,
}
