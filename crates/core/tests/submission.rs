//! Concurrent submissions of operators to a store that loses answers and has outages.

use std::collections::BTreeMap;

use flamingopost_core::digest::Digest;
use flamingopost_core::submission::{Effect, Event, Outcome, Record, Step, Submission};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn record(base: u64, submission: &str) -> Record {
    Record {
        version: base + 1,
        digest: Digest::of(submission.as_bytes()),
        submission: submission.to_owned(),
        operator: "asha".to_owned(),
    }
}

/// Two operators submit on top of version 3 at the same time. The second write fails, its operator
/// gets the record of the winner, and no part of the second submission is in force.
#[test]
fn the_slower_of_two_operators_gets_a_conflict() {
    let (mut slower, _) = Submission::new(record(3, "slower"));
    slower.next(Event::BodyPut(Ok(())));
    assert_eq!(
        slower.next(Event::HeadRead(Ok(Some(record(2, "before"))))),
        Step::Write
    );
    assert_eq!(slower.next(Event::Written(Ok(false))), Step::ReadRecord);
    let first = record(3, "first");
    let step = slower.next(Event::RecordRead(Ok(Some(first.clone()))));
    assert_eq!(step, Step::Finish(Outcome::Conflict(Box::new(first))));
}

/// The write takes effect, its answer is lost, and the platform goes down before the record can be
/// read back. The operator gets the outcome "unknown" rather than "unavailable". Submitting again
/// with the same id shows that the version was accepted.
#[test]
fn a_permanently_lost_answer_is_resolved_by_the_same_id() {
    let (mut submission, _) = Submission::new(record(0, "mine"));
    submission.next(Event::BodyPut(Ok(())));
    submission.next(Event::HeadRead(Ok(None)));
    let mut step = submission.next(Event::Written(Err(Effect::Unknown)));
    while step == Step::ReadRecord {
        step = submission.next(Event::RecordRead(Err(Effect::None)));
    }
    assert_eq!(step, Step::Finish(Outcome::Unknown));

    let (mut again, _) = Submission::new(record(0, "mine"));
    again.next(Event::BodyPut(Ok(())));
    let step = again.next(Event::HeadRead(Ok(Some(record(0, "mine")))));
    assert_eq!(step, Step::Finish(Outcome::Accepted));
}

#[test]
fn an_outage_before_the_write_is_reported_as_unavailable() {
    let (mut submission, mut step) = Submission::new(record(0, "mine"));
    while step == Step::PutBody {
        step = submission.next(Event::BodyPut(Err(Effect::None)));
    }
    assert_eq!(step, Step::Finish(Outcome::Unavailable));
}

/// The store accepts the body, but every answer is lost. Reading the body back is enough to
/// continue; putting it again would end in "unavailable" although the platform works.
#[test]
fn a_body_whose_answer_is_lost_is_read_back() {
    let (mut submission, _) = Submission::new(record(0, "mine"));
    assert_eq!(
        submission.next(Event::BodyPut(Err(Effect::Unknown))),
        Step::ReadBody
    );
    assert_eq!(submission.next(Event::BodyRead(Ok(true))), Step::ReadHead);
}

/// A store whose writes may be refused, lose their answers, or take effect late.
#[derive(Debug, Default)]
struct Store {
    head: Option<Record>,
    records: BTreeMap<u64, Record>,
    bodies: Vec<Digest>,
    /// Writes whose sender has given up waiting, and which may still take effect.
    late: Vec<(Option<u64>, Record)>,
    down: bool,
}

impl Store {
    fn write(&mut self, tag: Option<u64>, record: &Record) -> bool {
        let current = self.head.as_ref().map(|head| head.version);
        let accepted = current == tag && !self.records.contains_key(&record.version);
        if accepted {
            assert!(
                self.bodies.contains(&record.digest),
                "a version without its body"
            );
            assert_eq!(
                record.version,
                current.unwrap_or(0) + 1,
                "a version number was skipped"
            );
            self.head = Some(record.clone());
            self.records.insert(record.version, record.clone());
        }
        accepted
    }

    fn apply_some_late(&mut self, random: &mut ChaCha8Rng) {
        for (tag, record) in std::mem::take(&mut self.late) {
            match random.random_ratio(1, 2) {
                true => drop(self.write(tag, &record)),
                false => self.late.push((tag, record)),
            }
        }
    }
}

struct Operator {
    submission: Submission,
    step: Step,
    tag: Option<u64>,
}

impl Operator {
    fn new(base: u64, id: String) -> Operator {
        let (submission, step) = Submission::new(record(base, &id));
        Operator {
            submission,
            step,
            tag: None,
        }
    }

