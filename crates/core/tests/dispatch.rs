//! Which pooled connection runs a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use flamingopost_core::dispatch::{
    Dispatch, Failure, Hold, Need, Next, Server, Standing, Ticket, Unserved,
};
use flamingopost_core::key::ServerKey;
use flamingopost_core::names::Names;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn position(term: i64, log: u64) -> Position {
    Position {
        term: Term::from_number(term),
        log,
    }
}

fn keys() -> [ServerKey; 3] {
    let mut names: Names<ServerKey> = Names::default();
    ["ledger-1", "ledger-2", "ledger-3"].map(|name| names.intern(name))
}

fn ticket(id: u64, need: Need, arrived: Duration) -> Ticket {
    Ticket {
        id,
        need,
        priority: 1,
        long: false,
        arrived,
        goal: arrived + ms(100),
        deadline: arrived + ms(800),
        avoid: None,
    }
}

fn after(log: u64, at: Duration) -> Need {
    Need::Position {
        position: position(1, log),
        at,
    }
}

/// A primary and two replicas, the first of them in this host's zone, with one idle connection to
/// each.
fn dispatch(now: Duration) -> (Dispatch, [ServerKey; 3]) {
    let keys = keys();
    let mut dispatch = Dispatch::default();
    for (index, key) in keys.into_iter().enumerate() {
        dispatch.insert(key, Server::new(index == 1, 2, 1, 2, 4));
    }
    dispatch.lead(Some(keys[0]));
    assert_eq!(
        dispatch.tick(now).len(),
        3,
        "one connection each is opened ahead"
    );
    for (index, key) in keys.into_iter().enumerate() {
        dispatch.opened(key, index as u64 + 1, now);
    }
    (dispatch, keys)
}

fn lent(next: &[Next]) -> Option<ServerKey> {
    next.iter().find_map(|next| match next {
        Next::Lend { server, .. } => Some(*server),
        _ => None,
    })
}

/// A lot view accepts data of a second ago. The replica next door has them; asking the primary in
/// another zone would cost a slot that bids need, and bytes between zones.
#[test]
fn a_read_goes_to_the_replica_next_door() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    for key in &keys[1..] {
        let server = dispatch.server_mut(*key).unwrap();
        server.saw(position(1, 50), None, now);
    }
    let next = dispatch.arrive(ticket(1, after(40, now - ms(900)), now), now);
    assert_eq!(lent(&next), Some(keys[1]));
}

/// Right after a promotion a read asks for the start of the new term, and servers take every log
/// to contain that, also one that is still far behind in the old term. The buyer would see a lot
/// as open that was sold seconds ago. Only servers that have shown the new term may answer.
#[test]
fn the_start_of_a_term_is_only_read_where_it_was_shown() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let behind = dispatch.server_mut(keys[1]).unwrap();
    behind.saw(position(1, 105), None, now - ms(900));
    let start = Need::Position {
        position: position(2, 0),
        at: now - ms(2_000),
    };
    let next = dispatch.arrive(ticket(1, start, now), now);
    assert_eq!(
        lent(&next),
        Some(keys[0]),
        "only the primary is sure to be there"
    );
    let there = dispatch.server_mut(keys[1]).unwrap();
    there.saw(position(2, 0), None, now);
    let next = dispatch.arrive(ticket(2, start, now), now);
    assert_eq!(lent(&next), Some(keys[1]));
}

/// A replica lags by seconds. Each read that it refuses costs a round trip, so after the first it
/// is left alone for a while, also by reads that ask for something slightly older.
#[test]
fn a_replica_that_refused_for_lag_is_left_alone() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    dispatch.lagged(keys[1], now - ms(1_500), now);
    dispatch.lagged(keys[2], now - ms(1_500), now);
    let soon = now + ms(30);
    let next = dispatch.arrive(ticket(1, after(40, now - ms(1_510)), soon), soon);
    assert_eq!(lent(&next), Some(keys[0]));
}

