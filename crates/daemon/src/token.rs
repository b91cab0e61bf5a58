//! The bearer token of operators.

use std::fmt;
use std::path::Path;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

const RPC_TOKEN_CONTEXT: &str = "flamingopost remote calls";

/// A secret that operators send as `Authorization: Bearer TOKEN`. It is never shown.
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
    /// A token that reads `text`.
    pub fn new(text: &str) -> Token {
        Token(text.to_owned())
    }

    /// The token in a file, without white space around it.
    ///
    /// # Errors
    /// When the file cannot be read.
    pub fn load(path: &Path) -> std::io::Result<Token> {
        let text = std::fs::read_to_string(path)?;
        Ok(Token(text.trim().to_owned()))
    }

    /// Whether the value of an `Authorization` header carries this token.
    ///
    /// The comparison takes the same time wherever the first difference lies: else a caller
    /// could find the token byte by byte from the time that refusals take. An empty token
    /// admits nobody.
    pub fn admits(&self, header: &str) -> bool {
        let Some(offered) = header.strip_prefix("Bearer ") else {
            return false;
        };
        let same = self.0.as_bytes().ct_eq(offered.trim().as_bytes());
        bool::from(same) && !self.0.is_empty()
    }

    /// What processes show each other with every remote call, made from the token: whoever reads
    /// along between two processes does not learn the operators' token by it.
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

    /// Whether there is no token.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Bytes that whoever does not have the token cannot guess.
    pub fn secret(&self) -> Vec<u8> {
        self.0.clone().into_bytes()
    }

    /// The value of the `Authorization` header that carries this token.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
