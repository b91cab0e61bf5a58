//! Loopback relays between hosts, servers, the store and the platform's endpoint for orders. All
//! traffic between them passes through these relays, which can delay it, block it, or reset its
//! connections.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::RngExt as _;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// Size of the buffer that copies a connection's data, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// Maximum size of a datagram between hosts, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2 << 10;

/// Maximum number of datagrams that wait for the end of a cut.
const MAX_LATE_DATAGRAMS: usize = 500;

/// Longest time after the end of a cut until a datagram that was sent into it arrives.
const MAX_LATENESS: Duration = Duration::from_millis(300);

/// A sender or receiver of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// The host with this number.
    Host(usize),
    /// Any host, on a connection that was opened in the name of a team and does not tell which.
    Teams,
    /// The server with this number.
    Server(usize),
    /// The platform's store.
    Store,
    /// The platform's endpoint for orders.
    Orders,
}

/// How traffic in one direction between two endpoints is treated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Rule {
    /// Whether the traffic is blocked.
    cut: bool,
    /// Latency that is added to the traffic.
    delay: Duration,
    /// Number of resets so far. Connections that were opened at a lower number are reset.
    resets: u32,
}

/// All relays of a run, and the rules that they follow. Clones share the rules.
///
/// What is sent on a connection during a cut arrives after it, also if the sender has closed the
/// connection since: kernels send data again until it is acknowledged. A reset drops it.
#[derive(Debug, Clone)]
pub struct Net {
    rules: Arc<watch::Sender<BTreeMap<(Endpoint, Endpoint), Rule>>>,
    /// Whether datagrams that are sent into a cut arrive after it, in any order.
    late_datagrams: Arc<AtomicBool>,
    /// Number of datagrams that wait for that.
    waiting_datagrams: Arc<AtomicUsize>,
}

impl Default for Net {
    fn default() -> Net {
        Net {
            rules: Arc::new(watch::Sender::new(BTreeMap::new())),
            late_datagrams: Arc::default(),
            waiting_datagrams: Arc::default(),
        }
    }
}

impl Net {
    /// Blocks traffic from `from` to `to` if `cut` is set, and unblocks it otherwise.
    pub fn cut(&self, from: Endpoint, to: Endpoint, cut: bool) {
        self.change(from, to, |rule| rule.cut = cut);
    }

    /// Sets the latency that is added to traffic from `from` to `to`.
    pub fn delay(&self, from: Endpoint, to: Endpoint, delay: Duration) {
        self.change(from, to, |rule| rule.delay = delay);
    }

    /// Resets all connections from `from` to `to`.
    pub fn reset(&self, from: Endpoint, to: Endpoint) {
        self.change(from, to, |rule| rule.resets += 1);
    }

    /// Sets whether datagrams that are sent into a cut arrive after it, in any order, or are lost.
    pub fn set_late_datagrams(&self, late: bool) {
        self.late_datagrams.store(late, Ordering::Relaxed);
    }

    /// Unblocks all traffic and removes all delays.
    pub fn heal(&self) {
        self.rules.send_modify(|rules| {
            for rule in rules.values_mut() {
                rule.cut = false;
                rule.delay = Duration::ZERO;
            }
        });
    }

    fn change(&self, from: Endpoint, to: Endpoint, change: impl FnOnce(&mut Rule)) {
        self.rules
            .send_modify(|rules| change(rules.entry((from, to)).or_default()));
    }

