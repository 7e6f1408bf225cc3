//! Combines two sets of changes to the same base.

use std::fmt;

use burdockslip_jsonc::Faults;
use burdockslip_types::domain;
use serde_json::{Map, Value};

use crate::diff::{join, names};

domain! {
    /// Describes a path that both sides changed in different ways, with values as JSON.
    pub struct Conflict {
        /// The path of the value.
        pub path: String,
        /// The value in the base.
        pub base: Option<String>,
        /// The value on our side.
        pub ours: Option<String>,
        /// The value on their side.
        pub theirs: Option<String>,
    }
}

/// Says why a merge failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeError {
    /// Both sides changed these paths.
    Conflicts(Vec<Conflict>),
    /// The combination breaks a check, such as a reference to a removed entry.
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
    let merged = combine("", Some(base), Some(ours), Some(theirs), &mut conflicts);
    if conflicts.is_empty() {
        Ok(merged.unwrap_or(Value::Null))
    } else {
        Err(conflicts)
    }
}

/// Takes the side that changed; a conflict is noted if both did, field by field
/// where both hold objects.
fn combine(
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
    if let (Some(Value::Object(left)), Some(Value::Object(right))) = (ours, theirs) {
        let empty = Map::new();
        let common = base.and_then(Value::as_object).unwrap_or(&empty);
        let mut merged = Map::new();
        for name in names(&[common, left, right]) {
            let path = join(path, name);
            let sides = (common.get(name), left.get(name), right.get(name));
            if let Some(value) = combine(&path, sides.0, sides.1, sides.2, conflicts) {
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
