//! Classifies statements by their first words and reads the tags in their comments.
//!
//! The class in the catalogue decides how a statement is treated. The text is
//! looked at only to refuse what contradicts the class or would leave state on
//! a pooled connection.

/// Says whether a statement may change data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// The statement only reads.
    Read,
    /// The statement may write.
    Write,
}

/// Names what a statement does, as far as the proxy cares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementKind {
    /// Contains no statement.
    Empty,
    /// Reads data.
    Read,
    /// May write data.
    Write,
    /// Opens a transaction.
    Begin,
    /// Ends a transaction and keeps its changes.
    Commit,
    /// Ends a transaction and drops its changes.
    Rollback,
    /// Marks or returns to a point inside a transaction.
    Savepoint,
    /// Sets a session parameter to a value.
    Set(String, String),
    /// Shows a session parameter.
    Show(String),
    /// Would leave state on the connection or needs a protocol that is not proxied.
    Unsupported,
}

/// Holds the tags of a sqlcommenter comment that the proxy uses.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StatementTags {
    /// The class for this statement.
    pub class: Option<String>,
    /// The identifier by which a repeated request is recognised.
    pub request_id: Option<String>,
}

/// Describes one query text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// What the text does; of several statements, the one that needs most.
    pub kind: StatementKind,
    /// How many statements the text holds.
    pub count: usize,
    /// Whether one of them opens or ends a transaction.
    pub has_control: bool,
    /// The tags of its comments.
    pub tags: StatementTags,
}

impl Statement {
    /// Returns whether the statement may write.
    pub fn access(&self) -> Access {
        match self.kind {
            StatementKind::Empty | StatementKind::Read | StatementKind::Show(_) => Access::Read,
            _ => Access::Write,
        }
    }
}

/// Classifies a query text.
pub fn classify(sql: &str) -> Statement {
    let (parts, tags) = scan(sql);
    let kinds: Vec<StatementKind> = parts.iter().map(|part| classify_part(part)).collect();
    let count = kinds.len();
    Statement {
        kind: combine(&kinds),
        count,
        has_control: has_control(&kinds),
        tags,
    }
}

/// Combines the kinds of several statements that run as one unit.
///
/// Session parameters are answered by the proxy itself, so they cannot be
/// mixed with statements that an upstream runs.
pub(crate) fn combine(kinds: &[StatementKind]) -> StatementKind {
    match kinds {
        [] => return StatementKind::Empty,
        [kind] => return kind.clone(),
        _ => {}
    }
    let is_excluded = |kind: &StatementKind| {
        matches!(
            kind,
            StatementKind::Set(..) | StatementKind::Show(_) | StatementKind::Unsupported
        )
    };
    if kinds.iter().any(is_excluded) {
        StatementKind::Unsupported
    } else if kinds
        .iter()
        .all(|kind| matches!(kind, StatementKind::Read | StatementKind::Empty))
    {
        StatementKind::Read
    } else {
        StatementKind::Write
    }
}

/// Returns whether one of the statements opens or ends a transaction.
pub(crate) fn has_control(kinds: &[StatementKind]) -> bool {
    let is_control = |kind: &StatementKind| {
        matches!(
            kind,
            StatementKind::Begin | StatementKind::Commit | StatementKind::Rollback
        )
    };
    kinds.iter().any(is_control)
}

fn classify_part(text: &str) -> StatementKind {
    let mut words = text
        .split(|c: char| c.is_whitespace() || c == '(')
        .filter(|w| !w.is_empty());
    let first = words.next().unwrap_or_default().to_ascii_uppercase();
    match first.as_str() {
        "SELECT" | "VALUES" | "TABLE" => classify_read(text),
        "WITH" => classify_with(text),
        "EXPLAIN" if !contains_word(text, "ANALYZE") && !contains_word(text, "ANALYSE") => {
            StatementKind::Read
        }
        "BEGIN" | "START" => StatementKind::Begin,
        "COMMIT" | "END" => StatementKind::Commit,
        "ROLLBACK" if contains_word(text, "TO") => StatementKind::Savepoint,
        "ROLLBACK" | "ABORT" => StatementKind::Rollback,
        "SAVEPOINT" | "RELEASE" => StatementKind::Savepoint,
        "SHOW" => StatementKind::Show(words.next().unwrap_or_default().to_owned()),
        "SET" => classify_set(text),
        "INSERT" | "UPDATE" | "DELETE" | "MERGE" | "ALTER" | "DROP" | "TRUNCATE" | "GRANT"
        | "REVOKE" | "COMMENT" | "CALL" => StatementKind::Write,
        "CREATE" if !contains_word(text, "TEMP") && !contains_word(text, "TEMPORARY") => {
            StatementKind::Write
        }
        _ => StatementKind::Unsupported,
    }
}

/// Treats locking and advisory-lock reads apart from plain reads.
fn classify_read(text: &str) -> StatementKind {
    let lower = text.to_ascii_lowercase();
    if lower.contains("pg_advisory") || lower.contains("set_config") {
        StatementKind::Unsupported
    } else if contains_word(text, "INTO")
        || (contains_word(text, "FOR")
            && (contains_word(text, "UPDATE") || contains_word(text, "SHARE")))
    {
        StatementKind::Write
    } else {
        StatementKind::Read
    }
}

fn classify_with(text: &str) -> StatementKind {
    let writes = ["INSERT", "UPDATE", "DELETE", "MERGE"];
    if writes.iter().any(|word| contains_word(text, word)) {
        StatementKind::Write
    } else {
        classify_read(text)
    }
}

