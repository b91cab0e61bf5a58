//! Starts hosts, with what goes wrong at each start.

use std::fs::File;
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex as StdMutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::fs::{CWD, Mode, mkfifoat};
use tokio::io::AsyncWriteExt as _;
use tokio::net::unix::pipe;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::history::History;
use crate::occupant::Socket;
use crate::problem::Kind;
use crate::process::Host;
use crate::start::{Cut, Delivery, Form, Port, Start, Times};
use crate::testbed::{SHUTDOWN_GRACE, SHUTDOWN_MARGIN};

/// How often a process is polled while it starts.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum time until a host that starts shows that it handles signals. No verdict depends on it.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Time until the rest of a settings file follows, if the host logs nothing before it reads the file.
const PIECE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which a host ends that does not bear what went wrong.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Settings as they are written where nothing goes wrong.
const PLAIN: Form = Form {
    reversed: false,
    empty: false,
    times: Times::Whole,
};

/// Starts hosts.
pub(crate) struct Starter {
    hosts: Arc<Vec<Host>>,
    history: Arc<History>,
    /// The starts of each host, the next one last. It is held while a host starts.
    starts: Vec<Mutex<Vec<Start>>>,
    /// Address for metrics of each host.
    metrics: Vec<SocketAddr>,
    /// Starts that are under way.
    running: StdMutex<JoinSet<()>>,
}

/// The part of the settings that a host has not received yet.
enum Rest {
    Nothing,
    File(String),
    Pipe(pipe::Sender, String, String),
}

impl Starter {
    /// Creates a starter that starts each of `hosts` as `starts` say, and plainly after those.
    pub(crate) fn new(
        hosts: Arc<Vec<Host>>,
        history: Arc<History>,
        starts: &[Vec<Start>],
        metrics: Vec<SocketAddr>,
    ) -> Starter {
        let reversed = |starts: &Vec<Start>| starts.iter().rev().copied().collect();
        Starter {
            hosts,
            history,
            starts: starts.iter().map(reversed).map(Mutex::new).collect(),
            metrics,
            running: StdMutex::default(),
        }
    }

    /// Begins to start a host, if it does not run.
    pub(crate) fn start(self: &Arc<Starter>, number: usize) {
        let starter = Arc::clone(self);
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.spawn(async move {
            if let Err(error) = starter.run(number).await {
                let problem = error.to_string();
                starter.history.report_problem(Kind::NotStarted, problem);
            }
        });
    }

    /// Waits until no host starts any more.
    pub(crate) async fn finish(&self) {
        let running =
            std::mem::take(&mut *self.running.lock().unwrap_or_else(PoisonError::into_inner));
        running.join_all().await;
    }

    /// Writes the settings file of a host that runs anew, in two pieces with a SIGHUP after each.
    pub(crate) async fn rewrite(&self, number: usize, form: Form, cut: Cut) -> io::Result<()> {
        let _starts = self.starts[number].lock().await;
        let host = &self.hosts[number];
        if !host.is_running() {
            return Ok(());
        }
        let text = form.text(&host.settings, self.metrics[number]);
        let (first, rest) = cut.split(&text);
        let mut file = File::create(host.settings_path())?;
        for piece in [first, rest] {
            file.write_all(piece.as_bytes())?;
            if host.handles_signals() {
                host.reload();
            }
            tokio::time::sleep(cut.pause).await;
        }
        Ok(())
    }

    /// Starts a host, and again for as long as it is stopped or ends by itself meanwhile.
    async fn run(&self, number: usize) -> io::Result<()> {
        let host = &self.hosts[number];
        let mut starts = self.starts[number].lock().await;
        while !host.is_running() {
            self.check_exit(host, None);
            let Some(start) = starts.pop() else {
                replace(
                    &host.settings_path(),
                    &PLAIN.text(&host.settings, self.metrics[number]),
                )?;
                return host.start();
            };
            self.run_start(number, start).await?;
            host.disturb();
            if !self.check_exit(host, Some(start)) && !start.stopped {
                break;
            }
        }
        Ok(())
    }

    /// Carries out one start until all that goes wrong is over, or the host runs no more.
    async fn run_start(&self, number: usize, start: Start) -> io::Result<()> {
        let host = &self.hosts[number];
        // A port that something else has is in use already.
        let socket = match start.occupied {
            Some(occupied) => Socket::open(self.port(number, occupied.port), occupied)
                .await
                .ok(),
            None => None,
        };
        let text = start.form.text(&host.settings, self.metrics[number]);
        let path = host.settings_path();
        let (first, rest) = match start.delivery {
            Delivery::Whole => (text.as_str(), ""),
            Delivery::Pieces(cut) | Delivery::Pipe(cut) => cut.split(&text),
        };
        match start.delivery {
            Delivery::Whole | Delivery::Pieces(_) => replace(&path, first)?,
            Delivery::Pipe(_) => {
                remove(&path)?;
                mkfifoat(CWD, &path, Mode::RUSR | Mode::WUSR)?;
            }
        }
        host.start()?;
        let started = Instant::now();
        let rest = match start.delivery {
            Delivery::Whole => {
                begin(host, BEGIN_TIMEOUT).await;
                Rest::Nothing
            }
            Delivery::Pieces(_) => {
                begin(host, PIECE_TIMEOUT).await;
                Rest::File(rest.to_owned())
            }
            Delivery::Pipe(_) => {
                let sender = open_pipe(host, &path).await?;
                // Whatever reads the settings again finds a file.
                replace(&path, &text)?;
                match sender {
                    Some(sender) => Rest::Pipe(sender, first.to_owned(), rest.to_owned()),
                    None => Rest::Nothing,
                }
            }
        };
        self.send_signals(host, start).await;
        deliver(host, &path, start.delivery, rest).await?;
        if start.stopped && host.handles_signals() {
            drop(socket);
            stopped(host, &self.history, Instant::now(), false).await;
            return Ok(());
        }
        if let Some(occupied) = start.occupied {
            pass(host, occupied.lasts.saturating_sub(started.elapsed())).await;
        }
        drop(socket);
        pass(host, SETTLE_TIME).await;
        Ok(())
    }

