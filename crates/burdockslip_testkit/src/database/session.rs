//! Serves one connection of a member.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{now, sleep, timeout_at};
use burdockslip_types::{ErrorKind, Result, Term};
use burdockslip_wire::{
    Connection, Field, Frame, TransactionState, auth_ok, backend_key, command_complete, data_row,
    parameter_status, ready, row_description,
};
use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt, bail};
use monoio::net::TcpStream;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
};
use pgwire::messages::response::{EmptyQueryResponse, ErrorResponse};
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use pgwire::messages::{DecodeContext, Message, PgWireBackendMessage as Backend, ProtocolVersion};

use super::group::Member;
use super::log::{Change, Records, apply};
use super::sql::{self, Sql};

/// Limit of a message, in bytes.
const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;
/// How often a frozen member looks whether it may go on.
const FREEZE_CHECK: Duration = Duration::from_millis(1);

/// Holds the SQLSTATE and the message of a failed statement.
type Failure = (&'static str, String);

struct Session<'a> {
    connection: Connection,
    member: &'a Rc<Member>,
    state: TransactionState,
    changes: Vec<Change>,
    statements: HashMap<String, String>,
    portals: HashMap<String, Portal>,
    is_skipping: bool,
    key: i32,
}

struct Portal {
    text: String,
    format: i16,
}

/// Holds the answer to one statement.
struct Answer {
    columns: Vec<&'static str>,
    rows: Vec<Vec<Option<String>>>,
    tag: String,
}

/// Serves a connection until it ends.
pub(super) async fn serve(io: TcpStream, member: &Rc<Member>, key: i32) -> Result<()> {
    let mut session = Session {
        connection: Connection::new(io, MESSAGE_LIMIT),
        member,
        state: TransactionState::Idle,
        changes: Vec::new(),
        statements: HashMap::new(),
        portals: HashMap::new(),
        is_skipping: false,
        key,
    };
    if !session.start().await? {
        return Ok(());
    }
    while let Some(frame) = session.connection.read_frame().await? {
        session.wait_while_frozen().await;
        if frame.tag() == b'X' {
            break;
        }
        session.handle(&frame).await?;
    }
    Ok(())
}

