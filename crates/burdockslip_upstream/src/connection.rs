//! Talks to one member over one connection.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use burdockslip_directory::Member;
use burdockslip_runtime::{Instant, now};
use burdockslip_statement::{
    Access, Codec, Command, MemberError, MemberMessage, MemberReply, TransactionStatus,
};
use burdockslip_types::{ErrorKind, Organisation, Result};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, bail};

use crate::{Framed, connect};

/// Bounds the prepared statements of a connection, since each takes memory
/// here and at the member.
const MAX_PREPARED: usize = 64;

/// Identifies what a prepared statement does, independent of its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// Whether it writes.
    pub access: Access,
    /// The prepared text.
    pub text: Bytes,
}

/// Holds what a client's session has set.
#[derive(Debug, Clone, Default)]
pub struct SessionState {
    /// The session values.
    pub values: BTreeMap<Bytes, Bytes>,
    /// The prepared statements by the client's names.
    pub prepared: HashMap<Bytes, PreparedStatement>,
}

/// Holds an open connection to a member for one organisation.
#[derive(Debug)]
pub struct Connection {
    codec: Codec,
    framed: Framed,
    member: Rc<Member>,
    organisation: Organisation,
    values: BTreeMap<Bytes, Bytes>,
    prepared: HashMap<PreparedStatement, Bytes>,
    named: u64,
    is_open: bool,
    used: Instant,
}

impl Connection {
    /// Connects to a member; the caller bounds the time.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the member cannot be reached, `QueueFull` if
    /// it has no connection left and `RouteDenied` if another member answers.
    pub async fn open(
        codec: Codec,
        member: Rc<Member>,
        organisation: Organisation,
    ) -> Result<Self> {
        let lost = |error| Report::new(error).change_context(ErrorKind::ConnectionLost);
        // A command that is given up must not reach the member later: RESUME names
        // no term, and would undo the stop of a later change.
        let stream = connect(member.address).await.map_err(lost)?;
        let command = Command::Connect {
            group: member.group.clone(),
            organisation: organisation.clone(),
            member: member.name.clone(),
        };
        let mut connection = Self {
            codec,
            framed: Framed::new(stream),
            member,
            organisation,
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            named: 0,
            is_open: false,
            used: now(),
        };
        connection.send(&[command]).await?;
        match connection.answer().await? {
            MemberMessage::Ready(..) => Ok(connection),
            MemberMessage::Failed(MemberError::TooManyConnections | MemberError::Busy) => {
                bail!(ErrorKind::QueueFull)
            }
            MemberMessage::Failed(MemberError::WrongMember) => bail!(ErrorKind::RouteDenied),
            other => bail!(Report::new(ErrorKind::Protocol).attach(format!("{other:?}"))),
        }
    }

    /// Returns the member.
    pub const fn member(&self) -> &Rc<Member> {
        &self.member
    }

    /// Returns the organisation for which the connection was opened.
    pub const fn organisation(&self) -> &Organisation {
        &self.organisation
    }

    /// Returns whether the session values are those of `state`.
    pub fn matches_values(&self, state: &SessionState) -> bool {
        self.values == state.values
    }

    /// Returns the time of the last use.
    pub const fn last_used(&self) -> Instant {
        self.used
    }

    /// Returns whether the connection can be used again.
    pub fn is_quiet(&self) -> bool {
        self.framed.is_quiet()
    }

    /// Gives the connection the values of a session and, if one is named, its
    /// prepared statement, whose name on this connection is returned.
    ///
    /// Statements are named by what they do, so sessions whose names collide
    /// share a connection.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection breaks and `Protocol` if the
    /// member refuses; the connection must not be used then.
    pub async fn apply_session(
        &mut self,
        state: &SessionState,
        statement: Option<&PreparedStatement>,
    ) -> Result<Option<Bytes>> {
        let mut commands = Vec::new();
        let is_superset = self
            .values
            .keys()
            .all(|name| state.values.contains_key(name));
        let is_full = self.prepared.len() >= MAX_PREPARED && !self.is_open;
        if !is_superset || is_full {
            commands.push(Command::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in &state.values {
            if self.values.get(name) != Some(value) {
                commands.push(Command::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        self.values.clone_from(&state.values);
        let name = statement.map(|statement| self.name(statement, &mut commands));
        if commands.is_empty() {
            return Ok(name);
        }
        for reply in self.call_all(&commands).await? {
            if let Err(failure) = reply.result {
                bail!(
                    Report::new(ErrorKind::Protocol).attach(format!("setup refused: {failure:?}"))
                );
            }
        }
        Ok(name)
    }

    fn name(&mut self, statement: &PreparedStatement, commands: &mut Vec<Command>) -> Bytes {
        if let Some(name) = self.prepared.get(statement) {
            return name.clone();
        }
        self.named += 1;
        let name = Bytes::from(format!("p{}", self.named));
        commands.push(Command::Prepare {
            name: name.clone(),
            access: statement.access,
            text: statement.text.clone(),
        });
        self.prepared.insert(statement.clone(), name.clone());
        name
    }

    /// Sends commands together and reads one reply for each.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` or `Protocol`; commands may have run then, and
    /// the connection must not be used again.
    pub async fn call_all(&mut self, commands: &[Command]) -> Result<Vec<MemberReply>> {
        self.send(commands).await?;
        let mut replies = Vec::with_capacity(commands.len());
        for _ in commands {
            replies.push(self.reply().await?);
        }
        self.is_open = replies
            .last()
            .is_some_and(|reply| reply.state != TransactionStatus::Idle);
        self.used = now();
        Ok(replies)
    }

    /// Sends one command and reads its reply.
    ///
    /// # Errors
    ///
    /// See [`Connection::call_all`].
    pub async fn call(&mut self, command: Command) -> Result<MemberReply> {
        let mut replies = self.call_all(&[command]).await?;
        replies
            .pop()
            .ok_or_else(|| Report::new(ErrorKind::Internal))
    }

    async fn send(&mut self, commands: &[Command]) -> Result<()> {
        let mut bytes = BytesMut::new();
        for command in commands {
            (self.codec.write_command)(command, &mut bytes);
        }
        self.framed.send(bytes).await
    }

    async fn answer(&mut self) -> Result<MemberMessage> {
        self.framed.next(self.codec.read_member).await
    }

    async fn reply(&mut self) -> Result<MemberReply> {
        let mut rows = Vec::new();
        let result = loop {
            match self.answer().await? {
                MemberMessage::Row(row) => rows.push(row),
                MemberMessage::Complete(signature) => break Ok(signature),
                MemberMessage::Failed(failure) => break Err(failure),
                MemberMessage::Ready(..) => {
                    bail!(Report::new(ErrorKind::Protocol).attach("no result"))
                }
            }
        };
        match self.answer().await? {
            MemberMessage::Ready(state, position) => Ok(MemberReply {
                rows,
                result,
                state,
                position,
            }),
            other => bail!(Report::new(ErrorKind::Protocol).attach(format!("{other:?}"))),
        }
    }

    /// Returns whether a reply leaves the connection outside of transactions.
    pub fn is_reusable(reply: &MemberReply) -> bool {
        reply.state == TransactionStatus::Idle
    }
}
