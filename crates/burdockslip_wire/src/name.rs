//! Tracks the prepared statements of a session, so that they do not have to
//! stay on pooled connections.
//!
//! Each unit that is sent upstream parses the statements that it refers to, and
//! the holder closes them afterwards (`docs/design.md`, section 4.1).

use std::collections::{BTreeSet, HashMap};

use burdockslip_types::{ErrorKind, Result};
use bytes::{Bytes, BytesMut};
use error_stack::bail;

use crate::frame::Frame;
use crate::statement::{Statement, StatementKind, StatementTags, classify, combine, has_control};
use crate::text::{take_byte, take_cstr};

/// The maximum number of prepared statements of one session, because they are
/// kept in the host's memory.
const MAX_STATEMENTS: usize = 1_000;

/// A unit of the extended query protocol as it is sent upstream.
#[derive(Debug, Clone)]
pub struct RewrittenUnit {
    /// The messages, with the missing `Parse` messages in front.
    pub frames: Bytes,
    /// The number of `Parse` messages that were added, whose `ParseComplete`
    /// messages must be dropped from the response.
    pub injected: usize,
    /// The names of the statements that the unit leaves on the connection.
    pub statements: Vec<String>,
    /// The combined classification of the executed statements.
    pub statement: Statement,
}

/// The prepared statements of one session, by name.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    statements: HashMap<String, Prepared>,
}

#[derive(Debug, Clone)]
struct Prepared {
    parse: Bytes,
    statement: Statement,
}

/// What has been collected about a unit while its messages are read.
#[derive(Default)]
struct RewriteState {
    parsed: BTreeSet<String>,
    missing: Vec<Bytes>,
    kinds: Vec<StatementKind>,
    tags: StatementTags,
}

impl PreparedStatements {
    /// Rewrites a unit so that it can run on any connection, by adding `Parse`
    /// messages for the statements that it uses but does not parse.
    ///
    /// `present` holds the names of statements that are already on the
    /// connection, as they are within a transaction.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` for a message that cannot be decoded or an unknown
    /// statement, and `TooLarge` if the session has too many statements.
    pub fn rewrite(
        &mut self,
        frames: &[Frame],
        present: &BTreeSet<String>,
    ) -> Result<RewrittenUnit> {
        let mut state = RewriteState::default();
        for frame in frames {
            match frame.tag() {
                b'P' => self.parse(frame, &mut state)?,
                b'B' => {
                    let mut body = frame.body();
                    let _portal = take_cstr(&mut body)?;
                    let name = take_cstr(&mut body)?;
                    let statement = self.resolve(name, present, &mut state)?;
                    state.kinds.push(statement.kind);
                    state.tags = statement.tags;
                }
                b'D' => {
                    let mut body = frame.body();
                    if take_byte(&mut body)? == b'S' {
                        self.resolve(take_cstr(&mut body)?, present, &mut state)?;
                    }
                }
                b'C' => {
                    let mut body = frame.body();
                    if take_byte(&mut body)? == b'S' {
                        self.statements.remove(take_cstr(&mut body)?);
                    }
                }
                _ => {}
            }
        }
        Ok(state.finish(frames))
    }

    fn parse(&mut self, frame: &Frame, state: &mut RewriteState) -> Result<()> {
        let mut body = frame.body();
        let name = take_cstr(&mut body)?.to_owned();
        let query = take_cstr(&mut body)?;
        if self.statements.len() >= MAX_STATEMENTS && !self.statements.contains_key(&name) {
            bail!(ErrorKind::TooLarge);
        }
        state.parsed.insert(name.clone());
        self.statements.insert(
            name,
            Prepared {
                parse: frame.bytes().clone(),
                statement: classify(query),
            },
        );
        Ok(())
    }

    fn resolve(
        &self,
        name: &str,
        present: &BTreeSet<String>,
        state: &mut RewriteState,
    ) -> Result<Statement> {
        let Some(prepared) = self.statements.get(name) else {
            bail!(ErrorKind::Protocol);
        };
        // The unnamed statement never counts as present, because the holder may
        // have replaced it with one of its own.
        let is_present = !name.is_empty() && present.contains(name);
        if !is_present && state.parsed.insert(name.to_owned()) {
            state.missing.push(prepared.parse.clone());
        }
        Ok(prepared.statement.clone())
    }
}

impl RewriteState {
    fn finish(self, frames: &[Frame]) -> RewrittenUnit {
        let injected = self.missing.len();
        let mut bytes = BytesMut::new();
        for parse in &self.missing {
            bytes.extend_from_slice(parse);
        }
        for frame in frames {
            bytes.extend_from_slice(frame.bytes());
        }
        let is_only_described = self.kinds.is_empty();
        RewrittenUnit {
            frames: bytes.freeze(),
            injected,
            statements: self.parsed.into_iter().filter(|n| !n.is_empty()).collect(),
            statement: Statement {
                kind: if is_only_described {
                    StatementKind::Read
                } else {
                    combine(&self.kinds)
                },
                count: self.kinds.len(),
                has_control: has_control(&self.kinds),
                tags: self.tags,
            },
        }
    }
}
