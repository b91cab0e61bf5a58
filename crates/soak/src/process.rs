//! Runs a host of the program as a separate process.

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

/// How often a process is polled while its exit is awaited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Mark of a log line about a panic.
const PANIC_EVENT: &str = "\"event\":106}";

/// Text of a panic that is not logged.
const PANIC_TEXT: &str = "panicked at";

/// Settings of a host, and the location of its files.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Path of the program.
    pub program: PathBuf,
    /// Folder for the settings file and logs.
    pub folder: PathBuf,
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's health checks.
    pub probe: SocketAddr,
    /// Address where the host listens for other hosts.
    pub peers: SocketAddr,
    /// Address that the host announces to other hosts.
    pub announced: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the platform's endpoint for orders.
    pub orders: SocketAddr,
    /// Time limit for a graceful shutdown.
    pub grace: Duration,
    /// Whether its log goes to a pipe that is not read while the process runs.
    pub unread_log: bool,
}

/// A host of the program, whose process can be started, signalled and killed.
#[derive(Debug)]
pub struct Host {
    /// Settings of the host.
    pub settings: Settings,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    /// Number of starts so far. Each start has a log file of its own.
    start_count: u32,
    /// Whether the host was asked to stop since its last start.
    stop_requested: bool,
    /// Whether it is known to handle signals since its last start.
    handles_signals: bool,
    /// When the host was last kept from answering: by a signal, a start or an exit.
    last_disturbed: Option<Instant>,
}

impl Host {
    /// Creates a host and writes its settings file. The host does not run yet.
    ///
    /// # Errors
    /// The settings file cannot be written.
    pub fn new(settings: Settings) -> io::Result<Host> {
        let host = Host {
            settings,
            state: Mutex::default(),
        };
        std::fs::write(host.settings_path(), host.settings_text())?;
        Ok(host)
    }

    /// Returns the path of the settings file.
    pub fn settings_path(&self) -> PathBuf {
        let Settings { folder, name, .. } = &self.settings;
        folder.join(format!("{name}.ini"))
    }

