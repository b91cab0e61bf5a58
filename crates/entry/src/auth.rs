//! Callers' start-up: TLS, authentication by SCRAM-SHA-256, and the choice of a service.
//!
//! A caller who is not authenticated costs little: few of them at once, a bounded time, bounded
//! packets, and one exchange that is the same for users that exist and users that do not.

pub mod error;
pub mod packet;
pub mod scram;
pub mod verifier;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use flamingopost_core::key::{CallerKey, ServiceKey};
use flamingopost_daemon::event::Event as _;
use flamingopost_daemon::stop::Phase;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::{GssEncResponse, SslResponse};
use pgwire::messages::startup::{Authentication, NegotiateProtocolVersion, Startup};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

pub use self::error::Error;
use self::packet::First;
use self::scram::Identity;
use crate::event::Event;
use crate::settings::Limits;
use crate::shared::Shared;
use crate::stream::Stream;
use crate::tls::Keys;

const TLS_HANDSHAKE: u8 = 0x16;
const GOODBYE: Duration = Duration::from_secs(1);
const NEWEST_MINOR: u16 = 2;
const NEWEST_PROTOCOL: i32 = Startup::PROTOCOL_VERSION_3_2;

/// Lets callers in.
pub struct Door {
    shared: Arc<Shared>,
    keys: Option<Arc<Keys>>,
    limits: Limits,
    secret: Vec<u8>,
    callers: Arc<Semaphore>,
    newcomers: Semaphore,
}

/// What a new connection turned out to be.
pub enum Entered {
    /// An authenticated caller, who has been sent `AuthenticationOk`.
    Session(Box<Login>),
    /// A request to cancel; the connection is closed.
    Cancel(CancelRequest),
}

/// An authenticated caller.
pub struct Login {
    /// Its connection; nothing past the start-up has been read from it.
    pub stream: Stream,
    /// Who it is.
    pub caller: CallerKey,
    /// Its user name.
    pub user: String,
    /// The service it connected to.
    pub service: ServiceKey,
    /// Parameters of the start-up packet but `user` and `database`.
    pub parameters: BTreeMap<String, String>,
    /// Its place among the callers of this host, free again when dropped.
    pub place: OwnedSemaphorePermit,
}

impl Door {
    /// A door for callers with TLS by `keys` and within `limits`. `secret`, the same on all hosts
    /// of a fleet, makes users that do not exist look alike on all of them.
    pub fn new(
        shared: Arc<Shared>,
        keys: Option<Arc<Keys>>,
        limits: Limits,
        secret: Vec<u8>,
    ) -> Door {
        Door {
            shared,
            keys,
            limits,
            secret,
            callers: Arc::new(Semaphore::new(limits.callers)),
            newcomers: Semaphore::new(limits.unauthenticated),
        }
    }

    /// Takes `tcp` through its start-up. A caller that is turned away has been told why.
    ///
    /// # Errors
    /// Why there is no session.
    pub async fn enter(&self, tcp: TcpStream) -> Result<Entered, Error> {
        let peer = tcp.peer_addr().map(|peer| peer.to_string());
        let mut newcomer = Newcomer {
            stream: Some(Stream::Plain(tcp)),
            user: String::new(),
        };
        let outcome = self.hurried(&mut newcomer).await;
        let kind = outcome.as_ref().map_or_else(Error::kind, |_| "entered");
        metrics::counter!("flamingopost_logins_total", "outcome" => kind).increment(1);
        if let Err(error) = &outcome {
            newcomer.log(peer.unwrap_or_default(), error);
            newcomer.dismiss(error).await;
        }
        outcome
    }

