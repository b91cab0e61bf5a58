//! Requests with a key: run in one transaction with the record of the key, so that a resubmission
//! finds it, through any entry host.

use std::time::Duration;

use bytes::Bytes;
use flamingopost_core::digest::Digest;
use flamingopost_core::once::keyed::{Directive, Event, Keyed, Step, Stored};
use flamingopost_core::refusal::{Doubt, Refusal};
use flamingopost_core::rule::Access;
use flamingopost_core::statement::Action;

use crate::attempt::Fault;
use crate::back::{self, Answer, Back};
use crate::exchange::{self, Break, End, Exchange, Progress};
use crate::frame::take_text;
use crate::held::Held;
use crate::plan::Plan;
use crate::request::{self, Item, Request};
use crate::session::Session;

/// Name of the marker comment in refusals.
const MARKER: &str = "flamingopost marker";

/// Whether `request` asks for a run that its key protects. Reads may repeat and need none.
pub fn is_keyed(request: &Request, key: Option<&String>) -> bool {
    key.is_some() && request.access() == Access::Write && !request.runs.is_empty()
}

/// Refuses what a key cannot protect; a key passed over in silence would let a resubmission run
/// twice.
///
/// # Errors
/// The request is more or other than one statement that changes data.
pub fn check(request: &Request, in_transaction: bool) -> Result<(), Refusal> {
    let single = matches!(request.action(), Some(Action::Query));
    if single && request.end != request::End::Flush && !in_transaction {
        return Ok(());
    }
    Err(Refusal::BadParameter {
        parameter: MARKER,
        value: "key on something else than one statement outside of a transaction".to_owned(),
    })
}

impl Session {
    /// Runs `request` under `key` on `held`, up to the commit or to where it is certain that
    /// there will be none.
    ///
    /// # Errors
    /// The caller is gone, or nothing was sent.
    pub async fn run_keyed(
        &mut self,
        held: &mut Held,
        keyed: &mut (Keyed, Step),
        request: &Request,
        deadline: Duration,
        progress: &mut Progress,
    ) -> Result<Directive, Fault> {
        let left = deadline.saturating_sub(self.now());
        let work = self.steps(held, keyed, request, progress);
        match tokio::time::timeout(left, work).await {
            Ok(next) => next,
            Err(_) => Ok(keyed.0.handle(Event::Broken(Doubt::DeadlinePassed))),
        }
    }

    async fn steps(
        &mut self,
        held: &mut Held,
        keyed: &mut (Keyed, Step),
        request: &Request,
        progress: &mut Progress,
    ) -> Result<Directive, Fault> {
        self.replay(held).await?;
        let (keyed, first) = keyed;
        let mut step = first.clone();
        loop {
            let event = match &step {
                Step::Internal(sql) => ours(held.lent.back(), sql).await,
                Step::Statement => self.statement(held, request, progress).await?,
            };
            match keyed.handle(event) {
                Directive::Send(next) => step = next,
                ended => return Ok(ended),
            }
        }
    }

    /// The caller's own statement, whose completion is held back.
    async fn statement(
        &mut self,
        held: &mut Held,
        request: &Request,
        progress: &mut Progress,
    ) -> Result<Event, Fault> {
        let back = held.lent.back();
        let plan = Plan::new(request, back);
        let _running = self.handle.begin(back.cancel.clone());
        let Ok(sent) = exchange::send(back, progress, plan).await else {
            return Ok(Event::Broken(Doubt::ConnectionLost));
        };
        let mut exchange = Exchange::new(&mut self.front, back, progress, true, sent);
        match exchange.receive().await {
            Ok(End::Ready(_)) => {}
            Err(Break::Front(error)) => return Err(Fault::Caller(error)),
            Ok(End::Flushed) | Err(_) => return Ok(Event::Broken(Doubt::ConnectionLost)),
        }
        Ok(match &progress.sqlstate {
            Some(sqlstate) => Event::Failed {
                sqlstate: sqlstate.clone(),
            },
            None => Event::Done {
                tag: progress.tag.clone(),
            },
        })
    }
}

/// A statement of this host's own.
async fn ours(back: &mut Back, sql: &str) -> Event {
    let looks_up = sql.starts_with("SELECT");
    match back.query(sql).await {
        Ok(Answer { row, .. }) if looks_up => Event::Found(stored(row)),
        Ok(Answer { tag, .. }) => Event::Done { tag },
        Err(back::Error::Refused { sqlstate, .. }) => Event::Failed { sqlstate },
        Err(_) => Event::Broken(Doubt::ConnectionLost),
    }
}

fn stored(row: Vec<Option<String>>) -> Option<Stored> {
    let mut columns = row.into_iter();
    let request = columns.next()??;
    let tag = columns.next().flatten().unwrap_or_default();
    Some(Stored { request, tag })
}

/// Digest of what `request` runs and with which parameters; not of the protocol, names and
/// messages by which its client says so, which differ between sessions and even between two
/// statements of one: some clients prepare a text only when it comes again.
pub fn digest(request: &Request) -> String {
    let mut bytes = Vec::new();
    for item in &request.items {
        add(&mut bytes, item);
    }
    Digest::of(&bytes).to_string()
}

fn add(bytes: &mut Vec<u8>, item: &Item) {
    let mut body = item.frame.body_bytes();
    match (item.frame.tag(), &item.prepared) {
        (b'Q', _) => bytes.extend_from_slice(&take_text(&mut body).unwrap_or_default()),
        (b'B', Some(prepared)) => {
            let text = take_text(&mut prepared.parse.clone()).unwrap_or_default();
            bytes.extend_from_slice(&text);
            bytes.extend_from_slice(&parameters(body));
        }
        _ => {}
    }
}

/// The parameters of a `Bind` message with their formats; empty where there are none.
fn parameters(mut body: Bytes) -> Bytes {
    const WORD: usize = size_of::<u16>();
    take_text(&mut body);
    take_text(&mut body);
    let word = |at: usize| {
        let bytes = body.get(at..at + WORD)?;
        Some(usize::from(u16::from_be_bytes([bytes[0], bytes[1]])))
    };
    let count = word(0).and_then(|formats| word(WORD + formats * WORD));
    match count {
        Some(0) => Bytes::new(),
        _ => body,
    }
}
