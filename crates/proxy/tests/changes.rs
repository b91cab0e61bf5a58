//! An elector tells each host of all changes of primaries that it knows before it extends a lease.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::NoProtocol;
use common::no_store::NoStore;
use flamingopost_core::incarnation::Incarnation;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use flamingopost_proxy::election::Election;
use flamingopost_proxy::fleet::Fleet;
use flamingopost_proxy::peer::{EndedTerm, FeedProgress, Message, Payload, Server, Socket, pages};
use tokio::task::LocalSet;

/// Services whose primaries are replaced within a moment: a third of those of a large fleet.
const CHANGES: usize = 333;

/// The host under test, and another one that the test plays.
const ELECTOR: usize = 0;
const OTHER: usize = 1;

/// Process of the other host.
const PROCESS: u64 = 7;

/// The time of the elector's clock, which stands still, in microseconds.
const NOW: u64 = 0;

/// The host that the test plays.
struct Peer {
    socket: Socket,
    elector: SocketAddr,
}

impl Peer {
    fn send(&self, payload: Payload) {
        let message = Message {
            host: common::peer(OTHER).host,
            service: String::new(),
            payload,
        };
        self.socket.send(&message, self.elector);
    }

    async fn receive(&self) -> Payload {
        let received = tokio::time::timeout(Duration::from_secs(5), self.socket.receive());
        received
            .await
            .expect("an answer")
            .expect("readable")
            .0
            .payload
    }

    /// Sends a heartbeat of a host that may have missed everything.
    fn beat(&self, sent: u64) {
        self.beat_in_touch(sent, u32::MAX);
    }

    /// Sends a heartbeat of a host that was in contact with a majority `out_of_touch` milliseconds before
    /// it sent it.
    fn beat_in_touch(&self, sent: u64, out_of_touch: u32) {
        self.send(Payload::ProcessHeartbeat {
            process: PROCESS,
            sent,
            out_of_touch,
            epoch: 0,
            sample_requests: Vec::new(),
            ended_terms: Vec::new(),
        });
    }

    /// Answers a heartbeat of the elector, which then knows what most other hosts know.
    fn acknowledge(&self) {
        self.send(Payload::HeartbeatAck {
            sent: NOW,
            progress: FeedProgress::default(),
            in_touch: 0,
            ended_terms: Vec::new(),
            samples: Vec::new(),
        });
    }

    /// Receives pages up to the last one.
    async fn pages(&self) -> Vec<Page> {
        let mut pages = Vec::new();
        loop {
            let Payload::EndedTermsPage {
                process,
                from,
                to,
                is_last,
                ended_terms,
                ..
            } = self.receive().await
            else {
                panic!("the lease was extended before the changes were confirmed");
            };
            let services = ended_terms.into_iter().map(|it| it.service).collect();
            pages.push(Page {
                process,
                from,
                to,
                services,
            });
            if is_last {
                return pages;
            }
        }
    }

    fn confirm(&self, sent: u64, numbered_by: u64, up_to: u64) {
        self.send(Payload::EndedTermsReceived {
            sent,
            numbered_by,
            process: PROCESS,
            up_to,
            out_of_touch: u32::MAX,
        });
    }
}

struct Page {
    process: u64,
    from: u64,
    to: u64,
    services: BTreeSet<String>,
}

fn change(number: usize) -> EndedTerm {
    let successor = Server::new(format!("server-{}", 3 * number + 1), Incarnation(1));
    let position = (successor, Position::default());
    let term = Term::from_number(1);
    EndedTerm::new(common::service(number), term, 1, position, Duration::ZERO)
}

/// Runs an elector that has learned of `changes` changes, and `play` as another host.
fn play(changes: usize, play: impl AsyncFnOnce(Peer)) {
    play_elector(changes, async |peer, _, _| play(peer).await);
}

/// Runs the same with what `play` needs to change the elector's configuration.
fn play_elector(
    changes: usize,
    play: impl AsyncFnOnce(Peer, &Rc<Fleet<NoProtocol>>, &Rc<Election<NoProtocol, NoStore>>),
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        let loopback = "127.0.0.1:0".parse().expect("an address");
        let socket = Rc::new(Socket::bind(loopback).await.expect("a port"));
        let peer = Peer {
            socket: Socket::bind(loopback).await.expect("a port"),
            elector: socket.address().expect("bound"),
        };
        let fleet: Rc<Fleet<NoProtocol>> = Rc::new(common::fleet_of(1, changes, ELECTOR));
        let address = peer.socket.address().expect("bound");
        fleet.apply_host_list(vec![Ok(common::current_peer(OTHER, address))]);
        let site = Rc::new(common::site(ELECTOR));
        let store = Rc::new(NoStore);
        let election = Rc::new(Election::new(site, Rc::clone(&fleet), store, socket));
        tokio::task::spawn_local(Rc::clone(&election).listen());
        // Nothing is sent before the runtime has seen that the socket is writable.
        tokio::time::sleep(Duration::from_millis(1)).await;
        for ended_terms in pages((0..changes).map(change).collect()) {
            peer.send(Payload::EndedTerms { ended_terms });
        }
        play(peer, &fleet, &election).await;
    });
}

/// Guards against a replaced primary that a host keeps relying on: the changes beyond the first twelve
/// of a second were in no answer to a heartbeat, and a host that had missed the notification kept its
/// lease.
#[test]
fn a_lease_is_extended_after_all_changes_were_received() {
    play(CHANGES, async |peer| {
        peer.beat(1);
        let pages = peer.pages().await;
        let told: BTreeSet<String> = pages.iter().flat_map(|it| it.services.clone()).collect();
        assert_eq!(told.len(), CHANGES);
        let last = pages.last().expect("pages");
        peer.confirm(1, last.process, last.to);
        let answer = peer.receive().await;
        assert!(
            matches!(answer, Payload::HeartbeatAck { sent: 1, .. }),
            "{answer:?}"
        );
    });
}

