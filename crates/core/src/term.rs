//! Terms: the number under which one backend server is the primary of a service.

use std::fmt;
use std::str::FromStr;

/// Largest number of a term that something else may tell.
const LAST_TOLD: i64 = i64::MAX >> 1;

/// A term of a service.
///
/// The upper half is the epoch of the controller authority that opened the term, agreed by
/// compare-and-set in the table service; the lower half counts that authority's promotions. Two
/// authorities therefore never open the same term, even when one of them promoted during an
/// outage of the table service and was lost before it could write that down.
///
/// ```
/// use flamingopost_core::term::Term;
///
/// let term = Term { epoch: 3, count: 7 };
/// assert!(term < Term { epoch: 4, count: 0 });
/// assert_eq!(Term::from_number(term.number()), term);
/// assert_eq!("3.7".parse::<Term>(), Ok(term));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term {
    /// Epoch of the controller authority.
    pub epoch: u32,
    /// Promotions ordered under that epoch for this service.
    pub count: u32,
}

impl Term {
    /// Returns the term as one number, the form in which backend servers store it.
    pub fn number(self) -> i64 {
        (i64::from(self.epoch) << 32) | i64::from(self.count)
    }

    /// Returns the term for a number stored by a backend server.
    pub fn from_number(number: i64) -> Term {
        let bits = number as u64;
        Term {
            epoch: (bits >> 32) as u32,
            count: bits as u32,
        }
    }

    /// Returns the term for a number that something else has told, or `None` if that leaves no room for the
    /// terms that have to follow: nobody reaches such a number by counting.
    ///
    /// ```
    /// use flamingopost_core::term::Term;
    ///
    /// assert_eq!(Term::from_told(7), Some(Term::from_number(7)));
    /// assert_eq!(Term::from_told(i64::MAX), None);
    /// assert_eq!(Term::from_told(-1), None);
    /// ```
    pub fn from_told(number: i64) -> Option<Term> {
        let told = (0..=LAST_TOLD).contains(&number);
        told.then(|| Term::from_number(number))
    }

    /// Returns the term whose number follows, or this one if it is the greatest.
    ///
    /// ```
    /// use flamingopost_core::term::Term;
    ///
    /// assert_eq!(Term::from_number(3).successor(), Term::from_number(4));
    /// let greatest = Term { epoch: u32::MAX, count: u32::MAX };
    /// assert_eq!(greatest.successor(), greatest);
    /// ```
    pub fn successor(self) -> Term {
        Term::from_bits(self.bits().saturating_add(1))
    }

    /// Returns the term whose number precedes this one, or the first term if there is none.
    ///
    /// ```
    /// use flamingopost_core::term::Term;
    ///
    /// assert_eq!(Term::from_number(4).predecessor(), Term::from_number(3));
    /// assert_eq!(Term::default().predecessor(), Term::default());
    /// ```
    pub fn predecessor(self) -> Term {
        Term::from_bits(self.bits().saturating_sub(1))
    }

    /// Returns a number that is ordered as the terms are.
    fn bits(self) -> u64 {
        self.number().cast_unsigned()
    }

    fn from_bits(bits: u64) -> Term {
        Term::from_number(bits.cast_signed())
    }

    /// Returns the next term under authority `epoch`, greater than this one.
    ///
    /// # Panics
    /// Panics if `epoch` is less than the term's own epoch, which no authority may ask for.
    pub fn next(self, epoch: u32) -> Term {
        assert!(
            epoch >= self.epoch,
            "an authority never opens a term below an earlier one"
        );
        let count = if epoch == self.epoch {
            self.count + 1
        } else {
            0
        };
        Term { epoch, count }
    }
}

/// `{0}` is not a term: write it as EPOCH.COUNT, for example 3.7
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct ParseError(pub String);

impl std::error::Error for ParseError {}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.count)
    }
}

impl FromStr for Term {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Term, ParseError> {
        let error = || ParseError(text.to_owned());
        let (epoch, count) = text.split_once('.').ok_or_else(error)?;
        let epoch = epoch.parse().map_err(|_| error())?;
        let count = count.parse().map_err(|_| error())?;
        Ok(Term { epoch, count })
    }
}
