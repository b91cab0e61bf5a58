//! Settings of a control process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use flamingopost_daemon::settings::{Log, Platform, Problems, Reader};
use flamingopost_daemon::token::Token;

/// Time between two reads of the fleet's rows: authority is dated from them.
const PLATFORM_POLL: Duration = Duration::from_millis(500);

/// How long one request to a backend server may take: a promotion there takes about a second.
const SERVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Everything a control process learns from its settings file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Where entry hosts and other control processes call.
    pub rpc: SocketAddr,
    /// Where others reach `rpc`, if not under the address it listens on.
    pub public_rpc: Option<SocketAddr>,
    /// Where the balancer, Prometheus and operators connect.
    pub admin: SocketAddr,
    /// Where others reach `admin`, if not under the address it listens on.
    pub public_admin: Option<SocketAddr>,
    /// The operators' token.
    pub token: Token,
    /// The platform's services.
    pub platform: Platform,
    /// Remote calls of other control processes, to ask while the platform is silent.
    pub peers: Vec<SocketAddr>,
    /// Whether this process passes renewals of other hosts on to controllers, bundled.
    pub relay: bool,
    /// Configuration that a fleet without any starts with.
    pub bootstrap: Option<PathBuf>,
    /// How long one request to a backend server may take.
    pub server_timeout: Duration,
    /// Logs.
    pub log: Log,
}

impl Settings {
    /// Settings of host `host` in `zone` with everything else at its default; the trial and
    /// tests start from here. Every listener gets a port of the system's choice.
    pub fn local(host: &str, zone: &str, platform: SocketAddr) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            host: host.to_owned(),
            zone: zone.to_owned(),
            rpc: any,
            public_rpc: None,
            admin: any,
            public_admin: None,
            token: Token::new(""),
            platform: Platform::at(platform, PLATFORM_POLL),
            peers: Vec::new(),
            relay: false,
            bootstrap: None,
            server_timeout: SERVER_TIMEOUT,
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
        let rpc = r.required("listen", "rpc", "10.1.0.11:6450");
        let public_rpc = r.maybe("listen", "public_rpc");
        let admin = r.required("listen", "admin", "10.1.0.11:6451");
        let public_admin = r.maybe("listen", "public_admin");
        let token = r.token();
        let platform = Platform::read(r, PLATFORM_POLL);
        let peers = r.optional("control", "peers", Vec::new());
        let relay = r.optional("control", "relay", false);
        let bootstrap = r.maybe("control", "bootstrap");
        let server_timeout = r.optional("control", "server_timeout", SERVER_TIMEOUT);
        let log = Log::read(r);
        let decoded = (|| {
            Some(Settings {
                host: host?,
                zone: zone?,
                rpc: rpc?,
                public_rpc,
                admin: admin?,
                public_admin,
                token: token?,
                platform: platform?,
                peers,
                relay,
                bootstrap,
                server_timeout,
                log,
            })
        })();
        reader.finish(decoded)
    }
}
