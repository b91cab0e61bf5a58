//! SCRAM-SHA-256 verifiers in PostgreSQL's stored form.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;

use super::Fault;
use super::fault::VerifierFault;

const MIN_ITERATIONS: u32 = 4096;
const KEY_BYTES: usize = 32;
const MD5_LENGTH: usize = 35;

/// Checks a verifier. The value stays out of the fault: it may be somebody's password.
pub(super) fn check(text: &str) -> Result<(), Fault> {
    match text.strip_prefix("SCRAM-SHA-256$") {
        Some(rest) => check_parts(rest).map_err(|reason| Fault::BadVerifier { reason }),
        None if text.starts_with("md5") && text.len() == MD5_LENGTH => Err(Fault::Md5Verifier),
        None => Err(Fault::PlainPassword),
    }
}

fn check_parts(rest: &str) -> Result<(), VerifierFault> {
    let (front, keys) = rest.split_once('$').ok_or(VerifierFault::Form)?;
    let (iterations, salt) = front.split_once(':').ok_or(VerifierFault::Form)?;
    let (stored, server) = keys.split_once(':').ok_or(VerifierFault::Form)?;
    let iterations: u32 = iterations.parse().map_err(|_| VerifierFault::Form)?;
    if iterations < MIN_ITERATIONS {
        return Err(VerifierFault::Iterations);
    }
    if decoded_length(salt).unwrap_or(0) == 0 {
        return Err(VerifierFault::Salt);
    }
    let whole = |key: &str| decoded_length(key) == Some(KEY_BYTES);
    if whole(stored) && whole(server) {
        Ok(())
    } else {
        Err(VerifierFault::Keys)
    }
}

fn decoded_length(text: &str) -> Option<usize> {
    STANDARD.decode(text).ok().map(|bytes| bytes.len())
}
