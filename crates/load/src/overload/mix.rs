//! What callers send in the model.

use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::key::{ClassKey, CustomerKey};

/// One kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Its class.
    pub class: ClassKey,
    /// Who sends it.
    pub customer: CustomerKey,
    /// What one served in time is worth.
    pub weight: u32,
    /// Its part of all arrivals.
    pub part: f64,
    /// What the server needs for it on average.
    pub cost: Duration,
    /// When it has to be answered.
    pub deadline: Duration,
}

/// The kinds that callers send.
#[derive(Debug, Clone)]
pub struct Mix {
    /// The kinds; their parts add up to one.
    pub kinds: Vec<Kind>,
}

impl Mix {
    /// An auction: bids, settlements, lot views and batch jobs.
    pub fn auction() -> Mix {
        Mix::of(&[
            ("bid", "one", 10, 0.10, 3, 250),
            ("settlement", "one", 5, 0.10, 6, 500),
            ("lot view", "one", 2, 0.70, 2, 200),
            ("batch", "one", 1, 0.10, 15, 2000),
        ])
    }

    /// A shipper: bookings, airway bills, tank readings and stock summaries.
    pub fn shipper() -> Mix {
        Mix::of(&[
            ("airway bill", "one", 10, 0.10, 4, 400),
            ("booking", "one", 8, 0.15, 4, 300),
            ("tank reading", "one", 4, 0.35, 2, 200),
            ("stock summary", "one", 1, 0.40, 6, 500),
        ])
    }

    /// Two customers of the same weight, one of whom sends nine requests for the other's one.
    pub fn crowd() -> Mix {
        Mix::of(&[
            ("quiet", "quiet", 5, 0.10, 3, 200),
            ("loud", "loud", 5, 0.90, 3, 200),
        ])
    }

    fn of(kinds: &[(&'static str, &str, u32, f64, u64, u64)]) -> Mix {
        let mut names = Directory::default();
        let kinds = kinds
            .iter()
            .map(|&(name, customer, weight, part, cost, deadline)| Kind {
                name,
                class: names.classes.intern(name),
                customer: names.customers.intern(customer),
                weight,
                part,
                cost: Duration::from_millis(cost),
                deadline: Duration::from_millis(deadline),
            })
            .collect();
        Mix { kinds }
    }

    /// What a request needs on average.
    pub fn mean_cost(&self) -> Duration {
        self.kinds
            .iter()
            .map(|kind| kind.cost.mul_f64(kind.part))
            .sum()
    }

    /// The kind at `place` of 0 to 1.
    pub(super) fn pick(&self, place: f64) -> usize {
        let mut sum = 0.0;
        for (index, kind) in self.kinds.iter().enumerate() {
            sum += kind.part;
            if place < sum {
                return index;
            }
        }
        self.kinds.len() - 1
    }
}