impl Session<'_> {
    /// Greets the client; returns whether it asked for a session.
    async fn start(&mut self) -> Result<bool> {
        let bytes = self.connection.read_untagged(10_000).await?;
        if CancelRequest::is_cancel_request_packet(&bytes) {
            let mut buf = BytesMut::from(bytes);
            let request = CancelRequest::decode(&mut buf, &DecodeContext::default());
            if let Ok(Some(request)) = request
                && request.secret_key.as_i32() == Some(request.pid)
            {
                self.member.cancel(request.pid);
            }
            return Ok(false);
        }
        let startup = Startup::decode(
            &mut BytesMut::from(bytes),
            &DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        )
        .change_context(ErrorKind::Protocol)?
        .ok_or_else(|| Report::new(ErrorKind::Protocol))?;
        for (name, value) in &startup.parameters {
            self.record(format!("{name}={value}"));
        }
        self.wait_while_frozen().await;
        sleep(self.member.options.connect_cost).await;
        if self.member.open.get() > self.member.options.connection_limit {
            let failure = ("53300", "too many connections".to_owned());
            self.connection.write(error(&failure)).await?;
            return Ok(false);
        }
        let mut buf = BytesMut::new();
        for part in [
            auth_ok(),
            parameter_status("server_version", "15.0"),
            parameter_status("client_encoding", "UTF8"),
            backend_key(self.key, self.key),
            ready(TransactionState::Idle),
        ] {
            buf.extend_from_slice(&part);
        }
        self.connection.write(buf.freeze()).await?;
        Ok(true)
    }

    fn record(&self, text: String) {
        self.member.texts.borrow_mut().push(text);
    }

    async fn wait_while_frozen(&self) {
        while self.member.is_frozen.get() {
            sleep(FREEZE_CHECK).await;
        }
    }

    async fn handle(&mut self, frame: &Frame) -> Result<()> {
        if frame.tag() == b'S' {
            self.is_skipping = false;
            return self.connection.write(ready(self.state)).await;
        }
        if frame.tag() == b'Q' {
            let query: Query = decode(frame)?;
            return self.simple(&query.query).await;
        }
        if self.is_skipping {
            return Ok(());
        }
        let answer = match frame.tag() {
            b'P' => self.parse(decode(frame)?),
            b'B' => self.bind(decode(frame)?),
            b'D' => self.describe(&decode(frame)?),
            b'E' => self.execute(&decode(frame)?).await,
            b'C' => Ok(self.close(decode(frame)?)),
            _ => bail!(ErrorKind::Protocol),
        };
        match answer {
            Ok(bytes) => self.connection.write(bytes).await,
            Err(failure) => {
                self.is_skipping = true;
                self.fail_transaction();
                self.connection.write(error(&failure)).await
            }
        }
    }

    async fn simple(&mut self, text: &str) -> Result<()> {
        self.record(text.to_owned());
        let mut buf = BytesMut::new();
        match self.run(text).await {
            Ok(answer) => {
                if !answer.columns.is_empty() {
                    buf.extend_from_slice(&describe_rows(&answer.columns, 0));
                }
                append_rows(&mut buf, &answer);
            }
            Err(failure) => {
                self.fail_transaction();
                buf.extend_from_slice(&error(&failure));
            }
        }
        buf.extend_from_slice(&ready(self.state));
        self.connection.write(buf.freeze()).await
    }

    fn parse(&mut self, parse: Parse) -> Result<Bytes, Failure> {
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            return Err(("42P05", format!("statement {name} exists")));
        }
        self.record(parse.query.clone());
        self.statements.insert(name, parse.query);
        Ok(encode(&Backend::ParseComplete(ParseComplete::new())))
    }

    fn bind(&mut self, bind: Bind) -> Result<Bytes, Failure> {
        let name = bind.statement_name.unwrap_or_default();
        let Some(text) = self.statements.get(&name) else {
            return Err(("26000", format!("statement {name} does not exist")));
        };
        let values: Vec<Option<String>> = bind
            .parameters
            .iter()
            .map(|value| {
                value
                    .as_ref()
                    .map(|bytes| String::from_utf8_lossy(bytes).into_owned())
            })
            .collect();
        let portal = Portal {
            text: sql::bind(text, &values),
            format: bind
                .result_column_format_codes
                .first()
                .copied()
                .unwrap_or(0),
        };
        self.record(portal.text.clone());
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        Ok(encode(&Backend::BindComplete(BindComplete::new())))
    }

    fn describe(&self, describe: &Describe) -> Result<Bytes, Failure> {
        let name = describe.name.clone().unwrap_or_default();
        let mut buf = BytesMut::new();
        let (text, format) = if describe.target_type == b'S' {
            let Some(text) = self.statements.get(&name) else {
                return Err(("26000", format!("statement {name} does not exist")));
            };
            let types = vec![25; sql::parameter_count(text)];
            buf.extend_from_slice(&encode(&Backend::ParameterDescription(
                ParameterDescription::new(types),
            )));
            (text, 0)
        } else {
            let Some(portal) = self.portals.get(&name) else {
                return Err(("34000", format!("portal {name} does not exist")));
            };
            (&portal.text, portal.format)
        };
        let columns = sql::columns(&sql::parse(text));
        if columns.is_empty() {
            buf.extend_from_slice(&encode(&Backend::NoData(NoData::new())));
        } else {
            buf.extend_from_slice(&describe_rows(&columns, format));
        }
        Ok(buf.freeze())
    }

    async fn execute(&mut self, execute: &Execute) -> Result<Bytes, Failure> {
        let name = execute.name.clone().unwrap_or_default();
        let Some(portal) = self.portals.get(&name) else {
            return Err(("34000", format!("portal {name} does not exist")));
        };
        let text = portal.text.clone();
        let answer = self.run(&text).await?;
        let mut buf = BytesMut::new();
        append_rows(&mut buf, &answer);
        Ok(buf.freeze())
    }

    fn close(&mut self, close: Close) -> Bytes {
        let name = close.name.unwrap_or_default();
        if close.target_type == b'S' {
            self.statements.remove(&name);
        } else {
            self.portals.remove(&name);
        }
        encode(&Backend::CloseComplete(CloseComplete::new()))
    }

    fn fail_transaction(&mut self) {
        if self.state == TransactionState::Open {
            self.state = TransactionState::Failed;
        }
    }

    /// Runs one statement; those that read the member's state occupy no slot.
    async fn run(&mut self, text: &str) -> Result<Answer, Failure> {
        let statement = sql::parse(text);
        let is_control = matches!(
            statement,
            Sql::Status | Sql::Fence(_) | Sql::Promote(_) | Sql::Empty | Sql::Set
        );
        let member = Rc::clone(self.member);
        let _slot = if is_control {
            None
        } else {
            let slot = member.slots.take().await;
            if !member.options.statement_cost.is_zero() {
                sleep(member.options.statement_cost).await;
            }
            Some(slot)
        };
        if let Sql::Sleep(millis) = statement {
            self.sleep(Duration::from_millis(millis)).await?;
        }
        self.wait_while_frozen().await;
        let tag_ends = matches!(statement, Sql::Commit | Sql::Rollback);
        if self.state == TransactionState::Failed && !tag_ends && !is_control {
            return Err(("25P02", "transaction is aborted".to_owned()));
        }
        self.evaluate(statement)
    }

    /// Sleeps unless the statement is cancelled.
    async fn sleep(&self, span: Duration) -> Result<(), Failure> {
        let end = now() + span;
        loop {
            let epoch = self.member.cancelled.epoch();
            let cancelled = self.member.cancelled.changed(epoch);
            if timeout_at(end, cancelled).await.is_err() {
                return Ok(());
            }
            if self.member.cancel_key.get() == self.key {
                return Err(("57014", "statement was cancelled".to_owned()));
            }
        }
    }

    fn evaluate(&mut self, statement: Sql) -> Result<Answer, Failure> {
        let columns = sql::columns(&statement);
        let one = |value: String| vec![vec![Some(value)]];
        let (rows, tag) = match statement {
            Sql::Begin => {
                self.state = TransactionState::Open;
                (Vec::new(), "BEGIN".to_owned())
            }
            Sql::Commit => return self.commit(),
            Sql::Rollback => {
                self.state = TransactionState::Idle;
                self.changes.clear();
                (Vec::new(), "ROLLBACK".to_owned())
            }
            Sql::Select(table, key) => {
                let rows = self.select(&table, key.as_deref());
                let tag = format!("SELECT {}", rows.len());
                (rows, tag)
            }
            Sql::Literal(value) => (one(value), "SELECT 1".to_owned()),
            Sql::Sleep(_) => (one(String::new()), "SELECT 1".to_owned()),
            Sql::Fill(count, len) => {
                let rows = vec![vec![Some("x".repeat(len))]; count];
                (rows, format!("SELECT {count}"))
            }
            Sql::Change(change) => return self.change(change),
            Sql::Status => (vec![self.status()], "SHOW".to_owned()),
            Sql::Fence(term) => {
                self.require(self.member.fence(Term(term)))?;
                (vec![self.status()], "SELECT 1".to_owned())
            }
            Sql::Promote(term) => {
                self.require(self.member.promote(Term(term)))?;
                (vec![self.status()], "SELECT 1".to_owned())
            }
            Sql::Set => (Vec::new(), "SET".to_owned()),
            Sql::Empty => (Vec::new(), String::new()),
            Sql::Unknown => return Err(("42601", "statement not known".to_owned())),
        };
        Ok(Answer { columns, rows, tag })
    }

    fn require(&self, is_granted: bool) -> Result<(), Failure> {
        if is_granted {
            Ok(())
        } else {
            let term = self.member.promised.get();
            Err(("55000", format!("term {term} is promised")))
        }
    }

    fn status(&self) -> Vec<Option<String>> {
        let position = self.member.log.borrow().last_position();
        let role = if self.member.is_primary.get() {
            "primary"
        } else {
            "replica"
        };
        let state = if self.member.is_leaving.get() {
            "leaving"
        } else {
            "live"
        };
        [
            self.member.options.name.to_string(),
            self.member.promised.get().to_string(),
            position.term.to_string(),
            position.index.to_string(),
            role.to_owned(),
            state.to_owned(),
        ]
        .into_iter()
        .map(Some)
        .collect()
    }

    fn select(&self, table: &str, key: Option<&str>) -> Vec<Vec<Option<String>>> {
        let log = self.member.log.borrow();
        let overlay: Records;
        let records = if self.changes.is_empty() {
            &log.records
        } else {
            let mut copy = log.records.clone();
            for change in &self.changes {
                // A violation is reported when the transaction commits.
                let _ = apply(&mut copy, change);
            }
            overlay = copy;
            &overlay
        };
        if let Some(key) = key {
            let id = (table.to_owned(), key.to_owned());
            return records
                .get(&id)
                .map(|value| vec![Some(value.clone())])
                .into_iter()
                .collect();
        }
        records
            .iter()
            .filter(|((t, _), _)| t == table)
            .map(|((_, key), value)| vec![Some(key.clone()), Some(value.clone())])
            .collect()
    }

    fn change(&mut self, change: Change) -> Result<Answer, Failure> {
        self.require_primary()?;
        let tag = match change {
            Change::Insert(..) | Change::Upsert(..) => "INSERT 0 1",
            Change::Delete(..) => "DELETE 1",
            _ => "UPDATE 1",
        };
        if let Change::Insert(table, key, _) = &change
            && !self.select(table, Some(key)).is_empty()
        {
            return Err(("23505", "duplicate key".to_owned()));
        }
        if self.state == TransactionState::Open {
            self.changes.push(change);
        } else {
            self.append(vec![change])?;
        }
        Ok(Answer {
            columns: Vec::new(),
            rows: Vec::new(),
            tag: tag.to_owned(),
        })
    }

    fn commit(&mut self) -> Result<Answer, Failure> {
        let changes = std::mem::take(&mut self.changes);
        let is_failed = self.state == TransactionState::Failed;
        self.state = TransactionState::Idle;
        let tag = if is_failed { "ROLLBACK" } else { "COMMIT" };
        if !is_failed && !changes.is_empty() {
            self.require_primary()?;
            self.append(changes)?;
        }
        Ok(Answer {
            columns: Vec::new(),
            rows: Vec::new(),
            tag: tag.to_owned(),
        })
    }

    fn append(&self, changes: Vec<Change>) -> Result<(), Failure> {
        self.member
            .commit(changes)
            .map_err(|_| ("23505", "duplicate key".to_owned()))
    }

    fn require_primary(&self) -> Result<(), Failure> {
        if self.member.is_primary.get() {
            Ok(())
        } else {
            Err(("25006", "member is read-only".to_owned()))
        }
    }
}

