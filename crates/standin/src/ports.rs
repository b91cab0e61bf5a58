//! Ports for programs that have to be told where to listen.
//!
//! A port that is free now may be taken before its program listens on it: by an outgoing
//! connection, or by another test that looks for ports at the same time. So ports lie below those
//! that the system gives to outgoing connections, and each process has a range of its own, which
//! it holds by listening on the range's first port for as long as it runs.
//!
//! Which ports of the range are free is tried once, before any is given out. Tried later, a process
//! that is being started by another thread has a copy of the socket that tries, until it runs its
//! program: the port's own program then finds it in use.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// The first range begins here.
const FIRST: u16 = 10_000;

/// Ports of a range: twice those of twelve fleets of twelve hosts, which one process may run at once.
const RANGE: u16 = 1_500;

/// Ranges below those that the system gives to outgoing connections, from 32,768 on.
const RANGES: u16 = 15;

/// The range of this process.
static HELD: Mutex<Option<Range>> = Mutex::new(None);

/// A range of ports.
struct Range {
    /// Listens on the first port, so that no other process takes the range.
    _guard: TcpListener,
    /// The others that were free, the next one first.
    ports: VecDeque<SocketAddr>,
}

/// A loopback address whose port is free, for connections and for datagrams. It is given to nobody
/// else while this process runs, until all of its range were given out: then the oldest comes again.
///
/// # Panics
/// All ranges are held by other processes.
///
/// ```
/// let (one, other) = (flamingopost_standin::ports::free(), flamingopost_standin::ports::free());
/// assert_ne!(one, other);
/// std::net::TcpListener::bind(one).unwrap();
/// ```
pub fn free() -> SocketAddr {
    let mut held = HELD.lock().unwrap_or_else(PoisonError::into_inner);
    let range = held.get_or_insert_with(Range::take);
    range.ports.rotate_left(1);
    range.ports[0]
}

/// Returns a free address like [`free`] whose next port is free as well, and is given to nobody
/// else either.
///
/// # Panics
/// Panics if no two ports in a row are free.
///
/// ```
/// let first = flamingopost_standin::ports::free_pair();
/// let next = std::net::SocketAddr::new(first.ip(), first.port() + 1);
/// std::net::TcpListener::bind(next).unwrap();
/// ```
pub fn free_pair() -> SocketAddr {
    let mut first = free();
    for _ in 0..RANGE {
        let next = free();
        if next.port() == first.port() + 1 {
            return first;
        }
        first = next;
    }
    panic!("no two ports in a row are free")
}

impl Range {
    fn take() -> Range {
        let taken = (0..RANGES).find_map(|number| {
            let first = FIRST + number * RANGE;
            let guard = TcpListener::bind(loopback(first)).ok()?;
            let ports = (first + 1..first + RANGE).map(loopback);
            let ports: VecDeque<SocketAddr> = ports.filter(is_free).collect();
            (!ports.is_empty()).then_some(Range {
                _guard: guard,
                ports,
            })
        });
        taken.unwrap_or_else(|| panic!("all {RANGES} ranges of ports are held"))
    }
}

fn is_free(address: &SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
