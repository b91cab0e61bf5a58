//! A database server that speaks statement lines.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Semaphore, watch};

use super::group::Group;
use super::session::Session;

/// What goes wrong at a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Statements of callers that run without being answered, from now on.
    pub lost_answers: u32,
    /// It accepts connections and answers nothing.
    pub silent: bool,
    /// Its queue is full: it refuses everything that takes a slot.
    pub full: bool,
    /// What it answers to a request for its status, in place of that.
    pub status: Option<&'static [u8]>,
    /// What it reports as its position, in place of that.
    pub position: Option<&'static [u8]>,
    /// Rows of 64 KiB that precede its answer to each read.
    pub rows: u32,
}

/// What a server has left when it starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remains {
    /// Its log.
    Log,
    /// Nothing: it knows nothing of before.
    Nothing,
}

/// A server's settings.
#[derive(Debug, Clone, Copy)]
pub(super) struct Settings {
    pub slots: u16,
    pub connections: u16,
    pub work: Duration,
}

/// What the connections of one server share.
#[derive(Debug)]
pub(super) struct Server {
    pub id: String,
    pub group: Arc<Group>,
    pub settings: Settings,
    pub slots: Semaphore,
    pub open: AtomicU16,
    pub faults: Mutex<Faults>,
    pub address: SocketAddr,
    /// Unix milliseconds of its last start.
    born: AtomicU64,
    /// Where callers are told that it listens.
    pub shown: Mutex<SocketAddr>,
    /// Counts its crashes: what began before one ends with it, also when it is back at once.
    crashes: watch::Sender<u32>,
}

impl Server {
    /// Starts a server on a free loopback port.
    pub async fn start(
        id: &str,
        group: Arc<Group>,
        settings: Settings,
    ) -> std::io::Result<Arc<Server>> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let server = Arc::new(Server {
            id: id.to_owned(),
            group,
            settings,
            slots: Semaphore::new(usize::from(settings.slots)),
            open: AtomicU16::new(0),
            faults: Mutex::default(),
            address,
            born: AtomicU64::new(unix_millis()),
            shown: Mutex::new(address),
            crashes: watch::Sender::new(0),
        });
        tokio::spawn(Arc::clone(&server).serve(listener));
        Ok(server)
    }

    /// Kills it: its connections break and its port refuses.
    pub fn crash(&self) {
        self.group.set_running(&self.id, false);
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    /// Unix milliseconds of its last start.
    pub fn born(&self) -> u64 {
        self.born.load(Ordering::Relaxed)
    }

    /// Starts it again at its address, with `remains` of what it had.
    pub async fn restart(self: &Arc<Self>, remains: Remains) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(128)?;
        if remains == Remains::Nothing {
            self.group.forget(&self.id);
        }
        // Two starts within a millisecond differ as well.
        let born = unix_millis().max(self.born() + 1);
        self.born.store(born, Ordering::Relaxed);
        self.group.set_running(&self.id, true);
        tokio::spawn(Arc::clone(self).serve(listener));
        Ok(())
    }

    /// What goes wrong now.
    pub fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the answer to a caller's statement is to be lost; counts it.
    pub fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let loses = faults.lost_answers > 0;
        faults.lost_answers = faults.lost_answers.saturating_sub(1);
        loses
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut crashes = self.crashes.subscribe();
        crashes.mark_unchanged();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = crashes.changed() => return,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            // Otherwise the second of two answers waits until the first is acknowledged, 40 ms.
            let _ = stream.set_nodelay(true);
            let server = Arc::clone(&self);
            let mut crashes = self.crashes.subscribe();
            tokio::spawn(async move {
                server.open.fetch_add(1, Ordering::Relaxed);
                tokio::select! {
                    biased;
                    _ = crashes.changed() => {}
                    () = Session::new(Arc::clone(&server), stream).run() => {}
                }
                server.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

/// The time of day in Unix milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