/// Guards against a replaced primary that a host keeps relying on: its heartbeat from before or within a
/// partition arrived late, and a change from more than a second before was not told with the answer.
#[test]
fn a_late_heartbeat_extends_no_lease_beside_a_change_that_its_sender_does_not_know() {
    play(1, async |peer| {
        peer.acknowledge();
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        peer.beat_in_touch(1, 0);
        let pages = peer.pages().await;
        assert_eq!(pages.len(), 1);
        peer.beat_in_touch(2, 0);
        let last = &peer.pages().await[0];
        peer.confirm(2, last.process, last.to);
        let answer = peer.receive().await;
        assert!(
            matches!(answer, Payload::HeartbeatAck { sent: 2, .. }),
            "{answer:?}"
        );
    });
}

/// Guards against a replaced primary that a host keeps relying on: an elector that had confirmed the end of
/// its term was started again, and the new process extended the lease.
#[test]
fn an_elector_that_has_just_started_extends_no_lease_before_others_have_told_it_of_changes() {
    play(0, async |peer| {
        peer.beat_in_touch(1, 0);
        let answer = tokio::time::timeout(Duration::from_millis(200), peer.socket.receive()).await;
        assert!(answer.is_err(), "{:?}", answer.map(|it| it.map(|it| it.0)));
        peer.acknowledge();
        peer.beat_in_touch(2, 0);
        let answer = peer.receive().await;
        assert!(
            matches!(answer, Payload::HeartbeatAck { sent: 2, .. }),
            "{answer:?}"
        );
    });
}

/// Guards against hosts that start together and wait for each other: none of them has a lease that may rest
/// on what another one has forgotten.
#[test]
fn an_elector_extends_the_lease_of_a_process_without_any_contact_at_once() {
    play(0, async |peer| {
        for (sent, out_of_touch) in [(1, u32::MAX), (2, 0)] {
            peer.beat_in_touch(sent, out_of_touch);
            let answer = peer.receive().await;
            assert!(matches!(answer, Payload::HeartbeatAck { .. }), "{answer:?}");
        }
    });
}

/// Guards against a host that has just started and uses a replaced primary: it was told of the change, and
/// confirmed that, before it knew the service.
#[test]
fn a_change_is_applied_once_its_service_is_configured() {
    play_elector(0, async |peer, fleet, election| {
        peer.acknowledge();
        let ended_terms = vec![change(0)];
        peer.send(Payload::EndedTerms { ended_terms });
        peer.beat_in_touch(1, 0);
        let answer = peer.receive().await;
        assert!(matches!(answer, Payload::HeartbeatAck { .. }), "{answer:?}");
        fleet.adopt(common::configuration_of(2, 185, 1).into(), Duration::ZERO);
        fleet.apply_server_list(common::server_list_of(2, 1));
        election.start_new_services();
        peer.beat_in_touch(2, 0);
        assert_eq!(peer.pages().await.len(), 1);
    });
}

/// Guards against a lost page that is taken for received, and against sending all pages again.
#[test]
fn a_lost_page_is_sent_again_before_the_lease_is_extended() {
    play(CHANGES, async |peer| {
        peer.beat(1);
        let pages = peer.pages().await;
        let (lost, last) = (&pages[3], pages.last().expect("pages"));
        assert!(pages.len() > 10);
        peer.confirm(1, last.process, lost.from);
        let again = peer.pages().await;
        assert_eq!((again[0].from, again[0].to), (lost.from, lost.to));
        assert_eq!(again.len(), pages.len() - 3);
        peer.confirm(1, last.process, lost.from);
        peer.beat(2);
        assert_eq!(
            peer.pages().await.len(),
            again.len(),
            "nothing new was confirmed"
        );
    });
}

/// Guards against a host that starts again and is not told what its former process has confirmed.
#[test]
fn a_confirmation_of_a_former_process_counts_for_nothing() {
    play(CHANGES, async |peer| {
        peer.beat(1);
        let pages = peer.pages().await;
        let last = pages.last().expect("pages");
        peer.send(Payload::EndedTermsReceived {
            sent: 1,
            numbered_by: last.process,
            process: PROCESS - 1,
            up_to: last.to,
            out_of_touch: u32::MAX,
        });
        let answer = peer.receive().await;
        assert!(
            matches!(answer, Payload::HeartbeatAck { sent: 1, .. }),
            "{answer:?}"
        );
        peer.beat(2);
        assert_eq!(peer.pages().await.len(), pages.len());
        peer.confirm(2, last.process + 1, last.to);
        peer.beat(3);
        assert_eq!(
            peer.pages().await.len(),
            pages.len(),
            "another process numbered them"
        );
    });
}

/// Guards against a host of an earlier build that gets no answer at all during an update.
#[test]
fn a_host_of_an_earlier_build_is_answered() {
    play(CHANGES, async |peer| {
        peer.send(Payload::Heartbeat {
            sent: 1,
            out_of_touch: u32::MAX,
            epoch: 0,
            sample_requests: Vec::new(),
            ended_terms: Vec::new(),
        });
        let answer = peer.receive().await;
        assert!(
            matches!(answer, Payload::HeartbeatAck { sent: 1, .. }),
            "{answer:?}"
        );
    });
}
