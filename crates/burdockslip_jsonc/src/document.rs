//! Parses a text into a tree whose nodes know their places.

use std::cell::RefCell;
use std::fmt;

use burdockslip_types::domain;
use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::{Fault, Faults, Field};

domain! {
    /// Names a place in a text; line and column count from 1.
    #[derive(Copy, Default)]
    pub struct Place {
        /// The line.
        pub line: usize,
        /// The column, in characters.
        pub column: usize,
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Holds a parsed document.
#[derive(Debug, Clone)]
pub struct Document {
    root: Node,
}

#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) kind: Kind,
    pub(crate) place: Place,
}

#[derive(Debug, Clone)]
pub(crate) enum Kind {
    Null,
    Flag(bool),
    Number(String),
    Text(String),
    List(Vec<Node>),
    Object(Vec<Property>),
}

#[derive(Debug, Clone)]
pub(crate) struct Property {
    pub(crate) name: String,
    pub(crate) place: Place,
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
        let lines = Lines::new(text);
        if text.len() > max_bytes {
            let seen = format!("{} bytes", text.len());
            return Err(whole(
                Place { line: 1, column: 1 },
                seen,
                format!("at most {max_bytes} bytes"),
            ));
        }
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &options()).map_err(|error| {
                let place = lines.place(error.range().start);
                whole(
                    place,
                    error.kind().to_string(),
                    "JSON with comments".to_owned(),
                )
            })?;
        let Some(value) = parsed.value else {
            let place = Place { line: 1, column: 1 };
            return Err(whole(place, "nothing".to_owned(), "an object".to_owned()));
        };
        Ok(Self {
            root: build(&lines, value),
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
        let faults = sink.into_inner();
        if faults.is_empty() {
            Ok(value)
        } else {
            Err(Faults::new(faults))
        }
    }
}

fn whole(place: Place, seen: String, wanted: String) -> Faults {
    Faults::new(vec![Fault {
        path: "(document)".to_owned(),
        place,
        seen,
        wanted,
    }])
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

/// Finds line and column of byte offsets.
struct Lines<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        let ends = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(ends).collect(),
        }
    }

    fn place(&self, offset: usize) -> Place {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line.saturating_sub(1)];
        let before = self.text.get(start..offset).unwrap_or_default();
        Place {
            line,
            column: before.chars().count() + 1,
        }
    }
}

fn build(lines: &Lines<'_>, value: Value<'_>) -> Node {
    let place = lines.place(value.start());
    let kind = match value {
        Value::NullKeyword(_) => Kind::Null,
        Value::BooleanLit(literal) => Kind::Flag(literal.value),
        Value::NumberLit(literal) => Kind::Number(literal.value.to_owned()),
        Value::StringLit(literal) => Kind::Text(literal.value.into_owned()),
        Value::Array(array) => {
            let nodes = array.elements.into_iter();
            Kind::List(nodes.map(|element| build(lines, element)).collect())
        }
        Value::Object(object) => {
            let properties = object.properties.into_iter();
            Kind::Object(properties.map(|entry| property(lines, entry)).collect())
        }
    };
    Node { kind, place }
}

fn property(lines: &Lines<'_>, entry: ObjectProp<'_>) -> Property {
    Property {
        place: lines.place(entry.range.start),
        name: entry.name.into_string(),
        node: build(lines, entry.value),
    }
}
