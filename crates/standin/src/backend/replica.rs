//! Replication: a replica reads its primary's log over the PostgreSQL protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_postgres::{Client, Config, NoTls};

use flamingopost_daemon::event::Event as _;

use super::error::Error;
use super::log::{self, Entry, Span};
use super::shared::Shared;
use crate::event::Event;

/// The user that servers of a group are to each other. It counts against no limit.
pub(crate) const PEER_USER: &str = "group";

/// Entries that one request asks for.
const BATCH: i64 = 512;

/// How long the primary may wait for something new before it answers; bounds the data's age.
const PATIENCE: Duration = Duration::from_millis(25);

/// How long an answer may take before the replica connects anew.
const SILENCE: Duration = Duration::from_secs(1);

const RETRY: Duration = Duration::from_millis(100);

/// Batches on their way when replication is made to lag.
const UNDERWAY: usize = 4096;

/// What one answer of the primary brought.
#[derive(Debug)]
struct Batch {
    /// When the request was sent.
    asked: Instant,
    entries: Vec<Entry>,
    /// The primary's last log position when it answered.
    last: u64,
}

/// Why replication broke off. It starts again by itself.
#[derive(Debug, displaydoc::Display)]
enum Break {
    /// the primary cannot be asked: {0}
    Remote(tokio_postgres::Error),
    /// the primary did not answer in time
    Silent,
    /// the primary sent an entry that cannot be read: {0}
    Malformed(serde_json::Error),
    /// an entry cannot be run here: {0}
    Local(Error),
}

impl From<tokio_postgres::Error> for Break {
    fn from(error: tokio_postgres::Error) -> Break {
        Break::Remote(error)
    }
}

/// Follows `primary` of `term` until aborted.
pub(crate) async fn follow(shared: Arc<Shared>, primary: SocketAddr, term: i64) {
    loop {
        // Whatever broke, the same is tried again: a replica has nothing better to do.
        if let Err(reason) = follow_once(&shared, primary, term).await
            && let Break::Local(error) = reason
        {
            Event::Unapplied {
                server: shared.settings.name.clone(),
                error: error.to_string(),
            }
            .log();
        }
        tokio::time::sleep(RETRY).await;
    }
}

async fn follow_once(shared: &Arc<Shared>, primary: SocketAddr, term: i64) -> Result<(), Break> {
    shared.switch.online().await;
    let client = connect(shared, primary).await?;
    align(shared, &client, term).await?;
    let (sender, receiver) = mpsc::channel(UNDERWAY);
    let after = shared.state().log.last();
    tokio::select! {
        ended = pull(shared, &client, term, after, sender) => ended,
        ended = apply(shared, term, receiver) => ended,
    }
}

async fn connect(shared: &Shared, primary: SocketAddr) -> Result<Client, Break> {
    let mut config = Config::new();
    config
        .host(primary.ip().to_string())
        .port(primary.port())
        .user(PEER_USER)
        .dbname(&shared.settings.service)
        .application_name(shared.settings.peer_name())
        .connect_timeout(SILENCE);
    let connecting = tokio::time::timeout(SILENCE, config.connect(NoTls));
    let (client, connection) = connecting.await.map_err(|_| Break::Silent)??;
    // Ends when `client` is dropped.
    tokio::spawn(connection);
    Ok(client)
}

/// Cuts off what this server has and the primary lacks.
async fn align(shared: &Shared, client: &Client, term: i64) -> Result<(), Break> {
    let sql = format!("SELECT * FROM group_spans({term})");
    let rows = tokio::time::timeout(SILENCE, client.query(&sql, &[]));
    let rows = rows.await.map_err(|_| Break::Silent)??;
    let theirs: Vec<Span> = rows
        .iter()
        .map(|row| Span {
            term: row.get(0),
            last: row.get::<_, i64>(1) as u64,
        })
        .collect();
    let _writer = shared.writer.lock().await;
    let ours = shared.state().log.spans();
    let common = log::common(&ours, &theirs);
    if common < shared.state().log.last() {
        let discarded = shared.state().log.last() - common;
        shared.rewind(common).map_err(Break::Local)?;
        Event::Rewound {
            server: shared.settings.name.clone(),
            discarded,
        }
        .log();
        shared.notify();
    }
    Ok(())
}

async fn pull(
    shared: &Shared,
    client: &Client,
    term: i64,
    mut after: u64,
    batches: mpsc::Sender<Batch>,
) -> Result<(), Break> {
    let wait = PATIENCE.as_millis();
    loop {
        shared.switch.online().await;
        let asked = Instant::now();
        let sql = format!("SELECT * FROM group_log({term}, {after}, {BATCH}, {wait})");
        let rows = tokio::time::timeout(SILENCE, client.query(&sql, &[]));
        let rows = rows.await.map_err(|_| Break::Silent)??;
        let mut batch = Batch {
            asked,
            entries: Vec::new(),
            last: after,
        };
        for row in rows {
            batch.last = row.get::<_, i64>(0) as u64;
            if let Some(body) = row.get::<_, Option<&str>>(1) {
                let entry = serde_json::from_str(body).map_err(Break::Malformed)?;
                batch.entries.push(entry);
            }
        }
        after += batch.entries.len() as u64;
        if batches.send(batch).await.is_err() {
            return Ok(());
        }
    }
}

async fn apply(
    shared: &Shared,
    term: i64,
    mut batches: mpsc::Receiver<Batch>,
) -> Result<(), Break> {
    while let Some(batch) = batches.recv().await {
        arrived(shared, batch.asked).await;
        let _writer = shared.writer.lock().await;
        shared.apply(term, batch.entries).map_err(Break::Local)?;
        let mut state = shared.state();
        if state.log.last() >= batch.last {
            state.caught_up = state.caught_up.max(Some(batch.asked));
        }
        drop(state);
        shared.notify();
    }
    Ok(())
}

/// Waits until data asked for at `asked` arrive under the lag of the moment.
async fn arrived(shared: &Shared, asked: Instant) {
    let mut faults = shared.switch.subscribe();
    loop {
        shared.switch.running().await;
        let due = asked + shared.switch.lag();
        if Instant::now() >= due {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            _ = faults.changed() => {}
        }
    }
}
