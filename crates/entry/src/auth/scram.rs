//! One SCRAM-SHA-256 exchange, by pgwire's server side.

use std::borrow::Cow;

use flamingopost_core::fleet::Caller;
use flamingopost_core::key::CallerKey;
use pgwire::api::auth::sasl::scram::{ScramServerAuth, ScramServerAuthWaitingForClientFinal};
use pgwire::api::auth::sasl::{SCRAM_SHA_256_METHOD, SCRAM_SHA_256_PLUS_METHOD};
use pgwire::messages::startup::{Authentication, SASLInitialResponse, SASLResponse};

use super::Error;
use super::verifier::Verifier;

/// Whose password is asked for.
#[derive(Debug)]
pub struct Identity {
    caller: Option<CallerKey>,
    verifier: Verifier,
}

impl Identity {
    /// The identity behind `user`; where there is none, one that no password proves.
    pub fn new(user: &str, caller: Option<(CallerKey, &Caller)>, secret: &[u8]) -> Identity {
        let known = caller.and_then(|(key, caller)| {
            let verifier = Verifier::parse(&caller.verifier)?;
            Some((key, verifier))
        });
        match known {
            Some((key, verifier)) => Identity {
                caller: Some(key),
                verifier,
            },
            None => Identity {
                caller: None,
                verifier: Verifier::mock(user, secret),
            },
        }
    }
}

/// An exchange that waits for the caller's proof.
#[derive(Debug)]
pub struct Exchange {
    caller: Option<CallerKey>,
    waiting: ScramServerAuthWaitingForClientFinal,
}

/// The mechanisms offered; with channel binding where the connection is encrypted.
pub fn offer(server: &ScramServerAuth) -> Authentication {
    let mut mechanisms = Vec::new();
    if server.supports_channel_binding() {
        mechanisms.push(SCRAM_SHA_256_PLUS_METHOD.to_owned());
    }
    mechanisms.push(SCRAM_SHA_256_METHOD.to_owned());
    Authentication::SASL(mechanisms)
}

/// Answers the caller's first message with a challenge.
///
/// # Errors
/// A mechanism that was not offered, or a message that cannot be read.
pub fn begin(
    server: &ScramServerAuth,
    initial: &SASLInitialResponse,
    identity: Identity,
) -> Result<(Authentication, Exchange), Error> {
    let bound = match initial.auth_method.as_str() {
        SCRAM_SHA_256_METHOD => false,
        SCRAM_SHA_256_PLUS_METHOD if server.supports_channel_binding() => true,
        _ => return Err(Error::Protocol("the SASL mechanism was not offered")),
    };
    let message = initial.data.as_deref().unwrap_or_default();
    // The mechanism and the flag in the message have to agree: else whoever sits between could
    // talk both sides out of channel binding.
    if bound != message.starts_with(b"p=") {
        return Err(Error::Protocol(
            "the channel binding flag and the mechanism differ",
        ));
    }
    let secret = identity.verifier.into();
    let (challenge, waiting) = server.on_client_first_message_with_secret(message, secret)?;
    let exchange = Exchange {
        caller: identity.caller,
        waiting,
    };
    Ok((Authentication::SASLContinue(challenge.into()), exchange))
}

impl Exchange {
    /// Judges the caller's proof.
    ///
    /// # Errors
    /// A wrong proof, or a message that cannot be read.
    pub fn finish(self, proof: &SASLResponse) -> Result<(Authentication, CallerKey), Error> {
        let verdict = self.waiting.on_client_final_message(&proof.data)?;
        let caller = self.caller.ok_or(Error::WrongPassword)?;
        Ok((Authentication::SASLFinal(verdict.into()), caller))
    }
}

/// The verifier that a caller with `password` proves, in the stored form.
///
/// ```
/// use flamingopost_entry::auth::scram;
/// use flamingopost_entry::auth::verifier::Verifier;
///
/// let text = scram::verifier("not-for-production", b"0123456789abcdef");
/// assert!(Verifier::parse(&text).is_some());
/// ```
pub fn verifier(password: &str, salt: &[u8]) -> String {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use pgwire::api::auth::sasl::scram::{SCRAM_ITERATIONS, ScramSecret, gen_salted_password};

    let salted = gen_salted_password(password, salt, SCRAM_ITERATIONS);
    let secret =
        ScramSecret::verifier_from_salted_password(salt.to_vec(), salted, SCRAM_ITERATIONS);
    let encode = |key: &[u8]| Cow::<str>::Owned(STANDARD.encode(key));
    match secret {
        ScramSecret::Verifier {
            salt,
            iterations,
            stored_key,
            server_key,
        } => format!(
            "SCRAM-SHA-256${iterations}:{}${}:{}",
            encode(&salt),
            encode(&stored_key),
            encode(&server_key)
        ),
        ScramSecret::SaltedPassword { .. } => String::new(),
    }
}
