//! The written schedule of faults, injected through the stand-ins' HTTP.

use std::str::FromStr;
use std::time::{Duration, Instant};

use displaydoc::Display;
use flamingopost_core::term::Term;
use flamingopost_daemon::event::Event as _;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::event::Event;

/// Where a database server's faults are injected, and where it says what it is.
const FAULTS: &str = "/faults";
const LOG: &str = "/log";

/// A fault at a moment of the run.
#[derive(Debug, Clone)]
pub struct Fault {
    /// Its name in the plan.
    pub name: String,
    /// When, from the start of the measured time.
    pub at: Duration,
    /// The request that causes it.
    pub post: Post,
    /// Which of the request's servers get it.
    pub to: Aim,
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

/// Which servers get a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Aim {
    /// All that are listed.
    All,
    /// The one that leads the highest term by then.
    Primary,
}

/// use all or primary
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct UnknownAim;

impl FromStr for Aim {
    type Err = UnknownAim;

    fn from_str(text: &str) -> Result<Aim, UnknownAim> {
        match text {
            "all" => Ok(Aim::All),
            "primary" => Ok(Aim::Primary),
            _ => Err(UnknownAim),
        }
    }
}

/// An HTTP request with a JSON body, to one server or several.
#[derive(Debug, Clone, PartialEq)]
pub struct Post {
    /// Where to.
    pub urls: Vec<String>,
    /// The body.
    pub body: Value,
}

/// write one URL or several divided by commas, a space and a JSON object
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct NotAPost;

/// Decodes `URL, URL {json}`.
///
/// ```
/// use flamingopost_load::fault;
///
/// let post = fault::post(r#"http://127.0.0.1:7301/faults {"dead": true}"#).unwrap();
/// assert_eq!(post.urls, ["http://127.0.0.1:7301/faults"]);
/// assert_eq!(post.body["dead"], true);
/// ```
pub fn post(text: &str) -> Result<Post, NotAPost> {
    let start = text.find('{').ok_or(NotAPost)?;
    let (urls, body) = text.split_at(start);
    let body: Value = serde_json::from_str(body).map_err(|_| NotAPost)?;
    let urls: Vec<String> = urls.split(',').map(|url| url.trim().to_owned()).collect();
    if urls.iter().any(|url| !url.starts_with("http://")) {
        return Err(NotAPost);
    }
    Ok(Post { urls, body })
}

/// A fault that was injected, or could not be.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Injected {
    /// Its name in the plan.
    pub name: String,
    /// When its request was sent, in ms from the start of the measured time.
    pub at_ms: f64,
    /// The servers it was sent to.
    pub urls: Vec<String>,
    /// HTTP status; of several the highest, and 0 when one gave no answer.
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
        let urls = match fault.to {
            Aim::All => fault.post.urls.clone(),
            Aim::Primary => primary(&http, &fault.post.urls).await,
        };
        let at = start.elapsed();
        let done = Injected {
            status: send(&http, &urls, &fault.post.body).await,
            name: fault.name,
            at_ms: at.as_secs_f64() * 1e3,
            urls,
            failover: fault.failover,
        };
        log(&done);
        injected.push(done);
    }
    injected
}

async fn send(http: &reqwest::Client, urls: &[String], body: &Value) -> u16 {
    let mut highest = 0;
    for url in urls {
        match http.post(url).json(body).send().await {
            Ok(answer) => highest = highest.max(answer.status().as_u16()),
            Err(_) => return 0,
        }
    }
    highest
}

/// What a database server says about itself.
#[derive(Debug, Deserialize)]
struct Summary {
    role: String,
    term: String,
}

async fn primary(http: &reqwest::Client, urls: &[String]) -> Vec<String> {
    let mut best: Option<(Term, &String)> = None;
    for url in urls {
        let log = url.replace(FAULTS, LOG);
        let Ok(answer) = http.get(&log).send().await else {
            continue;
        };
        let Ok(summary) = answer.json::<Summary>().await else {
            continue;
        };
        let Ok(term) = summary.term.parse() else {
            continue;
        };
        if summary.role == "primary" && best.is_none_or(|(known, _)| term > known) {
            best = Some((term, url));
        }
    }
    best.map(|(_, url)| url.clone()).into_iter().collect()
}

fn log(injected: &Injected) {
    let fault = injected.name.clone();
    let at_ms = injected.at_ms as u128;
    if injected.took() {
        let server = injected.urls.join(", ");
        Event::FaultInjected {
            fault,
            server,
            at_ms,
        }
        .log();
    } else {
        Event::FaultRefused {
            fault,
            at_ms,
            status: injected.status,
        }
        .log();
    }
}
