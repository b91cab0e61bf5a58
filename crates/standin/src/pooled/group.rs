//! One service's servers: their logs, their roles, and how a log gets from one to the next.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::log_event::{LogChange, LogEvent};
use super::rollback::Rollback;

/// A committed write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The term under which it was written.
    pub term: i64,
    /// Its number in the log, which goes on counting across terms.
    pub number: u64,
    /// The item.
    pub item: String,
    /// What it holds from then on.
    pub data: String,
    at: Instant,
}

impl Entry {
    /// Write `number` of `term`, made now.
    pub fn new(term: i64, number: u64, item: &str, data: &str) -> Entry {
        Entry {
            term,
            number,
            item: item.to_owned(),
            data: data.to_owned(),
            at: Instant::now(),
        }
    }
}

/// A statement that a server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The server.
    pub server: String,
    /// The caller's identifier.
    pub id: String,
    /// The text.
    pub text: String,
    /// The connection that it came on, unique among all servers of a group.
    pub connection: u64,
    /// In whose name that connection was opened.
    pub client: String,
    /// When it ran.
    pub at: Instant,
    /// What was answered to prove that it ran.
    pub proof: String,
}

/// What a primary does when another server has been promoted.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Replaced {
    /// It follows its successor from that moment on.
    #[default]
    Follows,
    /// It goes on leading its own term until it is told to step down, or [`NOTICES`] after it can
    /// reach its successor.
    LeadsOn,
}

/// How long after its successor leads, and can be reached, a primary notices it.
pub const NOTICES: Duration = Duration::from_secs(1);

/// The term of a group's first primary.
const FIRST_TERM: i64 = 1;

/// How a server stands.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub leads: bool,
    pub term: i64,
    pub log: Vec<Entry>,
    pub running: bool,
    pub leaving: bool,
    /// Nothing from the primary reaches it.
    pub deaf: bool,
    /// It started again without its log and has received none since.
    pub blank: bool,
    /// When it last did.
    pub forgot: Option<Instant>,
    /// When an order for it was last accepted.
    pub ordered: Option<Instant>,
    /// What it had before that.
    pub forgotten: Vec<Entry>,
}

/// A service's servers.
#[derive(Debug)]
pub struct Group {
    /// The service.
    pub service: String,
    /// How far replicas are behind.
    pub lag: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    members: BTreeMap<String, Member>,
    runs: Vec<Run>,
    signatures: u64,
    connections: u64,
    rollbacks: Vec<Rollback>,
    replaced: Replaced,
    /// How long the next promotions take.
    promotion: Duration,
    /// Whether a commit is acknowledged only once a replica has received it.
    synchronous: bool,
    /// The newest term that a server was promoted to: terms only rise.
    term: i64,
    /// When a server was last promoted.
    promoted: Option<Instant>,
    strays: Vec<Entry>,
    /// The primary that has stepped down for a successor that does not lead yet.
    stepped: Option<String>,
    log_events: Vec<LogEvent>,
}

/// Why a server does not run a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refused {
    /// It does not lead.
    ReadOnly,
    /// Its log lacks the position.
    Lagging,
}

/// Whether a replica has received a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Receipt {
    /// None has yet.
    Pending,
    /// One has.
    Received,
    /// The primary has it no more, or does not run.
    Dropped,
}

impl Group {
    /// A group of which the first of `servers` leads.
    pub fn new(service: &str, servers: &[String], lag: Duration, promotion: Duration) -> Group {
        let member = |(index, id): (usize, &String)| {
            let member = Member {
                leads: index == 0,
                term: FIRST_TERM,
                log: Vec::new(),
                running: true,
                leaving: false,
                deaf: false,
                blank: false,
                forgot: None,
                ordered: None,
                forgotten: Vec::new(),
            };
            (id.clone(), member)
        };
        let state = State {
            members: servers.iter().enumerate().map(member).collect(),
            term: FIRST_TERM,
            promotion,
            ..State::default()
        };
        Group {
            service: service.to_owned(),
            lag,
            state: Mutex::new(state),
        }
    }

    /// Statements that servers ran for callers, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Who leads the newest term.
    pub fn leader(&self) -> Option<String> {
        self.lock().leader().map(|(id, _)| id.clone())
    }

    /// What is committed at the server that leads the newest term.
    pub fn log(&self) -> Vec<Entry> {
        let state = self.lock();
        let leader = state.leader();
        leader.map_or_else(Vec::new, |(_, member)| member.log.clone())
    }

