//! Plays a client session that follows the steps of a holder.

use std::time::Duration;

use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_types::{ErrorKind, LogPosition, Result};
use error_stack::bail;

use super::cluster::{Cluster, host_name};
use super::database::ReadReply;
use super::node::Record;
use crate::history::{Access, Operation, Outcome, Recorder};
use crate::{Group, Primary, ReadChoice, ReadRequirements};

/// The time after which a read is repeated at another member.
const READ_ATTEMPT: Duration = Duration::from_millis(500);

/// Stands for a session that reads and writes through one host at a time.
#[derive(Debug, Clone)]
pub struct Session {
    /// The number of the session in the history.
    pub id: u64,
    /// The host through which the session works.
    pub host: usize,
    /// The confirmed position that the session has seen or written.
    pub floor: LogPosition,
    /// The time allowed for each operation.
    pub op_timeout: Duration,
    cluster: Cluster,
    recorder: Recorder,
}

/// Holds what a read returned and who served it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedRead {
    /// The value and the position after it.
    pub reply: ReadReply,
    /// The member that served the read.
    pub choice: ReadChoice,
}

impl Session {
    /// Opens a session at a host.
    pub fn open(cluster: &Cluster, recorder: &Recorder, id: u64, host: usize) -> Self {
        Self {
            id,
            host,
            floor: LogPosition::default(),
            op_timeout: Duration::from_secs(5),
            cluster: cluster.clone(),
            recorder: recorder.clone(),
        }
    }

    /// Writes a value and records the outcome.
    ///
    /// # Errors
    ///
    /// Returns the error kind that the client would be told.
    pub async fn write(
        &mut self,
        key: u64,
        value: u64,
        request: Option<u64>,
    ) -> Result<LogPosition> {
        let start = now();
        let record = Record {
            key,
            value,
            request,
        };
        let result = self.run_write(record, start + self.op_timeout).await;
        let outcome = match &result {
            Ok(_) => Outcome::Acknowledged,
            Err(report) => Outcome::Failed(*report.current_context()),
        };
        let access = Access::Write { value, request };
        let position = result.as_ref().ok().copied();
        self.record(key, access, outcome, position, start);
        self.floor = self.floor.max(position.unwrap_or_default());
        result
    }

    /// Reads a key and records the outcome.
    ///
    /// # Errors
    ///
    /// Returns the error kind that the client would be told.
    pub async fn read(&mut self, key: u64, max_age: Duration) -> Result<ServedRead> {
        let start = now();
        let result = self.run_read(key, max_age, start + self.op_timeout).await;
        let outcome = match &result {
            Ok(served) => Outcome::Returned(served.reply.value),
            Err(report) => Outcome::Failed(*report.current_context()),
        };
        let age = (max_age != Duration::MAX).then(|| Instant::START + max_age);
        let access = Access::Read {
            max_age: age.map(Instant::micros),
        };
        let position = result.as_ref().ok().map(|served| served.reply.position);
        self.record(key, access, outcome, position, start);
        self.floor = self.floor.max(position.unwrap_or_default());
        result
    }

    async fn run_write(&self, record: Record, deadline: Instant) -> Result<LogPosition> {
        let group = self.group()?;
        loop {
            let primary = group.wait_primary(deadline).await?;
            let host = host_name(self.host);
            let write = self.cluster.database.write(&host, &primary.member, record);
            let Ok(result) = timeout_at(deadline, write).await else {
                bail!(ErrorKind::OutcomeUnknown);
            };
            match result {
                Ok(position) => {
                    group.confirm(position, deadline).await?;
                    return Ok(position);
                }
                Err(report) => match report.current_context() {
                    // The member refused, so the write did not run and can be retried.
                    ErrorKind::NoPrimary if !deadline.is_past() => {}
                    ErrorKind::ConnectionLost => bail!(ErrorKind::OutcomeUnknown),
                    ErrorKind::AlreadyRun => {
                        self.confirm_marker(&group, &primary, record.key, deadline)
                            .await?;
                        return Err(report);
                    }
                    _ => return Err(report),
                },
            }
        }
    }

    /// Confirms the marker row that a repeated request has met, since a marker
    /// that no majority holds can still be discarded together with the write.
    async fn confirm_marker(
        &self,
        group: &Group,
        primary: &Primary,
        key: u64,
        deadline: Instant,
    ) -> Result<()> {
        let host = host_name(self.host);
        let read = self.cluster.database.read(&host, &primary.member, key);
        match timeout_at(deadline, read).await {
            Ok(Ok(reply)) if reply.position.term == primary.term => {
                group.confirm(reply.position, deadline).await
            }
            _ => bail!(ErrorKind::OutcomeUnknown),
        }
    }

    async fn run_read(&self, key: u64, max_age: Duration, deadline: Instant) -> Result<ServedRead> {
        let group = self.group()?;
        loop {
            let need = ReadRequirements {
                floor: self.floor,
                max_age,
                zone: format!("zone-{}", self.host).into(),
                deadline,
            };
            let choice = group.choose_read(&need).await?;
            let host = host_name(self.host);
            let read = self.cluster.database.read(&host, &choice.member, key);
            // A read can be repeated, so it does not wait for a dead member.
            let until = deadline.min(now() + READ_ATTEMPT);
            if let Ok(Ok(reply)) = timeout_at(until, read).await
                && group
                    .check_read(&choice, reply.position, deadline)
                    .await
                    .is_ok()
            {
                return Ok(ServedRead { reply, choice });
            }
            if deadline.is_past() {
                bail!(ErrorKind::OutcomeUnknown);
            }
        }
    }

    fn group(&self) -> Result<Group> {
        match self.cluster.group(self.host) {
            Some(group) => Ok(group),
            None => bail!(ErrorKind::ConnectionLost),
        }
    }

    fn record(
        &self,
        key: u64,
        access: Access,
        outcome: Outcome,
        position: Option<LogPosition>,
        start: Instant,
    ) {
        self.recorder.record(Operation {
            session: self.id,
            key,
            access,
            outcome,
            position,
            start: start.micros(),
            end: now().micros(),
        });
    }
}
