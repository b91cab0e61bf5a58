//! Admission of a session's operations: whether the caller's API key is still valid, and whether its
//! team may ask for more.

use std::rc::Rc;

use bytes::Bytes;
use flamingopost_core::digest::Digest;
use flamingopost_core::key::TeamKey;
use slotmap::Key as _;

use crate::codec::Codec;
use crate::event::Event;
use crate::message::{Code, Query, Statement};
use crate::meter::{self, Limited};
use crate::rejection::Reason;
use crate::session::Context;

/// Name that stands for no team on a relayed session.
pub const NO_TEAM: &str = "-";

/// Number of hexadecimal digits of an API key's digest that identify it in logs.
const DIGEST_PREFIX_DIGITS: usize = 8;

/// Admits the operations of one session.
pub struct Gate<C: Codec> {
    context: Rc<Context<C>>,
    database: String,
    team: TeamKey,
    /// Digest of the caller's API key, or `None` on a relayed session, whose key was checked by the
    /// host that relays it.
    key: Option<Digest>,
    /// Version of the configuration by which the key was last checked.
    checked_version: u64,
}

/// Refusal of an operation that did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the error.
    pub code: Code,
    /// Reason for the caller.
    pub reason: String,
    /// Whether the session ends.
    pub ends_session: bool,
}

impl<C: Codec> Gate<C> {
    /// Creates the gate of a caller that has connected to `database` with the API key `credential`.
    ///
    /// # Errors
    /// No team has the key.
    pub fn authenticate(
        context: &Rc<Context<C>>,
        database: &str,
        credential: &Bytes,
    ) -> Result<Gate<C>, Refusal> {
        let mut gate = Gate {
            context: Rc::clone(context),
            database: database.to_owned(),
            team: TeamKey::default(),
            key: Some(Digest::of(credential)),
            checked_version: 0,
        };
        gate.check_key()?;
        Ok(gate)
    }

    /// Creates the gate of a session that another host relays for the team called `name`.
    pub fn relayed(context: &Rc<Context<C>>, database: &str, name: &Bytes) -> Gate<C> {
        let name = String::from_utf8_lossy(name);
        let team = match name == NO_TEAM || !context.fleet.has_teams() {
            true => TeamKey::default(),
            false => context.site.team(&name),
        };
        Gate {
            context: Rc::clone(context),
            database: database.to_owned(),
            team,
            key: None,
            checked_version: 0,
        }
    }

    /// Returns the team of the caller.
    pub fn team(&self) -> TeamKey {
        self.team
    }

    /// Decides whether the session may run a statement outside of a transaction.
    ///
    /// # Errors
    /// The statement must not run.
    pub async fn admit(&mut self, query: &Query) -> Result<(), Refusal> {
        self.check_key()?;
        match &query.statement {
            Statement::Begin(_) | Statement::Run(_) | Statement::Execute { .. } => {
                self.check_limit(query).await
            }
            // Runs at no server.
            Statement::Commit
            | Statement::Rollback
            | Statement::Set { .. }
            | Statement::Prepare { .. }
            | Statement::Deallocate { .. }
            | Statement::Unknown => Ok(()),
        }
    }

    /// Counts an operation, which is a single statement or a transaction.
    async fn check_limit(&self, query: &Query) -> Result<(), Refusal> {
        // The host that relays a session counts its operations.
        if self.key.is_none() || self.team.is_null() {
            return Ok(());
        }
        let Context { site, fleet, .. } = &*self.context;
        let name = site.client_name(self.team);
        let Some(limit) = fleet.limit(&name) else {
            return Ok(());
        };
        let since = site.now();
        let contact = |host| fleet.with_quorum(|quorum, _| quorum.answered_at(host));
        let sources = || fleet.sources(self.team);
        let limits = &fleet.limits;
        let admitted = limits.admit(site, self.team, sources, contact).await;
        let limited = match admitted {
            Ok(()) => Limited::Admitted,
            Err(_) => Limited::Refused,
        };
        if let Some(label) = fleet.team_label(self.team) {
            meter::team_operation(&label, limited, site.now().saturating_sub(since));
        }
        let Err(retry_after) = admitted else {
            return Ok(());
        };
        let share = fleet.limits.share(self.team, site.now());
        let (share, answered) = share.unwrap_or_default();
        let millis = retry_after.as_millis();
        site.log(&Event::LimitReached {
            id: String::from_utf8_lossy(&query.id).into_owned(),
            database: self.database.clone(),
            team: name,
            rate: limit.per_second,
            burst: limit.burst,
            share,
            answered: answered.map(|age| age.as_millis()),
            millis,
            version: fleet.version(),
        });
        self.count_rejection(Reason::TeamLimit);
        Err(Refusal {
            code: Code::Busy,
            reason: format!(
                "not run: the limit of {} operations per second is reached, retry after {millis} ms",
                limit.per_second
            ),
            ends_session: false,
        })
    }

    fn count_rejection(&self, reason: Reason) {
        let Gate { database, team, .. } = self;
        self.context.count_rejection(reason, database, *team);
    }

    /// Looks up the caller's team again if the configuration has changed. The team of a key may
    /// change as well: a key that was removed may be given to another team.
    fn check_key(&mut self) -> Result<(), Refusal> {
        let Some(key) = self.key else {
            return Ok(());
        };
        let version = self.context.fleet.version();
        if version == self.checked_version {
            return Ok(());
        }
        match self.context.fleet.authenticate(&self.database, &key) {
            Some(team) => {
                self.team = team;
                self.checked_version = version;
                Ok(())
            }
            None => {
                let mut digest = key.to_string();
                digest.truncate(DIGEST_PREFIX_DIGITS);
                self.context.site.log(&Event::KeyRefused {
                    database: self.database.clone(),
                    digest,
                    version,
                });
                self.count_rejection(Reason::UnknownKey);
                Err(Refusal {
                    code: Code::Unauthorized,
                    reason: "not run: no team has this API key".to_owned(),
                    ends_session: true,
                })
            }
        }
    }
}
