//! Classifies statements by their keywords and reads the tags in their comments.
//!
//! The class in the catalogue decides how a statement is handled. The text is
//! inspected only to reject statements that contradict the class or would leave
//! state on a pooled connection.

/// Whether a statement may change data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// The statement only reads.
    Read,
    /// The statement may write.
    Write,
}

/// What a statement does, as far as the proxy has to distinguish it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementKind {
    /// No statement, as in an empty query.
    Empty,
    /// Reads data.
    Read,
    /// May write data.
    Write,
    /// Opens a transaction.
    Begin,
    /// Ends a transaction and keeps its changes.
    Commit,
    /// Ends a transaction and discards its changes.
    Rollback,
    /// Sets, releases or rolls back to a savepoint.
    Savepoint,
    /// Sets the named session parameter to a value.
    Set(String, String),
    /// Shows the named session parameter.
    Show(String),
    /// Leaves state on the connection, or needs a protocol that is not proxied,
    /// or is not recognised.
    Unsupported,
}

/// The tags that the proxy reads from the sqlcommenter comments of a statement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StatementTags {
    /// The class of the request, from the tag `class`; `None` means the class of
    /// the session.
    pub class: Option<String>,
    /// The ID by which a repeated request is recognised, from the tag `request_id`.
    pub request_id: Option<String>,
}

/// The classification of a query text, which may hold several statements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// What the text does; the kinds of several statements are combined.
    pub kind: StatementKind,
    /// The number of statements in the text.
    pub count: usize,
    /// Whether any of them opens or ends a transaction.
    pub has_control: bool,
    /// The tags in the comments of the text.
    pub tags: StatementTags,
}

impl Statement {
    /// Returns [`Access::Read`] only if no part of the text may write.
    pub fn access(&self) -> Access {
        match self.kind {
            StatementKind::Empty | StatementKind::Read | StatementKind::Show(_) => Access::Read,
            _ => Access::Write,
        }
    }
}

/// Classifies a query text.
pub fn classify(sql: &str) -> Statement {
    let (parts, tags) = split_statements(sql);
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
/// The proxy itself handles session parameters, so they cannot be mixed with
/// statements that an upstream runs.
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

/// Returns whether any of the statements opens or ends a transaction.
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

/// Distinguishes plain reads from those that lock rows, create a table or
/// change the state of the session.
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
        // `SET LOCAL` ends with the transaction, so it leaves no state on the connection.
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

/// Splits a text into statements at its semicolons, replaces literals and quoted
/// names by a placeholder, removes comments, and reads the tags.
///
/// Literals of `SET` are kept, since their value is needed.
fn split_statements(sql: &str) -> (Vec<String>, StatementTags) {
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
            if is_set_statement(part) {
                part.push_str(&rest[..len]);
            } else {
                part.push_str(" ? ");
            }
            len
        } else if let Some(len) = dollar_quoted_len(rest).filter(|_| trailing_name(part).is_empty())
        {
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

fn is_set_statement(part: &str) -> bool {
    part.trim_start()
        .get(..4)
        .is_some_and(|head| head.eq_ignore_ascii_case("SET "))
}

/// Returns whether `part`, the text before a quote, ends with the prefix of an
/// escape string, `E'...'`.
///
/// In an escape string, a backslash escapes the next quote. If that were
/// ignored, a write could be mistaken for part of a literal.
fn is_escape_prefix(part: &str) -> bool {
    trailing_name(part).eq_ignore_ascii_case("e")
}

/// Returns the identifier at the end of `part`, directly before a quote or
/// dollar sign.
///
/// A dollar sign within an identifier does not open a literal, and only a
/// prefix that is a whole identifier marks an escape string. Digits and
/// parameters directly before it are not part of the identifier.
fn trailing_name(part: &str) -> &str {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '$' || !c.is_ascii();
    let start = part.trim_end_matches(is_name_char).len();
    part[start..].trim_start_matches(|c: char| c.is_ascii_digit() || c == '$')
}

/// Returns the length of the block comment at the start of `text`; comments nest.
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

/// Returns the length of the string literal or quoted identifier at the start
/// of `text`.
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
fn dollar_quoted_len(text: &str) -> Option<usize> {
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

/// Reads the known `key='value'` tags from a comment.
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
