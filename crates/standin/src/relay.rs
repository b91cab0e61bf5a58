//! A way to a process that a zone cut can close.
//!
//! Our processes call each other over HTTP and name their zone in each request. All of them share
//! one loopback address in a trial, so a relay in front of a process reads that name and holds
//! back the bytes of whoever is cut off from it.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Longest head of a request that is read for the caller's zone.
const LONGEST_HEAD: usize = 16 << 10;

const CHUNK: usize = 16 << 10;

/// The zones that are cut off from all others.
///
/// ```
/// use flamingopost_standin::relay::Cuts;
///
/// let cuts = Cuts::default();
/// cuts.set("bole-hall", true);
/// assert!(cuts.divides("bole-hall", "akaki-hall"));
/// assert!(!cuts.divides("bole-hall", "bole-hall"));
/// assert!(!cuts.divides("kality-hall", "akaki-hall"));
/// ```
#[derive(Debug, Clone)]
pub struct Cuts {
    zones: Arc<watch::Sender<BTreeSet<String>>>,
}

impl Default for Cuts {
    fn default() -> Cuts {
        Cuts {
            zones: Arc::new(watch::Sender::new(BTreeSet::new())),
        }
    }
}

impl Cuts {
    /// Cuts `zone` off, or heals it.
    pub fn set(&self, zone: &str, cut: bool) {
        self.zones.send_modify(|zones| {
            if cut {
                zones.insert(zone.to_owned());
            } else {
                zones.remove(zone);
            }
        });
    }

    /// The zones that are cut off.
    pub fn zones(&self) -> BTreeSet<String> {
        self.zones.borrow().clone()
    }

    /// Whether nothing passes between the two zones.
    pub fn divides(&self, one: &str, other: &str) -> bool {
        divides(&self.zones.borrow(), one, other)
    }

    /// Returns when something can pass between the two zones.
    async fn joined(&self, one: &str, other: &str) {
        let mut zones = self.zones.subscribe();
        // The sender lives as long as `self`, so the wait only ends with the condition.
        let _ = zones.wait_for(|zones| !divides(zones, one, other)).await;
    }
}

fn divides(zones: &BTreeSet<String>, one: &str, other: &str) -> bool {
    one != other && (zones.contains(one) || zones.contains(other))
}

/// A listening relay. Dropping it closes it.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Relay {
    /// Relays from a free loopback port to `target`, which lies in `zone`.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(target: SocketAddr, zone: &str, cuts: &Cuts) -> io::Result<Relay> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let way = Way {
            target,
            zone: zone.to_owned(),
            cuts: cuts.clone(),
        };
        let task = tokio::spawn(accept(listener, way));
        Ok(Relay { address, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug, Clone)]
struct Way {
    target: SocketAddr,
    zone: String,
    cuts: Cuts,
}

async fn accept(listener: TcpListener, way: Way) {
    loop {
        if let Ok((socket, _)) = listener.accept().await {
            let way = way.clone();
            // A connection that breaks is the business of its two ends.
            tokio::spawn(async move { way.carry(socket).await });
        }
    }
}

impl Way {
    async fn carry(&self, mut caller: TcpStream) -> io::Result<()> {
        caller.set_nodelay(true)?;
        let head = read_head(&mut caller).await?;
        let from = zone_in(&head);
        self.cuts.joined(&from, &self.zone).await;
        let mut process = TcpStream::connect(self.target).await?;
        process.set_nodelay(true)?;
        process.write_all(&head).await?;
        let (mut to_caller, mut to_process) = (vec![0; CHUNK], vec![0; CHUNK]);
        loop {
            let (bytes, sink) = tokio::select! {
                read = caller.read(&mut to_process) => (&to_process[..read?], &mut process),
                read = process.read(&mut to_caller) => (&to_caller[..read?], &mut caller),
            };
            if bytes.is_empty() {
                return Ok(());
            }
            self.cuts.joined(&from, &self.zone).await;
            sink.write_all(bytes).await?;
        }
    }
}

async fn read_head(caller: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut head = Vec::new();
    while !head.windows(4).any(|part| part == b"\r\n\r\n") && head.len() < LONGEST_HEAD {
        if caller.read_buf(&mut head).await? == 0 {
            break;
        }
    }
    Ok(head)
}

/// The zone that the head of a request names; empty where it names none.
fn zone_in(head: &[u8]) -> String {
    let text = String::from_utf8_lossy(head);
    text.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("x-zone"))
        .map(|(_, zone)| zone.trim().to_owned())
        .unwrap_or_default()
}
