//! Settings of a control process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use flamingopost_daemon::settings::{Log, Platform, Problems, Reader};
use flamingopost_daemon::token::Token;

/// Default interval between two reads of the fleet's rows, from which authority is counted.
const PLATFORM_POLL: Duration = Duration::from_millis(500);

/// Default timeout of a request to a backend server. A promotion takes about one second.
const SERVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The settings of a control process, read from its settings file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Listen address for remote calls of entry hosts and other control processes.
    pub rpc: SocketAddr,
    /// Address under which others reach `rpc`, if it differs from the listen address.
    pub public_rpc: Option<SocketAddr>,
    /// Listen address for the balancer, Prometheus and operators.
    pub admin: SocketAddr,
    /// Address under which others reach `admin`, if it differs from the listen address.
    pub public_admin: Option<SocketAddr>,
    /// The operators' token.
    pub token: Token,
    /// The platform's services.
    pub platform: Platform,
    /// Remote-call addresses of other control processes. Queries to them spread configuration
    /// versions while the platform is unreachable.
    pub peers: Vec<SocketAddr>,
    /// Whether this process relays renewals of other hosts to controllers in bundles.
    pub relay: bool,
    /// File with the first configuration of a new fleet.
    pub bootstrap: Option<PathBuf>,
    /// Timeout of a request to a backend server.
    pub server_timeout: Duration,
    /// Logs.
    pub log: Log,
}

impl Settings {
    /// Returns default settings for `host` in `zone`, for the trial and for tests. The system
    /// chooses the port of every listener.
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

    /// Loads the settings file at `path`.
    ///
    /// # Errors
    /// Returns all problems of the file together.
    pub fn load(path: &Path) -> Result<Settings, Problems> {
        Settings::decode(Reader::open(path))
    }

    /// Decodes settings from `reader`.
    ///
    /// # Errors
    /// Returns all problems together.
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
