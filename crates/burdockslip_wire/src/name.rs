//! Keeps a session's prepared statements, so that pooled connections need not.
//!
//! Each unit that goes upstream parses the statements it refers to, and the
//! holder closes them afterwards (`docs/design.md`, section 4.1).

use std::collections::{BTreeSet, HashMap};

use burdockslip_types::{ErrorKind, Result};
use bytes::{Bytes, BytesMut};
use error_stack::bail;

use crate::frame::Frame;
use crate::statement::{Statement, StatementKind, StatementTags, classify, combine, has_control};
use crate::text::{take_byte, take_text};

/// Bounds the statements that one session may keep, because they live in the host's memory.
const MAX_STATEMENTS: usize = 1_000;

/// Holds a unit of extended queries as it goes upstream.
#[derive(Debug, Clone)]
pub struct RewrittenUnit {
    /// The messages, with the missing `Parse` messages in front.
    pub frames: Bytes,
    /// How many `ParseComplete` messages to drop from the answer.
    pub injected: usize,
    /// The statements that the unit leaves on the connection.
    pub names: Vec<String>,
    /// What the executed statements do together.
    pub statement: Statement,
}

/// Holds the prepared statements of one session by name.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    statements: HashMap<String, Prepared>,
}

#[derive(Debug, Clone)]
struct Prepared {
    parse: Bytes,
    statement: Statement,
}

/// Collects what one unit parses and executes.
#[derive(Default)]
struct Pass {
    parsed: BTreeSet<String>,
    missing: Vec<Bytes>,
    kinds: Vec<StatementKind>,
    tags: StatementTags,
}

impl PreparedStatements {
    /// Rewrites the frames of a unit so that it runs on any connection.
    ///
    /// `present` names statements that are on the connection already, which is
    /// the case inside a transaction.
    ///
    /// # Errors
    ///
    /// Returns `Protocol` for a message that cannot be decoded or an unknown
    /// statement, and `TooLarge` if the session keeps too many statements.
    pub fn rewrite(
        &mut self,
        frames: &[Frame],
        present: &BTreeSet<String>,
    ) -> Result<RewrittenUnit> {
        let mut pass = Pass::default();
        for frame in frames {
            match frame.tag() {
                b'P' => self.parse(frame, &mut pass)?,
                b'B' => {
                    let mut body = frame.body();
                    let _portal = take_text(&mut body)?;
                    let name = take_text(&mut body)?;
                    let statement = self.refer(name, present, &mut pass)?;
                    pass.kinds.push(statement.kind);
                    pass.tags = statement.tags;
                }
                b'D' => {
                    let mut body = frame.body();
                    if take_byte(&mut body)? == b'S' {
                        self.refer(take_text(&mut body)?, present, &mut pass)?;
                    }
                }
                b'C' => {
                    let mut body = frame.body();
                    if take_byte(&mut body)? == b'S' {
                        self.statements.remove(take_text(&mut body)?);
                    }
                }
                _ => {}
            }
        }
        Ok(pass.finish(frames))
    }

    fn parse(&mut self, frame: &Frame, pass: &mut Pass) -> Result<()> {
        let mut body = frame.body();
        let name = take_text(&mut body)?.to_owned();
        let query = take_text(&mut body)?;
        if self.statements.len() >= MAX_STATEMENTS && !self.statements.contains_key(&name) {
            bail!(ErrorKind::TooLarge);
        }
        pass.parsed.insert(name.clone());
        self.statements.insert(
            name,
            Prepared {
                parse: frame.bytes().clone(),
                statement: classify(query),
            },
        );
        Ok(())
    }

    fn refer(&self, name: &str, present: &BTreeSet<String>, pass: &mut Pass) -> Result<Statement> {
        let Some(prepared) = self.statements.get(name) else {
            bail!(ErrorKind::Protocol);
        };
        // The unnamed statement never counts as present: the holder may have
        // replaced it with one of its own.
        let is_present = !name.is_empty() && present.contains(name);
        if !is_present && pass.parsed.insert(name.to_owned()) {
            pass.missing.push(prepared.parse.clone());
        }
        Ok(prepared.statement.clone())
    }
}

impl Pass {
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
            names: self.parsed.into_iter().filter(|n| !n.is_empty()).collect(),
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
