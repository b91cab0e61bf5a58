//! Digests of configuration bodies.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest as _, Sha256};

/// SHA-256 of a body; its text form is hexadecimal.
///
/// ```
/// use flamingopost_core::digest::Digest;
///
/// let digest = Digest::of(b"[fleet]\n");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// assert_ne!(digest, Digest::of(b"[fleet]"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

/// `{0}` is not a digest: write it as 64 hexadecimal digits
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct ParseError(pub String);

impl std::error::Error for ParseError {}

impl Digest {
    /// Returns the digest of `body`.
    pub fn of(body: &[u8]) -> Digest {
        Digest(Sha256::digest(body).into())
    }

    /// Returns the digest with these bytes.
    pub fn from_bytes(bytes: [u8; 32]) -> Digest {
        Digest(bytes)
    }

    /// Returns the bytes of the digest.
    pub fn bytes(&self) -> [u8; 32] {
        self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Digest, ParseError> {
        let error = || ParseError(text.to_owned());
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
        }
        Ok(Digest(bytes))
    }
}
