//! Holds the checked catalogue and its lookups.

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

/// Bounds the document, because a value of the store holds at most 1 MB.
pub const MAX_BYTES: usize = 1_000_000;

/// Names the schema that this release reads; it changes only with the meaning of fields.
pub const SCHEMA_VERSION: u32 = 1;

domain! {
    /// Holds all entries of a catalogue that passed the checks.
    ///
    /// Entries are shared, so a session keeps the one with which it started.
    /// The default holds none; a host has it until it knows a real one.
    #[derive(Default)]
    pub struct Catalogue {
        /// The schema version.
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
    /// Parses and checks a document of JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document, each with path, line, column, the
    /// value seen and the value wanted.
    pub fn parse(text: &str) -> std::result::Result<Self, Faults> {
        let document = Document::parse(text, MAX_BYTES)?;
        document.read(|root| {
            let catalogue = read::catalogue(root);
            check::catalogue(&catalogue, root);
            catalogue
        })
    }

    /// Renders the catalogue as a document without comments, which parses to the same catalogue.
    pub fn render(&self) -> String {
        format!("{:#}", self.to_value())
    }

    /// Lists what differs in `newer`, ordered by path.
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        diff::changes(&self.to_value(), &newer.to_value())
    }

    /// Combines two sets of changes to the same base.
    ///
    /// # Errors
    ///
    /// Returns the conflicting paths, or the faults of the combination if the
    /// changes are valid only apart.
    pub fn merge(base: &Self, ours: &Self, theirs: &Self) -> std::result::Result<Self, MergeError> {
        let merged = merge::values(&base.to_value(), &ours.to_value(), &theirs.to_value())
            .map_err(MergeError::Conflicts)?;
        Self::parse(&format!("{merged:#}")).map_err(MergeError::Invalid)
    }

    /// Returns an organisation's entry.
    pub fn organisation(&self, name: &str) -> Option<&Rc<OrganisationEntry>> {
        self.organisations.get(name)
    }

    /// Returns a route.
    pub fn route(&self, name: &str) -> Option<&Rc<RouteEntry>> {
        self.routes.get(name)
    }

    /// Returns a class.
    pub fn class(&self, name: &str) -> Option<&Rc<ClassEntry>> {
        self.classes.get(name)
    }

    /// Returns a database group.
    pub fn group(&self, name: &str) -> Option<&Rc<GroupEntry>> {
        self.groups.get(name)
    }

    /// Lists all availability zones in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.keys()
    }

    /// Lists all database groups.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupName, &Rc<GroupEntry>)> {
        self.groups.iter()
    }

    /// Lists all members with their groups.
    pub fn members(&self) -> impl Iterator<Item = (&GroupName, &MemberName, &Rc<MemberEntry>)> {
        self.groups.iter().flat_map(|(group, entry)| {
            let members = entry.members.iter();
            members.map(move |(name, member)| (group, name, member))
        })
    }

    /// Returns the route if the organisation may use it.
    ///
    /// # Errors
    ///
    /// Returns `RouteDenied` if the route does not exist, or if it is neither
    /// open nor listed for the organisation; the two look alike to a caller.
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

    /// Returns a class of a route, or the default class if none is named.
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
        serde_json::to_value(self).expect("names are texts and numbers are whole")
    }
}
