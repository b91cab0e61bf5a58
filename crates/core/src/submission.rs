//! Submission of a configuration: a compare-and-set decides between concurrent operators.
//!
//! The body is in the object store under its digest before the head names it, so no host ever
//! learns of a version whose body is not available. The head and the record of the new version are
//! written atomically. Version `base + 1` has a single record, whose submission id identifies the
//! submission that created it, so one read resolves the outcome after a lost answer.

use crate::digest::Digest;

/// Retry budget of a submission: how often a step is repeated before the submission fails.
const MAX_RETRIES: u8 = 4;

/// The record of an accepted version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The version, from 1.
    pub version: u64,
    /// Digest of its body.
    pub digest: Digest,
    /// Id that its operator's tool drew for the submission.
    pub submission: String,
    /// The operator who submitted it.
    pub operator: String,
}

/// One submission in progress.
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
/// // The answer is lost: the record of version 1 shows which submission created it.
/// assert_eq!(submission.next(Event::Written(Err(Effect::Unknown))), Step::ReadRecord);
/// let found = Event::RecordRead(Ok(Some(submission.record().clone())));
/// assert_eq!(submission.next(found), Step::Finish(Outcome::Accepted));
/// ```
#[derive(Debug)]
pub struct Submission {
    record: Record,
    retries_left: u8,
    /// Whether a write had an unknown outcome.
    in_doubt: bool,
}

/// The possible effect of a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// None: the request did nothing and will not.
    None,
    /// Unknown: the request may have taken effect, or may yet.
    Unknown,
}

/// The result of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Result of putting the body into the object store.
    BodyPut(Result<(), Effect>),
    /// Result of looking up the body: whether the store has it in full.
    BodyRead(Result<bool, Effect>),
    /// Result of reading the head: the record of the newest version, or `None` if there is no
    /// version.
    HeadRead(Result<Option<Record>, Effect>),
    /// Result of the compare-and-set: whether it took effect.
    Written(Result<bool, Effect>),
    /// Result of reading the record of the version that is submitted.
    RecordRead(Result<Option<Record>, Effect>),
}

impl Event {
    /// Reports whether the step failed, in which case the next one should follow after a backoff.
    pub fn is_failure(&self) -> bool {
        match self {
            Event::BodyPut(result) => result.is_err(),
            Event::BodyRead(result) => result.is_err(),
            Event::HeadRead(result) | Event::RecordRead(result) => result.is_err(),
            Event::Written(result) => result.is_err(),
        }
    }
}

/// The next step of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Put the body into the object store under its digest.
    PutBody,
    /// Look up whether the store has the body.
    ReadBody,
    /// Read the head and remember its tag.
    ReadHead,
    /// Write head and record together, guarded by the tag of the head last read and by the
    /// absence of the record.
    Write,
    /// Read the record of the version that is submitted.
    ReadRecord,
    /// Report the outcome to the operator.
    Finish(Outcome),
}

/// The outcome that is reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The version is accepted.
    Accepted,
    /// Another submission was accepted first. Contains the record of the newest known version.
    Conflict(Box<Record>),
    /// The base version is newer than the newest version.
    NoSuchBase {
        /// The newest version, or 0 if there is none.
        newest: u64,
    },
    /// The platform is unreachable. This attempt did nothing and will not.
    Unavailable,
    /// The platform gave no answer, and it is unknown whether the version was accepted. Submitting
    /// again with the same id resolves this.
    Unknown,
}

impl Submission {
    /// Starts the submission of `record`, whose version is the base's successor, and returns the
    /// first step.
    pub fn new(record: Record) -> (Submission, Step) {
        let submission = Submission {
            record,
            retries_left: MAX_RETRIES,
            in_doubt: false,
        };
        (submission, Step::PutBody)
    }

    /// Returns the record that is submitted.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Handles the result of the last step and returns the next one.
    pub fn next(&mut self, event: Event) -> Step {
        match event {
            Event::BodyPut(Ok(())) => Step::ReadHead,
            Event::BodyPut(Err(Effect::None)) => self.retry(Step::PutBody),
            // The store may have the body. If only answers are lost, putting it again would never
            // make progress.
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
            // An operator sent a submission again that had already been accepted.
            Some(head) if newest == self.record.version => self.finish_with(head),
            Some(_) if newest > base => Step::ReadRecord,
            _ => Step::Finish(Outcome::NoSuchBase { newest }),
        }
    }

    fn on_write_error(&mut self, effect: Effect) -> Step {
        // The write may take effect even after a read has found no record. Writing again is
        // harmless: both writes require that the record is absent, so at most one takes effect.
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
