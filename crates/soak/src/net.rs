//! Loopback relays between hosts, servers, store and the platform's orders: everything that one
//! of them sends to another goes through here, and can be delayed, held back or reset.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// Longest datagram between hosts.
const DATAGRAM: usize = 2 << 10;

/// Who takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// A host.
    Host(usize),
    /// A server.
    Server(usize),
    /// The platform's store.
    Store,
    /// Where the platform takes orders.
    Orders,
}

/// What happens to what goes one way between two ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Rule {
    cut: bool,
    delay: Duration,
    /// Counts resets: connections that began under a lower count are reset.
    resets: u32,
}

/// All relays of a run.
#[derive(Debug, Clone)]
pub struct Net {
    rules: Arc<watch::Sender<BTreeMap<(End, End), Rule>>>,
}

impl Default for Net {
    fn default() -> Net {
        Net {
            rules: Arc::new(watch::Sender::new(BTreeMap::new())),
        }
    }
}

impl Net {
    /// Holds back what goes from `from` to `to`, or lets it through again.
    pub fn cut(&self, from: End, to: End, cut: bool) {
        self.change(from, to, |rule| rule.cut = cut);
    }

    /// Delays what goes from `from` to `to`.
    pub fn delay(&self, from: End, to: End, delay: Duration) {
        self.change(from, to, |rule| rule.delay = delay);
    }

    /// Resets all connections from `from` to `to`.
    pub fn reset(&self, from: End, to: End) {
        self.change(from, to, |rule| rule.resets += 1);
    }

    /// Ends all cuts and delays.
    pub fn heal(&self) {
        self.rules.send_modify(|rules| {
            for rule in rules.values_mut() {
                rule.cut = false;
                rule.delay = Duration::ZERO;
            }
        });
    }

    fn change(&self, from: End, to: End, change: impl FnOnce(&mut Rule)) {
        self.rules
            .send_modify(|rules| change(rules.entry((from, to)).or_default()));
    }

