//! What a session has written, and what that asks of the server that answers it.

pub mod need;
pub mod state;

use std::time::Duration;

use crate::history::{History, Survival};
use crate::position::Position;
use crate::refusal::Refusal;
use crate::rule::Target;
use need::Need;

/// Session parameter that carries the position.
pub const POSITION: &str = "flamingopost.position";
/// Session parameter that states the greatest age of data the caller accepts.
pub const MAX_AGE: &str = "flamingopost.max_age";
/// Session parameter that gives its tag to statements whose marker has none.
pub const TAG: &str = "flamingopost.tag";
/// Value of [`POSITION`] by which a caller says that it has no earlier writes.
pub const NO_WRITES: &str = "none";

/// One session's knowledge of its own writes to one service.
///
/// ```
/// use std::time::Duration;
/// use flamingopost_core::history::History;
/// use flamingopost_core::rule::Target;
/// use flamingopost_core::session::Session;
/// use flamingopost_core::session::need::Need;
///
/// let mut session = Session::new(Duration::ZERO);
/// let history = History::default();
/// session.set_position("1.0/17", Duration::ZERO, &history).unwrap();
/// let need = session.need(Target::Replica, None, None, &history).unwrap();
/// assert_eq!(need.position().unwrap().log, 17);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    writes: Writes,
    max_age: Option<Duration>,
    tag: Option<Box<str>>,
    lost_write: Option<LostWrite>,
}

/// What is known of a session's earlier writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Writes {
    /// Nothing: it may have written anything before this moment through another entry host.
    UnknownBefore(Duration),
    /// The caller says that there are none.
    None,
    /// None past this position.
    UpTo(Position),
}

/// A write of the session that a promotion dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LostWrite {
    position: Position,
    ended_by: crate::term::Term,
    start: u64,
}

impl From<LostWrite> for Refusal {
    fn from(loss: LostWrite) -> Refusal {
        Refusal::PositionLost {
            position: loss.position,
            ended_by: loss.ended_by,
            start: loss.start,
        }
    }
}

impl Session {
    /// A session that connected at `now` and brought nothing.
    pub fn new(now: Duration) -> Session {
        Session {
            writes: Writes::UnknownBefore(now),
            max_age: None,
            tag: None,
            lost_write: None,
        }
    }

    /// Takes the position that the caller brought, at connect or by `SET`. A position only
    /// rises; [`NO_WRITES`] states that there are no earlier writes, and an empty value forgets, as
    /// `RESET` and `DISCARD ALL` do.
    ///
    /// # Errors
    /// A value that is no position.
    pub fn set_position(
        &mut self,
        value: &str,
        now: Duration,
        history: &History,
    ) -> Result<(), Refusal> {
        match value.trim() {
            "" => self.reset(now),
            NO_WRITES => {
                self.writes = Writes::None;
                self.lost_write = None;
            }
            text => {
                let position = text.parse().map_err(|_| bad_parameter(POSITION, value))?;
                self.record_lost_write(history);
                self.advance(position);
            }
        }
        Ok(())
    }

    /// Takes the greatest age of data that the caller accepts: a number of milliseconds, or one
    /// with a unit as in `500ms`, `2s` or `1min`; an empty value takes it back.
    ///
    /// # Errors
    /// A value that is no length of time.
    pub fn set_max_age(&mut self, value: &str) -> Result<(), Refusal> {
        self.max_age = match value.trim() {
            "" => None,
            text => Some(parse_age(text).ok_or_else(|| bad_parameter(MAX_AGE, value))?),
        };
        Ok(())
    }

    /// The greatest age of data that the caller accepts.
    pub fn max_age(&self) -> Option<Duration> {
        self.max_age
    }

    /// Takes the tag of statements whose marker has none; an empty value takes it back.
    pub fn set_tag(&mut self, value: &str) {
        let value = value.trim();
        self.tag = (!value.is_empty()).then(|| value.into());
    }

    /// The tag of statements whose marker has none.
    pub fn tag(&self) -> Option<&str> {
        self.tag.as_deref()
    }