    /// What a primary does from now on when another server is promoted.
    pub fn set_replaced(&self, replaced: Replaced) {
        self.lock().replaced = replaced;
    }

    /// How long promotions take that are ordered from now on.
    pub fn set_promotion(&self, promotion: Duration) {
        self.lock().promotion = promotion;
    }

    /// How long a promotion takes that is ordered now.
    pub fn promotion(&self) -> Duration {
        self.lock().promotion
    }

    /// Whether commits are acknowledged only once a replica has received them, from now on.
    pub fn set_synchronous(&self, synchronous: bool) {
        self.lock().synchronous = synchronous;
    }

    /// Writes that a primary committed after its successor had begun to lead.
    pub fn strays(&self) -> Vec<Entry> {
        self.lock().strays.clone()
    }

    /// Whether `server` leads some term, the newest one or one that is over.
    pub fn leads(&self, server: &str) -> bool {
        self.replicate();
        let state = self.lock();
        state.members.get(server).is_some_and(|it| it.leads)
    }

    /// `server` follows if it leads a term before `term`.
    pub fn step_down(&self, server: &str, term: i64) {
        // What was due before had been sent.
        self.replicate();
        let mut state = self.lock();
        let leads = state.leader().is_some_and(|(id, _)| id == server);
        let newest = state.stepped_down().map(|it| it.term);
        let Some(member) = state.members.get_mut(server) else {
            return;
        };
        if member.term >= term {
            return;
        }
        member.leads = false;
        // A replaced primary that leads on until after that is not the one whose log counts.
        if leads && newest.is_none_or(|newest| newest < member.term) {
            state.stepped = Some(server.to_owned());
        }
    }

    /// What became of the logs, in order.
    pub fn log_events(&self) -> Vec<LogEvent> {
        self.lock().log_events.clone()
    }

    /// An order for `server` was accepted.
    pub(super) fn ordered(&self, server: &str) {
        self.replicate();
        let mut state = self.lock();
        let Some(member) = state.members.get_mut(server) else {
            return;
        };
        member.ordered = Some(Instant::now());
        let had = member.log.len();
        state.note(LogChange::Ordered {
            server: server.to_owned(),
            had,
        });
    }

    /// Commits that promotions have rolled back.
    pub fn dropped(&self) -> Vec<Entry> {
        let state = self.lock();
        let entries = state.rollbacks.iter().map(|it| it.entry.clone());
        entries.collect()
    }

    /// The same, and when that was.
    pub fn rollbacks(&self) -> Vec<Rollback> {
        self.lock().rollbacks.clone()
    }

    /// From now on nothing from the primary reaches `server`, or all of it does again.
    pub fn set_deaf(&self, server: &str, deaf: bool) {
        self.replicate();
        if let Some(member) = self.lock().members.get_mut(server) {
            member.deaf = deaf;
        }
    }

    /// Makes `server` the primary of the next term, with what it has received. `false`: it does
    /// not run.
    pub fn promote(&self, server: &str) -> bool {
        self.replicate();
        let mut state = self.lock();
        let running = state.members.get(server).is_some_and(|it| it.running);
        if !running {
            return false;
        }
        state.term += 1;
        let term = state.term;
        let length = state.members[server].log.len();
        let kept = state.kept(server);
        let stepped = state.stepped_down();
        // A primary of a term before that leads on has lost its commits already.
        let leads = state.leader().map(|(_, leader)| leader);
        let old = leads.into_iter().chain(stepped).max_by_key(|it| it.term);
        let dropped =
            old.map(|old| state.rolled_back(old.before(), kept, &state.members[server].log));
        let dropped = dropped.unwrap_or_default();
        state.note(LogChange::Promoted {
            server: server.to_owned(),
            term,
            kept: length,
            dropped: dropped.len(),
        });
        state.roll_back(dropped, server);
        state.stepped = None;
        state.promoted = Some(Instant::now());
        let leads_on = state.replaced == Replaced::LeadsOn;
        for (id, member) in &mut state.members {
            if leads_on && member.leads && id != server {
                continue;
            }
            member.leads = id == server;
            // The others have received nothing by that.
            member.blank &= !member.leads;
            if member.leads || !member.deaf {
                member.term = term;
            }
            if !member.deaf {
                member.log.truncate(length);
            }
        }
        true
    }

    pub(super) fn member(&self, server: &str) -> Option<Member> {
        self.replicate();
        self.lock().members.get(server).cloned()
    }

