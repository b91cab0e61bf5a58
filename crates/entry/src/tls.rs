//! Certificate and key for callers, replaced without a restart.

use std::fs;
use std::io;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, SystemTime};

use flamingopost_daemon::event::Event as _;
use flamingopost_daemon::stop::Stop;
use pgwire::api::auth::sasl::scram::ScramServerAuth;
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio::signal::unix::{SignalKind, signal};
use tokio_rustls::TlsAcceptor;

use crate::event::Event;
use crate::settings::Tls;

const POLL: Duration = Duration::from_secs(5);
/// What newer clients name in the handshake when they begin TLS without asking first.
const ALPN: &[u8] = b"postgresql";

/// Why a certificate and key cannot be used.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {path} cannot be read: {error}
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        error: io::Error,
    },
    /// {path} is not PEM: {error}
    Pem {
        /// The file.
        path: String,
        /// Why.
        error: pem::Error,
    },
    /// certificate and key cannot be used together: {0}
    Unusable(rustls::Error),
}

impl std::error::Error for Error {}

/// The certificate and key in use.
pub struct Keys {
    settings: Tls,
    loaded: RwLock<Loaded>,
}

#[derive(Clone)]
struct Loaded {
    config: Arc<ServerConfig>,
    scram: ScramServerAuth,
    stamp: Stamp,
}

/// When the files were last changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Stamp {
    certificate: Option<SystemTime>,
    key: Option<SystemTime>,
}

impl Keys {
    /// Loads what `settings` name.
    ///
    /// # Errors
    /// Why they cannot be used.
    pub fn load(settings: Tls) -> Result<Keys, Error> {
        let loaded = RwLock::new(Loaded::read(&settings)?);
        Ok(Keys { settings, loaded })
    }

    /// Whether callers without TLS are refused.
    pub fn required(&self) -> bool {
        self.settings.required
    }

    /// What accepts the next handshake.
    pub fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.current().config)
    }

    /// SCRAM with channel binding to the certificate, where its kind allows that.
    pub fn scram(&self) -> ScramServerAuth {
        self.current().scram
    }

    /// Loads the files again. Sessions that exist keep what they began with.
    ///
    /// # Errors
    /// Why the new files cannot be used; the earlier ones stay in use.
    pub fn reload(&self) -> Result<(), Error> {
        match Loaded::read(&self.settings) {
            Ok(loaded) => {
                *self.loaded.write().unwrap_or_else(PoisonError::into_inner) = loaded;
                let path = self.settings.certificate.display().to_string();
                Event::KeyLoaded { path }.log();
                Ok(())
            }
            Err(error) => {
                // Half of a replacement, or a broken one: a host that dropped its key here would
                // turn every caller away.
                let text = error.to_string();
                Event::KeyKept { error: text }.log();
                Err(error)
            }
        }
    }

    /// Reloads on SIGHUP and whenever a file changes, until `stop` is over.
    ///
    /// # Errors
    /// When the process may not listen for signals.
    pub async fn watch(&self, stop: Stop) -> io::Result<()> {
        let mut hangup = signal(SignalKind::hangup())?;
        let mut seen = self.current().stamp;
        loop {
            let asked = tokio::select! {
                () = stop.stopped() => return Ok(()),
                _ = hangup.recv() => true,
                () = tokio::time::sleep(POLL) => false,
            };
            let stamp = Stamp::read(&self.settings);
            if asked || stamp != seen {
                seen = stamp;
                // Told as an event by `reload`; tried again at the next change.
                let _ = self.reload();
            }
        }
    }

    fn current(&self) -> Loaded {
        let loaded = self.loaded.read();
        loaded.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Loaded {
    fn read(settings: &Tls) -> Result<Loaded, Error> {
        let stamp = Stamp::read(settings);
        let certificate = File::read(&settings.certificate)?;
        let key = File::read(&settings.key)?;
        let chain = CertificateDer::pem_slice_iter(&certificate.bytes)
            .collect::<Result<Vec<_>, _>>()
            .map_err(|error| certificate.not_pem(error))?;
        let private = PrivateKeyDer::from_pem_slice(&key.bytes).map_err(|e| key.not_pem(e))?;
        let config = config(chain, private).map_err(Error::Unusable)?;
        let mut scram = ScramServerAuth::new();
        // Certificates of kinds that channel binding is not defined for go without it.
        let _ = scram.configure_certificate(&certificate.bytes);
        Ok(Loaded {
            config: Arc::new(config),
            scram,
            stamp,
        })
    }
}

fn config(
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig, rustls::Error> {
    let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

impl Stamp {
    fn read(settings: &Tls) -> Stamp {
        let changed = |path| fs::metadata(path).and_then(|data| data.modified()).ok();
        Stamp {
            certificate: changed(&settings.certificate),
            key: changed(&settings.key),
        }
    }
}

struct File {
    path: String,
    bytes: Vec<u8>,
}

impl File {
    fn read(path: &std::path::Path) -> Result<File, Error> {
        let name = path.display().to_string();
        match fs::read(path) {
            Ok(bytes) => Ok(File { path: name, bytes }),
            Err(error) => Err(Error::Unreadable { path: name, error }),
        }
    }

    fn not_pem(&self, error: pem::Error) -> Error {
        Error::Pem {
            path: self.path.clone(),
            error,
        }
    }
}
