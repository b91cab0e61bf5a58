//! A host of the program as a process of its own.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use flamingopost_load::process;
use rustix::io::ioctl_fionread;
use rustix::process::{Pid, Signal, kill_process};

/// How often a process is looked at while its end is awaited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Where a host's settings and logs lie, and what it is told.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The program.
    pub program: PathBuf,
    /// Folder for settings and log.
    pub folder: PathBuf,
    /// Name of the host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub probe: SocketAddr,
    /// Where it listens for other hosts.
    pub peers: SocketAddr,
    /// Where other hosts are told to reach it.
    pub announced: SocketAddr,
    /// Where it is told that the store listens.
    pub store: SocketAddr,
    /// Where it is told that orders are taken.
    pub orders: SocketAddr,
    /// The shortest time in which a promotion takes effect.
    pub promotion: Duration,
    /// How long it may take to end.
    pub grace: Duration,
    /// Its log goes to a pipe that nobody reads.
    pub unread_log: bool,
}

/// A host of the program.
#[derive(Debug)]
pub struct Host {
    /// What it is told.
    pub settings: Settings,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    start_count: u32,
    /// It was told to end since its last start.
    stop_requested: bool,
    /// When something last kept it from answering: a signal, a start, an end.
    last_disturbed: Option<Instant>,
}

impl Host {
    /// A host that does not run yet.
    ///
    /// # Errors
    /// Its settings file cannot be written.
    pub fn new(settings: Settings) -> io::Result<Host> {
        let host = Host {
            settings,
            state: Mutex::default(),
        };
        std::fs::write(host.settings_path(), host.settings_text())?;
        Ok(host)
    }

    /// Its settings file.
    pub fn settings_path(&self) -> PathBuf {
        let Settings { folder, name, .. } = &self.settings;
        folder.join(format!("{name}.ini"))
    }

    fn settings_text(&self) -> String {
        let Settings {
            name,
            zone,
            callers,
            probe,
            peers,
            announced,
            store,
            orders,
            promotion,
            grace,
            ..
        } = &self.settings;
        let (ip, port) = (peers.ip(), peers.port());
        let (promotion, grace) = (promotion.as_millis(), grace.as_millis());
        format!(
            "[host]\nname = {name}\nzone = {zone}\nip = {ip}\ncallers = {callers}\n\
             probe = {probe}\nports = {port}\nannounced = {announced}\nmetrics = 0\n\
             grace = {grace}ms\n\n[platform]\nstore = {store}\norders = {orders}\n\
             promotion = {promotion}ms\n"
        )
    }

    /// Starts it, if it does not run.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(&self) -> io::Result<()> {
        let mut state = self.lock();
        if state.child.is_some() {
            return Ok(());
        }
        state.start_count += 1;
        state.stop_requested = false;
        let log = self.open_log(state.start_count)?;
        let mut command = Command::new(&self.settings.program);
        command.env("FLAMINGOPOST_CONFIG", self.settings_path());
        command.stdout(log).stderr(self.open_error_file()?);
        state.child = Some(command.spawn()?);
        state.last_disturbed = Some(Instant::now());
        Ok(())
    }

    fn open_log(&self, start: u32) -> io::Result<Stdio> {
        if self.settings.unread_log {
            return Ok(Stdio::piped());
        }
        Ok(File::create(self.log_path(start))?.into())
    }

    fn log_path(&self, start: u32) -> PathBuf {
        let Settings { folder, name, .. } = &self.settings;
        folder.join(format!("{name}.{start}.log"))
    }

    fn open_error_file(&self) -> io::Result<Stdio> {
        let Settings { folder, name, .. } = &self.settings;
        let path = folder.join(format!("{name}.errors"));
        Ok(File::options().create(true).append(true).open(path)?.into())
    }

    /// Tells it to end; `false` when it does not run.
    pub fn terminate(&self) -> bool {
        self.signal(Signal::TERM)
    }

    /// Has it stand still, or go on; `false` when it does not run.
    pub fn set_paused(&self, paused: bool) -> bool {
        self.signal(if paused { Signal::STOP } else { Signal::CONT })
    }

    /// Tells it that its settings have changed; `false` when it does not run.
    pub fn reload(&self) -> bool {
        self.signal(Signal::HUP)
    }

    fn signal(&self, signal: Signal) -> bool {
        let mut state = self.lock();
        let Some(pid) = state.child.as_ref().and_then(pid) else {
            return false;
        };
        if signal != Signal::HUP {
            state.last_disturbed = Some(Instant::now());
        }
        state.stop_requested |= signal == Signal::TERM;
        kill_process(pid, signal).is_ok()
    }

    /// Kills it and waits for its end. Nobody starts it anew before that: its ports are taken for as long.
    pub fn kill(&self) {
        let mut state = self.lock();
        state.last_disturbed = Some(Instant::now());
        if let Some(mut child) = state.child.take() {
            // It may have ended just before.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until it has ended by itself; `None` when it has not within `limit`.
    pub async fn wait_for_exit(&self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            {
                let mut state = self.lock();
                let Some(child) = &mut state.child else {
                    return Some(ExitStatus::default());
                };
                if let Ok(Some(status)) = child.try_wait() {
                    state.child = None;
                    state.last_disturbed = Some(Instant::now());
                    return Some(status);
                }
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        None
    }

    /// How it ended, if it did so without being asked.
    pub fn unexpected_exit(&self) -> Option<ExitStatus> {
        let mut state = self.lock();
        if state.stop_requested {
            return None;
        }
        let status = state.child.as_mut()?.try_wait().ok()??;
        state.child = None;
        Some(status)
    }

    /// Whether nothing has kept it from answering since `since`.
    pub fn is_undisturbed(&self, since: Instant) -> bool {
        let state = self.lock();
        state.child.is_some() && state.last_disturbed.is_none_or(|at| at < since)
    }

    /// Memory that it uses, in bytes; 0 when it does not run.
    pub fn resident(&self) -> u64 {
        let state = self.lock();
        let id = state.child.as_ref().map(Child::id);
        id.and_then(|id| process::resident(id).ok()).unwrap_or(0)
    }

    /// What its process does, for whoever looks for the reason why it does not serve.
    pub fn process_state(&self) -> String {
        let state = self.lock();
        let Some(child) = &state.child else {
            return "it does not run".to_owned();
        };
        process::condition(child.id()).unwrap_or_else(|error| error.to_string())
    }

    /// What it has logged since its last start, where its log is read.
    ///
    /// # Errors
    /// The log cannot be read.
    pub fn read_log(&self) -> io::Result<String> {
        std::fs::read_to_string(self.log_path(self.lock().start_count))
    }

    /// Bytes of its log that wait in a pipe that nobody reads.
    pub fn unread_log_bytes(&self) -> u64 {
        let state = self.lock();
        let output = state.child.as_ref().and_then(|it| it.stdout.as_ref());
        output.map_or(0, |output| ioctl_fionread(output).unwrap_or(0))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn pid(child: &Child) -> Option<Pid> {
    Pid::from_raw(i32::try_from(child.id()).ok()?)
}
