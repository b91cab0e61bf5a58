//! Read-your-writes consistency of one session: the position of its writes and what a server
//! needs to answer its reads.

pub mod need;
pub mod state;

use std::time::Duration;

use crate::history::{History, Survival};
use crate::position::Position;
use crate::refusal::Refusal;
use crate::rule::Target;
use need::Need;

/// Session parameter with the position of the session's last write.
pub const POSITION: &str = "flamingopost.position";
/// Session parameter with the greatest data age that the caller accepts.
pub const MAX_AGE: &str = "flamingopost.max_age";
/// Session parameter with the tag of statements whose marker has none.
pub const TAG: &str = "flamingopost.tag";
/// Value of [`POSITION`] of a caller without earlier writes.
pub const NO_WRITES: &str = "none";

/// The writes of one session to one service, and the settings for its reads.
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

/// What is known about the earlier writes of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Writes {
    /// Nothing: the session may have written through another entry host before this time.
    UnknownBefore(Duration),
    /// The caller stated that there are none.
    None,
    /// All of them are at or before this position.
    UpTo(Position),
}

/// A write of the session that was lost in a promotion.
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
    /// Creates a session that connected at `now` without a position.
    pub fn new(now: Duration) -> Session {
        Session {
            writes: Writes::UnknownBefore(now),
            max_age: None,
            tag: None,
            lost_write: None,
        }
    }

    /// Sets the position from the value that the caller sent at connect or with `SET`.
    ///
    /// A position only advances. [`NO_WRITES`] states that there are no earlier writes. An empty
    /// value resets the session, as `RESET` and `DISCARD ALL` do.
    ///
    /// # Errors
    /// Returns [`Refusal::BadParameter`] if the value is not a position.
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

    /// Sets the greatest data age that the caller accepts: a number of milliseconds, or a number
    /// with a unit such as `500ms`, `2s` or `1min`. An empty value removes the limit.
    ///
    /// # Errors
    /// Returns [`Refusal::BadParameter`] if the value is not a duration.
    pub fn set_max_age(&mut self, value: &str) -> Result<(), Refusal> {
        self.max_age = match value.trim() {
            "" => None,
            text => Some(parse_age(text).ok_or_else(|| bad_parameter(MAX_AGE, value))?),
        };
        Ok(())
    }

    /// Returns the greatest data age that the caller accepts.
    pub fn max_age(&self) -> Option<Duration> {
        self.max_age
    }

    /// Sets the tag of statements whose marker has none. An empty value removes it.
    pub fn set_tag(&mut self, value: &str) {
        let value = value.trim();
        self.tag = (!value.is_empty()).then(|| value.into());
    }

    /// Returns the tag of statements whose marker has none.
    pub fn tag(&self) -> Option<&str> {
        self.tag.as_deref()
    }

    /// Resets the session to one that connected at `now` without a position or settings.
    pub fn reset(&mut self, now: Duration) {
        *self = Session::new(now);
    }

    /// Returns the value of [`POSITION`] to report to the caller, if there is one.
    pub fn position(&self) -> Option<Position> {
        match self.writes {
            Writes::UpTo(position) => Some(position),
            Writes::UnknownBefore(_) | Writes::None => None,
        }
    }

    /// Records a write that was acknowledged at `position`. Returns whether [`POSITION`] has to be
    /// reported to the caller.
    pub fn record_write(&mut self, position: Position, history: &History) -> bool {
        self.record_lost_write(history);
        self.advance(position)
    }

    /// Records the primary's position from the answer to a request *sent* at `sent`, under a write
    /// lease that was valid when the answer arrived. Returns whether [`POSITION`] has to be
    /// reported to the caller.
    ///
    /// If the request was sent at or after the start of the session, the position bounds all
    /// earlier writes of the session: they were acknowledged before, so the primary had them.
    pub fn observe_primary(&mut self, position: Position, sent: Duration) -> bool {
        match self.writes {
            Writes::UnknownBefore(began) if sent >= began => self.advance(position),
            _ => false,
        }
    }

    /// Returns what a server needs to answer a read of this session under a rule's `target` and
    /// `max_age` and the age that the caller `stated` with the statement.
    ///
    /// # Errors
    /// Returns [`Refusal::PositionLost`] once for each loss. The session then continues without the
    /// lost writes.
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
            // A caller that states an age accepts data of that age, even without its own writes.
            Writes::UnknownBefore(_) if stated.is_some() => Need::Any { max_age },
            Writes::UnknownBefore(began) => Need::Since { began, max_age },
        })
    }

    /// Reports, once, a write of the session that was lost in a promotion. Must be called before
    /// every statement, writes included.
    ///
    /// # Errors
    /// Returns [`Refusal::PositionLost`] if a write was lost.
    pub fn check_lost_write(&mut self, history: &History) -> Result<(), Refusal> {
        self.record_lost_write(history);
        match self.lost_write.take() {
            Some(loss) => Err(loss.into()),
            None => Ok(()),
        }
    }

    /// Records a write of the session that was lost in a promotion, to report it with the next
    /// statement.
    ///
    /// This happens before the position advances: after a promotion between the sending of a write
    /// and its answer, the position of the new write would hide the lost one, and the session would
    /// silently read without its write.
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

    /// Advances the position to `position`. Returns whether it changed.
    fn advance(&mut self, position: Position) -> bool {
        let higher = self.position().is_none_or(|known| known < position);
        if higher {
            self.writes = Writes::UpTo(position);
        }
        higher
    }
}

/// Returns the smaller of two optional limits.
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

/// Parses an age such as `500`, `500ms`, `2s`, `1min` or `1h`; without a unit, milliseconds.
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
