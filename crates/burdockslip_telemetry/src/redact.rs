//! Redacts client keys and statement values in log lines.

/// The prefix of every client key (`docs/design.md`, section 4.9).
const KEY_PREFIX: &str = "bsk_";

/// The text that replaces a redacted value.
pub(crate) const WITHHELD: &str = "(withheld)";

/// The fields whose values are always redacted, because they hold secrets or
/// client data.
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

/// Returns whether the value of a field is always redacted.
pub(crate) fn is_secret_field(name: &str) -> bool {
    SECRET_FIELDS.contains(&name)
}

/// Replaces everything after the prefix of each client key in `text`.
pub(crate) fn redact_keys(text: &str) -> String {
    let is_key_char = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    let mut segments = text.split(KEY_PREFIX);
    let mut redacted = segments.next().unwrap_or_default().to_owned();
    for segment in segments {
        redacted.push_str(KEY_PREFIX);
        redacted.push_str(WITHHELD);
        redacted.push_str(segment.trim_start_matches(is_key_char));
    }
    redacted
}
