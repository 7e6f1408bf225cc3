//! Status queries, fencing and promotion of one database, for the watcher of its group.

use std::cell::RefCell;
use std::rc::Rc;

use burdockslip_catalogue::{GroupEntry, MemberEntry};
use burdockslip_group::{MemberClient, MemberStatus};
use burdockslip_types::{ErrorKind, MemberName, Result, Term};
use burdockslip_wire::UpstreamStream;
use error_stack::Report;
use futures::FutureExt;

use super::status;
use crate::options::Options;

/// The maximum number of idle control connections. A second one lets a
/// promotion proceed while a status query waits.
const MAX_IDLE: usize = 2;

/// The control connections of a watcher to one member, separate from the pool.
struct Control {
    name: MemberName,
    address: std::net::SocketAddr,
    user: String,
    database: String,
    options: Rc<Options>,
    idle: RefCell<Vec<UpstreamStream>>,
}

/// Returns the calls by which the watcher of a group queries, fences and promotes a member.
pub(crate) fn member(
    name: &MemberName,
    group: &GroupEntry,
    entry: &MemberEntry,
    options: &Rc<Options>,
) -> MemberClient {
    let control = Rc::new(Control {
        name: name.clone(),
        address: entry.address,
        user: group.user.clone(),
        database: group.database.clone(),
        options: Rc::clone(options),
        idle: RefCell::default(),
    });
    let (asked, fenced, promoted) = (Rc::clone(&control), Rc::clone(&control), control);
    MemberClient {
        name: name.clone(),
        zone: entry.zone.clone(),
        status: Rc::new(move || {
            let control = Rc::clone(&asked);
            async move { control.status().await }.boxed_local()
        }),
        fence: Rc::new(move |term| {
            let control = Rc::clone(&fenced);
            async move {
                let sql = control.options.fence_statement.clone();
                control.run_for_term(&sql, term).await
            }
            .boxed_local()
        }),
        promote: Rc::new(move |term| {
            let control = Rc::clone(&promoted);
            async move {
                let sql = control.options.promote_statement.clone();
                control.run_for_term(&sql, term).await
            }
            .boxed_local()
        }),
    }
}

impl Control {
    async fn status(&self) -> Result<MemberStatus> {
        let mut stream = self.take().await?;
        let outcome = stream.query(&self.options.status_statement).await?;
        let status = status::read(&self.name, &outcome)?;
        self.put(stream);
        Ok(status)
    }

    /// Runs the fence or promote statement for a term and returns the status afterwards.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if the database refuses because it has promised
    /// another term.
    async fn run_for_term(&self, statement: &str, term: Term) -> Result<MemberStatus> {
        let sql = statement.replace("{term}", &term.to_string());
        let mut stream = self.take().await?;
        let outcome = stream.query(&sql).await?;
        self.put(stream);
        if let Some((code, text)) = &outcome.error {
            return Err(Report::new(ErrorKind::Conflict)
                .attach(format!("member {} refused: {code} {text}", self.name)));
        }
        self.status().await
    }

    /// Takes an idle connection or opens a new one.
    ///
    /// The connection leaves the idle list, so that a cancelled call closes it
    /// instead of leaving a half-read response behind.
    async fn take(&self) -> Result<UpstreamStream> {
        if let Some(stream) = self.idle.borrow_mut().pop() {
            return Ok(stream);
        }
        UpstreamStream::connect(
            self.address,
            &self.user,
            &self.database,
            &self.options.upstream_password,
            self.options.message_limit,
        )
        .await
    }

    fn put(&self, stream: UpstreamStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && !stream.has_unread() {
            idle.push(stream);
        }
    }
}
