//! A session: requests one after the other, through whichever entry host it is at.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_postgres::Config;

use crate::arrival::Arrivals;
use crate::caller::Caller;
use crate::class::{Class, Kind, Protocol};
use crate::field::Field;
use crate::history::{Attempt, Operation, Seen};
use crate::outcome::{Outcome, POSITION_LOST, Refusal};
use crate::template::Fill;

/// Values of one session's registers and sequences never meet another's.
const SEQUENCES: i64 = 1_000_000;
/// The least pause before a request is submitted again.
const PAUSE: Duration = Duration::from_millis(5);
/// How far random numbers of sessions stay apart from those of arrivals.
const CHOICES: u64 = 0x5e55_1015;

/// What a session has of one service.
#[derive(Debug, Default)]
struct Link {
    caller: Option<Caller>,
    position: Option<String>,
}

/// A session and what it knows.
#[derive(Debug)]
pub struct Session {
    field: Arc<Field>,
    number: u32,
    random: ChaCha8Rng,
    target: usize,
    links: BTreeMap<String, Link>,
    sequence: i64,
    operations: Vec<Operation>,
}

impl Session {
    /// Session `number` of `field`.
    pub fn new(field: Arc<Field>, number: u32) -> Session {
        let mut random = ChaCha8Rng::seed_from_u64(field.plan.seed ^ CHOICES);
        random.set_stream(u64::from(number));
        Session {
            target: field.first_target(number),
            field,
            number,
            random,
            links: BTreeMap::new(),
            sequence: 0,
            operations: Vec::new(),
        }
    }

    /// Makes every request when it is due, and returns what became of them.
    pub async fn run(mut self) -> Vec<Operation> {
        let plan = &self.field.plan;
        let rate = plan.rate / f64::from(plan.sessions.max(1));
        let end = plan.warm_up + plan.duration;
        for due in Arrivals::new(plan.seed, self.number, rate, end) {
            tokio::time::sleep_until((self.field.start + due).into()).await;
            let class = self.choose();
            self.operate(due, class).await;
        }
        self.operations
    }

    fn choose(&mut self) -> usize {
        let classes = &self.field.plan.classes;
        let total: u32 = classes.iter().map(|class| class.share).sum();
        let mut draw = self.random.random_range(0..total.max(1));
        for (index, class) in classes.iter().enumerate() {
            if draw < class.share {
                return index;
            }
            draw -= class.share;
        }
        classes.len() - 1
    }

    async fn operate(&mut self, due: Duration, class: usize) {
        let field = Arc::clone(&self.field);
        let class = &field.plan.classes[class];
        self.sequence += 1;
        let mut fill = self.fill();
        let mut operation = self.operation(due, class, &fill);
        let deadline = field.start + due + class.deadline;
        if class.kind == Kind::Transaction {
            field.recent.push(&fill.key);
        }
        if self.random.random_bool(field.roam()) {
            self.move_on();
        }
        while (operation.attempts.len() as u32) < class.attempts.max(1) {
            if Instant::now() >= deadline {
                break;
            }
            fill.token = format!("{}.{}", fill.key, operation.attempts.len());
            let (attempt, refusal) = self.attempt(class, &fill, deadline).await;
            operation.attempts.push(attempt);
            match refusal {
                None => break,
                Some(refusal) if !repeats(class, &refusal) => break,
                Some(refusal) => self.pause(&refusal, deadline).await,
            }
        }
        let ended = field.micros();
        operation.start_us = operation.attempts.first().map_or(ended, |one| one.start_us);
        operation.end_us = operation.attempts.last().map_or(ended, |one| one.end_us);
        field.progress.note(&operation);
        self.operations.push(operation);
    }

    fn fill(&mut self) -> Fill {
        let field = &self.field;
        let session = format!("{}-{}", field.run, self.number);
        let key = format!("{session}-{}", self.sequence);
        let registers = field.plan.registers.max(1);
        let register = self.random.random_range(0..registers) as i64;
        Fill {
            pair: field.recent.pick(self.random.random()),
            token: String::new(),
            key,
            session,
            run: field.run.clone(),
            sequence: self.sequence,
            register: field.first_register + register,
            value: i64::from(self.number) * SEQUENCES + self.sequence,
            random: self.random.random(),
        }
    }

    fn operation(&self, due: Duration, class: &Class, fill: &Fill) -> Operation {
        let register = matches!(class.kind, Kind::RegisterRead | Kind::RegisterWrite);
        let write = class.kind == Kind::RegisterWrite;
        Operation {
            session: self.number,
            sequence: self.sequence,
            service: self.field.service(class),
            class: class.name.clone(),
            kind: class.kind,
            key: fill.key.clone(),
            intended_us: due.as_micros() as i64,
            start_us: 0,
            end_us: 0,
            deadline_us: class.deadline.as_micros() as i64,
            attempts: Vec::new(),
            sees: class.sees.clone(),
            register: register.then_some(fill.register),
            value: write.then_some(fill.value),
        }
    }