/// A queue has once grown past the goal. Served by age alone, everybody after that would be late
/// for as long as the load lasts; those that can still be in time go first.
#[test]
fn requests_in_time_go_before_late_ones() {
    let start = ms(5_000);
    let (mut dispatch, keys) = dispatch(start);
    let next = dispatch.arrive(ticket(1, Need::Lead, start), start);
    assert_eq!(lent(&next), Some(keys[0]));
    let more = dispatch.arrive(ticket(2, Need::Lead, start), start);
    assert_eq!(lent(&more), None);
    let later = start + ms(150);
    dispatch.arrive(ticket(3, Need::Lead, later), later);
    let next = dispatch.returned(keys[0], 1, later);
    let first = next.iter().find_map(|next| match next {
        Next::Lend { ticket, .. } => Some(*ticket),
        _ => None,
    });
    assert_eq!(first, Some(3));
}

/// A primary got a sixth more work than it bears. Served by age, each bid waited until just before
/// its goal and was answered just after it: half of them were late although the primary could have
/// answered four in five in time. Served by the newest, those are.
#[test]
fn too_much_work_makes_a_few_requests_late_and_not_all() {
    let now = ms(1_000);
    let (mut dispatch, keys) = dispatch(now);
    let (mut running, mut in_time, mut asked) = (Vec::new(), 0, 0);
    for tick in 0..2_000 {
        let now = now + ms(tick);
        // One connection, 10 ms a request, one request each 8 ms, a goal of 100 ms.
        let mut next = Vec::new();
        if tick % 8 == 0 {
            asked += 1;
            next.extend(dispatch.arrive(ticket(tick, Need::Lead, now), now));
        }
        if let Some((connection, until)) = running.pop() {
            match now >= until {
                true => next.extend(dispatch.returned(keys[0], connection, now)),
                false => running.push((connection, until)),
            }
        }
        for next in next {
            if let Next::Lend {
                ticket, connection, ..
            } = next
            {
                running.push((connection, now + ms(10)));
                let arrived = ms(1_000) + ms(ticket);
                in_time += u32::from(now + ms(10) <= arrived + ms(100));
            }
        }
    }
    assert!(in_time * 100 > asked * 70, "{in_time} of {asked} in time");
}

/// A clerk's settlement waits for a primary that nobody replaces. It is told in time that nothing
/// has run, with the reason.
#[test]
fn a_request_that_cannot_be_served_is_refused_at_its_deadline() {
    let now = ms(5_000);
    let (mut dispatch, _) = dispatch(now);
    dispatch.lead(None);
    assert_eq!(dispatch.arrive(ticket(1, Need::Lead, now), now), []);
    let refused = Next::Refuse {
        ticket: 1,
        why: Unserved::NoPrimary,
    };
    assert!(dispatch.tick(now + ms(800)).contains(&refused));
}

/// A primary is being replaced. What it still acknowledges may be missing at its successor, so
/// writes wait until the successor leads, or go on when none shows.
#[test]
fn writes_wait_while_their_primary_is_replaced() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    dispatch.hold(Hold {
        from: now,
        until: now + ms(300),
    });
    assert_eq!(dispatch.arrive(ticket(1, Need::Lead, now), now), []);
    dispatch.lead(Some(keys[1]));
    assert_eq!(lent(&dispatch.tick(now + ms(10))), Some(keys[1]));
}

/// Three hosts hold twelve of a server's sixteen connections; a fourth has one and a queue of a
/// hundred. Once it has asked, the others keep to their part.
#[test]
fn a_host_keeps_to_its_part_when_another_lacks_connections() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let leader = keys[0];
    for connection in 10..13 {
        dispatch.opened(leader, connection, now);
    }
    assert_eq!(dispatch.servers()[&leader].connections(), 4);
    dispatch.server_mut(leader).unwrap().squeeze(now);
    let closed = dispatch.tick(now);
    let closed = closed
        .iter()
        .filter(|next| matches!(next, Next::Close { .. }));
    assert_eq!(closed.count(), 2);
    assert_eq!(dispatch.servers()[&leader].connections(), 2);
}

