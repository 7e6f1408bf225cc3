//! Reads the values of a document and collects their faults.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::document::{Kind, Node, Property, UnlocatedFault};

/// The maximum length of a value quoted in a fault, in characters.
const MAX_QUOTED: usize = 60;

/// The prefix of client keys, which faults must not quote (`docs/design.md`, section 4.9).
const KEY_PREFIX: &str = "bsk_";

/// The maximum length of a name in bytes. Names become parts of store keys and
/// of `PostgreSQL` identifiers, which have at most 63 bytes.
const MAX_NAME_BYTES: usize = 63;

/// A value of a document, present or missing.
///
/// Reading a faulty value adds a fault and returns a placeholder. In this case
/// [`crate::Document::read`] returns the faults and no value, so callers never
/// get a placeholder.
#[derive(Debug, Clone)]
pub struct Field<'a> {
    path: String,
    offset: usize,
    node: Option<&'a Node>,
    faults: &'a RefCell<Vec<UnlocatedFault>>,
}

/// An object whose field names have been checked.
#[derive(Debug, Clone)]
pub struct Object<'a>(Field<'a>);

impl Object<'_> {
    /// Returns the field `name`, present or missing.
    #[must_use]
    pub fn get(&self, name: &str) -> Field<'_> {
        self.0.child(name)
    }
}

/// Returns whether `text` is a name: at most 63 lower-case letters, digits, `-`
/// and `_`, starting with a letter or digit.
pub fn is_name(text: &str) -> bool {
    let is_inner = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_".contains(c);
    text.len() <= MAX_NAME_BYTES
        && text.chars().all(is_inner)
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
}

impl<'a> Field<'a> {
    pub(crate) fn root(node: &'a Node, faults: &'a RefCell<Vec<UnlocatedFault>>) -> Self {
        Self {
            path: String::new(),
            offset: node.offset,
            node: Some(node),
            faults,
        }
    }

    /// Returns whether the value is in the document.
    pub fn is_present(&self) -> bool {
        self.node.is_some()
    }

    /// Returns whether the value is `null`.
    pub fn is_null(&self) -> bool {
        matches!(self.kind(), Some(Kind::Null))
    }

    /// Returns the path of the value, such as `classes.browse.deadline`, or
    /// `(document)` for the root.
    pub fn path(&self) -> &str {
        if self.path.is_empty() {
            "(document)"
        } else {
            &self.path
        }
    }

    /// Returns the value at the path `names` below this one, present or missing.
    #[must_use]
    pub fn descend(&self, names: &[&str]) -> Self {
        let mut field = self.clone();
        for name in names {
            field = field.child(name);
        }
        field
    }

    /// Adds a fault: the value is not what is `wanted`.
    pub fn add_fault(&self, wanted: impl Into<String>) {
        self.push_fault(
            self.node.map_or_else(|| "nothing".to_owned(), describe),
            wanted.into(),
        );
    }

    /// Adds a fault that concerns several values, which `seen` describes.
    pub fn add_fault_seen(&self, seen: impl Into<String>, wanted: impl Into<String>) {
        self.push_fault(seen.into(), wanted.into());
    }

    /// Returns whether this value or one inside it has a fault.
    pub fn has_fault(&self) -> bool {
        let is_inside = |path: &str| {
            path.strip_prefix(self.path())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        };
        self.faults
            .borrow()
            .iter()
            .any(|fault| is_inside(&fault.path))
    }

    /// Reads the value with `read`, or returns `None` if it is missing.
    pub fn optional<T>(&self, read: impl FnOnce(&Self) -> T) -> Option<T> {
        self.is_present().then(|| read(self))
    }

    /// Reads a string with at least one character that is not white space.
    pub fn text(&self) -> String {
        match self.kind() {
            Some(Kind::Text(text)) if !text.trim().is_empty() => text.clone(),
            _ => {
                self.add_fault("a text that is not empty");
                String::new()
            }
        }
    }

    /// Reads a secret of at least `min_bytes`; faults never quote it.
    pub fn secret(&self, min_bytes: usize) -> String {
        match self.kind() {
            Some(Kind::Text(text)) if text.len() >= min_bytes => return text.clone(),
            Some(Kind::Text(text)) => self.push_fault(
                format!("a text of {} bytes", text.len()),
                format!("a secret of at least {min_bytes} bytes"),
            ),
            Some(_) => self.push_fault(
                "a value that is not a text".to_owned(),
                format!("a secret of at least {min_bytes} bytes"),
            ),
            None => self.add_fault(format!("a secret of at least {min_bytes} bytes")),
        }
        String::new()
    }

    /// Reads a name as checked by [`is_name`].
    pub fn name(&self) -> String {
        match self.kind() {
            Some(Kind::Text(text)) if is_name(text) => text.clone(),
            _ => {
                self.add_fault("a name of lower-case letters, digits, - and _, at most 63");
                String::new()
            }
        }
    }

    /// Reads `true` or `false`.
    pub fn boolean(&self) -> bool {
        if let Some(Kind::Boolean(value)) = self.kind() {
            return *value;
        }
        self.add_fault("true or false");
        false
    }

    /// Reads a whole number in `range`.
    pub fn integer(&self, range: RangeInclusive<u64>) -> u64 {
        if let Some(Kind::Number(text)) = self.kind()
            && let Ok(number) = text.parse()
            && range.contains(&number)
        {
            return number;
        }
        self.add_fault(format!(
            "a whole number from {} to {}",
            range.start(),
            range.end()
        ));
        *range.start()
    }

    /// Reads a whole number in `range` that fits 32 bits.
    pub fn integer_u32(&self, range: RangeInclusive<u32>) -> u32 {
        let number = self.integer(u64::from(*range.start())..=u64::from(*range.end()));
        u32::try_from(number).unwrap_or(*range.start())
    }

