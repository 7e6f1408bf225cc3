//! The three-way merge of two changed versions of a catalogue.

use std::fmt;

use burdockslip_jsonc::Faults;
use burdockslip_types::domain;
use serde_json::{Map, Value};

use crate::diff::{field_names, join_path};

domain! {
    /// A value that both sides changed differently. Values are rendered as JSON;
    /// `None` means that the value is absent.
    pub struct Conflict {
        /// The path of the value, with dots between field names.
        pub path: String,
        /// The value in the base.
        pub base: Option<String>,
        /// The value on our side.
        pub ours: Option<String>,
        /// The value on their side.
        pub theirs: Option<String>,
    }
}

/// The reason why a merge failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeError {
    /// Both sides changed these values differently.
    Conflicts(Vec<Conflict>),
    /// The merged catalogue fails a check, for example because an entry
    /// refers to a removed one.
    Invalid(Faults),
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "nothing".to_owned());
        write!(
            f,
            "{}: base {}, ours {}, theirs {}",
            self.path,
            text(&self.base),
            text(&self.ours),
            text(&self.theirs)
        )
    }
}

impl fmt::Display for MergeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflicts(conflicts) => {
                let lines: Vec<_> = conflicts.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Self::Invalid(faults) => faults.fmt(f),
        }
    }
}

impl std::error::Error for MergeError {}

pub(crate) fn values(base: &Value, ours: &Value, theirs: &Value) -> Result<Value, Vec<Conflict>> {
    let mut conflicts = Vec::new();
    let merged = merge_value("", Some(base), Some(ours), Some(theirs), &mut conflicts);
    if conflicts.is_empty() {
        Ok(merged.unwrap_or(Value::Null))
    } else {
        Err(conflicts)
    }
}

/// Returns the value of the side that changed it. If both sides changed it,
/// objects are merged field by field, and other values are added to `conflicts`.
fn merge_value(
    path: &str,
    base: Option<&Value>,
    ours: Option<&Value>,
    theirs: Option<&Value>,
    conflicts: &mut Vec<Conflict>,
) -> Option<Value> {
    if ours == theirs || theirs == base {
        return ours.cloned();
    }
    if ours == base {
        return theirs.cloned();
    }
    if let (Some(Value::Object(our_fields)), Some(Value::Object(their_fields))) = (ours, theirs) {
        let empty = Map::new();
        let base_fields = base.and_then(Value::as_object).unwrap_or(&empty);
        let mut merged = Map::new();
        for name in field_names(&[base_fields, our_fields, their_fields]) {
            let path = join_path(path, name);
            let sides = (
                base_fields.get(name),
                our_fields.get(name),
                their_fields.get(name),
            );
            if let Some(value) = merge_value(&path, sides.0, sides.1, sides.2, conflicts) {
                merged.insert(name.to_owned(), value);
            }
        }
        return Some(Value::Object(merged));
    }
    conflicts.push(Conflict {
        path: path.to_owned(),
        base: base.map(Value::to_string),
        ours: ours.map(Value::to_string),
        theirs: theirs.map(Value::to_string),
    });
    None
}