    async fn hurried(&self, newcomer: &mut Newcomer) -> Result<Entered, Error> {
        // Strangers who connect and say nothing must not use up memory and sockets that
        // authenticated callers need: only so many may be here at once, and none for long.
        let Ok(_place) = self.newcomers.try_acquire() else {
            return Err(Error::Crowded);
        };
        let limit = self.limits.startup;
        match tokio::time::timeout(limit, self.admit(newcomer)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Error::Late(limit)),
        }
    }

    async fn admit(&self, newcomer: &mut Newcomer) -> Result<Entered, Error> {
        let startup = match self.negotiate(newcomer).await? {
            First::Cancel(cancel) => return Ok(Entered::Cancel(cancel)),
            First::Startup(startup) => startup,
            First::Tls | First::Gss => {
                return Err(Error::Protocol("encryption was settled before"));
            }
        };
        self.check(newcomer, &startup)?;
        let place = self.callers.clone().try_acquire_owned();
        let place = place.map_err(|_| Error::Full)?;
        newcomer.answer_version(&startup).await?;
        let mut parameters = startup.parameters;
        let user = parameters.remove("user").ok_or(Error::NoUser)?;
        newcomer.user.clone_from(&user);
        let database = parameters.remove("database");
        let database = database.unwrap_or_else(|| user.clone());
        let identity = self.identity(&user);
        let caller = self.authenticate(newcomer, identity).await?;
        // What exists and what is allowed is told to authenticated callers only.
        let service = self.service(caller, &user, &database)?;
        newcomer
            .send(PgWireBackendMessage::Authentication(Authentication::Ok))
            .await?;
        Ok(Entered::Session(Box::new(Login {
            stream: newcomer.take()?,
            caller,
            user,
            service,
            parameters,
            place,
        })))
    }

    /// Settles encryption, which callers may ask for in any order, once each.
    async fn negotiate(&self, newcomer: &mut Newcomer) -> Result<First, Error> {
        if self.keys.is_some() && newcomer.begins_tls().await? {
            self.encrypt(newcomer).await?;
        }
        let (mut asked_tls, mut asked_gss) = (newcomer.encrypted(), false);
        loop {
            let first = packet::first(newcomer.stream()?).await?;
            match first {
                First::Tls if !asked_tls => {
                    asked_tls = true;
                    self.answer_tls(newcomer).await?;
                }
                First::Gss if !asked_gss => {
                    asked_gss = true;
                    let refuse = PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse);
                    newcomer.send(refuse).await?;
                }
                other => return Ok(other),
            }
        }
    }

    async fn answer_tls(&self, newcomer: &mut Newcomer) -> Result<(), Error> {
        if self.keys.is_none() {
            let refuse = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
            return newcomer.send(refuse).await;
        }
        let accept = PgWireBackendMessage::SslResponse(SslResponse::Accept);
        newcomer.send(accept).await?;
        self.encrypt(newcomer).await
    }

    async fn encrypt(&self, newcomer: &mut Newcomer) -> Result<(), Error> {
        let keys = self.keys.as_ref().ok_or(Error::TlsRequired)?;
        let Stream::Plain(tcp) = newcomer.take()? else {
            return Err(Error::Protocol("TLS within TLS is not spoken here"));
        };
        let tls = keys.acceptor().accept(tcp).await.map_err(Error::Tls)?;
        newcomer.stream = Some(Stream::Tls(Box::new(tls)));
        Ok(())
    }

    fn check(&self, newcomer: &Newcomer, startup: &Startup) -> Result<(), Error> {
        if startup.protocol_number_major != Startup::PG_PROTOCOL_LATEST {
            return Err(Error::Version {
                major: startup.protocol_number_major,
                minor: startup.protocol_number_minor,
            });
        }
        if self.shared.stop().phase() != Phase::Running {
            return Err(Error::Draining);
        }
        let required = self.keys.as_ref().is_some_and(|keys| keys.required());
        if required && !newcomer.encrypted() {
            return Err(Error::TlsRequired);
        }
        let replication = startup.parameters.get("replication");
        if replication.is_some_and(|value| !matches!(value.as_str(), "false" | "off" | "no" | "0"))
        {
            return Err(Error::Replication);
        }
        if self.shared.adopted().is_none() {
            return Err(Error::NoConfiguration);
        }
        Ok(())
    }

    fn identity(&self, user: &str) -> Identity {
        let key = self.shared.directory().callers.find(user);
        let adopted = self.shared.adopted();
        let caller = key.and_then(|key| {
            let adopted = adopted.as_ref()?;
            Some((key, adopted.fleet.callers.get(&key)?))
        });
        Identity::new(user, caller, &self.secret)
    }

    async fn authenticate(
        &self,
        newcomer: &mut Newcomer,
        identity: Identity,
    ) -> Result<CallerKey, Error> {
        let keys = self.keys.as_ref().filter(|_| newcomer.encrypted());
        let server = keys.map(|keys| keys.scram()).unwrap_or_default();
        let offer = scram::offer(&server);
        newcomer
            .send(PgWireBackendMessage::Authentication(offer))
            .await?;
        let initial = packet::sasl_initial(newcomer.stream()?).await?;
        let (challenge, exchange) = scram::begin(&server, &initial, identity)?;
        newcomer
            .send(PgWireBackendMessage::Authentication(challenge))
            .await?;
        let proof = packet::sasl(newcomer.stream()?).await?;
        let (verdict, caller) = exchange.finish(&proof)?;
        newcomer
            .send(PgWireBackendMessage::Authentication(verdict))
            .await?;
        Ok(caller)
    }

    fn service(&self, caller: CallerKey, user: &str, name: &str) -> Result<ServiceKey, Error> {
        let adopted = self.shared.adopted().ok_or(Error::NoConfiguration)?;
        let unknown = || Error::UnknownService(name.to_owned());
        let service = self.shared.directory().services.find(name);
        let service = service.ok_or_else(unknown)?;
        if !adopted.fleet.services.contains_key(&service) {
            return Err(unknown());
        }
        let facts = adopted.fleet.callers.get(&caller);
        if facts.is_some_and(|facts| facts.services.contains(&service)) {
            return Ok(service);
        }
        Err(Error::NotAllowed {
            user: user.to_owned(),
            service: name.to_owned(),
        })
    }
}

