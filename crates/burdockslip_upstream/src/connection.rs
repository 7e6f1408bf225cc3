//! A connection to one member.

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

/// The maximum number of prepared statements per connection, since each takes
/// memory here and at the member.
const MAX_PREPARED: usize = 64;

/// The maximum size of the values and prepared statements of an idle connection, in bytes.
const MAX_IDLE_BYTES: usize = 64 << 10;

/// The maximum size of the statements that a transaction prepares, in bytes. Their names
/// cannot be given up before it ends.
const MAX_TRANSACTION_BYTES: usize = 2 << 20;

/// A prepared statement, identified by its content and not by its name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PreparedStatement {
    /// Whether the statement may write.
    pub access: Access,
    /// The prepared text.
    pub text: Bytes,
}

/// The state that a client has set up in its session.
#[derive(Debug, Clone, Default)]
pub struct SessionState {
    /// The session variables.
    pub values: BTreeMap<Bytes, Bytes>,
    /// The prepared statements by the names that the client gave them.
    pub prepared: HashMap<Bytes, PreparedStatement>,
}

/// An open connection to a member on behalf of one organisation.
#[derive(Debug)]
pub struct Connection {
    codec: Codec,
    framed: Framed,
    member: Rc<Member>,
    organisation: Organisation,
    values: BTreeMap<Bytes, Bytes>,
    prepared: HashMap<PreparedStatement, Bytes>,
    /// The size of the values, and that of the texts of prepared statements, in bytes.
    held: (usize, usize),
    name_count: u64,
    in_transaction: bool,
    opened: Instant,
    last_used: Instant,
}