fn classify_set(text: &str) -> StatementKind {
    let rest = text[3..].trim();
    let rest = strip_word(rest, "SESSION").unwrap_or(rest);
    if let Some(local) = strip_word(rest, "LOCAL") {
        // Ends with the transaction, so it leaves nothing on the connection.
        let _ = local;
        return StatementKind::Write;
    }
    let Some(at) = rest.find(|c: char| c == '=' || c.is_whitespace()) else {
        return StatementKind::Unsupported;
    };
    let name = rest[..at].trim().to_ascii_lowercase();
    let value = rest[at..].trim_start();
    let value = value
        .strip_prefix('=')
        .or_else(|| strip_word(value, "TO"))
        .unwrap_or(value)
        .trim();
    let value = value.trim_matches('\'').replace("''", "'");
    StatementKind::Set(name, value)
}

fn strip_word<'a>(text: &'a str, word: &str) -> Option<&'a str> {
    let head = text.get(..word.len())?;
    let tail = &text[word.len()..];
    (head.eq_ignore_ascii_case(word) && tail.starts_with(char::is_whitespace))
        .then(|| tail.trim_start())
}

fn contains_word(text: &str, word: &str) -> bool {
    text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .any(|part| part.eq_ignore_ascii_case(word))
}

/// Splits a text at its semicolons, drops literals and comments, and reads the tags.
///
/// Literals of `SET` are kept, since their value is needed.
fn scan(sql: &str) -> (Vec<String>, StatementTags) {
    let mut parts = vec![String::new()];
    let mut tags = StatementTags::default();
    let mut rest = sql;
    while let Some(c) = rest.chars().next() {
        let part = parts.last_mut().expect("there is always a part");
        let len = if rest.starts_with("--") {
            rest.find(['\n', '\r']).unwrap_or(rest.len())
        } else if rest.starts_with("/*") {
            let len = comment_len(rest);
            read_tags(&rest[..len], &mut tags);
            part.push(' ');
            len
        } else if c == '\'' || c == '"' {
            let len = quoted_len(rest, c, c == '\'' && is_escape_prefix(part));
            if is_set(part) {
                part.push_str(&rest[..len]);
            } else {
                part.push_str(" ? ");
            }
            len
        } else if let Some(len) = dollar_len(rest).filter(|_| word_before(part).is_empty()) {
            part.push_str(" ? ");
            len
        } else if c == ';' {
            parts.push(String::new());
            1
        } else {
            part.push(c);
            c.len_utf8()
        };
        rest = &rest[len..];
    }
    let parts = parts
        .into_iter()
        .map(|part| part.trim().to_owned())
        .filter(|part| !part.is_empty())
        .collect();
    (parts, tags)
}

fn is_set(part: &str) -> bool {
    part.trim_start()
        .get(..4)
        .is_some_and(|head| head.eq_ignore_ascii_case("SET "))
}

/// Returns whether the text before a quote marks an escape string, `E'...'`.
///
/// Inside one a backslash hides the next quote; overlooking that would let a
/// write pass as part of a literal.
fn is_escape_prefix(part: &str) -> bool {
    word_before(part).eq_ignore_ascii_case("e")
}

/// Returns the name that ends `part`, which a quote or dollar sign would continue.
///
/// A dollar sign inside a name opens no literal, and only a prefix that stands
/// alone marks an escape string; a number or parameter in front is no name.
fn word_before(part: &str) -> &str {
    let is_inside = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '$' || !c.is_ascii();
    let start = part.trim_end_matches(is_inside).len();
    part[start..].trim_start_matches(|c: char| c.is_ascii_digit() || c == '$')
}

/// Returns the length of the comment at the start of `text`; comments nest.
fn comment_len(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut at = 0;
    while let Some(pair) = text.as_bytes().get(at..at + 2) {
        match pair {
            b"/*" => depth += 1,
            b"*/" => depth -= 1,
            _ => {
                at += 1;
                continue;
            }
        }
        at += 2;
        if depth == 0 {
            return at;
        }
    }
    text.len()
}

/// Returns the length of the literal or quoted name at the start of `text`.
fn quoted_len(text: &str, quote: char, has_escapes: bool) -> usize {
    let mut chars = text.char_indices().skip(1).peekable();
    while let Some((at, c)) = chars.next() {
        if c == '\\' && has_escapes {
            chars.next();
        } else if c == quote {
            if chars.peek().is_some_and(|&(_, next)| next == quote) {
                chars.next();
            } else {
                return at + 1;
            }
        }
    }
    text.len()
}

/// Returns the length of the dollar-quoted literal at the start of `text`, if there is one.
fn dollar_len(text: &str) -> Option<usize> {
    let inner = text.strip_prefix('$')?;
    let end = inner.find('$')?;
    let tag = &inner[..end];
    let is_tag = !tag.starts_with(|c: char| c.is_ascii_digit())
        && tag.chars().all(|c| c.is_alphanumeric() || c == '_');
    if !is_tag {
        return None;
    }
    let open = &text[..end + 2];
    let close = text[open.len()..].find(open);
    Some(close.map_or(text.len(), |at| open.len() + at + open.len()))
}

/// Reads `key='value'` pairs from a comment.
fn read_tags(text: &str, tags: &mut StatementTags) {
    let inner = text.trim_start_matches("/*").trim_end_matches("*/");
    for pair in inner.split(',') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        let value = value.trim().trim_matches('\'').to_owned();
        match key.trim() {
            "class" => tags.class = Some(value),
            "request_id" => tags.request_id = Some(value),
            _ => {}
        }
    }
}