    fn rule(&self, from: End, to: End) -> Rule {
        self.rules
            .borrow()
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    /// Waits until what goes from `from` to `to` passes.
    async fn pass(&self, from: End, to: End) {
        let delay = self.rule(from, to).delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let open = |rules: &BTreeMap<(End, End), Rule>| {
            !rules.get(&(from, to)).is_some_and(|rule| rule.cut)
        };
        // The sender lives as long as this.
        let _ = self.rules.subscribe().wait_for(open).await;
    }

    /// Relays connections of `from` to `to`, which listens at `target`; gives the relay's address.
    ///
    /// # Errors
    /// No port is free.
    pub async fn link(&self, from: End, to: End, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let net = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let net = net.clone();
                tokio::spawn(async move { net.relay(from, to, stream, target, &[]).await });
            }
        });
        Ok(address)
    }

    /// Relays connections of all hosts to server `to` at `target`. Which host calls stands in the
    /// first line.
    ///
    /// # Errors
    /// No port is free.
    pub async fn server(
        &self,
        to: End,
        target: SocketAddr,
        names: Arc<BTreeMap<String, usize>>,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        tokio::spawn(self.clone().sessions(listener, to, target, names));
        Ok(address)
    }

    async fn sessions(
        self,
        listener: TcpListener,
        to: End,
        target: SocketAddr,
        names: Arc<BTreeMap<String, usize>>,
    ) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (net, names) = (self.clone(), Arc::clone(&names));
            tokio::spawn(async move {
                let Some(first) = first_line(&mut stream).await else {
                    return;
                };
                let text = String::from_utf8_lossy(&first);
                let name = text.split_whitespace().nth(2);
                let Some(host) = name.and_then(|name| names.get(name)) else {
                    return;
                };
                let from = End::Host(*host);
                net.relay(from, to, stream, target, &first).await;
            });
        }
    }

    async fn relay(&self, from: End, to: End, inner: TcpStream, target: SocketAddr, first: &[u8]) {
        let resets = self.rule(from, to).resets;
        self.pass(from, to).await;
        let Ok(mut outer) = TcpStream::connect(target).await else {
            reset(&inner);
            return;
        };
        at_once(&inner);
        at_once(&outer);
        if outer.write_all(first).await.is_err() {
            return;
        }
        // A connection that the two ends leave half open is of no use to them.
        let (mut inner_in, mut inner_out) = inner.into_split();
        let (mut outer_in, mut outer_out) = outer.into_split();
        let mut rules = self.rules.subscribe();
        let was_reset = |rules: &BTreeMap<(End, End), Rule>| {
            rules
                .get(&(from, to))
                .is_some_and(|rule| rule.resets > resets)
        };
        let broken = tokio::select! {
            () = self.copy(from, to, &mut inner_in, &mut outer_out) => false,
            () = self.copy(to, from, &mut outer_in, &mut inner_out) => false,
            _ = rules.wait_for(was_reset) => true,
        };
        if broken {
            reset(inner_in.as_ref());
            reset(outer_in.as_ref());
        }
    }

    async fn copy(
        &self,
        from: End,
        to: End,
        input: &mut tokio::net::tcp::OwnedReadHalf,
        output: &mut tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = input.read(&mut chunk).await;
            self.pass(from, to).await;
            match read {
                Ok(length @ 1..) if output.write_all(&chunk[..length]).await.is_ok() => {}
                _ => return,
            }
        }
    }

    /// Relays sessions and datagrams of all other hosts to host `to`, which listens at `target`.
    /// Datagrams show their sender by its address.
    ///
    /// # Errors
    /// No port is free for both.
    pub async fn peers(
        &self,
        to: usize,
        target: SocketAddr,
        names: Arc<BTreeMap<String, usize>>,
        senders: Arc<BTreeMap<SocketAddr, usize>>,
    ) -> io::Result<SocketAddr> {
        let (socket, listener) = both().await?;
        let socket = Arc::new(socket);
        let address = socket.local_addr()?;
        let sessions = self
            .clone()
            .sessions(listener, End::Host(to), target, names);
        tokio::spawn(sessions);
        tokio::spawn(self.clone().datagrams(to, target, senders, socket));
        Ok(address)
    }

    async fn datagrams(
        self,
        to: usize,
        target: SocketAddr,
        senders: Arc<BTreeMap<SocketAddr, usize>>,
        socket: Arc<UdpSocket>,
    ) {
        let ways: Mutex<BTreeMap<SocketAddr, Arc<UdpSocket>>> = Mutex::default();
        let mut buffer = [0; DATAGRAM];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                return;
            };
            let Some(from) = senders.get(&sender).copied() else {
                continue;
            };
            let known = {
                let ways = ways.lock().unwrap_or_else(PoisonError::into_inner);
                ways.get(&sender).cloned()
            };
            let way = match known {
                Some(way) => way,
                None => {
                    let Ok(way) = UdpSocket::bind(("127.0.0.1", 0)).await else {
                        continue;
                    };
                    let way = Arc::new(way);
                    let answers = self.clone().answers(
                        (to, from),
                        Arc::clone(&way),
                        Arc::clone(&socket),
                        sender,
                    );
                    tokio::spawn(answers);
                    let mut ways = ways.lock().unwrap_or_else(PoisonError::into_inner);
                    ways.insert(sender, Arc::clone(&way));
                    way
                }
            };
            self.forward((from, to), buffer[..length].to_vec(), way, target);
        }
    }

    /// Passes answers of a host back to the one that asked.
    async fn answers(
        self,
        ends: (usize, usize),
        way: Arc<UdpSocket>,
        back: Arc<UdpSocket>,
        asker: SocketAddr,
    ) {
        let mut buffer = [0; DATAGRAM];
        while let Ok((length, _)) = way.recv_from(&mut buffer).await {
            self.forward(ends, buffer[..length].to_vec(), Arc::clone(&back), asker);
        }
    }

    /// Sends a datagram on, unless it is held back: those are lost.
    fn forward(
        &self,
        (from, to): (usize, usize),
        bytes: Vec<u8>,
        by: Arc<UdpSocket>,
        target: SocketAddr,
    ) {
        let rule = self.rule(End::Host(from), End::Host(to));
        if rule.cut {
            return;
        }
        tokio::spawn(async move {
            tokio::time::sleep(rule.delay).await;
            // A receiver that is gone loses it, as on any network.
            let _ = by.send_to(&bytes, target).await;
        });
    }
}

/// A port for datagrams and for connections.
async fn both() -> io::Result<(UdpSocket, TcpListener)> {
    loop {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await?;
        match TcpListener::bind(socket.local_addr()?).await {
            Ok(listener) => return Ok((socket, listener)),
            // Some connection has the port: another one is drawn.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

/// Has what is written be sent at once, as both ends ask for on their own connections.
///
/// A server answers several statements that came together one after the other. Without this, the
/// system keeps the second answer back until the first is acknowledged, which takes 40 ms: hosts
/// measured requests of 60 ms at servers that took 9 ms, and held their connections for as long.
fn at_once(stream: &TcpStream) {
    // A connection that has ended already needs none.
    let _ = stream.set_nodelay(true);
}

/// Has the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // A connection that has ended already needs none.
    let _ = stream.set_zero_linger();
}

async fn first_line(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut line = Vec::new();
    loop {
        let byte = stream.read_u8().await.ok()?;
        line.push(byte);
        if byte == b'\n' {
            return Some(line);
        }
    }
}
