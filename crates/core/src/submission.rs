//! Submission of a configuration: one compare-and-set decides between racing operators.
//!
//! The body is in the object store under its digest before the head names it, so no host ever
//! hears of a version whose body cannot be had. The head and the record of the new version are
//! written together or not at all; version `base + 1` has one record, and its submission id says
//! whose it is. That settles every lost answer by one read.

use crate::digest::Digest;

/// How often a submission tries again before its operator is told that it did not work out.
const MAX_RETRIES: u8 = 4;

/// What is known of an accepted version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The version, from 1.
    pub version: u64,
    /// Digest of its body.
    pub digest: Digest,
    /// Id that its operator's tool drew for the submission.
    pub submission: String,
    /// Who submitted it.
    pub operator: String,
}

/// One submission under way.
///
/// ```
/// use flamingopost_core::digest::Digest;
/// use flamingopost_core::submission::{Effect, Event, Outcome, Record, Step, Submission};
///
/// let record = Record {
///     version: 1,
///     digest: Digest::of(b"[fleet]"),
///     submission: "8f2c".to_owned(),
///     operator: "asha".to_owned(),
/// };
/// let (mut submission, step) = Submission::new(record);
/// assert_eq!(step, Step::PutBody);
/// assert_eq!(submission.next(Event::BodyPut(Ok(()))), Step::ReadHead);
/// assert_eq!(submission.next(Event::HeadRead(Ok(None))), Step::Write);
/// // The answer is lost: the record of version 1 says whose it became.
/// assert_eq!(submission.next(Event::Written(Err(Effect::Unknown))), Step::ReadRecord);
/// let found = Event::RecordRead(Ok(Some(submission.record().clone())));
/// assert_eq!(submission.next(found), Step::Finish(Outcome::Accepted));
/// ```
#[derive(Debug)]
pub struct Submission {
    record: Record,
    retries_left: u8,
    in_doubt: bool,
}

/// What a failed request may have done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    None,
    /// Perhaps what it asked for.
    Unknown,
}

/// What came of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The body was put into the object store, or not.
    BodyPut(Result<(), Effect>),
    /// The store was asked for the body: whether it is there, whole.
    BodyRead(Result<bool, Effect>),
    /// The head was read: the record of the newest version, or none when there is no version.
    HeadRead(Result<Option<Record>, Effect>),
    /// The compare-and-set was answered: whether it took effect.
    Written(Result<bool, Effect>),
    /// The record of the version that was tried for was read.
    RecordRead(Result<Option<Record>, Effect>),
}

impl Event {
    /// Whether the step failed; the next one should not follow at once.
    pub fn is_failure(&self) -> bool {
        match self {
            Event::BodyPut(result) => result.is_err(),
            Event::BodyRead(result) => result.is_err(),
            Event::HeadRead(result) | Event::RecordRead(result) => result.is_err(),
            Event::Written(result) => result.is_err(),
        }
    }
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Put the body into the object store under its digest.
    PutBody,
    /// Look whether the store has the body.
    ReadBody,
    /// Read the head and remember its tag.
    ReadHead,
    /// Write head and record together, guarded by the tag of the head last read and by the
    /// absence of the record.
    Write,
    /// Read the record of the version that is tried for.
    ReadRecord,
    /// Tell the operator.
    Finish(Outcome),
}

/// What the operator is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The version is accepted.
    Accepted,
    /// Another submission came first; the record is that of the newest version known.
    Conflict(Box<Record>),
    /// The base is newer than the newest version there is.
    NoSuchBase {
        /// The newest version; 0 when there is none.
        newest: u64,
    },
    /// The platform cannot be reached; this attempt did nothing and will not.
    Unavailable,
    /// The platform gave no answer; whether the version is accepted is not known. Submitting
    /// again with the same id finds out.
    Unknown,
}

impl Submission {
    /// Starts to submit `record`, whose version is the base's successor.
    pub fn new(record: Record) -> (Submission, Step) {
        let submission = Submission {
            record,
            retries_left: MAX_RETRIES,
            in_doubt: false,
        };
        (submission, Step::PutBody)
    }

    /// The record that is to be accepted.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What to do after `event`.
    pub fn next(&mut self, event: Event) -> Step {
        match event {
            Event::BodyPut(Ok(())) => Step::ReadHead,
            Event::BodyPut(Err(Effect::None)) => self.retry(Step::PutBody),
            // The store may have it: where only answers are lost, putting it again would never
            // get further.
            Event::BodyPut(Err(Effect::Unknown)) => self.retry(Step::ReadBody),
            Event::BodyRead(Ok(true)) => Step::ReadHead,
            Event::BodyRead(Ok(false)) => self.retry(Step::PutBody),
            Event::BodyRead(Err(_)) => self.retry(Step::ReadBody),
            Event::HeadRead(Ok(head)) => self.compare_base(head),
            Event::HeadRead(Err(_)) => self.retry(Step::ReadHead),
            Event::Written(Ok(true)) => Step::Finish(Outcome::Accepted),
            Event::Written(Ok(false)) => Step::ReadRecord,
            Event::Written(Err(effect)) => self.on_write_error(effect),
            Event::RecordRead(Ok(Some(found))) => self.finish_with(found),
            Event::RecordRead(Ok(None)) => self.retry(Step::ReadHead),
            Event::RecordRead(Err(_)) => self.retry(Step::ReadRecord),
        }
    }

    fn compare_base(&mut self, head: Option<Record>) -> Step {
        let newest = head.as_ref().map_or(0, |head| head.version);
        let base = self.record.version - 1;
        match head {
            _ if newest == base => Step::Write,
            // A submission sent again by its operator finds that it was accepted before.
            Some(head) if newest == self.record.version => self.finish_with(head),
            Some(_) if newest > base => Step::ReadRecord,
            _ => Step::Finish(Outcome::NoSuchBase { newest }),
        }
    }

    fn on_write_error(&mut self, effect: Effect) -> Step {
        // The write may take effect even after the record has been read and not found. Writing
        // again is harmless then: the record's absence guards it, so at most one of both wins.
        self.in_doubt |= effect == Effect::Unknown;
        self.retry(Step::ReadRecord)
    }

    fn finish_with(&self, found: Record) -> Step {
        if found.submission == self.record.submission {
            return Step::Finish(Outcome::Accepted);
        }
        Step::Finish(Outcome::Conflict(Box::new(found)))
    }

    fn retry(&mut self, step: Step) -> Step {
        if self.retries_left == 0 {
            let outcome = match self.in_doubt {
                true => Outcome::Unknown,
                false => Outcome::Unavailable,
            };
            return Step::Finish(outcome);
        }
        self.retries_left -= 1;
        step
    }
}