    /// Forgets everything: from `now` on this is the session of somebody unknown.
    pub fn reset(&mut self, now: Duration) {
        *self = Session::new(now);
    }

    /// The value of [`POSITION`] to report, once there is one.
    pub fn position(&self) -> Option<Position> {
        match self.writes {
            Writes::UpTo(position) => Some(position),
            Writes::UnknownBefore(_) | Writes::None => None,
        }
    }

    /// A write was acknowledged at `position`. Returns whether [`POSITION`] has to be reported.
    pub fn record_write(&mut self, position: Position, history: &History) -> bool {
        self.record_lost_write(history);
        self.advance(position)
    }

    /// The primary's position as seen in an answer to something *sent* at `sent`, under a write
    /// lease that was valid when the answer came. Once sent after the session began, it bounds
    /// all its earlier writes: they were acknowledged before, so the primary had them. Returns
    /// whether [`POSITION`] has to be reported.
    pub fn observe_primary(&mut self, position: Position, sent: Duration) -> bool {
        match self.writes {
            Writes::UnknownBefore(began) if sent >= began => self.advance(position),
            _ => false,
        }
    }

    /// What a server must be to answer a read of this session under a rule's `target` and
    /// `max_age`, and the age that the caller `stated` with the statement.
    ///
    /// # Errors
    /// [`Refusal::PositionLost`], once for each loss; the session then goes on without the write.
    pub fn need(
        &mut self,
        target: Target,
        max_age: Option<Duration>,
        stated: Option<Duration>,
        history: &History,
    ) -> Result<Need, Refusal> {
        self.check_lost_write(history)?;
        if target == Target::Primary {
            return Ok(Need::Primary);
        }
        let stated = stricter_age(stated, self.max_age);
        let max_age = stricter_age(max_age, stated);
        Ok(match self.writes {
            Writes::UpTo(position) => Need::Position { position, max_age },
            Writes::None => Need::Any { max_age },
            // A caller that states an age itself accepts data of that age.
            Writes::UnknownBefore(_) if stated.is_some() => Need::Any { max_age },
            Writes::UnknownBefore(began) => Need::Since { began, max_age },
        })
    }

    /// Refuses, once, when a promotion dropped a write of the session; to be called before any
    /// statement, writes included.
    ///
    /// # Errors
    /// [`Refusal::PositionLost`].
    pub fn check_lost_write(&mut self, history: &History) -> Result<(), Refusal> {
        self.record_lost_write(history);
        match self.lost_write.take() {
            Some(loss) => Err(loss.into()),
            None => Ok(()),
        }
    }

    /// A promotion between the send of a write and its answer would let the new position cover
    /// a lost one: the session would silently read without its write. So a loss is noted before
    /// the position rises, and told with the next statement.
    fn record_lost_write(&mut self, history: &History) {
        let Writes::UpTo(position) = self.writes else {
            return;
        };
        let Survival::Lost { ended_by, start } = history.survival(position) else {
            return;
        };
        self.lost_write.get_or_insert(LostWrite {
            position,
            ended_by,
            start,
        });
        self.writes = Writes::UpTo(Position {
            term: ended_by,
            log: start,
        });
        self.record_lost_write(history);
    }

    fn advance(&mut self, position: Position) -> bool {
        let higher = self.position().is_none_or(|known| known < position);
        if higher {
            self.writes = Writes::UpTo(position);
        }
        higher
    }
}

fn stricter_age(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

fn bad_parameter(parameter: &'static str, value: &str) -> Refusal {
    Refusal::BadParameter {
        parameter,
        value: value.to_owned(),
    }
}

fn parse_age(text: &str) -> Option<Duration> {
    let digits = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let millis = match unit.trim() {
        "" | "ms" => number,
        "s" => number.checked_mul(1000)?,
        "min" => number.checked_mul(60_000)?,
        "h" => number.checked_mul(3_600_000)?,
        _ => return None,
    };
    Some(Duration::from_millis(millis))
}
