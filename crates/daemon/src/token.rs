//! The bearer token of operators, and the RPC token derived from it.

use std::fmt;
use std::path::Path;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// Prefix of the hash input that separates the RPC token from other hashes of the token.
const RPC_TOKEN_CONTEXT: &str = "flamingopost remote calls";

/// A secret that operators send as `Authorization: Bearer TOKEN`. `Debug` does not print it.
///
/// ```
/// use flamingopost_daemon::token::Token;
///
/// let token = Token::new("not-for-logs");
/// assert!(token.admits("Bearer not-for-logs"));
/// assert!(!token.admits("Bearer guess"));
/// assert_eq!(format!("{token:?}"), "Token(..)");
/// ```
#[derive(Clone)]
pub struct Token(String);

impl Token {
    /// Creates a token from `text`.
    pub fn new(text: &str) -> Token {
        Token(text.to_owned())
    }

    /// Reads the token from a file. Surrounding whitespace is removed.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read.
    pub fn load(path: &Path) -> std::io::Result<Token> {
        let text = std::fs::read_to_string(path)?;
        Ok(Token(text.trim().to_owned()))
    }

    /// Reports whether the value of an `Authorization` header carries this token.
    ///
    /// The comparison takes constant time. Otherwise a caller could guess the token byte by byte
    /// from the time that refusals take. An empty token admits no request.
    pub fn admits(&self, header: &str) -> bool {
        let Some(offered) = header.strip_prefix("Bearer ") else {
            return false;
        };
        let same = self.0.as_bytes().ct_eq(offered.trim().as_bytes());
        bool::from(same) && !self.0.is_empty()
    }

    /// Returns the token that processes send with every remote call.
    ///
    /// It is a hash of the operators' token, so that intercepted traffic between processes does not
    /// reveal the latter.
    pub fn rpc_token(&self) -> Token {
        if self.0.is_empty() {
            return self.clone();
        }
        let digest = Sha256::new()
            .chain_update(RPC_TOKEN_CONTEXT)
            .chain_update(&self.0);
        let hex = digest
            .finalize()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        Token(hex)
    }

    /// Reports whether the token is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the token's bytes, as a secret that cannot be guessed without the token.
    pub fn secret(&self) -> Vec<u8> {
        self.0.clone().into_bytes()
    }

    /// Returns the value of the `Authorization` header that carries this token.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