/// All hosts come back from a loss of power and connect at once; one finds the server at its
/// limit four times. Counting the attempts that were still under way it took itself to have its
/// part, asked nobody, and served nothing for a second.
#[test]
fn a_host_without_connections_is_short_of_them() {
    let now = ms(5_000);
    let leader = keys()[0];
    let mut dispatch = Dispatch::default();
    dispatch.insert(leader, Server::new(true, 2, 1, 2, 4));
    dispatch.lead(Some(leader));
    for id in 1..=2 {
        dispatch.arrive(ticket(id, Need::Lead, now), now);
    }
    assert_eq!(dispatch.servers()[&leader].connections(), 2);
    assert!(dispatch.servers()[&leader].is_short());
}

/// A server refuses because its queue is full. Sent again at once, the refused requests keep the
/// queue full and nothing else gets through: the window narrows, and widens with answers.
#[test]
fn a_full_queue_narrows_what_runs_at_once() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let leader = keys[0];
    dispatch.opened(leader, 10, now);
    dispatch.refused(leader, now);
    assert!(lent(&dispatch.arrive(ticket(1, Need::Lead, now), now)).is_some());
    assert_eq!(
        lent(&dispatch.arrive(ticket(2, Need::Lead, now), now)),
        None
    );
    let server = dispatch.server_mut(leader).unwrap();
    (0..200).for_each(|_| server.took(ms(15), now));
    assert!(lent(&dispatch.tick(now + ms(50))).is_some());
}

/// Replicas fell behind for six seconds, and the primary's queue filled up. Hosts whose window had
/// become narrow opened further connections for the requests that waited for the window. Each took
/// a slot for 27 ms, and closed again soon after: the primary did little else for the rest of the
/// day, and one request in eight of its service was refused.
#[test]
fn a_narrow_window_opens_no_connections() {
    let now = ms(1_000);
    let (mut dispatch, keys) = dispatch(now);
    dispatch.arrive(ticket(1, Need::Lead, now), now);
    dispatch.refused(keys[0], now);
    for id in 2..6 {
        let next = dispatch.arrive(ticket(id, Need::Lead, now), now);
        assert_eq!(next, [], "the window is full, not the connections");
    }
    let next = dispatch.returned(keys[0], 1, now);
    assert_eq!(lent(&next), Some(keys[0]), "the next one runs");
}

/// Both replicas of a service were behind for half a minute, and its primary got a sixth more work
/// than it has slots for. Its long queue never overflowed, so nothing told hosts to send less: every
/// request waited there for most of its goal, and three in five were answered late. Hosts that see
/// requests take several times as long as before send less, and the queue stays with them.
#[test]
fn a_growing_queue_narrows_what_runs_at_once() {
    let (mut dispatch, keys) = dispatch(ms(0));
    let mut now = ms(0);
    let mut answer = |dispatch: &mut Dispatch, took: u64, count: u64| {
        for _ in 0..count {
            now += ms(10);
            let server = dispatch.server_mut(keys[0]).expect("it is known");
            server.took(ms(took), now);
        }
        window(dispatch, keys[0], now)
    };
    let calm = answer(&mut dispatch, 20, 400);
    assert_eq!(calm, 4, "as many as the host may have connections");
    let crowded = answer(&mut dispatch, 200, 400);
    assert_eq!(crowded, 1);
    let calm = answer(&mut dispatch, 20, 400);
    assert_eq!(calm, 4, "it widens again");
}

/// How many requests run at `server` at once, of as many as the host has connections for.
fn window(dispatch: &mut Dispatch, server: ServerKey, now: Duration) -> usize {
    for connection in 100..103 {
        dispatch.opened(server, connection, now);
    }
    let mut running = Vec::new();
    for id in 1_000..1_004 {
        for next in dispatch.arrive(ticket(id, Need::Lead, now), now) {
            if let Next::Lend { connection, .. } = next {
                running.push(connection);
            }
        }
    }
    let count = running.len();
    for id in 1_000..1_004 {
        dispatch.cancel(id);
    }
    for connection in running {
        dispatch.returned(server, connection, now);
    }
    for connection in 100..103 {
        dispatch.ended(server, connection);
    }
    count
}

