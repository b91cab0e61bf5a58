//! Connections belong to teams.

use flamingopost_core::dispatch::{Action, Dispatch, Need, Server, Ticket};
use flamingopost_core::key::{ServerKey, TeamKey};
use flamingopost_core::names::Names;

use super::{keys, ms, ticket};

fn teams() -> [TeamKey; 2] {
    let mut names: Names<TeamKey> = Names::default();
    ["canning", "basirhat"].map(|name| names.intern(name))
}

fn ticket_of(team: TeamKey, id: u64) -> Ticket {
    Ticket {
        team,
        ..ticket(id, Need::Leader, ms(0))
    }
}

/// Returns a dispatcher for one primary that this host may have `connections` connections to.
fn dispatch(connections: u16) -> (Dispatch, ServerKey) {
    let [server, ..] = keys();
    let mut dispatch = Dispatch::default();
    dispatch.insert(
        server,
        Server::new(true, 3, connections, connections, connections),
    );
    dispatch.set_has_teams(true);
    dispatch.set_leader(Some(server));
    (dispatch, server)
}

/// Guards against a server that runs a request under the name of another team.
#[test]
fn an_idle_connection_serves_no_other_team() {
    let (mut dispatch, server) = dispatch(2);
    let [first, second] = teams();
    dispatch.arrive(ticket_of(first, 1), ms(0));
    dispatch.connection_opened(server, 10, first, ms(0));
    dispatch.connection_returned(server, 10, first, ms(5));
    assert_eq!(
        dispatch.arrive(ticket_of(second, 2), ms(6)),
        [Action::Open {
            server,
            team: second
        }]
    );
    assert_eq!(
        dispatch.arrive(ticket_of(first, 3), ms(7)),
        [Action::Assign {
            ticket: 3,
            team: first,
            server,
            connection: 10
        }]
    );
}

/// Guards against a team that waits for as long as idle connections of other teams take up this
/// host's share.
#[test]
fn an_idle_connection_of_another_team_makes_room() {
    let (mut dispatch, server) = dispatch(1);
    let [first, second] = teams();
    dispatch.arrive(ticket_of(first, 1), ms(0));
    dispatch.connection_opened(server, 10, first, ms(0));
    assert_eq!(
        dispatch.arrive(ticket_of(second, 2), ms(1)),
        [],
        "the only connection is in use"
    );
    let close = Action::Close {
        server,
        connection: 10,
    };
    let open = Action::Open {
        server,
        team: second,
    };
    assert_eq!(
        dispatch.connection_returned(server, 10, first, ms(5)),
        [close, open]
    );
    assert_eq!(
        dispatch.connection_opened(server, 11, second, ms(17)),
        [Action::Assign {
            ticket: 2,
            team: second,
            server,
            connection: 11
        }]
    );
}

/// Guards against a host without callers that misses the restart of a primary without its log, and then
/// writes to it: it had no connection that could break.
#[test]
fn a_connection_is_kept_open_without_callers() {
    let (mut dispatch, server) = dispatch(2);
    let [first, second] = teams();
    let none = TeamKey::default();
    let open = |team| Action::Open { server, team };
    assert_eq!(dispatch.tick(ms(100)), [open(none)]);
    dispatch.connection_opened(server, 10, none, ms(105));
    let close = Action::Close {
        server,
        connection: 10,
    };
    assert_eq!(dispatch.tick(ms(110)), [], "one is enough");
    assert_eq!(dispatch.arrive(ticket_of(first, 1), ms(111)), [open(first)]);
    dispatch.connection_opened(server, 11, first, ms(123));
    assert_eq!(
        dispatch.arrive(ticket_of(second, 2), ms(124)),
        [close, open(second)],
        "it makes room for a team"
    );
}

/// Guards against a team that sends many times its usual and whose requests fill the queue: those of
/// the others waited behind all of them.
#[test]
fn a_team_with_many_requests_does_not_hold_up_the_others() {
    let (mut dispatch, server) = dispatch(4);
    let [hot, other] = teams();
    for id in 1..=8 {
        dispatch.arrive(ticket_of(hot, id), ms(0));
    }
    for (connection, team) in [(10, hot), (11, hot), (12, other)] {
        dispatch.connection_opened(server, connection, team, ms(1));
    }
    dispatch.arrive(ticket_of(other, 20), ms(2));
    // Two requests run at once. The hot team runs both, and six more of its requests are older.
    let assigned = Action::Assign {
        ticket: 20,
        team: other,
        server,
        connection: 12,
    };
    let actions = dispatch.connection_returned(server, 10, hot, ms(4));
    assert_eq!(actions, [assigned]);
}