    async fn attempt(
        &mut self,
        class: &Class,
        fill: &Fill,
        deadline: Instant,
    ) -> (Attempt, Option<Refusal>) {
        let start_us = self.field.micros();
        let give_up = deadline + self.field.plan.patience;
        let service = self.field.service(class);
        let config = self.field.config(self.target, class);
        let link = self.links.entry(service).or_default();
        let result = link.submit(&config, class, fill, give_up).await;
        link.learn_position(&result);
        let position = link.position.clone();
        let (outcome, state, seen) = match &result {
            Ok(seen) => (Outcome::Done, None, seen.clone()),
            Err(refusal) => (
                refusal.outcome,
                Some(refusal.state.clone()),
                Seen::default(),
            ),
        };
        let attempt = Attempt {
            target: self.target,
            start_us,
            end_us: self.field.micros(),
            token: fill.token.clone(),
            outcome,
            state,
            position,
            seen,
        };
        (attempt, result.err())
    }

    /// Waits as long as the answer says; what was not answered goes to another entry host.
    async fn pause(&mut self, refusal: &Refusal, deadline: Instant) {
        if refusal.fatal || refusal.outcome == Outcome::Unknown || self.field.naive {
            self.move_on();
        }
        let wait = refusal.retry_after.unwrap_or(PAUSE).max(PAUSE);
        tokio::time::sleep_until((Instant::now() + wait).min(deadline).into()).await;
    }

    fn move_on(&mut self) {
        let targets = self.field.targets.len();
        if targets > 1 {
            self.target = (self.target + self.random.random_range(1..targets)) % targets;
            for link in self.links.values_mut() {
                link.caller = None;
            }
        }
    }
}

impl Link {
    async fn submit(
        &mut self,
        config: &Config,
        class: &Class,
        fill: &Fill,
        give_up: Instant,
    ) -> Result<Seen, Refusal> {
        let mut caller = self.caller(config, give_up).await?;
        let work = perform(&mut caller, class, fill);
        match tokio::time::timeout_at(give_up.into(), work).await {
            Ok(Ok(seen)) => {
                self.caller = Some(caller);
                Ok(seen)
            }
            Ok(Err(refusal)) => {
                if !refusal.fatal {
                    self.caller = Some(caller);
                }
                Err(refusal)
            }
            Err(_) => Err(Refusal::unanswered(Outcome::Unknown, "timeout")),
        }
    }

    async fn caller(&mut self, config: &Config, give_up: Instant) -> Result<Caller, Refusal> {
        if let Some(mut caller) = self.caller.take()
            && caller.usable().await
        {
            return Ok(caller);
        }
        let left = give_up.saturating_duration_since(Instant::now());
        let connect = Caller::connect(config, self.position.as_deref(), left);
        match tokio::time::timeout_at(give_up.into(), connect).await {
            Ok(Ok(caller)) => Ok(caller),
            Ok(Err(error)) => Err(Refusal::of_connect(&error)),
            Err(_) => Err(Refusal::unanswered(Outcome::NotRun, "connect")),
        }
    }

    /// Takes the position along as the entry host reports it. One that is reported as lost is
    /// dropped: the session has been told, and goes on without that write.
    fn learn_position(&mut self, result: &Result<Seen, Refusal>) {
        let reported = self
            .caller
            .as_ref()
            .and_then(Caller::position)
            .map(str::to_owned);
        let lost = matches!(result, Err(refusal) if refusal.state == POSITION_LOST);
        if lost && reported == self.position {
            self.position = None;
            self.caller = None;
        } else if reported.is_some() {
            self.position = reported;
        }
    }
}

/// Whether another submission is safe: reads always, writes when they did not run, and a single
/// write, whose key is stored together with its effect, also when nobody knows.
fn repeats(class: &Class, refusal: &Refusal) -> bool {
    match refusal.outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => !class.kind.writes() || class.kind == Kind::Write,
        Outcome::Done | Outcome::Failed => false,
    }
}

async fn perform(caller: &mut Caller, class: &Class, fill: &Fill) -> Result<Seen, Refusal> {
    if class.transaction {
        return transact(caller, class, fill).await;
    }
    send(caller, class, 0, fill).await
}

async fn send(
    caller: &mut Caller,
    class: &Class,
    statement: usize,
    fill: &Fill,
) -> Result<Seen, Refusal> {
    let template = &class.statements[statement];
    let result = match class.protocol {
        Protocol::Simple => caller.text(template, fill).await,
        Protocol::Prepared => caller.prepared(template, fill).await,
    };
    result.map_err(|error| Refusal::of_statement(&error))
}

/// Runs the statements as one transaction.
///
/// Until COMMIT is on the wire nothing can have taken effect, whatever broke: the caller never
/// asked for it. An entry host that commits all the same makes a false "not run".
async fn transact(caller: &mut Caller, class: &Class, fill: &Fill) -> Result<Seen, Refusal> {
    let seen = match before_commit(caller, class, fill).await {
        Ok(seen) => seen,
        Err(mut refusal) => {
            if refusal.outcome == Outcome::Unknown {
                refusal.outcome = Outcome::NotRun;
            }
            if !refusal.fatal && caller.simple("ROLLBACK").await.is_err() {
                refusal.fatal = true;
            }
            return Err(refusal);
        }
    };
    match caller.simple("COMMIT").await {
        Ok(_) => Ok(seen),
        Err(error) => Err(Refusal::of_statement(&error)),
    }
}

async fn before_commit(caller: &mut Caller, class: &Class, fill: &Fill) -> Result<Seen, Refusal> {
    let begun = caller.simple("BEGIN").await;
    begun.map_err(|error| Refusal::of_statement(&error))?;
    let mut seen = Seen::default();
    for statement in 0..class.statements.len() {
        seen = send(caller, class, statement, fill).await?;
    }
    Ok(seen)
}