    pub(super) fn set_running(&self, server: &str, running: bool) {
        // What was due before it stopped had been sent.
        self.replicate();
        if let Some(member) = self.lock().members.get_mut(server) {
            member.running = running;
        }
    }

    /// Whether another server runs and has received what the service holds, so that `server` may
    /// lose its log: one that hears nothing from the primary, or has lost its own, cannot stand in.
    pub fn can_spare(&self, server: &str) -> bool {
        self.replicate();
        let state = self.lock();
        let others = state.members.iter().filter(|(id, _)| *id != server);
        let mut others = others.map(|(_, member)| member);
        others.any(|it| it.running && !it.deaf && !it.blank)
    }

    /// A server that does not run loses its log.
    pub(super) fn forget(&self, server: &str) {
        let mut state = self.lock();
        let Some(member) = state.members.get_mut(server) else {
            return;
        };
        let had = member.log.len();
        if !member.blank {
            member.forgotten = std::mem::take(&mut member.log);
        }
        member.log.clear();
        member.blank = true;
        member.forgot = Some(Instant::now());
        state.note(LogChange::Forgot {
            server: server.to_owned(),
            had,
        });
    }

    pub(super) fn set_leaving(&self, server: &str, leaving: bool) {
        if let Some(member) = self.lock().members.get_mut(server) {
            member.leaving = leaving;
        }
    }

    /// A number for a new connection.
    pub(super) fn next_connection(&self) -> u64 {
        let mut state = self.lock();
        state.connections += 1;
        state.connections
    }

    /// Whether the log of `server` contains `position`. The start of a term, which no entry has,
    /// counts as contained in every log, as on the users' platform.
    pub(super) fn contains(&self, server: &str, term: i64, number: u64) -> Result<(), Refused> {
        let member = self.member(server).ok_or(Refused::Lagging)?;
        let last = member.log.last().map(|entry| (entry.term, entry.number));
        match number == 0 || last.is_some_and(|last| last >= (term, number)) {
            true => Ok(()),
            false => Err(Refused::Lagging),
        }
    }

    /// The value of `item` at `server`.
    pub(super) fn fetch(&self, server: &str, item: &str) -> String {
        let member = self.member(server);
        let log = member.map_or_else(Vec::new, |member| member.log);
        let last = log.iter().rev().find(|entry| entry.item == item);
        last.map_or_else(|| "-".to_owned(), |entry| entry.data.clone())
    }

    /// The last commit of `server`, if a replica has to receive it before it is acknowledged.
    pub(super) fn awaits_replica(&self, server: &str) -> Option<Entry> {
        let state = self.lock();
        let member = state.members.get(server).filter(|_| state.synchronous);
        member?.log.last().cloned()
    }

    /// What became of `entry`, which `server` has committed.
    pub(super) fn receipt(&self, server: &str, entry: &Entry) -> Receipt {
        self.replicate();
        let state = self.lock();
        let has = |member: &Member| member.running && member.log.contains(entry);
        if !state.members.get(server).is_some_and(has) {
            return Receipt::Dropped;
        }
        let mut others = state.members.iter().filter(|(id, _)| *id != server);
        match others.any(|(_, member)| has(member)) {
            true => Receipt::Received,
            false => Receipt::Pending,
        }
    }

    /// Commits `writes` at `server`, if it leads.
    pub(super) fn commit(&self, server: &str, writes: &[(String, String)]) -> Result<(), Refused> {
        let mut state = self.lock();
        let newest = state.leader().map(|(_, leader)| leader.term);
        let member = state.members.get_mut(server).ok_or(Refused::ReadOnly)?;
        if writes.is_empty() {
            return Ok(());
        }
        if !member.leads {
            return Err(Refused::ReadOnly);
        }
        let mut strays = Vec::new();
        for (item, data) in writes {
            let number = member.log.last().map_or(0, |entry| entry.number) + 1;
            let entry = Entry::new(member.term, number, item, data);
            if newest > Some(member.term) {
                strays.push(entry.clone());
            }
            member.log.push(entry);
        }
        state.strays.extend(strays);
        Ok(())
    }

    /// Notes that `server` ran a caller's statement, and returns what proves it.
    pub(super) fn ran(
        &self,
        server: &str,
        (connection, client): (u64, &str),
        id: &str,
        text: &str,
    ) -> String {
        let mut state = self.lock();
        state.signatures += 1;
        let proof = format!("{server}.{}", state.signatures);
        state.runs.push(Run {
            server: server.to_owned(),
            id: id.to_owned(),
            text: text.to_owned(),
            connection,
            client: client.to_owned(),
            at: Instant::now(),
            proof: proof.clone(),
        });
        proof
    }

