//! What stand-ins log. Numbers: 3000-3099 database servers, 3100-3199 platform.

flamingopost_daemon::events! {
    /// Events of stand-ins.
    pub enum Event {
        /// server {server} of {service} listens on {address}
        3000 Info Serving { server: String, service: String, address: std::net::SocketAddr },
        /// server {server} leads term {term}
        3001 Info Promoted { server: String, term: String },
        /// server {server} follows {primary} in term {term}
        3002 Info Following { server: String, term: String, primary: std::net::SocketAddr },
        /// server {server} discarded {discarded} log entries that its primary lacks
        3003 Warn Rewound { server: String, discarded: u64 },
        /// server {server} cannot run a log entry: {error}
        3004 Error Unapplied { server: String, error: String },
        /// server {server} now has {faults}
        3010 Warn Faults { server: String, faults: String },
        /// platform listens on {address}
        3100 Info Platform { address: std::net::SocketAddr },
        /// platform now has {faults}
        3110 Warn PlatformFaults { faults: String },
    }
}