    async fn send_signals(&self, host: &Host, start: Start) {
        if !host.handles_signals() {
            return;
        }
        for _ in 0..start.reloads {
            host.reload();
            pass(host, start.pause).await;
        }
        if start.stopped {
            host.terminate();
        }
    }

    /// Reports a problem and returns `true` if `host` has exited without being asked to.
    fn check_exit(&self, host: &Host, start: Option<Start>) -> bool {
        let Some(status) = host.unexpected_exit() else {
            return false;
        };
        let (name, count) = (&host.settings.name, host.start_count());
        let problem =
            format!("{name} exited unexpectedly with {status} in start {count}: {start:?}");
        self.history.report_problem(Kind::UnexpectedExit, problem);
        true
    }

    fn port(&self, number: usize, port: Port) -> SocketAddr {
        let settings = &self.hosts[number].settings;
        match port {
            Port::Callers => settings.callers,
            Port::Probe => settings.probe,
            Port::Messages | Port::Sessions => settings.peers,
            Port::Feeds => SocketAddr::new(settings.peers.ip(), settings.peers.port() + 1),
            Port::Metrics => self.metrics[number],
        }
    }
}

/// Waits for a host that was asked to stop at `since`. It must exit within its grace period, and with
/// success unless `may_be_killed` and a signal terminated it.
pub(crate) async fn stopped(host: &Host, history: &History, since: Instant, may_be_killed: bool) {
    let name = &host.settings.name;
    let problem = match host.wait_for_exit(SHUTDOWN_GRACE + SHUTDOWN_MARGIN).await {
        Some(status) if status.success() => return,
        Some(status) if may_be_killed && is_signal(status) => return,
        Some(status) => format!("{name} exited with {status}"),
        None => {
            let is_late = host.is_undisturbed(since);
            host.kill();
            if !is_late {
                return;
            }
            format!("{name} still runs after {:?}", since.elapsed())
        }
    };
    history.report_problem(Kind::NotStopped, problem);
}

fn is_signal(status: std::process::ExitStatus) -> bool {
    use std::os::unix::process::ExitStatusExt as _;
    status.signal().is_some()
}

/// Waits for `time`, or until `host` does not run any more.
async fn pass(host: &Host, time: Duration) {
    let start = Instant::now();
    while host.is_running() && start.elapsed() < time {
        let left = time.saturating_sub(start.elapsed());
        tokio::time::sleep(POLL_INTERVAL.min(left)).await;
    }
}

/// Waits until `host` handles signals or does not run any more, for at most `limit`.
async fn begin(host: &Host, limit: Duration) {
    let start = Instant::now();
    while host.is_running() && !host.handles_signals() && start.elapsed() < limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Opens the FIFO at `path` once `host` reads it. Returns `None` if it does not.
async fn open_pipe(host: &Host, path: &Path) -> io::Result<Option<pipe::Sender>> {
    let start = Instant::now();
    while host.is_running() && start.elapsed() < BEGIN_TIMEOUT {
        if let Ok(sender) = pipe::OpenOptions::new().open_sender(path) {
            host.set_handles_signals();
            return Ok(Some(sender));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(None)
}

/// Passes the rest of its settings to `host`.
async fn deliver(host: &Host, path: &Path, delivery: Delivery, rest: Rest) -> io::Result<()> {
    let pause = match delivery {
        Delivery::Whole => Duration::ZERO,
        Delivery::Pieces(cut) | Delivery::Pipe(cut) => cut.pause,
    };
    match rest {
        Rest::Nothing => {}
        Rest::File(rest) => {
            pass(host, pause).await;
            File::options()
                .append(true)
                .open(path)?
                .write_all(rest.as_bytes())?;
        }
        Rest::Pipe(mut sender, first, rest) => {
            // The host may have ended; that is found afterwards.
            let _ = sender.write_all(first.as_bytes()).await;
            pass(host, pause).await;
            let _ = sender.write_all(rest.as_bytes()).await;
        }
    }
    Ok(())
}

/// Puts a file with `text` in the place of whatever is at `path`.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let written = path.with_extension("new");
    std::fs::write(&written, text)?;
    std::fs::rename(&written, path)
}

fn remove(path: &Path) -> io::Result<()> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
