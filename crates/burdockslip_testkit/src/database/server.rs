//! Accepts the connections of one member.

use std::rc::Rc;

use burdockslip_runtime::{Task, spawn};
use burdockslip_types::{ErrorKind, Result};
use error_stack::ResultExt;
use monoio::net::TcpListener;

use super::group::Member;
use super::session;

/// Starts a task that accepts the connections of `member`.
pub(super) fn bind(member: Rc<Member>) -> Result<Task<()>> {
    let listener =
        TcpListener::bind(member.options.address).change_context(ErrorKind::InvalidInput)?;
    Ok(spawn(accept(listener, member)))
}

async fn accept(listener: TcpListener, member: Rc<Member>) {
    while let Ok((io, _)) = listener.accept().await {
        if member.is_killed.get() {
            continue;
        }
        let inner = Rc::clone(&member);
        let key = member.next_key();
        let session = spawn(async move {
            inner.open_connections.set(inner.open_connections.get() + 1);
            // On an error the client sees only that the connection is closed.
            let _ = session::serve(io, &inner, key).await;
            inner
                .open_connections
                .set(inner.open_connections.get().saturating_sub(1));
        });
        let mut sessions = member.sessions.borrow_mut();
        sessions.push(session);
    }
}
