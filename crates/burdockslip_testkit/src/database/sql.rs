//! Parses the subset of SQL that the stand-in runs.

use super::log::Change;

/// A parsed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Sql {
    Begin,
    Commit,
    Rollback,
    /// Reads one record of a table by its key, or all records.
    Select(String, Option<String>),
    /// Returns one literal.
    Literal(String),
    /// Returns the given number of rows with a text of the given length each.
    Fill(usize, usize),
    /// Occupies a slot for a number of milliseconds.
    Sleep(u64),
    Change(Change),
    /// Returns the state of the member.
    Status,
    /// Grants a term.
    Fence(u64),
    /// Makes the member primary in a granted term.
    Promote(u64),
    Set,
    Empty,
    Unknown,
}

/// Parses one statement whose parameters have been replaced by literals.
pub(super) fn parse(text: &str) -> Sql {
    let tokens = tokenize(text);
    let words: Vec<&str> = tokens.iter().map(String::as_str).collect();
    let upper: Vec<String> = words.iter().map(|w| w.to_ascii_uppercase()).collect();
    let keywords: Vec<&str> = upper.iter().map(String::as_str).collect();
    match keywords.as_slice() {
        [] => Sql::Empty,
        ["BEGIN" | "START", ..] => Sql::Begin,
        ["COMMIT" | "END", ..] => Sql::Commit,
        ["ROLLBACK" | "ABORT", ..] => Sql::Rollback,
        ["SHOW", "BURDOCKSLIP.STATUS"] => Sql::Status,
        ["SELECT", "BURDOCKSLIP_FENCE", "(", _, ")"] => {
            parse_number(words[3]).map_or(Sql::Unknown, Sql::Fence)
        }
        ["SELECT", "BURDOCKSLIP_PROMOTE", "(", _, ")"] => {
            parse_number(words[3]).map_or(Sql::Unknown, Sql::Promote)
        }
        ["SELECT", "PG_SLEEP", "(", _, ")"] => sleep(words[3]),
        ["SELECT", "FILL", "(", _, ",", _, ")"] => fill(words[3], words[5]),
        ["SELECT", _] => Sql::Literal(unquote(words[1])),
        ["SELECT", "VALUE", "FROM", _, "WHERE", "KEY", "=", _] => {
            Sql::Select(words[3].to_owned(), Some(unquote(words[7])))
        }
        ["SELECT", .., "FROM", _] => Sql::Select(words[words.len() - 1].to_owned(), None),
        ["INSERT", "INTO", ..] => insert(&words, &keywords),
        [
            "UPDATE",
            _,
            "SET",
            "VALUE",
            "=",
            "VALUE",
            "+",
            _,
            "WHERE",
            "KEY",
            "=",
            _,
        ] => unquote(words[7]).parse().map_or(Sql::Unknown, |amount| {
            Sql::Change(Change::Add(words[1].to_owned(), unquote(words[11]), amount))
        }),
        ["UPDATE", _, "SET", "VALUE", "=", _, "WHERE", "KEY", "=", _] => Sql::Change(
            Change::Update(words[1].to_owned(), unquote(words[9]), unquote(words[5])),
        ),
        ["DELETE", "FROM", _, "WHERE", "KEY", "=", _] => {
            Sql::Change(Change::Delete(words[2].to_owned(), unquote(words[6])))
        }
        ["SET", ..] => Sql::Set,
        _ => Sql::Unknown,
    }
}

/// Parses `INSERT INTO t (…) VALUES (k[, v]) [ON CONFLICT …]`.
fn insert(words: &[&str], keywords: &[&str]) -> Sql {
    let Some(at) = keywords.iter().position(|word| *word == "VALUES") else {
        return Sql::Unknown;
    };
    let table = words[2].to_owned();
    let values: Vec<String> = words[at + 1..]
        .iter()
        .skip_while(|word| **word == "(")
        .take_while(|word| **word != ")")
        .filter(|word| **word != ",")
        .map(|word| unquote(word))
        .collect();
    let has_conflict_rule = keywords[at..].contains(&"CONFLICT");
    match values.as_slice() {
        [key] => Sql::Change(Change::Insert(table, key.clone(), String::new())),
        [key, value] if has_conflict_rule => {
            Sql::Change(Change::Upsert(table, key.clone(), value.clone()))
        }
        [key, value] => Sql::Change(Change::Insert(table, key.clone(), value.clone())),
        _ => Sql::Unknown,
    }
}

