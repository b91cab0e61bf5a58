//! Reads the fleet's rows: one read of their prefix serves everybody in the process.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_daemon::event::Event as _;
use flamingopost_daemon::stop::Phase;
use flamingopost_platform::error::Error;
use flamingopost_platform::head::{FLEET, HEAD, Head};
use flamingopost_platform::table::{Row, Table as _};
use tokio::sync::{mpsc, oneshot};

use crate::event::Event as Log;
use crate::shared::Shared;
use crate::spread;

/// Least time between two reads, so that many shards that ask share one.
const SPACING: Duration = Duration::from_millis(100);

/// The fleet's rows as one read found them, or that it failed.
#[derive(Debug, Clone, Default)]
pub struct Read {
    /// When the read was sent; authority is dated from here.
    pub sent: Duration,
    /// The rows by key, where the read was answered.
    pub rows: Option<Arc<BTreeMap<String, Row>>>,
}

/// Where reads are asked for.
#[derive(Debug, Clone)]
pub struct Reader(mpsc::UnboundedSender<oneshot::Sender<Read>>);

impl Reader {
    /// The next read that is sent. It never is one sent before this call: an authority that
    /// dated an old read as new would outlive its row.
    pub async fn read(&self) -> Read {
        let (sender, receiver) = oneshot::channel();
        let _stopped = self.0.send(sender);
        receiver.await.unwrap_or_default()
    }
}

/// Starts to read, at least once each poll interval, until the process stops.
pub fn start(shared: Arc<Shared>, spread: spread::Handle) -> Reader {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(run(shared, spread, receiver));
    Reader(sender)
}

async fn run(
    shared: Arc<Shared>,
    spread: spread::Handle,
    mut asked: mpsc::UnboundedReceiver<oneshot::Sender<Read>>,
) {
    let interval = shared.settings().platform.poll;
    let mut silent_since = None;
    while shared.stop().phase() != Phase::Stopped {
        let first = tokio::time::timeout(jittered(interval), asked.recv()).await;
        let mut waiting: Vec<oneshot::Sender<Read>> = first.ok().flatten().into_iter().collect();
        while let Ok(another) = asked.try_recv() {
            waiting.push(another);
        }
        let sent = shared.now();
        let result = shared.platform().list(FLEET).await;
        note(&mut silent_since, shared.now(), result.as_ref().err());
        let read = read(sent, result);
        spread.tell(event(&read));
        for sender in waiting {
            let _gone = sender.send(read.clone());
        }
        tokio::time::sleep(SPACING).await;
    }
}

fn read(sent: Duration, result: Result<Vec<Row>, Error>) -> Read {
    let rows = result.ok().map(|rows| {
        let by_key = rows.into_iter().map(|row| (row.key.clone(), row));
        Arc::new(by_key.collect())
    });
    Read { sent, rows }
}

fn event(read: &Read) -> spread::Event {
    let Some(rows) = &read.rows else {
        return spread::Event::HeadFailed;
    };
    let Some(row) = rows.get(HEAD) else {
        return spread::Event::Head(None);
    };
    match Head::decode(&row.body) {
        Ok(head) => spread::Event::Head(Some(head)),
        Err(error) => {
            let error = error.to_string();
            Log::BadRow { error }.log();
            spread::Event::HeadFailed
        }
    }
}

fn note(silent_since: &mut Option<Duration>, now: Duration, error: Option<&Error>) {
    match (&silent_since, error) {
        (None, Some(error)) => {
            *silent_since = Some(now);
            let error = error.to_string();
            Log::PlatformSilent { error }.log();
        }
        (Some(since), None) => {
            let seconds = now.saturating_sub(*since).as_secs();
            *silent_since = None;
            Log::PlatformBack { seconds }.log();
        }
        _ => {}
    }
}

/// `span` with a random part of up to a tenth more, so that processes that were started together
/// do not go on asking together.
pub fn jittered(span: Duration) -> Duration {
    span.mul_f64(1.0 + rand::random::<f64>() / 10.0)
}
