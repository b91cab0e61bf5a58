//! Callers' listener: accepts, starts sessions, and drains.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_daemon::stop::Stop;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::auth::{Door, Entered, Login};
use crate::context::Context;
use crate::greeting;
use crate::probe;
use crate::reply;
use crate::session::Session;

/// Pause after a failed accept: nearly always the process is out of sockets, and trying again at
/// once would only burn the processor that could free some.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers that connect to `listener` until `stop` drains; returns when the last session
/// has ended, or when `stop` is over.
///
/// # Errors
/// The listener is unusable.
pub async fn serve(
    listener: TcpListener,
    door: Arc<Door>,
    context: Arc<Context>,
    stop: Stop,
) -> io::Result<()> {
    let probes = tokio::spawn(probe::run(Arc::clone(&context)));
    let (alive, mut ended) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.draining() => break,
        };
        let Ok((tcp, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (door, context) = (Arc::clone(&door), Arc::clone(&context));
        let (stop, alive) = (stop.clone(), alive.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = meet(tcp, &door, context) => {}
                () = stop.stopped() => {}
            }
            drop(alive);
        });
    }
    drop(listener);
    drop(alive);
    tokio::select! {
        _ = ended.recv() => {}
        () = stop.stopped() => {}
    }
    probes.abort();
    Ok(())
}

/// A connection from its start-up to its end.
async fn meet(tcp: TcpStream, door: &Door, context: Arc<Context>) {
    if tcp.set_nodelay(true).is_err() {
        return;
    }
    // The start-up needs far more room than an idle session; boxed, it is gone afterwards.
    let entered = Box::pin(door.enter(tcp)).await;
    match entered {
        Ok(Entered::Cancel(request)) => context.cancels.deliver(&request).await,
        Ok(Entered::Session(login)) => {
            let Some((mut session, _place)) = begin(login, context).await else {
                return;
            };
            session.run().await;
        }
        // The door has told the caller and the log.
        Err(_) => {}
    }
}

type Place = tokio::sync::OwnedSemaphorePermit;

async fn begin(login: Box<Login>, context: Arc<Context>) -> Option<(Box<Session>, Place)> {
    let Login {
        stream,
        caller,
        service,
        parameters,
        place,
        ..
    } = *login;
    let service = context.service(service);
    let mut session = Box::new(Session::new(context, service, caller, stream));
    if let Err(refusal) = greeting::greet(&mut session, &parameters) {
        reply::refusal(&mut session.front.out, &refusal);
        // The caller may be gone already; there is nobody else to tell.
        let _ = session.front.close().await;
        return None;
    }
    session.front.flush().await.ok()?;
    Some((session, place))
}