fn error((code, text): &Failure) -> Bytes {
    encode(&Backend::ErrorResponse(ErrorResponse::new(vec![
        (b'S', "ERROR".to_owned()),
        (b'V', "ERROR".to_owned()),
        (b'C', (*code).to_owned()),
        (b'M', text.clone()),
    ])))
}

fn describe_rows(columns: &[&str], format: i16) -> Bytes {
    let fields: Vec<Field> = columns
        .iter()
        .map(|name| Field {
            name: (*name).to_owned(),
            format,
        })
        .collect();
    row_description(&fields)
}

fn append_rows(buf: &mut BytesMut, answer: &Answer) {
    for row in &answer.rows {
        let values: Vec<Option<&str>> = row.iter().map(Option::as_deref).collect();
        buf.extend_from_slice(&data_row(&values));
    }
    if answer.tag.is_empty() {
        let message = Backend::EmptyQueryResponse(EmptyQueryResponse::new());
        buf.extend_from_slice(&encode(&message));
    } else {
        buf.extend_from_slice(&command_complete(&answer.tag));
    }
}

fn encode(message: &Backend) -> Bytes {
    let mut buf = BytesMut::new();
    message
        .encode(&mut buf)
        .expect("encoding into memory cannot fail");
    buf.freeze()
}

fn decode<M: Message>(frame: &Frame) -> Result<M> {
    let mut bytes = BytesMut::from(frame.bytes().as_ref());
    M::decode(
        &mut bytes,
        &DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
    )
    .change_context(ErrorKind::Protocol)?
    .ok_or_else(|| Report::new(ErrorKind::Protocol))
}
