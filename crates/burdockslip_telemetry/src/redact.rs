//! Keeps keys and statement values out of log lines.

/// Starts every client key (`docs/design.md`, section 4.9).
const KEY_PREFIX: &str = "bsk_";

/// Stands for a value that is not shown.
pub(crate) const WITHHELD: &str = "(withheld)";

/// Lists the fields whose values are never shown, because they hold secrets or
/// data of clients.
const SECRET_FIELDS: [&str; 10] = [
    "bind",
    "key",
    "parameters",
    "password",
    "query",
    "secret",
    "sql",
    "statement",
    "token",
    "values",
];

/// Returns whether the value of a field is never shown.
pub(crate) fn is_secret_field(name: &str) -> bool {
    SECRET_FIELDS.contains(&name)
}

/// Replaces the rest of every client key in `text`.
pub(crate) fn without_keys(text: &str) -> String {
    let is_inside = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    let mut parts = text.split(KEY_PREFIX);
    let mut clean = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        clean.push_str(KEY_PREFIX);
        clean.push_str(WITHHELD);
        clean.push_str(part.trim_start_matches(is_inside));
    }
    clean
}