    /// Reads a duration such as `250ms` or `30s` in `range`.
    pub fn duration(&self, range: RangeInclusive<Duration>) -> Duration {
        if let Some(Kind::Text(text)) = self.kind()
            && let Ok(span) = humantime::parse_duration(text)
            && range.contains(&span)
        {
            return span;
        }
        self.add_fault(format!(
            "a time span such as \"250ms\" from {} to {}",
            humantime::format_duration(*range.start()),
            humantime::format_duration(*range.end())
        ));
        *range.start()
    }

    /// Reads an IP address with a port.
    pub fn address(&self) -> SocketAddr {
        if let Some(Kind::Text(text)) = self.kind()
            && let Ok(address) = text.parse()
        {
            return address;
        }
        self.add_fault("an IP address with a port, such as \"10.0.0.1:5432\"");
        SocketAddr::from(([0, 0, 0, 0], 0))
    }

    /// Reads one of the strings of `choices` and returns the value paired with it.
    pub fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> T {
        if let Some(Kind::Text(text)) = self.kind()
            && let Some((_, value)) = choices.iter().find(|(word, _)| word == text)
        {
            return *value;
        }
        let words: Vec<_> = choices
            .iter()
            .map(|(word, _)| format!("\"{word}\""))
            .collect();
        self.add_fault(words.join(" or "));
        choices[0].1
    }

    /// Reads the elements of a list; a missing list is a fault.
    #[must_use]
    pub fn list(&self) -> Vec<Self> {
        if !matches!(self.kind(), Some(Kind::List(_))) {
            self.add_fault("a list");
        }
        self.list_or_empty()
    }

    /// Reads the elements of a list; any other value is read as an empty list,
    /// without a fault.
    #[must_use]
    pub fn list_or_empty(&self) -> Vec<Self> {
        let Some(Kind::List(nodes)) = self.kind() else {
            return Vec::new();
        };
        let fields = nodes.iter().enumerate();
        fields
            .map(|(index, node)| Self {
                path: format!("{}[{index}]", self.path),
                offset: node.offset,
                node: Some(node),
                faults: self.faults,
            })
            .collect()
    }

    /// Reads an object; fields other than `names` are faults.
    #[must_use]
    pub fn object(&self, names: &[&str]) -> Object<'a> {
        for property in self.properties() {
            if !names.contains(&&*property.name) {
                let field = self.property_field(property);
                field.push_fault(
                    "an unknown field".to_owned(),
                    format!("one of {}", names.join(", ")),
                );
            }
        }
        Object(self.clone())
    }

    /// Reads an object whose keys are names as checked by [`is_name`].
    #[must_use]
    pub fn entries(&self) -> Vec<(String, Self)> {
        let mut entries = Vec::new();
        for property in self.properties() {
            let field = self.property_field(property);
            if !is_name(&property.name) {
                field.push_fault(
                    quote(&property.name),
                    "a name of lower-case letters, digits, - and _, at most 63".to_owned(),
                );
            }
            entries.push((property.name.to_string(), field));
        }
        entries
    }

    fn kind(&self) -> Option<&'a Kind> {
        self.node.map(|node| &node.kind)
    }

    /// Returns the properties. Repeated names are faults, because otherwise all
    /// but one of them would be ignored silently.
    fn properties(&self) -> &'a [Property] {
        let Some(Kind::Object(properties)) = self.kind() else {
            self.add_fault("an object");
            return &[];
        };
        let mut names = HashSet::new();
        for property in &properties.list {
            if !names.insert(&property.name) {
                let field = self.property_field(property);
                field.push_fault("a repeated field".to_owned(), "each field once".to_owned());
            }
        }
        &properties.list
    }

    fn property_field(&self, property: &'a Property) -> Self {
        Self {
            path: join(&self.path, &property.name),
            offset: property.offset,
            node: Some(&property.node),
            faults: self.faults,
        }
    }

    fn child(&self, name: &str) -> Self {
        if let Some(Kind::Object(properties)) = self.kind()
            && let Some(property) = properties.get(name)
        {
            return self.property_field(property);
        }
        Self {
            path: join(&self.path, name),
            offset: self.offset,
            node: None,
            faults: self.faults,
        }
    }

    fn push_fault(&self, seen: String, wanted: String) {
        self.faults.borrow_mut().push(UnlocatedFault {
            path: self.path().to_owned(),
            offset: self.offset,
            seen,
            wanted,
        });
    }
}

fn join(path: &str, name: &str) -> String {
    // Field names of the schema and valid entry names need no escaping.
    let short;
    let name = if is_name(name) && !name.contains(KEY_PREFIX) {
        name
    } else {
        short = quote(name);
        &short
    };
    let mut joined = String::with_capacity(path.len() + 1 + name.len());
    joined.push_str(path);
    if !path.is_empty() {
        joined.push('.');
    }
    joined.push_str(name);
    joined
}

fn describe(node: &Node) -> String {
    match &node.kind {
        Kind::Null => "null".to_owned(),
        Kind::Boolean(value) => value.to_string(),
        Kind::Number(text) => quote(text),
        Kind::Text(text) => format!("\"{}\"", quote(text)),
        Kind::List(nodes) => format!("a list of {}", nodes.len()),
        Kind::Object(_) => "an object".to_owned(),
    }
}

/// Shortens a value to quote it in a fault; a text that contains a client key is withheld.
fn quote(text: &str) -> String {
    if text.contains(KEY_PREFIX) {
        return "(withheld)".to_owned();
    }
    let mut short: String = text.chars().take(MAX_QUOTED).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short.escape_debug().to_string()
}
