//! Runs the walk-through as an ordinary PostgreSQL client.

use std::time::Duration;

use futures::channel::mpsc;
use postgres::{Client, Error, NoTls, SimpleQueryMessage};

use crate::site::{Access, Command};

/// The maximum number of statements sent until the withdrawn key is rejected,
/// 50 ms apart.
const MAX_ATTEMPTS: u32 = 200;

/// Runs the walk-through and prints each step.
pub(crate) fn walk_through(
    access: &Access,
    commands: &mpsc::UnboundedSender<Command>,
) -> Result<(), String> {
    let mut first = connect(access, 0, None).map_err(|error| error_text(&error))?;
    first
        .batch_execute("INSERT INTO records (key, value) VALUES ('guest-1', 'admitted')")
        .map_err(|error| error_text(&error))?;
    println!("Wrote guest-1 through host {}.", access.hosts[0]);
    let token = query(&mut first, "SHOW burdockslip.token")?;
    drop(first);
    let mut second = connect(access, 1, Some(&token)).map_err(|error| error_text(&error))?;
    let read = query(
        &mut second,
        "/*class='browse'*/ SELECT value FROM records WHERE key = 'guest-1'",
    )?;
    if read != "admitted" {
        return Err(format!("read {read:?} instead of the session's own write"));
    }
    println!(
        "Moved to host {} and read the write back: {read}.",
        access.hosts[1]
    );
    commands
        .unbounded_send(Command::RevokeKey)
        .map_err(|_| "the stand-ins stopped".to_owned())?;
    println!("Withdrew the key.");
    let rejection = wait_for_rejection(&mut second)?;
    println!("The connected session was refused: {rejection}.");
    let Err(error) = connect(access, 0, None) else {
        return Err("the withdrawn key still opens sessions".to_owned());
    };
    println!("A new session was refused: {}.", describe(&error));
    Ok(())
}

fn connect(access: &Access, host: usize, token: Option<&str>) -> Result<Client, Error> {
    let address = access.addresses[host];
    let mut config = postgres::Config::new();
    config
        .host(&address.ip().to_string())
        .port(address.port())
        .user("airline")
        .password(&access.key)
        .dbname("records");
    if let Some(token) = token {
        config.options(&format!("-c burdockslip.token={token}"));
    }
    config.connect(NoTls)
}

fn query(client: &mut Client, sql: &str) -> Result<String, String> {
    let messages = client
        .simple_query(sql)
        .map_err(|error| error_text(&error))?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    Ok(row.unwrap_or_default())
}

/// Sends statements until the session's host rejects the withdrawn key, and
/// returns the error.
fn wait_for_rejection(client: &mut Client) -> Result<String, String> {
    for _ in 0..MAX_ATTEMPTS {
        if let Err(error) = client.simple_query("SELECT 1") {
            return Ok(describe(&error));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("the withdrawn key still works".to_owned())
}

fn describe(error: &Error) -> String {
    error.as_db_error().map_or_else(
        || "connection closed".to_owned(),
        |error| format!("{} ({})", error.message(), error.code().code()),
    )
}

fn error_text(error: &Error) -> String {
    format!("{}: {error}", describe(error))
}
