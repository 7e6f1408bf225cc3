//! Reads values of a document and notes what is wrong with them.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::document::{Kind, Node, Note, Property};

/// Bounds how much of a value a fault repeats, in characters.
const MAX_SEEN: usize = 60;

/// Starts every client key, which a report must not repeat (`docs/design.md`, section 4.9).
const KEY_PREFIX: &str = "bsk_";

/// Bounds a name; names become parts of store keys and `PostgreSQL` identifiers,
/// which hold 63 bytes.
const MAX_NAME: usize = 63;

/// Points at a value, present or missing.
///
/// Reading a faulty value notes the fault and yields a placeholder;
/// [`crate::Document::read`] returns no value then, so placeholders never
/// leave it.
#[derive(Debug, Clone)]
pub struct Field<'a> {
    path: String,
    offset: usize,
    node: Option<&'a Node>,
    sink: &'a RefCell<Vec<Note>>,
}

/// Points at an object whose field names have been checked.
#[derive(Debug, Clone)]
pub struct Object<'a>(Field<'a>);

impl Object<'_> {
    /// Returns the field `name`, present or missing.
    #[must_use]
    pub fn get(&self, name: &str) -> Field<'_> {
        self.0.child(name)
    }
}

/// Returns whether `text` is a name: lower-case letters, digits, `-` and `_`, at most 63.
pub fn is_name(text: &str) -> bool {
    let is_inner = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_".contains(c);
    text.len() <= MAX_NAME
        && text.chars().all(is_inner)
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
}

impl<'a> Field<'a> {
    pub(crate) fn root(node: &'a Node, sink: &'a RefCell<Vec<Note>>) -> Self {
        Self {
            path: String::new(),
            offset: node.offset,
            node: Some(node),
            sink,
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

    /// Returns the path of the value.
    pub fn path(&self) -> &str {
        if self.path.is_empty() {
            "(document)"
        } else {
            &self.path
        }
    }

    /// Returns the value at `names` below this one, present or missing.
    #[must_use]
    pub fn descend(&self, names: &[&str]) -> Self {
        let mut field = self.clone();
        for name in names {
            field = field.child(name);
        }
        field
    }

    /// Notes that the value is not what is wanted.
    pub fn add_fault(&self, wanted: impl Into<String>) {
        self.note(
            self.node.map_or_else(|| "nothing".to_owned(), seen),
            wanted.into(),
        );
    }

    /// Notes a fault that spans several values, described by `seen`.
    pub fn add_fault_seen(&self, seen: impl Into<String>, wanted: impl Into<String>) {
        self.note(seen.into(), wanted.into());
    }

    /// Returns whether a fault was noted for this value or one inside it.
    pub fn has_fault(&self) -> bool {
        let is_inside = |path: &str| {
            path.strip_prefix(self.path())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        };
        self.sink
            .borrow()
            .iter()
            .any(|fault| is_inside(&fault.path))
    }

    /// Reads the value with `read` if it is present.
    pub fn optional<T>(&self, read: impl FnOnce(&Self) -> T) -> Option<T> {
        self.is_present().then(|| read(self))
    }

    /// Reads a text that is not empty.
    pub fn text(&self) -> String {
        match self.kind() {
            Some(Kind::Text(text)) if !text.trim().is_empty() => text.clone(),
            _ => {
                self.add_fault("a text that is not empty");
                String::new()
            }
        }
    }

    /// Reads a secret of at least `min_bytes`; faults never repeat it.
    pub fn secret(&self, min_bytes: usize) -> String {
        match self.kind() {
            Some(Kind::Text(text)) if text.len() >= min_bytes => return text.clone(),
            Some(Kind::Text(text)) => self.note(
                format!("a text of {} bytes", text.len()),
                format!("a secret of at least {min_bytes} bytes"),
            ),
            Some(_) => self.note(
                "a value that is not a text".to_owned(),
                format!("a secret of at least {min_bytes} bytes"),
            ),
            None => self.add_fault(format!("a secret of at least {min_bytes} bytes")),
        }
        String::new()
    }

    /// Reads a name, see [`is_name`].
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
        if let Some(Kind::Flag(flag)) = self.kind() {
            return *flag;
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

    /// Reads a time span such as `250ms` or `30s` in `range`.
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

    /// Reads one of the listed words and returns its meaning.
    pub fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> T {
        if let Some(Kind::Text(text)) = self.kind()
            && let Some((_, meaning)) = choices.iter().find(|(word, _)| word == text)
        {
            return *meaning;
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

    /// Reads the elements of a list and notes no fault if there is none.
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
                sink: self.sink,
            })
            .collect()
    }

    /// Reads an object that has no other fields than `names`.
    #[must_use]
    pub fn object(&self, names: &[&str]) -> Object<'a> {
        for property in self.properties() {
            if !names.contains(&&*property.name) {
                let field = self.at(property);
                field.note(
                    "an unknown field".to_owned(),
                    format!("one of {}", names.join(", ")),
                );
            }
        }
        Object(self.clone())
    }

    /// Reads an object that maps names to entries.
    #[must_use]
    pub fn entries(&self) -> Vec<(String, Self)> {
        let mut entries = Vec::new();
        for property in self.properties() {
            let field = self.at(property);
            if !is_name(&property.name) {
                field.note(
                    shorten(&property.name),
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

    /// Returns the properties and notes repeated names, of which a reader
    /// would silently see only one.
    fn properties(&self) -> &'a [Property] {
        let Some(Kind::Object(properties)) = self.kind() else {
            self.add_fault("an object");
            return &[];
        };
        let mut names = HashSet::new();
        for property in &properties.list {
            if !names.insert(&property.name) {
                let field = self.at(property);
                field.note("a repeated field".to_owned(), "each field once".to_owned());
            }
        }
        &properties.list
    }

    fn at(&self, property: &'a Property) -> Self {
        Self {
            path: join(&self.path, &property.name),
            offset: property.offset,
            node: Some(&property.node),
            sink: self.sink,
        }
    }

    fn child(&self, name: &str) -> Self {
        if let Some(Kind::Object(properties)) = self.kind()
            && let Some(property) = properties.get(name)
        {
            return self.at(property);
        }
        Self {
            path: join(&self.path, name),
            offset: self.offset,
            node: None,
            sink: self.sink,
        }
    }

    fn note(&self, seen: String, wanted: String) {
        self.sink.borrow_mut().push(Note {
            path: self.path().to_owned(),
            offset: self.offset,
            seen,
            wanted,
        });
    }
}

fn join(path: &str, name: &str) -> String {
    // Names of the schema and valid names of entries need no escape.
    let short;
    let name = if is_name(name) && !name.contains(KEY_PREFIX) {
        name
    } else {
        short = shorten(name);
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

fn seen(node: &Node) -> String {
    match &node.kind {
        Kind::Null => "null".to_owned(),
        Kind::Flag(flag) => flag.to_string(),
        Kind::Number(text) => shorten(text),
        Kind::Text(text) => format!("\"{}\"", shorten(text)),
        Kind::List(nodes) => format!("a list of {}", nodes.len()),
        Kind::Object(_) => "an object".to_owned(),
    }
}

/// Shortens a value for a fault; texts that hold a client key are withheld.
fn shorten(text: &str) -> String {
    if text.contains(KEY_PREFIX) {
        return "(withheld)".to_owned();
    }
    let mut short: String = text.chars().take(MAX_SEEN).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short.escape_debug().to_string()
}
