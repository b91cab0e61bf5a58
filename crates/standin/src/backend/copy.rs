//! Lines of COPY in its text format.

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::api::Type;
use rusqlite::types::{Value, ValueRef};

use super::error::Error;
use super::value;

const NULL: &[u8] = b"\\N";

/// The line of one row.
pub(crate) fn line<'a>(fields: impl Iterator<Item = (ValueRef<'a>, &'a Type)>) -> Bytes {
    let mut line = BytesMut::new();
    for (index, (field, kind)) in fields.enumerate() {
        if index > 0 {
            line.put_u8(b'\t');
        }
        if let ValueRef::Null = field {
            line.put_slice(NULL);
            continue;
        }
        let mut text = BytesMut::new();
        value::encode_text(&mut text, field, kind);
        escape(&mut line, &text);
    }
    line.put_u8(b'\n');
    line.freeze()
}

fn escape(line: &mut BytesMut, text: &[u8]) {
    for byte in text {
        match byte {
            b'\\' => line.put_slice(b"\\\\"),
            b'\t' => line.put_slice(b"\\t"),
            b'\n' => line.put_slice(b"\\n"),
            b'\r' => line.put_slice(b"\\r"),
            other => line.put_u8(*other),
        }
    }
}

/// The values of one line, without its end.
pub(crate) fn values(line: &[u8], kinds: &[Type]) -> Result<Vec<Value>, Error> {
    let fields: Vec<&[u8]> = line.split(|byte| *byte == b'\t').collect();
    if fields.len() != kinds.len() {
        let problem = format!("{} columns where {} belong", fields.len(), kinds.len());
        return Err(Error::CopyData(problem));
    }
    fields
        .into_iter()
        .zip(kinds)
        .map(|(field, kind)| match field {
            NULL => Ok(Value::Null),
            field => value::decode(kind, 0, &unescape(field)),
        })
        .collect()
}

fn unescape(field: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(field.len());
    let mut bytes = field.iter();
    while let Some(byte) = bytes.next() {
        if *byte != b'\\' {
            out.push(*byte);
            continue;
        }
        out.extend(bytes.next().map(|escaped| match escaped {
            b't' => b'\t',
            b'n' => b'\n',
            b'r' => b'\r',
            other => *other,
        }));
    }
    out
}
