//! What a caller sends between two answers, and what it asks for.

use std::sync::Arc;

use bytes::Bytes;
use flamingopost_core::rule::Access;
use flamingopost_core::statement::{Action, Part, SessionState, Statement};

use crate::frame::{Frame, take_text};
use crate::prepared::{Catalog, Prepared, Statements};

/// How a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It is a simple query.
    Simple,
    /// An extended batch ended by `Sync`.
    Sync,
    /// An extended batch ended by `Flush`: the caller wants answers before it goes on.
    Flush,
}

/// One message of a request.
#[derive(Debug)]
pub struct Item {
    /// The message.
    pub frame: Frame,
    /// The prepared statement that it makes or names, as of its place in the request.
    pub prepared: Option<Arc<Prepared>>,
}

/// One request: a simple query, or a batch of the extended protocol.
#[derive(Debug)]
pub struct Request {
    /// Its messages, `Sync` or `Flush` included.
    pub items: Vec<Item>,
    /// How it ends.
    pub end: End,
    /// The statements that it runs, in order.
    pub runs: Vec<Statement>,
    /// Statements that it prepares or describes without running them.
    pub names: Vec<Statement>,
    /// Names under which it prepares statements.
    pub parsed: Vec<Bytes>,
}

/// A message whose body does not follow the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Error {
    /// malformed message of type `{0}`
    Malformed(char),
}

impl std::error::Error for Error {}

impl Request {
    /// A simple query.
    pub fn simple(
        frame: Frame,
        classify: impl FnOnce(&str) -> Statement,
    ) -> Result<Request, Error> {
        let mut body = frame.body_bytes();
        let text = take_text(&mut body).ok_or(Error::Malformed('Q'))?;
        let statement = classify(&String::from_utf8_lossy(&text));
        Ok(Request {
            items: vec![Item {
                frame,
                prepared: None,
            }],
            end: End::Simple,
            runs: vec![statement],
            names: Vec::new(),
            parsed: Vec::new(),
        })
    }

    /// A call of the fast-path interface, of which nothing is known.
    pub fn function(frame: Frame, classify: impl FnOnce(&str) -> Statement) -> Request {
        Request {
            items: vec![Item {
                frame,
                prepared: None,
            }],
            end: End::Simple,
            runs: vec![classify("CALL fastpath()")],
            names: Vec::new(),
            parsed: Vec::new(),
        }
    }

    /// A batch of the extended protocol. Its `Parse` and `Close` messages take effect on
    /// `statements`.
    pub fn batch(
        frames: Vec<Frame>,
        statements: &mut Statements,
        catalog: &Catalog,
        classify: impl Fn(&str) -> Statement,
    ) -> Result<Request, Error> {
        let end = match frames.last().map(Frame::tag) {
            Some(b'S') => End::Sync,
            _ => End::Flush,
        };
        let mut request = Request {
            items: Vec::with_capacity(frames.len()),
            end,
            runs: Vec::new(),
            names: Vec::new(),
            parsed: Vec::new(),
        };
        let mut portals: Vec<(Bytes, Statement)> = Vec::new();
        for frame in frames {
            let malformed = Error::Malformed(char::from(frame.tag()));
            let mut body = frame.body_bytes();
            let mut prepared = None;
            match frame.tag() {
                b'P' => {
                    let name = take_text(&mut body).ok_or(malformed)?;
                    let interned = catalog.intern(&body, &classify);
                    request.names.push(interned.statement.clone());
                    statements.insert(&name, Arc::clone(&interned));
                    request.parsed.push(name);
                    prepared = Some(interned);
                }
                b'B' => {
                    let portal = take_text(&mut body).ok_or(malformed)?;
                    let name = take_text(&mut body).ok_or(malformed)?;
                    prepared = statements.find(&name).cloned();
                    if let Some(prepared) = &prepared {
                        portals.retain(|(known, _)| *known != portal);
                        portals.push((portal, prepared.statement.clone()));
                    }
                }
                b'E' => {
                    let portal = take_text(&mut body).ok_or(malformed)?;
                    let bound = portals.iter().find(|(known, _)| *known == portal);
                    let bound = bound.map(|(_, statement)| statement.clone());
                    request.runs.extend(bound);
                }
                b'D' | b'C' => {
                    let (kind, name) = target(&frame).ok_or(malformed)?;
                    if kind == b'S' && frame.tag() == b'D' {
                        prepared = statements.find(&name).cloned();
                        let named = prepared.as_ref();
                        request
                            .names
                            .extend(named.map(|named| named.statement.clone()));
                    } else if kind == b'S' {
                        statements.remove(&name);
                    }
                }
                _ => {}
            }
            request.items.push(Item { frame, prepared });
        }
        Ok(request)
    }

    /// What it runs may do to data: the most of all its statements.
    pub fn access(&self) -> Access {
        let statements = self.runs.iter().chain(&self.names);
        let access = statements.map(Statement::access).max();
        access.unwrap_or(Access::Read)
    }

    /// The statement that rules are matched against: the first that may write, else the first.
    pub fn statement(&self) -> Option<&Statement> {
        let all = || self.runs.iter().chain(&self.names);
        all()
            .find(|statement| statement.access() == Access::Write)
            .or_else(|| all().next())
    }

    /// Whether it runs queries that only read, and nothing else.
    pub fn only_reads(&self) -> bool {
        let queries = self.parts().all(|part| part.action == Action::Query);
        queries && self.parts().next().is_some() && self.access() == Access::Read
    }

    /// Every part that it runs.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.runs.iter().flat_map(Statement::parts)
    }

    /// The action of a request that runs exactly one statement.
    pub fn action(&self) -> Option<&Action> {
        let mut parts = self.parts();
        match (parts.next(), parts.next()) {
            (Some(part), None) => Some(&part.action),
            _ => None,
        }
    }

    /// What it leaves on its connection.
    pub fn session_state(&self) -> SessionState {
        let states = self.runs.iter().map(Statement::session_state);
        states.max().unwrap_or_default()
    }

    /// Whether a transaction may end somewhere before its last statement, so that an early
    /// `CommandComplete` already says that something was committed.
    pub fn commits_inside(&self) -> bool {
        let several = self.parts().nth(1).is_some();
        several && self.parts().any(ends_transaction)
    }

    /// Whether it ends a transaction and then a `Flush` asks for the answer.
    pub fn commits_before_flush(&self) -> bool {
        self.end == End::Flush && self.parts().any(ends_transaction)
    }

    /// Whether it needs no server: it runs, prepares and describes nothing.
    pub fn is_bare(&self) -> bool {
        let bare = |item: &Item| match item.frame.tag() {
            b'S' | b'H' => true,
            b'C' => target(&item.frame).is_some_and(|(kind, _)| kind == b'S'),
            _ => false,
        };
        self.end != End::Simple && self.items.iter().all(bare)
    }
}

/// What a `Describe` or `Close` names: `S` and a statement, or `P` and a portal.
pub fn target(frame: &Frame) -> Option<(u8, Bytes)> {
    let mut body = frame.body_bytes();
    if body.is_empty() {
        return None;
    }
    let kind = body.split_to(1)[0];
    Some((kind, take_text(&mut body)?))
}

fn ends_transaction(part: &Part) -> bool {
    matches!(
        part.action,
        Action::Commit { .. } | Action::Rollback { .. } | Action::Unknown
    )
}