/// A connection on its way through the start-up.
struct Newcomer {
    stream: Option<Stream>,
    user: String,
}

impl Newcomer {
    fn stream(&mut self) -> Result<&mut Stream, Error> {
        self.stream
            .as_mut()
            .ok_or(Error::Protocol("the connection is closed"))
    }

    fn take(&mut self) -> Result<Stream, Error> {
        self.stream
            .take()
            .ok_or(Error::Protocol("the connection is closed"))
    }

    fn encrypted(&self) -> bool {
        matches!(self.stream, Some(Stream::Tls(_)))
    }

    /// Whether the caller begins TLS without asking first, which newer clients may do.
    async fn begins_tls(&mut self) -> Result<bool, Error> {
        let mut byte = [0];
        let read = self.stream()?.tcp().peek(&mut byte).await?;
        Ok(read == 1 && byte[0] == TLS_HANDSHAKE)
    }

    async fn answer_version(&mut self, startup: &Startup) -> Result<(), Error> {
        let options: Vec<String> = startup
            .parameters
            .keys()
            .filter(|name| name.starts_with("_pq_."))
            .cloned()
            .collect();
        if startup.protocol_number_minor <= NEWEST_MINOR && options.is_empty() {
            return Ok(());
        }
        let newest = NegotiateProtocolVersion::new(NEWEST_PROTOCOL, options);
        self.send(PgWireBackendMessage::NegotiateProtocolVersion(newest))
            .await
    }

    async fn send(&mut self, message: PgWireBackendMessage) -> Result<(), Error> {
        let mut bytes = BytesMut::new();
        message.encode(&mut bytes)?;
        let stream = self.stream()?;
        stream.write_all(&bytes).await?;
        stream.flush().await?;
        Ok(())
    }

    /// Those who leave on their own account are logged apart: the balancer's probes connect and
    /// leave all day.
    fn log(&self, peer: String, reason: &Error) {
        let error = reason.to_string();
        match reason {
            Error::Gone(_) => Event::Left { peer, error }.log(),
            _ => {
                let user = self.user.clone();
                Event::Unauthenticated { user, peer, error }.log();
            }
        }
    }

    /// Tells the caller why it is turned away, and closes.
    async fn dismiss(&mut self, error: &Error) {
        let Some(response) = error.response() else {
            return;
        };
        // A caller that does not read must not keep its socket here.
        let _ = tokio::time::timeout(GOODBYE, async {
            self.send(response).await?;
            self.stream()?.shutdown().await.map_err(Error::Gone)
        })
        .await;
    }
}
