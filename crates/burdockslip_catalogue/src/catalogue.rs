//! The validated catalogue and its lookups.

use std::collections::BTreeMap;
use std::rc::Rc;

use burdockslip_jsonc::{Document, Faults};
use burdockslip_types::{
    ClassName, ErrorKind, GroupName, MemberName, Organisation, Result, RouteName, Zone, domain,
};
use error_stack::Report;

use crate::{
    Change, ClassEntry, GroupEntry, MemberEntry, MergeError, OrganisationEntry, RouteEntry,
    ZoneEntry, check, diff, merge, read,
};

/// The maximum size of the document, in bytes, because a value in the store
/// holds at most 1 MB.
pub const MAX_BYTES: usize = 1_000_000;

/// The schema version that this release reads. It changes only if the meaning
/// of a field changes.
pub const SCHEMA_VERSION: u32 = 1;

domain! {
    /// All entries of a catalogue that passed the checks.
    ///
    /// Entries are reference-counted, so a session can keep the ones with which
    /// it started. The default is empty; a host uses it until it has loaded a
    /// catalogue.
    #[derive(Default)]
    pub struct Catalogue {
        /// The schema version, always [`SCHEMA_VERSION`] in a parsed catalogue.
        pub version: u32,
        /// The availability zones.
        pub zones: BTreeMap<Zone, Rc<ZoneEntry>>,
        /// The database groups.
        pub groups: BTreeMap<GroupName, Rc<GroupEntry>>,
        /// The classes.
        pub classes: BTreeMap<ClassName, Rc<ClassEntry>>,
        /// The routes.
        pub routes: BTreeMap<RouteName, Rc<RouteEntry>>,
        /// The organisations.
        pub organisations: BTreeMap<Organisation, Rc<OrganisationEntry>>,
    }
}

impl Catalogue {
    /// Parses and validates a document in JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document, each with its path, line and column,
    /// the value found and what is allowed.
    pub fn parse(text: &str) -> std::result::Result<Self, Faults> {
        let document = Document::parse(text, MAX_BYTES)?;
        document.read(|root| {
            let catalogue = read::catalogue(root);
            check::catalogue(&catalogue, root);
            catalogue
        })
    }

    /// Renders the catalogue as a document without comments, which parses to an
    /// equal catalogue.
    pub fn render(&self) -> String {
        format!("{:#}", self.to_value())
    }

    /// Returns the changes from this catalogue to `newer`, ordered by path.
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        diff::changes(&self.to_value(), &newer.to_value())
    }

    /// Performs a three-way merge of two changed versions of `base`.
    ///
    /// # Errors
    ///
    /// Returns the conflicting paths, or the faults of the merged catalogue if
    /// the two versions are valid only separately.
    pub fn merge(base: &Self, ours: &Self, theirs: &Self) -> std::result::Result<Self, MergeError> {
        let merged = merge::values(&base.to_value(), &ours.to_value(), &theirs.to_value())
            .map_err(MergeError::Conflicts)?;
        Self::parse(&format!("{merged:#}")).map_err(MergeError::Invalid)
    }

    /// Returns the entry of an organisation, or `None` if it is not in the catalogue.
    pub fn organisation(&self, name: &str) -> Option<&Rc<OrganisationEntry>> {
        self.organisations.get(name)
    }

    /// Returns the entry of a route, or `None` if it is not in the catalogue.
    pub fn route(&self, name: &str) -> Option<&Rc<RouteEntry>> {
        self.routes.get(name)
    }

    /// Returns the entry of a class, or `None` if it is not in the catalogue.
    pub fn class(&self, name: &str) -> Option<&Rc<ClassEntry>> {
        self.classes.get(name)
    }

    /// Returns the entry of a database group, or `None` if it is not in the catalogue.
    pub fn group(&self, name: &str) -> Option<&Rc<GroupEntry>> {
        self.groups.get(name)
    }

    /// Iterates over all availability zones in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.keys()
    }

    /// Iterates over all database groups in the order of their names.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupName, &Rc<GroupEntry>)> {
        self.groups.iter()
    }

    /// Iterates over the members of all groups, each with its group.
    pub fn members(&self) -> impl Iterator<Item = (&GroupName, &MemberName, &Rc<MemberEntry>)> {
        self.groups.iter().flat_map(|(group, entry)| {
            let members = entry.members.iter();
            members.map(move |(name, member)| (group, name, member))
        })
    }

    /// Returns the entry of a route that the organisation may use.
    ///
    /// # Errors
    ///
    /// Returns `RouteDenied` if the organisation or the route does not exist, or
    /// if the route is neither open nor listed for the organisation. A caller
    /// cannot distinguish these cases.
    pub fn route_for(&self, organisation: &str, route: &str) -> Result<&Rc<RouteEntry>> {
        let denied = || Report::new(ErrorKind::RouteDenied);
        let entry = self.route(route).ok_or_else(denied)?;
        let owner = self.organisation(organisation).ok_or_else(denied)?;
        if entry.is_open || owner.routes.iter().any(|name| name.as_str() == route) {
            Ok(entry)
        } else {
            Err(denied())
        }
    }

    /// Returns the requested class, or the default class of the route if `class`
    /// is `None`.
    ///
    /// # Errors
    ///
    /// Returns `UnknownClass` if the route does not allow the class.
    pub fn class_for<'a>(
        &'a self,
        route: &'a RouteEntry,
        class: Option<&str>,
    ) -> Result<(&'a ClassName, &'a Rc<ClassEntry>)> {
        let unknown = || Report::new(ErrorKind::UnknownClass);
        let name = match class {
            None => route.default_class().ok_or_else(unknown)?,
            Some(class) => {
                let mut names = route.classes.iter();
                names
                    .find(|name| name.as_str() == class)
                    .ok_or_else(unknown)?
            }
        };
        let entry = self.class(name.as_str()).ok_or_else(unknown)?;
        Ok((name, entry))
    }

    fn to_value(&self) -> serde_json::Value {
        serde_json::to_value(self).expect("a catalogue serializes to JSON")
    }
}
