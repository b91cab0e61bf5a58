//! Cancel requests: a key belongs to one session of this host and reaches only what that session
//! runs at the moment.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::SecretKey;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::back::{Back, CancelKey, sqlstate};
use crate::pool::Lent;

/// SQLSTATE of a statement that was cancelled.
pub const CANCELLED: &str = "57014";

/// How long a server may take to accept a cancel request.
const DELIVERY: Duration = Duration::from_secs(1);
/// How long a cancelled statement may go on before its connection is closed.
const WIND_DOWN: Duration = Duration::from_secs(5);

/// The cancel keys of all sessions.
#[derive(Debug, Default)]
pub struct Registry {
    sessions: Mutex<BTreeMap<i32, Arc<Target>>>,
}

/// What a session's key reaches.
#[derive(Debug)]
struct Target {
    secret: i32,
    running: Mutex<Running>,
}

#[derive(Debug, Default)]
struct Running {
    key: Option<CancelKey>,
    struck: bool,
}

/// A session's own key; withdrawn when dropped.
#[derive(Debug)]
pub struct Handle {
    /// Process id that the caller is told.
    pub pid: i32,
    /// Secret that the caller is told.
    pub secret: i32,
    registry: Arc<Registry>,
    target: Arc<Target>,
}

impl Registry {
    /// A key for a new session.
    pub fn register(self: &Arc<Registry>) -> Handle {
        let target = Arc::new(Target {
            secret: rand::random(),
            running: Mutex::default(),
        });
        let mut sessions = lock(&self.sessions);
        let pid = loop {
            let pid: i32 = rand::random_range(1..=i32::MAX);
            if !sessions.contains_key(&pid) {
                break pid;
            }
        };
        sessions.insert(pid, Arc::clone(&target));
        drop(sessions);
        Handle {
            pid,
            secret: target.secret,
            registry: Arc::clone(self),
            target,
        }
    }

    /// Passes `request` on to the server that runs something for its session, if one does.
    pub async fn deliver(&self, request: &CancelRequest) {
        let target = lock(&self.sessions).get(&request.pid).cloned();
        let secret = request.secret_key.as_i32();
        let Some(target) = target.filter(|target| Some(target.secret) == secret) else {
            return;
        };
        let key = {
            let mut running = lock(&target.running);
            running.struck = running.key.is_some();
            running.key.clone()
        };
        if let Some(key) = key {
            send(&key).await;
        }
    }

    /// Sessions that have a key.
    pub fn len(&self) -> usize {
        lock(&self.sessions).len()
    }

    /// Whether there is no session.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Handle {
    /// A statement runs on the connection with `key` until the result is dropped.
    pub fn begin(&self, key: CancelKey) -> Ongoing {
        let mut running = lock(&self.target.running);
        running.key = Some(key);
        running.struck = false;
        drop(running);
        Ongoing {
            target: Arc::clone(&self.target),
        }
    }

    /// Whether a cancel request was sent while the last statement ran: it may still be on its way
    /// to the server and hit whatever runs next on the connection.
    pub fn struck(&self) -> bool {
        lock(&self.target.running).struck
    }
}

/// A statement that a cancel request reaches.
#[derive(Debug)]
pub struct Ongoing {
    target: Arc<Target>,
}

impl Drop for Ongoing {
    fn drop(&mut self) {
        lock(&self.target.running).key = None;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        lock(&self.registry.sessions).remove(&self.pid);
    }
}

/// Waits `patience` for the end of what runs on `lent`, whose caller has its final answer
/// already, then cancels it, and returns the connection to its pool once the server says that it
/// was cancelled.
///
/// A statement that ended by itself leaves the cancel request without a target: it may hit the
/// next one on the connection, which is therefore closed.
pub async fn retire(mut lent: Lent, patience: Duration) {
    let back = lent.back();
    if back.torn() || back.pending == 0 {
        return;
    }
    if !patience.is_zero() {
        match tokio::time::timeout(patience, drain(back)).await {
            Ok(Some(_)) => return lent.give_back(),
            Ok(None) => return,
            Err(_) => {}
        }
    }
    send(&back.cancel.clone()).await;
    let ended = tokio::time::timeout(WIND_DOWN, drain(back)).await;
    if matches!(ended, Ok(Some(true))) {
        lent.give_back();
    }
}

/// Reads to the end of the answer; whether it says that the statement was cancelled.
async fn drain(back: &mut Back) -> Option<bool> {
    let mut cancelled = false;
    while back.pending > 0 {
        let frame = back.next().await.ok()?;
        match frame.tag() {
            b'S' => drop(back.take_status(&frame)),
            b'E' => cancelled |= sqlstate(&frame) == CANCELLED,
            b'Z' => drop(back.take_ready(&frame).ok()?),
            b'G' => return None,
            _ => {}
        }
    }
    Some(cancelled)
}

async fn send(key: &CancelKey) {
    // Nobody waits for the outcome: the statement's own answer tells it.
    let _ = tokio::time::timeout(DELIVERY, deliver(key)).await;
}

async fn deliver(key: &CancelKey) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(key.address).await?;
    let mut bytes = BytesMut::new();
    let request = CancelRequest::new(key.pid, key.secret.clone());
    if request.encode(&mut bytes).is_ok() {
        stream.write_all(&bytes).await?;
        // The server closes the connection when it has passed the request on.
        stream.read_to_end(&mut Vec::new()).await?;
    }
    Ok(())
}

/// The key as callers send it back.
pub fn secret_key(secret: i32) -> SecretKey {
    SecretKey::I32(secret)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