/// A caller thinks inside its transaction. Its connection takes no slot meanwhile, so another
/// request may run beside it.
#[test]
fn a_resting_transaction_leaves_room() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let leader = keys[0];
    dispatch.refused(leader, now);
    assert!(lent(&dispatch.arrive(ticket(1, Need::Lead, now), now)).is_some());
    dispatch.opened(leader, 10, now);
    assert_eq!(
        lent(&dispatch.arrive(ticket(2, Need::Lead, now), now)),
        None
    );
    assert_eq!(lent(&dispatch.rest(leader, true, now)), Some(leader));
}

/// Clerks open transactions and think inside them until every connection is kept. Single bids then
/// waited for seconds while the server's slots were idle; one connection stays for them.
#[test]
fn transactions_leave_a_connection_for_single_statements() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    let leader = keys[0];
    for connection in 10..13 {
        dispatch.opened(leader, connection, now);
    }
    for id in 1..=4 {
        let mut transaction = ticket(id, Need::Lead, now);
        transaction.long = true;
        let next = dispatch.arrive(transaction, now);
        assert_eq!(lent(&next).is_some(), id < 4, "transaction {id}");
        dispatch.rest(leader, true, now);
    }
    let next = dispatch.arrive(ticket(5, Need::Lead, now), now);
    assert_eq!(lent(&next), Some(leader));
    dispatch.ended_long(leader);
    assert_eq!(lent(&dispatch.returned(leader, 10, now)), Some(leader));
}

/// A server that is leaving gets no reads, and its idle connections close; as primary it takes
/// writes until another one leads, since nobody else can.
#[test]
fn a_leaving_server_gets_only_what_nobody_else_can_take() {
    let now = ms(5_000);
    let (mut dispatch, keys) = dispatch(now);
    for key in [keys[0], keys[1]] {
        let mut leaving = Server::new(true, 2, 1, 2, 4);
        leaving.standing = Standing::Leaving;
        dispatch.insert(key, leaving);
    }
    let read = dispatch.arrive(ticket(1, after(1, ms(0)), now), now);
    assert_eq!(lent(&read), Some(keys[2]));
    let write = dispatch.arrive(ticket(2, Need::Lead, now), now);
    assert_eq!(lent(&write), Some(keys[0]));
}

/// Random callers, servers and failures. Whatever happens: a connection serves one request at a
/// time, no host has more connections than it may, no request is lost or answered twice, and what
/// needs the primary runs nowhere else.
#[test]
fn random_runs_keep_every_connection_to_one_request() {
    for seed in 0..400 {
        Run::new(seed).play();
    }
}

