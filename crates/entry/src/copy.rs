//! Rows from a caller to a backend server: `COPY ... FROM STDIN`.

use bytes::BytesMut;

use crate::back::{self, Back};
use crate::exchange::Break;
use crate::frame::Frame;
use crate::front::Front;

/// Rows are gathered up to this before they are sent on.
const SEND_MARK: usize = 32 * 1024;

/// What a caller's message means while it copies.
enum Step {
    /// It goes to the server and the copy goes on.
    Rows,
    /// It goes to the server and ends the copy.
    Last,
    /// The server ignores it while it copies.
    Ignored,
}

/// Passes rows from `front` to `back` until the caller ends the copy or the server does.
///
/// In the extended protocol the server ignores a `Sync` that comes while it copies, so the one
/// that ends the batch is the caller's first after the end of the copy; it is passed on too.
///
/// # Errors
/// Either side broke.
pub async fn pump(front: &mut Front, back: &mut Back, extended: bool) -> Result<(), Break> {
    let mut rows = BytesMut::new();
    loop {
        tokio::select! {
            biased;
            filled = back.fill() => {
                filled.map_err(back::Error::Io)?;
                if back.upcoming() == Some(b'E') {
                    // The server gives up on the copy; what the caller still sends of it is
                    // dropped, as the server would.
                    return end_batch(front, back, extended).await;
                }
            }
            frame = front.next() => {
                let frame = frame?;
                match step(&frame)? {
                    Step::Rows => rows.extend_from_slice(&frame.0),
                    Step::Last => {
                        rows.extend_from_slice(&frame.0);
                        send(back, &mut rows).await?;
                        return end_batch(front, back, extended).await;
                    }
                    Step::Ignored => {}
                }
            }
        }
        // Gathering stops when the caller has nothing more ready, so that slow rows flow too.
        while let Some(frame) = front.buffered().map_err(crate::front::Error::Frame)? {
            match step(&frame)? {
                Step::Rows => rows.extend_from_slice(&frame.0),
                Step::Last => {
                    rows.extend_from_slice(&frame.0);
                    send(back, &mut rows).await?;
                    return end_batch(front, back, extended).await;
                }
                Step::Ignored => {}
            }
            if rows.len() >= SEND_MARK {
                send(back, &mut rows).await?;
            }
        }
        send(back, &mut rows).await?;
    }
}

async fn send(back: &mut Back, rows: &mut BytesMut) -> Result<(), Break> {
    back.send(rows).await.map_err(back::Error::Io)?;
    rows.clear();
    Ok(())
}

/// Passes on the `Sync` that ends an extended batch.
async fn end_batch(front: &mut Front, back: &mut Back, extended: bool) -> Result<(), Break> {
    if !extended {
        return Ok(());
    }
    loop {
        let frame = front.next().await?;
        if frame.tag() == b'S' {
            back.send(&frame.0).await.map_err(back::Error::Io)?;
            return Ok(());
        }
    }
}

fn step(frame: &Frame) -> Result<Step, Break> {
    match frame.tag() {
        b'd' => Ok(Step::Rows),
        b'c' | b'f' => Ok(Step::Last),
        b'S' | b'H' => Ok(Step::Ignored),
        _ => Err(Break::Mismatch),
    }
}