impl Connection {
    /// Connects to a member. There is no timeout; callers add their own.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the member cannot be reached or another member
    /// answers, `QueueFull` if it is busy or has no connection left, and `Protocol` if
    /// the reply is unexpected.
    pub async fn open(
        codec: Codec,
        member: Rc<Member>,
        organisation: Organisation,
    ) -> Result<Self> {
        let lost = |error| Report::new(error).change_context(ErrorKind::ConnectionLost);
        // The connection is reset when dropped, so that an abandoned command cannot
        // reach the member later: RESUME carries no term, and a late one would
        // undo the suspension by a later change of primary.
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
            held: (0, 0),
            name_count: 0,
            in_transaction: false,
            opened: now(),
            last_used: now(),
        };
        connection.send(&[command]).await?;
        match connection.next_message().await? {
            MemberMessage::Ready(..) => {
                connection.opened = now();
                Ok(connection)
            }
            MemberMessage::Failed(MemberError::TooManyConnections | MemberError::Busy) => {
                bail!(ErrorKind::QueueFull)
            }
            MemberMessage::Failed(MemberError::WrongMember) => {
                bail!(Report::new(ErrorKind::ConnectionLost).attach("another member answers"))
            }
            message => bail!(Report::new(ErrorKind::Protocol).attach(format!("{message:?}"))),
        }
    }

    /// Returns the member to which the connection was opened.
    pub const fn member(&self) -> &Rc<Member> {
        &self.member
    }

    /// Returns the organisation for which the connection was opened.
    pub const fn organisation(&self) -> &Organisation {
        &self.organisation
    }

    /// Returns whether the connection's session variables equal those of `state`.
    pub fn matches_values(&self, state: &SessionState) -> bool {
        self.values == state.values
    }

    /// Returns whether the values and prepared statements of the connection take so much
    /// memory that it should not be kept for other sessions.
    pub(crate) const fn is_bulky(&self) -> bool {
        self.held.0 + self.held.1 > MAX_IDLE_BYTES
    }

    /// Returns since when the connection has been open. The member has not restarted
    /// since.
    pub const fn opened(&self) -> Instant {
        self.opened
    }

    /// Returns when the connection last received a reply, or was opened.
    pub const fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Returns whether nothing has arrived since the last reply; otherwise the
    /// connection must not be reused.
    pub fn is_quiet(&self) -> bool {
        self.framed.is_quiet()
    }

    /// Returns the most commands that [`Connection::apply_session`] sends with the same
    /// arguments.
    pub fn setup_commands(
        &self,
        state: &SessionState,
        statement: Option<&PreparedStatement>,
    ) -> u32 {
        let is_prepared = statement.is_none_or(|known| self.prepared.contains_key(known));
        if self.matches_values(state) && is_prepared {
            return 0;
        }
        let commands = 1 + state.values.len() + usize::from(statement.is_some());
        u32::try_from(commands).unwrap_or(u32::MAX)
    }

    /// Sets the session variables of the connection to those of `state` and
    /// prepares `statement`, if given, whose name on this connection is returned.
    ///
    /// Names on the connection are assigned by the content of the statement, so
    /// sessions that use the same name for different statements can share a
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the connection fails and `Protocol` if the
    /// member rejects a command or violates the protocol. The connection must
    /// not be used afterwards.
    pub async fn apply_session(
        &mut self,
        state: &SessionState,
        statement: Option<&PreparedStatement>,
    ) -> Result<Option<Bytes>> {
        let mut commands = Vec::new();
        let covers_values = self
            .values
            .keys()
            .all(|name| state.values.contains_key(name));
        let is_full = self.prepared.len() >= MAX_PREPARED && !self.in_transaction;
        if !covers_values || is_full {
            commands.push(Command::Reset);
            self.values.clear();
            self.prepared.clear();
            self.held = (0, 0);
        }
        for (name, value) in &state.values {
            if self.values.get(name) != Some(value) {
                commands.push(Command::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        if !commands.is_empty() {
            self.values.clone_from(&state.values);
            let sizes = self
                .values
                .iter()
                .map(|(name, value)| name.len() + value.len());
            self.held.0 = sizes.sum();
        }
        let name = statement.map(|statement| self.name_of(statement, &mut commands));
        if self.in_transaction && self.held.1 > MAX_TRANSACTION_BYTES {
            bail!(Report::new(ErrorKind::QueueFull).attach("too many prepared statements"));
        }
        if commands.is_empty() {
            return Ok(name);
        }
        for reply in self.call_all(&commands).await? {
            if let Err(error) = reply.result {
                bail!(
                    Report::new(ErrorKind::Protocol)
                        .attach(format!("session setup rejected: {error:?}"))
                );
            }
        }
        Ok(name)
    }

    fn name_of(&mut self, statement: &PreparedStatement, commands: &mut Vec<Command>) -> Bytes {
        if let Some(name) = self.prepared.get(statement) {
            return name.clone();
        }
        self.name_count += 1;
        let name = Bytes::from(format!("p{}", self.name_count));
        commands.push(Command::Prepare {
            name: name.clone(),
            access: statement.access,
            text: statement.text.clone(),
        });
        self.prepared.insert(statement.clone(), name.clone());
        self.held.1 += statement.text.len();
        name
    }

    /// Sends all commands at once and reads one reply for each.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` or `Protocol`. Commands may have run nevertheless,
    /// and the connection must not be used afterwards.
    pub async fn call_all(&mut self, commands: &[Command]) -> Result<Vec<MemberReply>> {
        self.send(commands).await?;
        let mut replies = Vec::with_capacity(commands.len());
        for _ in commands {
            replies.push(self.read_reply().await?);
        }
        self.in_transaction = replies
            .last()
            .is_some_and(|reply| reply.state != TransactionStatus::Idle);
        self.last_used = now();
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

    async fn next_message(&mut self) -> Result<MemberMessage> {
        self.framed.next(self.codec.read_member).await
    }

    async fn read_reply(&mut self) -> Result<MemberReply> {
        let mut rows = Vec::new();
        let result = loop {
            match self.next_message().await? {
                MemberMessage::Row(row) => rows.push(row),
                MemberMessage::Complete(signature) => break Ok(signature),
                MemberMessage::Failed(error) => break Err(error),
                MemberMessage::Ready(..) => {
                    bail!(Report::new(ErrorKind::Protocol).attach("reply without a result"))
                }
            }
        };
        match self.next_message().await? {
            MemberMessage::Ready(state, position) => Ok(MemberReply {
                rows,
                result,
                state,
                position,
            }),
            message => bail!(Report::new(ErrorKind::Protocol).attach(format!("{message:?}"))),
        }
    }

    /// Returns whether the connection is outside a transaction after this reply
    /// and can be reused.
    pub fn is_reusable(reply: &MemberReply) -> bool {
        reply.state == TransactionStatus::Idle
    }
}
