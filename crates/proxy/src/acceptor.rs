//! Accepts connections on a listener for as long as the process runs.

use std::cell::Cell;
use std::time::Duration;

use flamingopost_daemon::event::Event as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::event::Event;

/// Pause after a failed accept, which happens while file descriptors or memory are exhausted.
/// Connections wait in the kernel's queue meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between two log lines about failed accepts of one listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts connections on a listener.
///
/// ```
/// use flamingopost_proxy::acceptor::Acceptor;
/// use tokio::net::{TcpListener, TcpStream};
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// runtime.block_on(async {
///     let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
///     let address = listener.local_addr().unwrap();
///     let acceptor = Acceptor::new("door", listener);
///     let caller = TcpStream::connect(address).await.unwrap();
///     let accepted = acceptor.accept().await;
///     assert_eq!(accepted.peer_addr().unwrap(), caller.local_addr().unwrap());
/// });
/// ```
#[derive(Debug)]
pub struct Acceptor {
    /// What the connections are for, in the log.
    name: &'static str,
    listener: TcpListener,
    /// Failed accepts since the last log line.
    failures: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl Acceptor {
    /// Creates the acceptor of `listener`, which is called `name` in the log.
    pub fn new(name: &'static str, listener: TcpListener) -> Acceptor {
        Acceptor {
            name,
            listener,
            failures: Cell::new(0),
            logged_at: Cell::new(None),
        }
    }

    /// Returns the next connection. Failures are logged, and accepting is repeated after a pause.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(error) => self.record_failure(&error.to_string()),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    fn record_failure(&self, error: &str) {
        self.failures.set(self.failures.get().saturating_add(1));
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(Instant::now()));
        Event::NotAccepted {
            name: self.name,
            count: self.failures.take(),
            error: error.to_owned(),
        }
        .log();
    }
}
