//! The admission queue for one backend server.

use std::time::Duration;

use flamingopost_core::admission::ticket::Ticket;
use flamingopost_core::admission::{Admission, Completion, Gate};
use flamingopost_core::directory::Directory;
use flamingopost_core::key::{ClassKey, CustomerKey};
use flamingopost_core::refusal::{Ran, Refusal};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Scene {
    gate: Gate,
    bid: ClassKey,
    view: ClassKey,
    customer: CustomerKey,
    count: u64,
}

impl Scene {
    /// Returns a gate with one slot that has learnt that each request takes 10 ms.
    fn new() -> Scene {
        let mut names = Directory::default();
        let mut scene = Scene {
            gate: Gate::new(1),
            bid: names.classes.intern("bid"),
            view: names.classes.intern("view"),
            customer: names.customers.intern("tesfa"),
            count: 0,
        };
        scene.gate.set_connections(1, ms(0));
        for _ in 0..100 {
            for class in [scene.bid, scene.view] {
                scene.count += 1;
                scene.gate.start_now(scene.count, class, ms(0));
                scene.gate.finish(scene.count, Completion::Answered, ms(10));
            }
        }
        scene
    }

    /// Adds a request and returns its identifier with the decisions. Times are in milliseconds.
    fn arrive(&mut self, class: ClassKey, deadline: u64, now: u64) -> (u64, Vec<Admission>) {
        self.count += 1;
        let ticket = Ticket {
            id: self.count,
            class,
            weight: if class == self.bid { 10 } else { 1 },
            customer: self.customer,
            share: 1,
            deadline: ms(deadline),
        };
        (self.count, self.gate.arrive(ticket, ms(now)))
    }
}

/// Returns the refused requests, and asserts that they did not run and may be retried.
fn refused(decisions: &[Admission]) -> Vec<u64> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Admission::Refuse(id, refusal) => {
                assert_eq!(refusal.ran(), Ran::No);
                assert!(refusal.retry_after().is_some());
                Some(*id)
            }
            Admission::Start(_) => None,
        })
        .collect()
}

/// Start of the scenarios, in milliseconds.
const T0: u64 = 10_000;

#[test]
fn the_greatest_weight_goes_first_and_then_the_earliest_deadline() {
    let mut scene = Scene::new();
    let (bid, view) = (scene.bid, scene.view);
    let (running, decisions) = scene.arrive(view, T0 + 500, T0);
    assert_eq!(decisions, [Admission::Start(running)]);
    let (late_view, _) = scene.arrive(view, T0 + 500, T0);
    let (early_view, _) = scene.arrive(view, T0 + 400, T0);
    let (heavy, decisions) = scene.arrive(bid, T0 + 600, T0);
    assert_eq!(decisions, []);
    let mut order = Vec::new();
    let mut last = running;
    for step in 1..4 {
        let decisions = scene
            .gate
            .finish(last, Completion::Answered, ms(T0 + 10 * step));
        let [Admission::Start(id)] = decisions[..] else {
            panic!("{decisions:?}");
        };
        order.push(id);
        last = id;
    }
    assert_eq!(order, [heavy, early_view, late_view]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut scene = Scene::new();
    let view = scene.view;
    let (id, decisions) = scene.arrive(view, T0 + 5, T0);
    assert!(matches!(
        &decisions[..],
        [Admission::Refuse(of, Refusal::DeadlineTooShort { .. })] if *of == id
    ));
}

/// Five lot views wait and can just meet their deadlines, then a bid arrives. The lot view that can
/// no longer be served is refused at once and not at its deadline.
#[test]
fn a_heavy_request_displaces_a_light_one_at_once() {
    let mut scene = Scene::new();
    let (bid, view) = (scene.bid, scene.view);
    scene.arrive(view, T0 + 60, T0);
    let mut waiting = Vec::new();
    for _ in 0..9 {
        let (id, decisions) = scene.arrive(view, T0 + 60, T0);
        if refused(&decisions).is_empty() {
            waiting.push(id);
        }
    }
    assert!((3..=5).contains(&waiting.len()), "{waiting:?}");
    let (heavy, decisions) = scene.arrive(bid, T0 + 60, T0);
    let out = refused(&decisions);
    assert!(!out.is_empty() && !out.contains(&heavy), "{decisions:?}");
    assert!(out.iter().all(|id| waiting.contains(id)));
}

/// The server hangs. Requests that wait for it are refused by their deadlines alone.
#[test]
fn a_hanging_server_does_not_delay_refusals() {
    let mut scene = Scene::new();
    let view = scene.view;
    scene.arrive(view, T0 + 100, T0);
    let (waiting, decisions) = scene.arrive(view, T0 + 100, T0);
    assert_eq!(decisions, []);
    let due = scene.gate.deadline().unwrap();
    assert!(due < ms(T0 + 100));
    let decisions = scene.gate.tick(due + ms(1));
    assert_eq!(refused(&decisions), [waiting]);
}

#[test]
fn without_connections_every_request_is_refused_at_once() {
    let mut scene = Scene::new();
    let view = scene.view;
    scene.arrive(view, T0 + 500, T0);
    let (waiting, _) = scene.arrive(view, T0 + 500, T0);
    assert_eq!(refused(&scene.gate.set_connections(0, ms(T0))), [waiting]);
    let (id, decisions) = scene.arrive(view, T0 + 500, T0);
    assert_eq!(refused(&decisions), [id]);
}

#[test]
fn an_abandoned_request_leaves_the_queue() {
    let mut scene = Scene::new();
    let view = scene.view;
    let (running, _) = scene.arrive(view, T0 + 500, T0);
    let (gone, _) = scene.arrive(view, T0 + 500, T0);
    scene.gate.abandon(gone, ms(T0));
    assert_eq!(
        scene
            .gate
            .finish(running, Completion::Answered, ms(T0 + 10)),
        []
    );
    assert_eq!(scene.gate.waiting() + scene.gate.running(), 0);
}

#[test]
fn a_statement_of_an_open_transaction_does_not_wait() {
    let mut scene = Scene::new();
    let view = scene.view;
    scene.arrive(view, T0 + 500, T0);
    scene.gate.start_now(77, scene.bid, ms(T0));
    assert_eq!(scene.gate.running(), 2);
}

/// A server that answers ten times slower than it can is congested by hosts that this one cannot
/// see. A server that answers as fast as it can may take more requests.
#[test]
fn the_limit_follows_the_latency_of_the_server() {
    let mut names = Directory::default();
    let class = names.classes.intern("view");
    let mut gate = Gate::new(3);
    let mut now = ms(0);
    let mut run = |gate: &mut Gate, took: Duration, rounds: u64| {
        for round in 0..rounds {
            let ids = (0..gate.slots() as u64).map(|slot| round * 100 + slot);
            ids.clone().for_each(|id| gate.start_now(id, class, now));
            now += took;
            ids.for_each(|id| drop(gate.finish(id, Completion::Answered, now)));
        }
    };
    run(&mut gate, ms(5), 200);
    assert_eq!(gate.slots(), 6);
    run(&mut gate, ms(50), 20);
    assert_eq!(gate.slots(), 3, "never below the slots");
    run(&mut gate, ms(5), 200);
    assert_eq!(gate.slots(), 6);
}
