//! Settings of an entry host process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use flamingopost_daemon::settings::{Log, Platform, Problems, Reader};
use flamingopost_daemon::token::Token;

/// Time between two reads of the configuration's row: changes are pushed by controllers, and the
/// row is what is left when none of them can be reached.
const PLATFORM_POLL: Duration = Duration::from_secs(2);

/// Time from connecting to being authenticated: some round trips, TLS and a slow password hash.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// How long sessions may go on after the start of a drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Callers connected and not yet authenticated: bounds what strangers may cost.
const UNAUTHENTICATED: usize = 256;

/// Callers connected at once: several times the 3,125 idle ones that a host is sized for.
const CALLERS: usize = 20_000;

/// Greatest message of an authenticated caller, in bytes.
const MESSAGE_BYTES: usize = 16 << 20;

/// Everything an entry host process learns from its settings file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect, by the PostgreSQL protocol.
    pub callers: SocketAddr,
    /// Where controllers and other entry hosts call.
    pub rpc: SocketAddr,
    /// Where others reach `rpc`, if not under the address it listens on.
    pub public_rpc: SocketAddr,
    /// Where the balancer, Prometheus and operators connect.
    pub admin: SocketAddr,
    /// The operators' token.
    pub token: Token,
    /// The platform's services.
    pub platform: Platform,
    /// Remote calls of control processes to ask while the platform is silent.
    pub peers: Vec<SocketAddr>,
    /// Control process that relays renewals for the whole zone; each controller is called
    /// directly where there is none.
    pub relay: Option<SocketAddr>,
    /// Certificate and key for callers; plain connections only where there is none.
    pub tls: Option<Tls>,
    /// Bounds on what callers may cost.
    pub limits: Limits,
    /// How long sessions may go on after the start of a drain.
    pub drain: Duration,
    /// Logs.
    pub log: Log,
}

/// Where the certificate and its key are.
#[derive(Debug, Clone)]
pub struct Tls {
    /// Certificate chain, PEM.
    pub certificate: PathBuf,
    /// Private key, PEM.
    pub key: PathBuf,
    /// Whether callers without TLS are refused.
    pub required: bool,
}

/// Bounds on what callers may cost.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Callers connected at once.
    pub callers: usize,
    /// Of these, callers not yet authenticated.
    pub unauthenticated: usize,
    /// Time from connecting to being authenticated.
    pub startup: Duration,
    /// Greatest message of an authenticated caller, in bytes.
    pub message: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            callers: CALLERS,
            unauthenticated: UNAUTHENTICATED,
            startup: STARTUP_TIMEOUT,
            message: MESSAGE_BYTES,
        }
    }
}

impl Settings {
    /// Settings of host `host` in `zone` with everything else at its default; the trial and
    /// tests start from here. Every listener gets a port of the system's choice.
    pub fn local(host: &str, zone: &str, platform: SocketAddr) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            host: host.to_owned(),
            zone: zone.to_owned(),
            callers: any,
            rpc: any,
            public_rpc: any,
            admin: any,
            token: Token::new(""),
            platform: Platform::at(platform, PLATFORM_POLL),
            peers: Vec::new(),
            relay: None,
            tls: None,
            limits: Limits::default(),
            drain: DRAIN_TIMEOUT,
            log: Log::default(),
        }
    }

    /// Reads `path`.
    ///
    /// # Errors
    /// Everything that is wrong with it, at once.
    pub fn load(path: &Path) -> Result<Settings, Problems> {
        Settings::decode(Reader::open(path))
    }

    /// Decodes what `reader` read.
    ///
    /// # Errors
    /// Everything that is wrong, at once.
    pub fn decode(mut reader: Reader) -> Result<Settings, Problems> {
        let r = &mut reader;
        let host = r.required("host", "name", "dumdum-entry-1");
        let zone = r.required("host", "zone", "dumdum");
        let callers = r.required("listen", "callers", "10.1.0.11:6432");
        let rpc = r.required("listen", "rpc", "10.1.0.11:6440");
        let admin = r.required("listen", "admin", "10.1.0.11:6441");
        let public_rpc = r.maybe("listen", "public_rpc");
        let token = r.token();
        let platform = Platform::read(r, PLATFORM_POLL);
        let peers = r.optional("control", "peers", Vec::new());
        let relay = r.maybe("control", "relay");
        let tls = tls(r);
        let limits = limits(r);
        let drain = r.optional("host", "drain", DRAIN_TIMEOUT);
        let log = Log::read(r);
        let decoded = (|| {
            let rpc = rpc?;
            Some(Settings {
                host: host?,
                zone: zone?,
                callers: callers?,
                rpc,
                public_rpc: public_rpc.unwrap_or(rpc),
                admin: admin?,
                token: token?,
                platform: platform?,
                peers,
                relay,
                tls: tls?,
                limits,
                drain,
                log,
            })
        })();
        reader.finish(decoded)
    }
}

/// `None` where the section is wrong, `Some(None)` where there is no TLS.
fn tls(r: &mut Reader) -> Option<Option<Tls>> {
    let required = r.optional("tls", "required", false);
    let certificate: Option<PathBuf> = r.maybe("tls", "certificate");
    let key: Option<PathBuf> = r.maybe("tls", "key");
    match (certificate, key) {
        (None, None) if !required => Some(None),
        (Some(certificate), Some(key)) => Some(Some(Tls {
            certificate,
            key,
            required,
        })),
        (certificate, _) => {
            let absent = if certificate.is_none() {
                "certificate"
            } else {
                "key"
            };
            let example = format!("/etc/flamingopost/{absent}.pem");
            r.required::<PathBuf>("tls", absent, &example);
            None
        }
    }
}

fn limits(r: &mut Reader) -> Limits {
    Limits {
        callers: r.optional("limits", "callers", CALLERS),
        unauthenticated: r.optional("limits", "unauthenticated", UNAUTHENTICATED),
        startup: r.optional("limits", "startup", STARTUP_TIMEOUT),
        message: r.optional("limits", "message", MESSAGE_BYTES),
    }
}