    /// Returns the content of the settings file.
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
            grace,
            ..
        } = &self.settings;
        let (ip, port) = (peers.ip(), peers.port());
        let grace = grace.as_millis();
        format!(
            "[host]\nname = {name}\nzone = {zone}\nip = {ip}\ncallers = {callers}\n\
             probe = {probe}\nports = {port}\nannounced = {announced}\nmetrics = 0\n\
             grace = {grace}ms\n\n[platform]\nstore = {store}\norders = {orders}\n"
        )
    }

    /// Starts the process, if it does not run.
    ///
    /// # Errors
    /// The program cannot be started, or its log files cannot be created.
    pub fn start(&self) -> io::Result<()> {
        let mut state = self.lock();
        if state.child.is_some() {
            return Ok(());
        }
        state.start_count += 1;
        state.stop_requested = false;
        state.handles_signals = false;
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
        let mut file = File::options();
        let file = file.create(true).append(true).open(self.error_path())?;
        Ok(file.into())
    }

    fn error_path(&self) -> PathBuf {
        let Settings { folder, name, .. } = &self.settings;
        folder.join(format!("{name}.errors"))
    }

    /// Returns whether the process runs.
    pub fn is_running(&self) -> bool {
        let mut state = self.lock();
        let child = state.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns whether the host has done anything since its last start, so that it handles signals: it
    /// has written to its log, or read its settings. Before its first statement, no program does.
    pub fn handles_signals(&self) -> bool {
        let logged = match self.settings.unread_log {
            true => self.unread_log_bytes(),
            false => {
                let path = self.log_path(self.start_count());
                std::fs::metadata(path).map_or(0, |file| file.len())
            }
        };
        logged > 0 || self.lock().handles_signals
    }

    /// Records that the host has begun to read its settings.
    pub(crate) fn set_handles_signals(&self) {
        self.lock().handles_signals = true;
    }

    /// Returns how often the host was started.
    pub fn start_count(&self) -> u32 {
        self.lock().start_count
    }

    /// Records that the host was kept from answering until now.
    pub(crate) fn disturb(&self) {
        self.lock().last_disturbed = Some(Instant::now());
    }

    /// Asks the host to stop (SIGTERM). Returns `false` if it does not run.
    pub fn terminate(&self) -> bool {
        self.signal(Signal::TERM)
    }

    /// Suspends (SIGSTOP) or resumes (SIGCONT) the process. Returns `false` if it does not run.
    pub fn set_paused(&self, paused: bool) -> bool {
        self.signal(if paused { Signal::STOP } else { Signal::CONT })
    }

    /// Asks the host to reload its settings (SIGHUP). Returns `false` if it does not run.
    pub fn reload(&self) -> bool {
        self.signal(Signal::HUP)
    }

    /// Sends a signal and records it as a disturbance, except for SIGHUP, which does not keep a
    /// host from answering.
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

    /// Kills the process and waits for its exit. The host cannot be restarted earlier, because its
    /// ports are in use until then.
    pub fn kill(&self) {
        let mut state = self.lock();
        state.last_disturbed = Some(Instant::now());
        if let Some(mut child) = state.child.take() {
            // It may have exited just before.
            let _ = child.kill();
            let _ = child.wait();
            self.keep_unread_log(&mut child, state.start_count);
        }
    }

    /// Writes what an exited process left in the pipe that was not read to its log file. That is
    /// the beginning of its log, up to the capacity of the pipe.
    fn keep_unread_log(&self, child: &mut Child, start: u32) {
        let Some(mut output) = child.stdout.take() else {
            return;
        };
        // The log is only for a person who traces a failure: a run does not depend on it.
        let _ = File::create(self.log_path(start))
            .and_then(|mut file| std::io::copy(&mut output, &mut file));
    }

    /// Waits for the process to exit. Returns `None` if it still runs after `limit`.
    pub async fn wait_for_exit(&self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            {
                let mut state = self.lock();
                let Some(child) = &mut state.child else {
                    return Some(ExitStatus::default());
                };
                if let Ok(Some(status)) = child.try_wait() {
                    let start = state.start_count;
                    if let Some(mut child) = state.child.take() {
                        self.keep_unread_log(&mut child, start);
                    }
                    state.last_disturbed = Some(Instant::now());
                    return Some(status);
                }
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        None
    }

    /// Returns the exit status if the process has exited without being asked to stop.
    pub fn unexpected_exit(&self) -> Option<ExitStatus> {
        let mut state = self.lock();
        if state.stop_requested {
            return None;
        }
        let status = state.child.as_mut()?.try_wait().ok()??;
        let start = state.start_count;
        if let Some(mut child) = state.child.take() {
            self.keep_unread_log(&mut child, start);
        }
        Some(status)
    }

    /// Returns whether the host runs, and nothing has kept it from answering since `since`.
    pub fn is_undisturbed(&self, since: Instant) -> bool {
        let state = self.lock();
        state.child.is_some() && state.last_disturbed.is_none_or(|at| at < since)
    }

    /// Returns the process's resident memory in bytes, or 0 if it does not run.
    pub fn resident(&self) -> u64 {
        let state = self.lock();
        let id = state.child.as_ref().map(Child::id);
        id.and_then(|id| process::resident(id).ok()).unwrap_or(0)
    }

    /// Describes the state of the process, to help find out why the host does not serve.
    pub fn process_state(&self) -> String {
        let state = self.lock();
        let Some(child) = &state.child else {
            return "the process does not run".to_owned();
        };
        process::condition(child.id()).unwrap_or_else(|error| error.to_string())
    }

    /// Returns the host's log since its last start. A host with `unread_log` has a log file only
    /// once its process has exited.
    ///
    /// # Errors
    /// The log cannot be read.
    pub fn read_log(&self) -> io::Result<String> {
        std::fs::read_to_string(self.log_path(self.lock().start_count))
    }

    /// Returns the lines about panics that the host has written in all its starts.
    pub fn panics(&self) -> Vec<String> {
        let logs = (1..=self.start_count()).map(|start| self.log_path(start));
        let logs = logs.map(|path| (path, PANIC_EVENT));
        let found = logs.chain([(self.error_path(), PANIC_TEXT)]);
        let found = found.flat_map(|(path, mark)| {
            // A host that was never started has no files.
            let text = std::fs::read(path).unwrap_or_default();
            let text = String::from_utf8_lossy(&text).into_owned();
            let lines = text.lines().filter(|line| line.contains(mark));
            lines.map(str::to_owned).collect::<Vec<_>>()
        });
        found.collect()
    }

    /// Returns the number of bytes of the log that wait in the pipe that is not read.
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