    /// Brings replicas up to what their lag allows.
    fn replicate(&self) {
        let mut state = self.lock();
        // One that lost its log goes on as the primary of its term, with nothing in it; no replica
        // gives up its own log for that.
        let followed = |it: &Member| it.leads && it.running && !it.blank;
        let Some((_, primary)) = state.leader().filter(|(_, it)| followed(it)) else {
            return;
        };
        let (log, term) = (primary.log.clone(), primary.term);
        let noticed = state.promoted.is_some_and(|at| at.elapsed() >= NOTICES);
        for member in state.members.values_mut() {
            if noticed && member.running && !member.deaf && member.term < term {
                member.leads = false;
            }
            if member.leads || member.deaf || !member.running {
                continue;
            }
            // A replica follows no primary of a term before its own: it would give up what it has
            // received since for a log that ends earlier.
            if member.term > term {
                continue;
            }
            member.term = term;
            member.blank = false;
            let due = log
                .iter()
                .take_while(|entry| entry.at.elapsed() >= self.lag);
            let due = due.count();
            // What it has stays, unless the primary's log went another way.
            let kept = match log.starts_with(&member.log) {
                true => member.log.len(),
                false => 0,
            };
            member.log = log[..due.max(kept)].to_vec();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn note(&mut self, what: LogChange) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = since.map_or(0, |since| since.as_millis());
        self.log_events.push(LogEvent { at, what });
    }

    /// The server that leads the newest term.
    fn leader(&self) -> Option<(&String, &Member)> {
        let leading = self.members.iter().filter(|(_, member)| member.leads);
        leading.max_by_key(|(_, member)| member.term)
    }

    /// The promotion of `server` rolls `dropped` back, and brings back what it has of those before.
    fn roll_back(&mut self, dropped: Vec<Entry>, server: &str) {
        let log = &self.members[server].log;
        self.rollbacks.iter_mut().for_each(|it| it.promoted(log));
        let dropped = dropped.into_iter().map(Rollback::new);
        self.rollbacks.extend(dropped);
    }

    /// The primary of the newest term, where it has stepped down and no successor leads yet.
    fn stepped_down(&self) -> Option<&Member> {
        self.members.get(self.stepped.as_ref()?)
    }

    /// What a promotion of the server with log `chosen` rolls back of the old primary's log `before`, of
    /// which it has to keep the first `kept` entries: those after that, and those in whose place the
    /// chosen one wrote others, where no server has them any more.
    fn rolled_back(&self, before: &[Entry], kept: usize, chosen: &[Entry]) -> Vec<Entry> {
        let is_lost = |entry: &Entry| !self.members.values().any(|it| it.log.contains(entry));
        let replaced = before.iter().zip(chosen).filter(|(had, has)| had != has);
        let replaced = replaced.map(|(had, _)| had).filter(|had| is_lost(had));
        let after = before.get(kept..).unwrap_or_default();
        replaced.chain(after).cloned().collect()
    }

    /// How much of the old primary's log a promotion of `server` has to keep. What a server lost
    /// that started again without its log counts as rolled back only where no other one has it, or
    /// where it still had its log when it was ordered to lead: an order names no start of a server and
    /// cannot be called back, so nobody can keep it from rolling the others back.
    fn kept(&self, server: &str) -> usize {
        let chosen = &self.members[server];
        let lost_since = chosen.ordered.is_some() && chosen.forgot > chosen.ordered;
        if !chosen.blank || lost_since {
            return chosen.log.len();
        }
        let running = self.members.values().filter(|it| it.running && !it.leads);
        running.map(|it| it.log.len()).max().unwrap_or_default()
    }
}

impl Member {
    /// Its log, or the one that it lost.
    fn before(&self) -> &[Entry] {
        match self.blank {
            true => &self.forgotten,
            false => &self.log,
        }
    }

    /// The position up to which it has received the log: its last entry, also while it leads a term in
    /// which nothing was written yet.
    pub(super) fn received(&self) -> String {
        match self.log.last() {
            Some(last) => format!("{}.{}", last.term, last.number),
            None => format!("{}.0", self.term),
        }
    }

    /// The position of its data, as servers write it.
    pub(super) fn position(&self) -> String {
        match self.log.last() {
            Some(last) if !self.leads || last.term == self.term => {
                format!("{}.{}", last.term, last.number)
            }
            _ => format!("{}.0", self.term),
        }
    }
}
