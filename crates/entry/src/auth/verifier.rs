//! SCRAM-SHA-256 verifiers: what the configuration holds in place of passwords.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pgwire::api::auth::sasl::scram::ScramSecret;
use sha2::{Digest, Sha256};

const SCHEME: &str = "SCRAM-SHA-256";
const KEY_BYTES: usize = 32;
const SALT_BYTES: usize = 16;
/// What PostgreSQL derives its own verifiers with.
const ITERATIONS: u32 = 4096;

/// A verifier in PostgreSQL's stored form,
/// `SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verifier {
    iterations: u32,
    salt: Vec<u8>,
    stored: Vec<u8>,
    server: Vec<u8>,
}

impl Verifier {
    /// Reads the stored form.
    ///
    /// ```
    /// use flamingopost_entry::auth::verifier::Verifier;
    ///
    /// let key = "A".repeat(43) + "=";
    /// let text = format!("SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==${key}:{key}");
    /// assert!(Verifier::parse(&text).is_some());
    /// assert!(Verifier::parse("md5d41d8cd98f00b204e9800998ecf8427e").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Verifier> {
        let rest = text.strip_prefix(SCHEME)?.strip_prefix('$')?;
        let (derivation, keys) = rest.split_once('$')?;
        let (iterations, salt) = derivation.split_once(':')?;
        let (stored, server) = keys.split_once(':')?;
        let verifier = Verifier {
            iterations: iterations.parse().ok().filter(|count| *count > 0)?,
            salt: STANDARD.decode(salt).ok()?,
            stored: STANDARD.decode(stored).ok()?,
            server: STANDARD.decode(server).ok()?,
        };
        let whole = verifier.stored.len() == KEY_BYTES && verifier.server.len() == KEY_BYTES;
        whole.then_some(verifier)
    }

    /// A verifier that no password matches, for a user that does not exist.
    ///
    /// An exchange that ended at once, or had another salt at each try, would tell a stranger
    /// which users exist. This one is always the same for one `user` and `secret`, and looks
    /// like any other.
    pub fn mock(user: &str, secret: &[u8]) -> Verifier {
        let digest = |part: &str| {
            let hash = Sha256::new()
                .chain_update(secret)
                .chain_update(part)
                .chain_update([0])
                .chain_update(user);
            hash.finalize().to_vec()
        };
        let mut salt = digest("salt");
        salt.truncate(SALT_BYTES);
        Verifier {
            iterations: ITERATIONS,
            salt,
            stored: digest("stored"),
            server: digest("server"),
        }
    }
}

impl From<Verifier> for ScramSecret {
    fn from(verifier: Verifier) -> ScramSecret {
        ScramSecret::Verifier {
            salt: verifier.salt,
            iterations: verifier.iterations as usize,
            stored_key: verifier.stored,
            server_key: verifier.server,
        }
    }
}
