//! When a call that waits for changes is given up.

use std::future::{pending, ready};
use std::time::Duration;

use flamingopost_proxy::feeds::{Doubt, Ended, Feeds, Patience};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A host of a large fleet waits long, as others tell it when its call is stuck. An availability
/// zone is cut off, it hears most of those no longer, and the answer to its call is lost: changes
/// were missed for the rest of 26 s. Now the call is made anew, once, and waits as long as one that
/// nobody else looks after.
#[tokio::test]
async fn a_call_that_nobody_looks_after_any_more_is_given_up() {
    let feeds = Feeds::default();
    let feed = &feeds.configuration;
    assert!(feed.wait(Patience::Told) > at(20_000));
    let cut = async {
        feed.look(Patience::Told, at(500));
        tokio::task::yield_now().await;
        feed.look(Patience::Own, at(1_000));
    };
    let (ended, ()) = tokio::join!(feed.unless_in_doubt(pending::<()>()), cut);
    assert_eq!(ended, Ended::GivenUp(Doubt::Untold));
    assert_eq!(feed.wait(Patience::Own), Feeds::CONFIGURATION);
    let look = async { feed.look(Patience::Own, at(1_250)) };
    let (ended, ()) = tokio::join!(feed.unless_in_doubt(tokio::time::sleep(at(5))), look);
    assert_eq!(ended, Ended::Answered(()));
}

/// The store comes back after an outage, which one call shows. The others, made before, may have
/// been lost as well, and servers that left meanwhile were used on. They are given up; calls that
/// are made later are not.
#[tokio::test]
async fn calls_from_before_the_end_of_an_outage_are_given_up() {
    let feeds = Feeds::default();
    let back = async { feeds.ask_again() };
    let (backends, peers, ()) = tokio::join!(
        feeds.backends.unless_in_doubt(pending::<()>()),
        feeds.peers.unless_in_doubt(pending::<()>()),
        back
    );
    assert_eq!(backends, Ended::GivenUp(Doubt::Outage));
    assert_eq!(peers, Ended::GivenUp(Doubt::Outage));
    let later = feeds.backends.unless_in_doubt(ready(7)).await;
    assert_eq!(later, Ended::Answered(7));
}
