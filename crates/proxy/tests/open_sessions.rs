//! The limit of sessions on a host.

use flamingopost_proxy::open_sessions::OpenSessions;
use flamingopost_proxy::session::RelayPolicy;

/// Sessions of a host with 4,300 descriptors.
const SESSIONS: usize = 3_600;

fn admitted(sessions: &OpenSessions, policy: RelayPolicy, attempts: usize) -> usize {
    (0..attempts).filter(|_| sessions.admit(policy)).count()
}

/// Guards against a serving host whose descriptors are used up by relayed sessions, so that it
/// accepts no caller.
#[test]
fn relayed_sessions_leave_room_for_callers() {
    let sessions = OpenSessions::new(SESSIONS);
    assert_eq!(admitted(&sessions, RelayPolicy::Never, SESSIONS), 2_700);
    assert_eq!(admitted(&sessions, RelayPolicy::Allowed, SESSIONS), 900);
    assert_eq!(sessions.count(), SESSIONS);
}

/// Guards against relayed sessions on a host whose own callers need its descriptors: each may need
/// a second one for the host that serves it.
#[test]
fn callers_reduce_the_relayed_sessions_by_two_each() {
    let sessions = OpenSessions::new(SESSIONS);
    assert_eq!(admitted(&sessions, RelayPolicy::Allowed, 1_000), 1_000);
    assert_eq!(admitted(&sessions, RelayPolicy::Never, SESSIONS), 700);
    sessions.end(RelayPolicy::Allowed);
    assert_eq!(admitted(&sessions, RelayPolicy::Never, SESSIONS), 2);
}

/// Guards against a host that stays full after its relayed sessions have ended.
#[test]
fn an_ended_session_makes_room() {
    let sessions = OpenSessions::new(SESSIONS);
    admitted(&sessions, RelayPolicy::Never, SESSIONS);
    sessions.end(RelayPolicy::Never);
    assert!(sessions.admit(RelayPolicy::Never));
    assert!(!sessions.admit(RelayPolicy::Never));
}

/// Guards against a limit that is computed beyond the range of its numbers, where the settings allow any
/// number of descriptors.
#[test]
fn a_host_without_a_limit_takes_relayed_sessions() {
    let sessions = OpenSessions::new(usize::MAX);
    assert_eq!(admitted(&sessions, RelayPolicy::Never, 10), 10);
}