fn parse_number(text: &str) -> Option<u64> {
    unquote(text).parse().ok()
}

fn sleep(text: &str) -> Sql {
    let millis = unquote(text)
        .parse::<f64>()
        .ok()
        .and_then(|secs| std::time::Duration::try_from_secs_f64(secs).ok())
        .and_then(|span| u64::try_from(span.as_millis()).ok());
    millis.map_or(Sql::Unknown, Sql::Sleep)
}

fn fill(rows: &str, len: &str) -> Sql {
    match (rows.parse(), len.parse()) {
        (Ok(rows), Ok(len)) => Sql::Fill(rows, len),
        _ => Sql::Unknown,
    }
}

fn unquote(text: &str) -> String {
    text.strip_prefix('\'')
        .and_then(|t| t.strip_suffix('\''))
        .map_or_else(|| text.to_owned(), |t| t.replace("''", "'"))
}

/// Splits a statement into words, literals and punctuation, without comments.
fn tokenize(text: &str) -> Vec<String> {
    let mut tokens = Vec::new();
    let mut rest = text.trim_end_matches([';', ' ', '\n']);
    while let Some(c) = rest.chars().next() {
        let len = if rest.starts_with("/*") {
            let len = rest.find("*/").map_or(rest.len(), |at| at + 2);
            rest = &rest[len..];
            continue;
        } else if c == '\'' {
            literal_len(rest)
        } else if c.is_alphanumeric() || "_.-$\"".contains(c) {
            rest.find(|c: char| !(c.is_alphanumeric() || "_.-$\"".contains(c)))
                .unwrap_or(rest.len())
        } else {
            c.len_utf8()
        };
        let token = &rest[..len];
        if !token.trim().is_empty() {
            tokens.push(token.to_owned());
        }
        rest = &rest[len..];
    }
    tokens
}

/// Returns the length of the quoted literal at the start of `text`, in bytes.
fn literal_len(text: &str) -> usize {
    let mut chars = text.char_indices().skip(1).peekable();
    while let Some((at, c)) = chars.next() {
        if c == '\'' {
            if chars.peek().is_some_and(|&(_, next)| next == '\'') {
                chars.next();
            } else {
                return at + 1;
            }
        }
    }
    text.len()
}

/// Replaces the parameters `$1`, `$2`, … by literals.
pub(super) fn bind(text: &str, values: &[Option<String>]) -> String {
    let mut bound = text.to_owned();
    for (index, value) in values.iter().enumerate().rev() {
        let literal = value.as_ref().map_or_else(
            || "NULL".to_owned(),
            |v| format!("'{}'", v.replace('\'', "''")),
        );
        bound = bound.replace(&format!("${}", index + 1), &literal);
    }
    bound
}

/// Returns the number of parameters of a statement, at most 16.
pub(super) fn parameter_count(text: &str) -> usize {
    (1..=16)
        .take_while(|index| text.contains(&format!("${index}")))
        .count()
}

/// Returns the names of the columns that a statement returns.
pub(super) fn columns(sql: &Sql) -> Vec<&'static str> {
    match sql {
        Sql::Select(_, Some(_)) | Sql::Literal(_) | Sql::Fill(..) | Sql::Sleep(_) => vec!["value"],
        Sql::Select(_, None) => vec!["key", "value"],
        Sql::Status | Sql::Fence(_) | Sql::Promote(_) => {
            vec!["member", "promised", "term", "position", "role", "state"]
        }
        _ => Vec::new(),
    }
}
