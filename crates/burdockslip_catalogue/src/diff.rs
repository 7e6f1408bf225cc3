//! The differences between two catalogues, by path.

use std::fmt;

use burdockslip_types::domain;
use serde_json::{Map, Value};

domain! {
    /// One changed value. Values are rendered as JSON.
    pub struct Change {
        /// The path of the value, with dots between field names.
        pub path: String,
        /// The value before, or `None` if it was added.
        pub before: Option<String>,
        /// The value after, or `None` if it was removed.
        pub after: Option<String>,
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "nothing".to_owned());
        write!(
            f,
            "{}: {} -> {}",
            self.path,
            text(&self.before),
            text(&self.after)
        )
    }
}

/// Compares two JSON values. Objects are compared field by field, all other
/// values as a whole.
pub(crate) fn changes(before: &Value, after: &Value) -> Vec<Change> {
    let mut list = Vec::new();
    collect_changes("", Some(before), Some(after), &mut list);
    list
}

fn collect_changes(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    list: &mut Vec<Change>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) {
        for name in field_names(&[old, new]) {
            collect_changes(&join_path(path, name), old.get(name), new.get(name), list);
        }
        return;
    }
    list.push(Change {
        path: path.to_owned(),
        before: before.map(Value::to_string),
        after: after.map(Value::to_string),
    });
}

/// Returns the field names of several objects, sorted and without duplicates.
pub(crate) fn field_names<'a>(objects: &[&'a Map<String, Value>]) -> Vec<&'a str> {
    let mut names: Vec<_> = objects
        .iter()
        .flat_map(|object| object.keys())
        .map(String::as_str)
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

pub(crate) fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
