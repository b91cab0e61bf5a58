//! Accounting: what became of each request, by service, customer and class.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::key::{ClassKey, CustomerKey, ServiceKey};
use flamingopost_core::rule::Target;
use metrics::{Counter, Histogram};

/// Whose request it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner {
    /// The service.
    pub service: ServiceKey,
    /// The customer.
    pub customer: CustomerKey,
    /// The class.
    pub class: ClassKey,
}

/// What answered a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum By {
    /// The primary.
    Primary,
    /// A replica.
    Replica,
    /// This host.
    Host,
}

/// Metrics by owner. The handles are kept, since looking one up by its labels takes longer than
/// everything else that is done for a small read.
#[derive(Default)]
pub struct Accounts {
    books: Mutex<BTreeMap<Owner, Arc<Book>>>,
}

/// The metrics of one owner.
pub struct Book {
    labels: [(&'static str, String); 3],
    seconds: Histogram,
    replica: Counter,
    primary: Counter,
    host: Counter,
    late: Counter,
    reads: Reads,
}

/// Reads by what the rules allow and what answered: the share that replicas take off the primary.
struct Reads {
    /// Allowed to replicas and answered by one.
    replica: Counter,
    /// Allowed to replicas and answered by the primary.
    primary: Counter,
    /// For the primary only.
    bound: Counter,
}

impl Accounts {
    /// The book of `owner`.
    pub fn book(&self, owner: Owner, directory: impl FnOnce() -> Arc<Directory>) -> Arc<Book> {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        let book = books
            .entry(owner)
            .or_insert_with(|| Arc::new(Book::new(owner, &directory())));
        Arc::clone(book)
    }
}

impl Book {
    fn new(owner: Owner, directory: &Directory) -> Book {
        let service = directory.services.name(owner.service);
        let customer = directory.customers.name(owner.customer);
        let class = directory.classes.name(owner.class);
        let labels = [
            ("service", service.unwrap_or_default().to_owned()),
            ("customer", customer.unwrap_or_default().to_owned()),
            ("class", class.unwrap_or_default().to_owned()),
        ];
        let answered = |by: &'static str| {
            let mut labels = labels.to_vec();
            labels.push(("by", by.to_owned()));
            metrics::counter!("flamingopost_requests_total", &labels)
        };
        Book {
            seconds: metrics::histogram!("flamingopost_request_seconds", &labels),
            replica: answered("replica"),
            primary: answered("primary"),
            host: answered("host"),
            late: metrics::counter!("flamingopost_requests_late_total", &labels),
            reads: Reads::new(&labels),
            labels,
        }
    }

    /// A request was answered after `took`, where `limit` was allowed.
    pub fn answered(&self, by: By, took: Duration, limit: Duration) {
        self.seconds.record(took.as_secs_f64());
        match by {
            By::Primary => self.primary.increment(1),
            By::Replica => self.replica.increment(1),
            By::Host => self.host.increment(1),
        }
        if took > limit {
            self.late.increment(1);
        }
    }

    /// A read outside a transaction was answered, which the rules allow to `target`.
    pub fn read(&self, target: Target, by: By) {
        match (target, by) {
            (_, By::Host) => {}
            (Target::Primary, _) => self.reads.bound.increment(1),
            (Target::Replica, By::Replica) => self.reads.replica.increment(1),
            (Target::Replica, By::Primary) => self.reads.primary.increment(1),
        }
    }

    /// A request was refused with `sqlstate`.
    pub fn refused(&self, sqlstate: &'static str) {
        let mut labels = self.labels.to_vec();
        labels.push(("sqlstate", sqlstate.to_owned()));
        metrics::counter!("flamingopost_refusals_total", &labels).increment(1);
    }
}

impl Reads {
    fn new(labels: &[(&'static str, String)]) -> Reads {
        let reads = |allowed: &'static str, server: &'static str| {
            let mut labels = labels.to_vec();
            labels.push(("allowed", allowed.to_owned()));
            labels.push(("server", server.to_owned()));
            metrics::counter!("flamingopost_reads_total", &labels)
        };
        Reads {
            replica: reads("replica", "replica"),
            primary: reads("replica", "primary"),
            bound: reads("primary", "primary"),
        }
    }
}
