//! Performs the steps of a configuration submission on the platform.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use flamingopost_core::clock::Clock;
use flamingopost_core::digest::Digest;
use flamingopost_core::submission::{Effect, Event, Outcome, Record, Step, Submission};
use flamingopost_platform::error::{self, Error};
use flamingopost_platform::head::{self, HEAD_KEY, Head};
use flamingopost_platform::object::Store;
use flamingopost_platform::table::{self, Change, Condition, Row, Table, Tag};

/// Pause before a failed step is retried, so that a submission survives a short outage.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Submits `record` with `body` and returns the outcome.
pub async fn run<P>(platform: &P, clock: &Arc<dyn Clock>, record: Record, body: &str) -> Outcome
where
    P: Table + Store,
{
    let mut run = Run {
        platform,
        body,
        since_epoch: since_epoch(clock),
        tag: None,
    };
    let (mut submission, mut step) = Submission::new(record);
    loop {
        let event = match step {
            Step::PutBody => Event::BodyPut(run.put(submission.record()).await),
            Step::ReadBody => Event::BodyRead(run.has_body(submission.record()).await),
            Step::ReadHead => Event::HeadRead(run.read_head().await),
            Step::Write => Event::Written(run.write(submission.record()).await),
            Step::ReadRecord => Event::RecordRead(run.read_record(submission.record()).await),
            Step::Finish(outcome) => return outcome,
        };
        if event.is_failure() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        step = submission.next(event);
    }
}

struct Run<'a, P> {
    platform: &'a P,
    body: &'a str,
    since_epoch: Duration,
    tag: Option<Tag>,
}

impl<P: Table + Store> Run<'_, P> {
    async fn put(&self, record: &Record) -> Result<(), Effect> {
        let key = head::body_key(record.digest);
        let put = self.platform.put(&key, self.body.as_bytes().to_vec());
        put.await.map_err(effect)
    }

    async fn has_body(&self, record: &Record) -> Result<bool, Effect> {
        let found = head::fetch_body(self.platform, record.digest).await;
        let found = found.map_err(effect)?;
        Ok(found.is_some_and(|body| Digest::of(&body) == record.digest))
    }

    async fn read_head(&mut self) -> Result<Option<Record>, Effect> {
        let row = self.platform.read(HEAD_KEY).await.map_err(effect)?;
        self.tag = row.as_ref().map(|row| row.tag.clone());
        row.map(record).transpose()
    }

    async fn read_record(&self, wanted: &Record) -> Result<Option<Record>, Effect> {
        let key = head::history_key(wanted.version);
        let row = self.platform.read(&key).await.map_err(effect)?;
        row.map(record).transpose()
    }

    async fn write(&self, record: &Record) -> Result<bool, Effect> {
        let body = Head::new(record, self.since_epoch).encode();
        let head = Change {
            key: HEAD_KEY.to_owned(),
            condition: self.tag.clone().map_or(Condition::Absent, Condition::Tag),
            body: body.clone(),
        };
        let history = Change {
            key: head::history_key(record.version),
            condition: Condition::Absent,
            body,
        };
        let written = self.platform.write(vec![head, history]).await;
        match written.map_err(effect)? {
            table::Outcome::Written(_) => Ok(true),
            table::Outcome::Conflict => Ok(false),
        }
    }
}

fn record(row: Row) -> Result<Record, Effect> {
    let head = Head::decode(&row.body).map_err(|_| Effect::None)?;
    Record::try_from(&head).map_err(|_| Effect::None)
}

fn effect(error: Error) -> Effect {
    match error.effect() {
        error::Effect::None => Effect::None,
        error::Effect::Unknown => Effect::Unknown,
    }
}

fn since_epoch(clock: &Arc<dyn Clock>) -> Duration {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default()
}
