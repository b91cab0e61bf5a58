//! What this tool logs, on standard error.

flamingopost_daemon::events! {
    /// Events of the load tool.
    pub enum Event {
        /// run {run} begins: {rate} arrivals a second in {sessions} sessions for {seconds} s
        4000 Info RunStarted { run: String, rate: f64, sessions: u32, seconds: u64 },
        /// {way} after {seconds} s: {in_time} in time, {late} late, {not_run} not run, {unknown} unknown, {failed} failed
        4001 Info Progress {
            way: &'static str,
            seconds: u64,
            in_time: u64,
            late: u64,
            not_run: u64,
            unknown: u64,
            failed: u64,
        },
        /// run {run} ends with {requests} requests
        4002 Info RunEnded { run: String, requests: usize },
        /// fault {fault} injected into {server} at {at_ms} ms
        4010 Info FaultInjected { fault: String, server: String, at_ms: u128 },
        /// fault {fault} not injected at {at_ms} ms: HTTP status {status}, 0 for no answer
        4011 Error FaultRefused { fault: String, at_ms: u128, status: u16 },
        /// {url} cannot be read: {error}
        4020 Warn Unread { url: String, error: String },
        /// violation: {text}
        4030 Error Violation { text: String },
        /// measuring {what}
        4040 Info Measuring { what: String },
    }
}
