//! SQL functions that PostgreSQL has and the engine lacks, and those of the engine whose result
//! would differ from server to server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rusqlite::functions::{Context, FunctionFlags};
use rusqlite::types::{Value, ValueRef};
use rusqlite::{Connection, Error, Result};

use super::log::Pin;

/// Engine functions whose result depends on the machine or the connection.
const REFUSED: [&str; 11] = [
    "date",
    "time",
    "datetime",
    "julianday",
    "strftime",
    "unixepoch",
    "timediff",
    "randomblob",
    "last_insert_rowid",
    "changes",
    "total_changes",
];

const SPLITMIX_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Time and chance of one connection, shared with its SQL functions.
#[derive(Debug, Clone, Default)]
pub(crate) struct Source(Arc<Mutex<Pin>>);

impl Source {
    pub(crate) fn set(&self, pin: Pin) {
        *self.lock() = pin;
    }

    fn lock(&self) -> MutexGuard<'_, Pin> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn random(&self) -> u64 {
        let mut pin = self.lock();
        pin.seed = pin.seed.wrapping_add(SPLITMIX_STEP);
        let mixed = (pin.seed ^ (pin.seed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}

/// A failure of a function that carries its own SQLSTATE.
#[derive(Debug, displaydoc::Display)]
enum Failure {
    /// 22P02|invalid input syntax for type {0}: "{1}"
    Input(&'static str, String),
    /// 42883|function {0} is refused: its result differs from server to server
    Refused(&'static str),
}

impl std::error::Error for Failure {}

fn fail<T>(failure: Failure) -> Result<T> {
    Err(Error::UserFunctionError(Box::new(failure)))
}

/// Adds the functions to `engine`.
pub(crate) fn register(
    engine: &Connection,
    source: &Source,
    database: &str,
    pid: i32,
) -> Result<()> {
    let plain = FunctionFlags::SQLITE_UTF8;
    let fixed = plain | FunctionFlags::SQLITE_DETERMINISTIC;
    for name in REFUSED {
        engine.create_scalar_function(name, -1, plain, move |_| {
            fail::<Option<i64>>(Failure::Refused(name))
        })?;
    }
    let chance = source.clone();
    engine.create_scalar_function("random", 0, plain, move |_| {
        Ok((chance.random() >> 11) as f64 / (1u64 << 53) as f64)
    })?;
    let chance = source.clone();
    engine.create_scalar_function("gen_random_uuid", 0, plain, move |_| {
        Ok(uuid(chance.random(), chance.random()))
    })?;
    for name in ["now", "clock_timestamp", "statement_timestamp"] {
        let time = source.clone();
        engine.create_scalar_function(name, 0, plain, move |_| Ok(timestamp(time.lock().now)))?;
    }
    engine.create_scalar_function("pg_sleep", 1, plain, |_| Ok(String::new()))?;
    engine.create_scalar_function("version", 0, fixed, |_| Ok(version()))?;
    let database = database.to_owned();
    engine.create_scalar_function("current_database", 0, fixed, move |_| Ok(database.clone()))?;
    engine.create_scalar_function("pg_backend_pid", 0, fixed, move |_| Ok(i64::from(pid)))?;
    engine.create_scalar_function("cast_int8", 1, fixed, cast_integer)?;
    engine.create_scalar_function("cast_float8", 1, fixed, cast_real)?;
    engine.create_scalar_function("cast_bool", 1, fixed, cast_bool)
}

fn version() -> String {
    format!(
        "PostgreSQL 16.0 (flamingopost-standin, SQLite {})",
        rusqlite::version()
    )
}

fn uuid(high: u64, low: u64) -> String {
    let high = (high & !0xF000) | 0x4000;
    let low = (low & !(0b11 << 62)) | (0b10 << 62);
    format!(
        "{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
        high >> 32,
        (high >> 16) & 0xFFFF,
        high & 0xFFFF,
        low >> 48,
        low & 0xFFFF_FFFF_FFFF
    )
}

/// `YYYY-MM-DD HH:MM:SS.ffffff+00` of microseconds since the Unix epoch.
fn timestamp(micros: i64) -> String {
    const DAY: i64 = 86_400_000_000;
    let (days, rest) = (micros.div_euclid(DAY), micros.rem_euclid(DAY));
    let (year, month, day) = civil(days);
    let seconds = rest / 1_000_000;
    format!(
        "{year:04}-{month:02}-{day:02} {:02}:{:02}:{:02}.{:06}+00",
        seconds / 3600,
        seconds / 60 % 60,
        seconds % 60,
        rest % 1_000_000
    )
}

/// Year, month and day of a count of days since 1970-01-01, in years that begin in March.
fn civil(days: i64) -> (i64, i64, i64) {
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let of_era = shifted.rem_euclid(146_097);
    let year_of_era = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, day)
}

fn text_of(context: &Context<'_>) -> String {
    match context.get_raw(0) {
        ValueRef::Text(text) | ValueRef::Blob(text) => String::from_utf8_lossy(text).into_owned(),
        _ => String::new(),
    }
}

fn cast_integer(context: &mut Context<'_>) -> Result<Option<i64>> {
    match context.get_raw(0) {
        ValueRef::Null => Ok(None),
        ValueRef::Integer(number) => Ok(Some(number)),
        ValueRef::Real(number) => Ok(Some(number.round_ties_even() as i64)),
        _ => {
            let text = text_of(context);
            match text.trim().parse() {
                Ok(number) => Ok(Some(number)),
                Err(_) => fail(Failure::Input("bigint", text)),
            }
        }
    }
}

fn cast_real(context: &mut Context<'_>) -> Result<Option<f64>> {
    match context.get_raw(0) {
        ValueRef::Null => Ok(None),
        ValueRef::Integer(number) => Ok(Some(number as f64)),
        ValueRef::Real(number) => Ok(Some(number)),
        _ => {
            let text = text_of(context);
            match text.trim().parse() {
                Ok(number) => Ok(Some(number)),
                Err(_) => fail(Failure::Input("double precision", text)),
            }
        }
    }
}

fn cast_bool(context: &mut Context<'_>) -> Result<Value> {
    match context.get_raw(0) {
        ValueRef::Null => Ok(Value::Null),
        ValueRef::Integer(number) => Ok(Value::Integer(i64::from(number != 0))),
        _ => {
            let text = text_of(context);
            match super::value::parse_bool(&text) {
                Some(truth) => Ok(Value::Integer(i64::from(truth))),
                None => fail(Failure::Input("boolean", text)),
            }
        }
    }
}
