//! Messages that the entry host itself writes to callers.

use bytes::{BufMut, BytesMut};
use flamingopost_core::refusal::Refusal;
use pgwire::error::ErrorInfo;
use pgwire::messages::Message;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{CommandComplete, ErrorResponse, TransactionStatus};
use pgwire::messages::startup::ParameterStatus;

/// Object identifier of the type `text`.
const TEXT_OID: u32 = 25;

/// Appends `message` to `out`.
pub fn put<M: Message>(out: &mut BytesMut, message: &M) {
    // Encoding fails only for messages past the protocol's own limits, which none of ours reach;
    // the half-written message is dropped so that the stream stays framed.
    let before = out.len();
    if message.encode(out).is_err() {
        out.truncate(before);
    }
}

/// Appends an error that a server would give in the same place.
pub fn error(out: &mut BytesMut, sqlstate: &str, text: &str) {
    put(out, &ErrorResponse::from(info("ERROR", sqlstate, text)));
}

/// Appends an error after which the connection is closed.
pub fn fatal(out: &mut BytesMut, sqlstate: &str, text: &str) {
    put(out, &ErrorResponse::from(info("FATAL", sqlstate, text)));
}

/// Appends what a caller is told of `refusal`.
pub fn refusal(out: &mut BytesMut, refusal: &Refusal) {
    let severity = refusal.severity().text();
    let mut info = info(severity, refusal.sqlstate(), &refusal.to_string());
    info.detail = Some(refusal.detail());
    info.hint = Some(refusal.hint()).filter(|hint| !hint.is_empty());
    put(out, &ErrorResponse::from(info));
}

fn info(severity: &str, sqlstate: &str, text: &str) -> ErrorInfo {
    let mut info = ErrorInfo::new(severity.to_owned(), sqlstate.to_owned(), text.to_owned());
    info.severity_nonlocalized = Some(severity.to_owned());
    info
}

/// Appends `ReadyForQuery`.
pub fn ready(out: &mut BytesMut, status: TransactionStatus) {
    out.put_slice(&[b'Z', 0, 0, 0, 5, status as u8]);
}

/// Appends `CommandComplete` with `tag`.
pub fn complete(out: &mut BytesMut, tag: &str) {
    put(out, &CommandComplete::new(tag.to_owned()));
}

/// Appends `ParameterStatus`.
pub fn parameter(out: &mut BytesMut, name: &str, value: &str) {
    put(
        out,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

/// Appends a description of one column of text.
pub fn column(out: &mut BytesMut, name: &str) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    put(out, &RowDescription::new(vec![field]));
}

/// Appends one row of one text value.
pub fn row(out: &mut BytesMut, value: &str) {
    let mut data = BytesMut::with_capacity(value.len() + size_of::<i32>());
    data.put_i32(value.len() as i32);
    data.put_slice(value.as_bytes());
    put(out, &DataRow::new(data, 1));
}

/// Appends the description of a statement without parameters.
pub fn no_parameters(out: &mut BytesMut) {
    out.put_slice(&[b't', 0, 0, 0, 6, 0, 0]);
}

/// Appends the message that a bare tag makes: no body.
pub fn bare(out: &mut BytesMut, tag: u8) {
    out.put_slice(&[tag, 0, 0, 0, 4]);
}
