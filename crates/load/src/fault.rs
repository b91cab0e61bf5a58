//! The written schedule of faults, injected through the stand-ins' HTTP.

use std::time::{Duration, Instant};

use displaydoc::Display;
use flamingopost_daemon::event::Event as _;
use serde::Serialize;
use serde_json::Value;

use crate::event::Event;

/// A fault at a moment of the run.
#[derive(Debug, Clone)]
pub struct Fault {
    /// Its name in the plan.
    pub name: String,
    /// When, from the start of the measured time.
    pub at: Duration,
    /// The request that causes it.
    pub post: Post,
    /// The request that does the same to the servers of the baseline.
    pub baseline: Option<Post>,
    /// Whether a failover is expected and its gap measured from here.
    pub failover: bool,
}

impl Fault {
    /// The same fault at the servers of the baseline.
    pub fn for_baseline(&self) -> Option<Fault> {
        let post = self.baseline.clone()?;
        Some(Fault {
            post,
            ..self.clone()
        })
    }
}

/// An HTTP request with a JSON body.
#[derive(Debug, Clone, PartialEq)]
pub struct Post {
    /// Where to.
    pub url: String,
    /// The body.
    pub body: Value,
}

/// write a URL, a space and a JSON object
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct NotAPost;

/// Decodes `URL {json}`.
///
/// ```
/// use flamingopost_load::fault;
///
/// let post = fault::post(r#"http://127.0.0.1:7000/faults {"server":"a1"}"#).unwrap();
/// assert_eq!(post.url, "http://127.0.0.1:7000/faults");
/// assert_eq!(post.body["server"], "a1");
/// ```
pub fn post(text: &str) -> Result<Post, NotAPost> {
    let (url, body) = text.split_once(' ').ok_or(NotAPost)?;
    let body: Value = serde_json::from_str(body).map_err(|_| NotAPost)?;
    if !url.starts_with("http://") || !body.is_object() {
        return Err(NotAPost);
    }
    Ok(Post {
        url: url.to_owned(),
        body,
    })
}

/// A fault that was injected, or could not be.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Injected {
    /// Its name in the plan.
    pub name: String,
    /// When its request was sent, in ms from the start of the measured time.
    pub at_ms: f64,
    /// HTTP status, or 0 when there was no answer.
    pub status: u16,
    /// Whether a failover gap is measured from here.
    pub failover: bool,
}

impl Injected {
    /// Whether the fault took effect.
    pub fn took(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Injects `faults` at their moments after `start`.
pub async fn inject(faults: Vec<Fault>, start: Instant) -> Vec<Injected> {
    let http = reqwest::Client::new();
    let mut injected = Vec::new();
    for fault in faults {
        tokio::time::sleep_until((start + fault.at).into()).await;
        let before = start.elapsed();
        let answer = http
            .post(&fault.post.url)
            .json(&fault.post.body)
            .send()
            .await;
        let status = match &answer {
            Ok(answer) => answer.status().as_u16(),
            Err(_) => 0,
        };
        let done = Injected {
            name: fault.name,
            at_ms: before.as_secs_f64() * 1e3,
            status,
            failover: fault.failover,
        };
        log(&done);
        injected.push(done);
    }
    injected
}

fn log(injected: &Injected) {
    let fault = injected.name.clone();
    let at_ms = injected.at_ms as u128;
    if injected.took() {
        Event::FaultInjected { fault, at_ms }.log();
    } else {
        Event::FaultRefused {
            fault,
            at_ms,
            status: injected.status,
        }
        .log();
    }
}
