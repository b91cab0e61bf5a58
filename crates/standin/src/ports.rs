//! Ports for programs that have to be told where to listen.
//!
//! A port that is free now may be taken before its program listens on it: by an outgoing
//! connection, or by another test that looks for ports at the same time. So ports lie below those
//! that the system gives to outgoing connections, and each process has a range of its own, which
//! it holds by listening on the range's first port for as long as it runs.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};

/// The first range begins here.
const FIRST: u16 = 10_000;

/// Ports of a range.
const RANGE: u16 = 500;

/// Ranges below those that the system gives to outgoing connections, from 32,768 on.
const RANGES: u16 = 45;

/// The range of this process.
static HELD: Mutex<Option<(u16, TcpListener)>> = Mutex::new(None);

/// Ports of it that were given out.
static GIVEN: AtomicU16 = AtomicU16::new(1);

/// A loopback address whose port is free, for connections and for datagrams, and is given to
/// nobody else while this process runs, unless all of its range was given out.
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
    let first = range();
    loop {
        let next = GIVEN.fetch_add(1, Ordering::Relaxed) % (RANGE - 1) + 1;
        let address = loopback(first + next);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn range() -> u16 {
    let mut held = HELD.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some((first, _)) = &*held {
        return *first;
    }
    for number in 0..RANGES {
        let first = FIRST + number * RANGE;
        if let Ok(guard) = TcpListener::bind(loopback(first)) {
            *held = Some((first, guard));
            return first;
        }
    }
    panic!("all {RANGES} ranges of ports are held");
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