    fn act(&mut self, store: &mut Store, random: &mut ChaCha8Rng) {
        if matches!(self.step, Step::Finish(_)) {
            return;
        }
        let event = self.event(store, random);
        self.step = self.submission.next(event);
    }

    fn event(&mut self, store: &mut Store, random: &mut ChaCha8Rng) -> Event {
        let record = self.submission.record().clone();
        let lost = random.random_ratio(1, 5);
        match self.step {
            Step::PutBody if store.down => Event::BodyPut(Err(Effect::None)),
            Step::PutBody if random.random_ratio(1, 5) => Event::BodyPut(Err(Effect::Unknown)),
            Step::PutBody => {
                store.bodies.push(record.digest);
                Event::BodyPut(answer(lost, ()))
            }
            Step::ReadBody if store.down || lost => Event::BodyRead(Err(Effect::None)),
            Step::ReadBody => Event::BodyRead(Ok(store.bodies.contains(&record.digest))),
            Step::ReadHead if store.down || lost => Event::HeadRead(Err(Effect::None)),
            Step::ReadHead => {
                self.tag = store.head.as_ref().map(|head| head.version);
                Event::HeadRead(Ok(store.head.clone()))
            }
            Step::ReadRecord if store.down || lost => Event::RecordRead(Err(Effect::None)),
            Step::ReadRecord => Event::RecordRead(Ok(store.records.get(&record.version).cloned())),
            Step::Write if store.down => Event::Written(Err(Effect::None)),
            Step::Write if random.random_ratio(1, 5) => {
                store.late.push((self.tag, record));
                Event::Written(Err(Effect::Unknown))
            }
            Step::Write => Event::Written(answer(lost, store.write(self.tag, &record))),
            Step::Finish(_) => unreachable!("finished operators do not act"),
        }
    }
}

fn answer<T>(lost: bool, answer: T) -> Result<T, Effect> {
    match lost {
        true => Err(Effect::Unknown),
        false => Ok(answer),
    }
}

/// Runs concurrent operators while the store loses answers, goes down and applies writes late.
/// The outcome that each operator gets must be true in the end.
fn run_schedule(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut operators: Vec<Operator> = Vec::new();
    for turn in 0..400 {
        if random.random_ratio(1, 20) {
            store.down = !store.down;
        }
        if random.random_ratio(1, 10) && operators.len() < 20 {
            let newest = store.head.as_ref().map_or(0, |head| head.version);
            let base = newest.saturating_sub(random.random_range(0..2));
            let again = random.random_ratio(1, 4) && !operators.is_empty();
            let operator = match again {
                true => {
                    let known = &operators[random.random_range(0..operators.len())];
                    let known = known.submission.record();
                    Operator::new(known.version - 1, known.submission.clone())
                }
                false => Operator::new(base, format!("{seed}-{turn}")),
            };
            operators.push(operator);
        }
        store.apply_some_late(&mut random);
        if !operators.is_empty() {
            let chosen = random.random_range(0..operators.len());
            operators[chosen].act(&mut store, &mut random);
        }
    }
    store.down = false;
    while !store.late.is_empty() {
        store.apply_some_late(&mut random);
    }
    for operator in &operators {
        check_outcome(operator, &operators, &store, seed);
    }
}

fn check_outcome(operator: &Operator, operators: &[Operator], store: &Store, seed: u64) {
    let record = operator.submission.record();
    let kept = store.records.get(&record.version);
    let mine = kept.is_some_and(|kept| kept.submission == record.submission);
    let attempts = operators.iter().map(|other| other.submission.record());
    let attempts = attempts.filter(|other| other.submission == record.submission);
    let only_attempt = attempts.count() == 1;
    match &operator.step {
        Step::Finish(Outcome::Accepted) => assert!(mine, "seed {seed}: accepted, but not kept"),
        Step::Finish(Outcome::Conflict(winner)) => {
            assert!(!mine, "seed {seed}: conflict of a submission with itself");
            assert_eq!(
                kept,
                Some(&**winner),
                "seed {seed}: conflict with the wrong winner"
            );
        }
        Step::Finish(Outcome::Unavailable) if only_attempt => {
            assert!(!mine, "seed {seed}: accepted, but reported as unavailable");
        }
        Step::Finish(Outcome::NoSuchBase { .. }) if only_attempt => {
            assert!(
                !mine,
                "seed {seed}: accepted, but its base was reported as missing"
            );
        }
        _ => {}
    }
}

#[test]
fn reported_outcomes_are_true() {
    let schedules = match std::env::var("FLAMINGOPOST_SCHEDULES") {
        Ok(count) => count.parse().expect("FLAMINGOPOST_SCHEDULES is a number"),
        Err(_) => 500,
    };
    for seed in 0..schedules {
        run_schedule(seed);
    }
}