struct Run {
    seed: u64,
    rng: ChaCha8Rng,
    dispatch: Dispatch,
    keys: [ServerKey; 3],
    now: Duration,
    opening: Vec<ServerKey>,
    /// Connections that exist, and the ticket that each serves.
    connections: BTreeMap<u64, (ServerKey, Option<u64>)>,
    waiting: BTreeMap<u64, Need>,
    done: BTreeSet<u64>,
    next_id: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let keys = keys();
        let mut dispatch = Dispatch::default();
        for (index, key) in keys.into_iter().enumerate() {
            dispatch.insert(key, Server::new(index == 0, 2, 1, 2, 4));
        }
        Run {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            dispatch,
            keys,
            now: ms(1_000),
            opening: Vec::new(),
            connections: BTreeMap::new(),
            waiting: BTreeMap::new(),
            done: BTreeSet::new(),
            next_id: 0,
        }
    }

    fn play(&mut self) {
        for _ in 0..600 {
            self.now += ms(self.rng.random_range(0..25));
            let next = self.step();
            self.apply(next);
        }
        // Everything that still waits is refused in the end.
        self.now += ms(2_000);
        let next = self.dispatch.tick(self.now);
        self.apply(next);
        assert!(
            self.waiting.is_empty(),
            "seed {}: {:?}",
            self.seed,
            self.waiting
        );
    }

    fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn step(&mut self) -> Vec<Next> {
        let key = self.keys[self.rng.random_range(0..3)];
        match self.rng.random_range(0..12) {
            0..=3 => self.arrive(),
            4 | 5 => self.answer_connect(),
            6 | 7 => self.finish(),
            8 => {
                let leader = self.rng.random_bool(0.8).then_some(key);
                self.dispatch.lead(leader);
                self.dispatch.tick(self.now)
            }
            9 => {
                let server = self.dispatch.server_mut(key).unwrap();
                server.saw(position(1, self.rng.random_range(0..60)), None, self.now);
                Vec::new()
            }
            10 => {
                self.dispatch.refused(key, self.now);
                self.dispatch.server_mut(key).unwrap().squeeze(self.now);
                Vec::new()
            }
            _ => self.dispatch.tick(self.now),
        }
    }

    fn arrive(&mut self) -> Vec<Next> {
        let id = self.id();
        let need = match self.rng.random_bool(0.5) {
            true => Need::Lead,
            false => after(self.rng.random_range(1..60), self.now - ms(500)),
        };
        self.waiting.insert(id, need);
        self.dispatch.arrive(ticket(id, need, self.now), self.now)
    }

    fn answer_connect(&mut self) -> Vec<Next> {
        let Some(key) = self.opening.pop() else {
            return Vec::new();
        };
        match self.rng.random_range(0..4) {
            0 => self.dispatch.failed(key, Failure::Full, self.now),
            1 => self.dispatch.failed(key, Failure::Unreachable, self.now),
            _ => {
                let connection = self.id();
                self.connections.insert(connection, (key, None));
                self.dispatch.opened(key, connection, self.now)
            }
        }
    }

    fn finish(&mut self) -> Vec<Next> {
        let busy = self
            .connections
            .iter()
            .find(|(_, (_, ticket))| ticket.is_some());
        let Some((connection, (key, _))) = busy.map(|(id, of)| (*id, *of)) else {
            return Vec::new();
        };
        if self.rng.random_bool(0.2) {
            self.connections.remove(&connection);
            return self.dispatch.lost(key, self.now);
        }
        self.connections.insert(connection, (key, None));
        self.dispatch.returned(key, connection, self.now)
    }

    fn apply(&mut self, next: Vec<Next>) {
        for next in next {
            match next {
                Next::Lend {
                    ticket,
                    server,
                    connection,
                } => {
                    let need = self
                        .waiting
                        .remove(&ticket)
                        .expect("lent to one that waits");
                    assert!(self.done.insert(ticket), "seed {}: served twice", self.seed);
                    if need == Need::Lead {
                        assert_eq!(self.dispatch.leader(), Some(server), "seed {}", self.seed);
                    }
                    let of = self.connections.get_mut(&connection).expect("it exists");
                    assert_eq!(*of, (server, None), "seed {}: one request each", self.seed);
                    of.1 = Some(ticket);
                }
                Next::Open { server } => self.opening.push(server),
                Next::Close { connection, .. } => {
                    let closed = self.connections.remove(&connection);
                    let idle = closed.is_some_and(|(_, ticket)| ticket.is_none());
                    assert!(idle, "seed {}: only idle ones close", self.seed);
                }
                Next::Refuse { ticket, .. } => {
                    assert!(self.waiting.remove(&ticket).is_some(), "seed {}", self.seed);
                }
            }
        }
        for key in self.keys {
            let open = self
                .connections
                .values()
                .filter(|(of, _)| *of == key)
                .count();
            let opening = self.opening.iter().filter(|of| **of == key).count();
            assert!(open + opening <= 4, "seed {}: over the limit", self.seed);
        }
    }
}
