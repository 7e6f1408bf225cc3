//! Parses a text into a tree whose nodes know their places.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use burdockslip_types::domain;
use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::{Fault, Faults, Field};

domain! {
    /// Names a place in a text; line and column count from 1.
    #[derive(Copy, Default)]
    pub struct Location {
        /// The line.
        pub line: usize,
        /// The column, in characters.
        pub column: usize,
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Holds a parsed document.
#[derive(Debug, Clone)]
pub struct Document {
    root: Node,
    text: String,
}

/// Holds a fault with the byte offset of its place, which is worked out for a
/// whole report at once, since a document may be one long line.
#[derive(Debug)]
pub(crate) struct Note {
    pub(crate) path: String,
    pub(crate) offset: usize,
    pub(crate) seen: String,
    pub(crate) wanted: String,
}

#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) kind: Kind,
    pub(crate) offset: usize,
}

#[derive(Debug, Clone)]
pub(crate) enum Kind {
    Null,
    Flag(bool),
    Number(String),
    Text(String),
    List(Vec<Node>),
    Object(Properties),
}

/// Holds the properties of an object in their order, with an index by name,
/// because a catalogue has thousands of entries that are looked up one by one.
#[derive(Debug, Clone)]
pub(crate) struct Properties {
    pub(crate) list: Vec<Property>,
    index: HashMap<Rc<str>, usize>,
}

impl Properties {
    fn new(list: Vec<Property>) -> Self {
        let mut index = HashMap::with_capacity(list.len());
        for (place, property) in list.iter().enumerate() {
            index.entry(Rc::clone(&property.name)).or_insert(place);
        }
        Self { list, index }
    }

    /// Returns the first property with a name.
    pub(crate) fn get(&self, name: &str) -> Option<&Property> {
        self.index.get(name).map(|place| &self.list[*place])
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Property {
    pub(crate) name: Rc<str>,
    pub(crate) offset: usize,
    pub(crate) node: Node,
}

impl Document {
    /// Parses a text of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns one fault if the text is too large or not JSON with comments;
    /// the parser refuses more than 511 nested lists or 255 nested objects, so
    /// that a hostile document cannot exhaust the stack.
    pub fn parse(text: &str, max_bytes: usize) -> Result<Self, Faults> {
        if text.len() > max_bytes {
            let seen = format!("{} bytes", text.len());
            return Err(whole(text, 0, seen, &format!("at most {max_bytes} bytes")));
        }
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &options()).map_err(|error| {
                let seen = error.kind().to_string();
                whole(text, error.range().start, seen, "JSON with comments")
            })?;
        let Some(value) = parsed.value else {
            return Err(whole(text, 0, "nothing".to_owned(), "an object"));
        };
        Ok(Self {
            root: build(value),
            text: text.to_owned(),
        })
    }

    /// Reads the document with `read` and returns its result if no fault was noted.
    ///
    /// # Errors
    ///
    /// Returns all faults that `read` noted.
    pub fn read<T>(&self, read: impl FnOnce(&Field<'_>) -> T) -> Result<T, Faults> {
        let sink = RefCell::new(Vec::new());
        let value = read(&Field::root(&self.root, &sink));
        let notes = sink.into_inner();
        if notes.is_empty() {
            Ok(value)
        } else {
            Err(report(&self.text, notes))
        }
    }
}

fn whole(text: &str, offset: usize, seen: String, wanted: &str) -> Faults {
    let note = Note {
        path: "(document)".to_owned(),
        offset,
        seen,
        wanted: wanted.to_owned(),
    };
    report(text, vec![note])
}

/// Works out the places of all notes in one pass over the text.
fn report(text: &str, mut notes: Vec<Note>) -> Faults {
    notes.sort_by_key(|note| note.offset);
    let mut location = Location { line: 1, column: 1 };
    let mut done = 0;
    let faults = notes.into_iter().map(|note| {
        for character in text.get(done..note.offset).unwrap_or_default().chars() {
            if character == '\n' {
                location.line += 1;
                location.column = 1;
            } else {
                location.column += 1;
            }
        }
        done = note.offset;
        Fault {
            path: note.path,
            location,
            seen: note.seen,
            wanted: note.wanted,
        }
    });
    Faults::new(faults.collect())
}

/// Allows comments and trailing commas and nothing else beyond JSON.
fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
    }
}

fn build(value: Value<'_>) -> Node {
    let offset = value.start();
    let kind = match value {
        Value::NullKeyword(_) => Kind::Null,
        Value::BooleanLit(literal) => Kind::Flag(literal.value),
        Value::NumberLit(literal) => Kind::Number(literal.value.to_owned()),
        Value::StringLit(literal) => Kind::Text(literal.value.into_owned()),
        Value::Array(array) => {
            let nodes = array.elements.into_iter();
            Kind::List(nodes.map(build).collect())
        }
        Value::Object(object) => {
            let properties = object.properties.into_iter();
            Kind::Object(Properties::new(properties.map(property).collect()))
        }
    };
    Node { kind, offset }
}

fn property(entry: ObjectProp<'_>) -> Property {
    Property {
        offset: entry.range.start,
        name: Rc::from(entry.name.into_string()),
        node: build(entry.value),
    }
}
