//! Parses a text into a tree whose nodes record their byte offsets.

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
    /// A line and column in a text, both counted from 1.
    #[derive(Copy, Default)]
    pub struct Location {
        /// The line, from 1; 0 in the default value, which stands for no location.
        pub line: usize,
        /// The column in characters, from 1.
        pub column: usize,
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A parsed document.
#[derive(Debug, Clone)]
pub struct Document {
    root: Node,
    text: String,
}

/// A fault with its byte offset.
///
/// Offsets are converted to lines and columns for all faults in one pass, since
/// a document may be one long line.
#[derive(Debug)]
pub(crate) struct UnlocatedFault {
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
    Boolean(bool),
    Number(String),
    Text(String),
    List(Vec<Node>),
    Object(Properties),
}

/// The properties of an object in document order, indexed by name because a
/// catalogue has thousands of entries that are looked up one by one.
#[derive(Debug, Clone)]
pub(crate) struct Properties {
    pub(crate) list: Vec<Property>,
    index: HashMap<Rc<str>, usize>,
}

impl Properties {
    fn new(list: Vec<Property>) -> Self {
        let mut index = HashMap::with_capacity(list.len());
        for (position, property) in list.iter().enumerate() {
            index.entry(Rc::clone(&property.name)).or_insert(position);
        }
        Self { list, index }
    }

    /// Returns the first property called `name`.
    pub(crate) fn get(&self, name: &str) -> Option<&Property> {
        self.index.get(name).map(|position| &self.list[*position])
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
    /// Returns one fault if the text is too large or not JSON with comments. The
    /// parser rejects more than 511 nested lists or 255 nested objects, so that
    /// a malicious document cannot exhaust the stack.
    pub fn parse(text: &str, max_bytes: usize) -> Result<Self, Faults> {
        if text.len() > max_bytes {
            let seen = format!("{} bytes", text.len());
            return Err(document_fault(
                text,
                0,
                seen,
                &format!("at most {max_bytes} bytes"),
            ));
        }
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &options()).map_err(|error| {
                let seen = error.kind().to_string();
                document_fault(text, error.range().start, seen, "JSON with comments")
            })?;
        let Some(value) = parsed.value else {
            return Err(document_fault(text, 0, "nothing".to_owned(), "an object"));
        };
        Ok(Self {
            root: build_node(value),
            text: text.to_owned(),
        })
    }

    /// Reads the document with `read` and returns its result if it added no faults.
    ///
    /// # Errors
    ///
    /// Returns all faults that `read` added.
    pub fn read<T>(&self, read: impl FnOnce(&Field<'_>) -> T) -> Result<T, Faults> {
        let faults = RefCell::new(Vec::new());
        let value = read(&Field::root(&self.root, &faults));
        let faults = faults.into_inner();
        if faults.is_empty() {
            Ok(value)
        } else {
            Err(locate_faults(&self.text, faults))
        }
    }
}

fn document_fault(text: &str, offset: usize, seen: String, wanted: &str) -> Faults {
    let fault = UnlocatedFault {
        path: "(document)".to_owned(),
        offset,
        seen,
        wanted: wanted.to_owned(),
    };
    locate_faults(text, vec![fault])
}

/// Converts the offsets of all faults to locations in one pass over the text.
fn locate_faults(text: &str, mut faults: Vec<UnlocatedFault>) -> Faults {
    faults.sort_by_key(|fault| fault.offset);
    let mut location = Location { line: 1, column: 1 };
    let mut passed = 0;
    let located = faults.into_iter().map(|fault| {
        for character in text.get(passed..fault.offset).unwrap_or_default().chars() {
            if character == '\n' {
                location.line += 1;
                location.column = 1;
            } else {
                location.column += 1;
            }
        }
        passed = fault.offset;
        Fault {
            path: fault.path,
            location,
            seen: fault.seen,
            wanted: fault.wanted,
        }
    });
    Faults::new(located.collect())
}

/// Allows comments and trailing commas and no other extension of JSON.
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

fn build_node(value: Value<'_>) -> Node {
    let offset = value.start();
    let kind = match value {
        Value::NullKeyword(_) => Kind::Null,
        Value::BooleanLit(literal) => Kind::Boolean(literal.value),
        Value::NumberLit(literal) => Kind::Number(literal.value.to_owned()),
        Value::StringLit(literal) => Kind::Text(literal.value.into_owned()),
        Value::Array(array) => {
            let nodes = array.elements.into_iter();
            Kind::List(nodes.map(build_node).collect())
        }
        Value::Object(object) => {
            let properties = object.properties.into_iter();
            Kind::Object(Properties::new(properties.map(build_property).collect()))
        }
    };
    Node { kind, offset }
}

fn build_property(entry: ObjectProp<'_>) -> Property {
    Property {
        offset: entry.range.start,
        name: Rc::from(entry.name.into_string()),
        node: build_node(entry.value),
    }
}
