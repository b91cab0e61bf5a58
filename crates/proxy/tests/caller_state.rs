//! Values and prepared statements of a session.

use bytes::Bytes;
use flamingopost_proxy::caller_state::{CallerState, MAX_STATE_BYTES, StateFull};
use flamingopost_proxy::message::{Access, Shape};

fn shape(bytes: usize) -> Shape {
    Shape {
        access: Access::Read,
        text: Bytes::from(vec![b'x'; bytes]),
    }
}

/// Guards against a session that is refused everything once it was full.
#[test]
fn what_is_replaced_or_removed_makes_room() {
    let mut state = CallerState::default();
    let [one, other] = ["one", "other"].map(Bytes::from);
    let half = Bytes::from(vec![b'x'; MAX_STATE_BYTES / 2]);
    assert_eq!(state.set(&one, &half), Ok(()));
    assert_eq!(
        state.set(&one, &half),
        Ok(()),
        "it takes the place of the former"
    );
    assert_eq!(
        state.prepare(&one, &shape(MAX_STATE_BYTES / 2)),
        Err(StateFull)
    );
    assert_eq!(state.prepared(&one), None);
    assert_eq!(state.prepare(&one, &shape(MAX_STATE_BYTES / 3)), Ok(()));
    assert_eq!(state.set(&other, &half), Err(StateFull));
    assert!(state.deallocate(&one));
    assert!(!state.deallocate(&one));
    assert_eq!(state.prepare(&one, &shape(MAX_STATE_BYTES / 3)), Ok(()));
    assert_eq!(state.set(&one, &Bytes::new()), Ok(()));
    assert_eq!(state.set(&other, &half), Ok(()));
}

/// Guards against a session that keeps any number of empty values.
#[test]
fn each_entry_counts() {
    let mut state = CallerState::default();
    let names = (0..=MAX_STATE_BYTES / 64).map(|number| Bytes::from(number.to_string()));
    let kept = names.take_while(|name| state.set(name, &Bytes::new()).is_ok());
    let kept = kept.count();
    assert!((1_000..MAX_STATE_BYTES / 64).contains(&kept), "{kept}");
}