    fn rule(&self, from: Endpoint, to: Endpoint) -> Rule {
        self.rules
            .borrow()
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    /// Waits for the delay of traffic from `from` to `to`, and until it is not blocked.
    async fn wait_until_open(&self, from: Endpoint, to: Endpoint) {
        let delay = self.rule(from, to).delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let open = |rules: &BTreeMap<(Endpoint, Endpoint), Rule>| {
            !rules.get(&(from, to)).is_some_and(|rule| rule.cut)
        };
        // This fails only if the sender is dropped, and `self` holds it.
        let _ = self.rules.subscribe().wait_for(open).await;
    }

    /// Relays connections from `from` to `to`, which listens at `target`, and returns the address
    /// of the relay.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn relay(
        &self,
        from: Endpoint,
        to: Endpoint,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let net = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let net = net.clone();
                tokio::spawn(
                    async move { net.relay_connection(from, to, stream, target, &[]).await },
                );
            }
        });
        Ok(address)
    }

    /// Relays connections from all hosts to server `to`, which listens at `target`, and returns the
    /// address of the relay. The first line of a connection names the client that opened it.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn relay_server(
        &self,
        to: Endpoint,
        target: SocketAddr,
        clients: Arc<BTreeMap<String, Endpoint>>,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        tokio::spawn(self.clone().relay_sessions(listener, to, target, clients));
        Ok(address)
    }

    /// Accepts connections and relays those whose first line names one of `clients`.
    async fn relay_sessions(
        self,
        listener: TcpListener,
        to: Endpoint,
        target: SocketAddr,
        clients: Arc<BTreeMap<String, Endpoint>>,
    ) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (net, clients) = (self.clone(), Arc::clone(&clients));
            tokio::spawn(async move {
                let Some(first) = first_line(&mut stream).await else {
                    return;
                };
                let text = String::from_utf8_lossy(&first);
                let name = text.split_whitespace().nth(2);
                let Some(from) = name.and_then(|name| clients.get(name)) else {
                    return;
                };
                net.relay_connection(*from, to, stream, target, &first)
                    .await;
            });
        }
    }

    /// Sends `first` to `target` and copies data in both directions until one side closes the
    /// connection or it is reset.
    async fn relay_connection(
        &self,
        from: Endpoint,
        to: Endpoint,
        client: TcpStream,
        target: SocketAddr,
        first: &[u8],
    ) {
        let resets = self.rule(from, to).resets;
        self.wait_until_open(from, to).await;
        let Ok(mut server) = TcpStream::connect(target).await else {
            reset_on_close(&client);
            return;
        };
        disable_nagle(&client);
        disable_nagle(&server);
        if server.write_all(first).await.is_err() {
            return;
        }
        // Neither protocol uses half-open connections, so the end of one direction closes both.
        let (mut client_in, mut client_out) = client.into_split();
        let (mut server_in, mut server_out) = server.into_split();
        let mut rules = self.rules.subscribe();
        let was_reset = |rules: &BTreeMap<(Endpoint, Endpoint), Rule>| {
            rules
                .get(&(from, to))
                .is_some_and(|rule| rule.resets > resets)
        };
        let broken = tokio::select! {
            () = self.copy(from, to, &mut client_in, &mut server_out) => false,
            () = self.copy(to, from, &mut server_in, &mut client_out) => false,
            _ = rules.wait_for(was_reset) => true,
        };
        if broken {
            reset_on_close(client_in.as_ref());
            reset_on_close(server_in.as_ref());
        }
    }

    /// Copies data from `input` to `output` until either ends.
    async fn copy(
        &self,
        from: Endpoint,
        to: Endpoint,
        input: &mut tokio::net::tcp::OwnedReadHalf,
        output: &mut tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = input.read(&mut chunk).await;
            tokio::select! {
                () = self.wait_until_open(from, to) => {}
                _ = input.ready(Interest::ERROR) => return,
            }
            match read {
                Ok(length @ 1..) if output.write_all(&chunk[..length]).await.is_ok() => {}
                _ => return,
            }
        }
    }

    /// Relays sessions and datagrams from all other hosts to host `to`, which listens at `target`,
    /// and returns the address of the relay. The source address of a datagram identifies its
    /// sender.
    ///
    /// # Errors
    /// No port can be bound for both protocols.
    pub async fn relay_peers(
        &self,
        to: usize,
        target: SocketAddr,
        clients: Arc<BTreeMap<String, Endpoint>>,
        hosts_by_address: Arc<BTreeMap<SocketAddr, usize>>,
    ) -> io::Result<SocketAddr> {
        let (socket, listener) = bind_udp_and_tcp().await?;
        let socket = Arc::new(socket);
        let address = socket.local_addr()?;
        let sessions = self
            .clone()
            .relay_sessions(listener, Endpoint::Host(to), target, clients);
        tokio::spawn(sessions);
        tokio::spawn(
            self.clone()
                .relay_datagrams(to, target, hosts_by_address, socket),
        );
        Ok(address)
    }

    /// Relays datagrams to host `to`, from a socket of its own for each sender, so that answers
    /// find their way back.
    async fn relay_datagrams(
        self,
        to: usize,
        target: SocketAddr,
        hosts_by_address: Arc<BTreeMap<SocketAddr, usize>>,
        socket: Arc<UdpSocket>,
    ) {
        let sockets: Mutex<BTreeMap<SocketAddr, Arc<UdpSocket>>> = Mutex::default();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                return;
            };
            let Some(from) = hosts_by_address.get(&sender).copied() else {
                continue;
            };
            let known = {
                let sockets = sockets.lock().unwrap_or_else(PoisonError::into_inner);
                sockets.get(&sender).cloned()
            };
            let forward_socket = match known {
                Some(forward_socket) => forward_socket,
                None => {
                    let Ok(forward_socket) = UdpSocket::bind(("127.0.0.1", 0)).await else {
                        continue;
                    };
                    let forward_socket = Arc::new(forward_socket);
                    let answers = self.clone().relay_answers(
                        (to, from),
                        Arc::clone(&forward_socket),
                        Arc::clone(&socket),
                        sender,
                    );
                    tokio::spawn(answers);
                    let mut sockets = sockets.lock().unwrap_or_else(PoisonError::into_inner);
                    sockets.insert(sender, Arc::clone(&forward_socket));
                    forward_socket
                }
            };
            self.forward(
                (from, to),
                buffer[..length].to_vec(),
                forward_socket,
                target,
            );
        }
    }

    /// Relays a host's answers back to the host that sent the request.
    async fn relay_answers(
        self,
        ends: (usize, usize),
        forward_socket: Arc<UdpSocket>,
        back: Arc<UdpSocket>,
        requester: SocketAddr,
    ) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while let Ok((length, _)) = forward_socket.recv_from(&mut buffer).await {
            self.forward(
                ends,
                buffer[..length].to_vec(),
                Arc::clone(&back),
                requester,
            );
        }
    }

    /// Forwards a datagram after the delay, or drops it if its direction is blocked.
    fn forward(
        &self,
        (from, to): (usize, usize),
        bytes: Vec<u8>,
        by: Arc<UdpSocket>,
        target: SocketAddr,
    ) {
        let (from, to) = (Endpoint::Host(from), Endpoint::Host(to));
        let rule = self.rule(from, to);
        if rule.cut {
            return self.forward_late((from, to), bytes, by, target);
        }
        tokio::spawn(async move {
            tokio::time::sleep(rule.delay).await;
            // A datagram to a receiver that has stopped is lost, as on any network.
            let _ = by.send_to(&bytes, target).await;
        });
    }

    /// Forwards a datagram that was sent into a cut a while after its end, or drops it.
    fn forward_late(
        &self,
        (from, to): (Endpoint, Endpoint),
        bytes: Vec<u8>,
        by: Arc<UdpSocket>,
        target: SocketAddr,
    ) {
        let is_full = self.waiting_datagrams.load(Ordering::Relaxed) >= MAX_LATE_DATAGRAMS;
        if is_full || !self.late_datagrams.load(Ordering::Relaxed) {
            return;
        }
        self.waiting_datagrams.fetch_add(1, Ordering::Relaxed);
        let net = self.clone();
        tokio::spawn(async move {
            net.wait_until_open(from, to).await;
            let lateness = MAX_LATENESS.mul_f64(rand::rng().random_range(0.0..1.0));
            tokio::time::sleep(lateness).await;
            net.waiting_datagrams.fetch_sub(1, Ordering::Relaxed);
            let _ = by.send_to(&bytes, target).await;
        });
    }
}

/// Binds one port for both datagrams and connections.
async fn bind_udp_and_tcp() -> io::Result<(UdpSocket, TcpListener)> {
    loop {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await?;
        match TcpListener::bind(socket.local_addr()?).await {
            Ok(listener) => return Ok((socket, listener)),
            // The port is in use by a connection: retries with another one.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

/// Disables Nagle's algorithm, as both ends do on their own connections.
///
/// A server answers pipelined statements one by one. With Nagle's algorithm, the kernel delays the
/// second answer until the first is acknowledged, which takes 40 ms: hosts measured requests of
/// 60 ms at servers that took 9 ms, and held their connections for as long.
fn disable_nagle(stream: &TcpStream) {
    // This fails only on a connection that has already ended.
    let _ = stream.set_nodelay(true);
}

/// Makes closing the connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    // This fails only on a connection that has already ended.
    let _ = stream.set_zero_linger();
}

/// Reads up to and including the first line feed. Returns `None` if the connection ends before.
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
