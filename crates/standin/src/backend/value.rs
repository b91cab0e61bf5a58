//! Values between the protocol's formats and the engine.

use bytes::{BufMut, BytesMut};
use pgwire::api::Type;
use rusqlite::types::{Value, ValueRef};

use super::error::Error;

/// Format code of the text format.
pub(crate) const TEXT: i16 = 0;

/// Format code of the binary format.
pub(crate) const BINARY: i16 = 1;

/// The type of a column that was declared as `declared`.
pub(crate) fn declared(declared: &str) -> Type {
    let name = declared.to_lowercase();
    let base = name.split(['(', ' ']).next().unwrap_or_default();
    match base {
        "int" | "integer" | "int2" | "int4" | "int8" | "bigint" | "smallint" | "serial"
        | "bigserial" => Type::INT8,
        "float" | "float4" | "float8" | "real" | "double" | "numeric" | "decimal" => Type::FLOAT8,
        "bool" | "boolean" => Type::BOOL,
        "bytea" | "blob" => Type::BYTEA,
        _ => Type::TEXT,
    }
}

/// The type that a value has by itself; `None` for NULL.
pub(crate) fn natural(value: ValueRef<'_>) -> Option<Type> {
    match value {
        ValueRef::Null => None,
        ValueRef::Integer(_) => Some(Type::INT8),
        ValueRef::Real(_) => Some(Type::FLOAT8),
        ValueRef::Text(_) => Some(Type::TEXT),
        ValueRef::Blob(_) => Some(Type::BYTEA),
    }
}

pub(crate) fn parse_bool(text: &str) -> Option<bool> {
    match text.trim().to_lowercase().as_str() {
        "t" | "true" | "on" | "yes" | "y" | "1" => Some(true),
        "f" | "false" | "off" | "no" | "n" | "0" => Some(false),
        _ => None,
    }
}

/// The value behind a bound parameter of type `kind`.
pub(crate) fn decode(kind: &Type, format: i16, bytes: &[u8]) -> Result<Value, Error> {
    if format == BINARY {
        return decode_binary(kind, bytes);
    }
    let text = std::str::from_utf8(bytes).map_err(|_| Error::Input("text"))?;
    decode_text(kind, text)
}

fn decode_text(kind: &Type, text: &str) -> Result<Value, Error> {
    let value = match *kind {
        Type::INT2 | Type::INT4 | Type::INT8 | Type::OID => {
            let number = text.trim().parse();
            Value::Integer(number.map_err(|_| Error::Input("bigint"))?)
        }
        Type::FLOAT4 | Type::FLOAT8 | Type::NUMERIC => {
            let number = text.trim().parse();
            Value::Real(number.map_err(|_| Error::Input("double precision"))?)
        }
        Type::BOOL => {
            let truth = parse_bool(text).ok_or(Error::Input("boolean"))?;
            Value::Integer(i64::from(truth))
        }
        Type::BYTEA => Value::Blob(unhex(text).ok_or(Error::Input("bytea"))?),
        _ => Value::Text(text.to_owned()),
    };
    Ok(value)
}

fn decode_binary(kind: &Type, bytes: &[u8]) -> Result<Value, Error> {
    let value = match *kind {
        Type::INT2 => Value::Integer(i16::from_be_bytes(fixed(bytes)?).into()),
        Type::INT4 => Value::Integer(i32::from_be_bytes(fixed(bytes)?).into()),
        Type::OID => Value::Integer(u32::from_be_bytes(fixed(bytes)?).into()),
        Type::INT8 => Value::Integer(i64::from_be_bytes(fixed(bytes)?)),
        Type::FLOAT4 => Value::Real(f32::from_be_bytes(fixed(bytes)?).into()),
        Type::FLOAT8 => Value::Real(f64::from_be_bytes(fixed(bytes)?)),
        Type::BOOL => Value::Integer(i64::from(bytes.first() == Some(&1))),
        Type::BYTEA => Value::Blob(bytes.to_vec()),
        Type::TEXT | Type::VARCHAR | Type::BPCHAR | Type::NAME | Type::UNKNOWN | Type::JSON => {
            let text = std::str::from_utf8(bytes).map_err(|_| Error::Input("text"))?;
            Value::Text(text.to_owned())
        }
        _ => return Err(Error::Unsupported(format!("binary {kind}"))),
    };
    Ok(value)
}

fn fixed<const N: usize>(bytes: &[u8]) -> Result<[u8; N], Error> {
    bytes.try_into().map_err(|_| Error::Input("binary number"))
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let Some(digits) = text.strip_prefix("\\x") else {
        return Some(text.as_bytes().to_vec());
    };
    if digits.len() % 2 != 0 || !digits.is_ascii() {
        return None;
    }
    (0..digits.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&digits[start..start + 2], 16).ok())
        .collect()
}

/// Writes one field of a row as type `kind`, length first.
pub(crate) fn encode(
    out: &mut BytesMut,
    value: ValueRef<'_>,
    kind: &Type,
    format: i16,
) -> Result<(), Error> {
    if let ValueRef::Null = value {
        out.put_i32(-1);
        return Ok(());
    }
    let start = out.len();
    out.put_i32(0);
    if format == BINARY {
        encode_binary(out, value, kind)?;
    } else {
        encode_text(out, value, kind);
    }
    let length = (out.len() - start - 4) as i32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

fn encode_binary(out: &mut BytesMut, value: ValueRef<'_>, kind: &Type) -> Result<(), Error> {
    match *kind {
        Type::INT8 => out.put_i64(integer(value)?),
        Type::FLOAT8 => out.put_f64(real(value)?),
        Type::BOOL => out.put_u8(u8::from(integer(value)? != 0)),
        Type::BYTEA => match value {
            ValueRef::Blob(bytes) | ValueRef::Text(bytes) => out.put_slice(bytes),
            other => encode_text(out, other, kind),
        },
        _ => encode_text(out, value, kind),
    }
    Ok(())
}

/// Writes a value as the protocol's text.
pub(crate) fn encode_text(out: &mut BytesMut, value: ValueRef<'_>, kind: &Type) {
    match (value, kind) {
        (ValueRef::Null, _) => {}
        (ValueRef::Integer(number), &Type::BOOL) => {
            out.put_u8(if number != 0 { b't' } else { b'f' });
        }
        (ValueRef::Integer(number), _) => out.put_slice(number.to_string().as_bytes()),
        (ValueRef::Real(number), _) => out.put_slice(number.to_string().as_bytes()),
        (ValueRef::Text(text), _) => out.put_slice(text),
        (ValueRef::Blob(bytes), _) => {
            out.put_slice(b"\\x");
            for byte in bytes {
                out.put_slice(format!("{byte:02x}").as_bytes());
            }
        }
    }
}

fn integer(value: ValueRef<'_>) -> Result<i64, Error> {
    match value {
        ValueRef::Integer(number) => Ok(number),
        ValueRef::Real(number) => Ok(number.round_ties_even() as i64),
        ValueRef::Text(text) => std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.trim().parse().ok())
            .ok_or(Error::Input("bigint")),
        _ => Err(Error::Input("bigint")),
    }
}

fn real(value: ValueRef<'_>) -> Result<f64, Error> {
    match value {
        ValueRef::Integer(number) => Ok(number as f64),
        ValueRef::Real(number) => Ok(number),
        ValueRef::Text(text) => std::str::from_utf8(text)
            .ok()
            .and_then(|text| text.trim().parse().ok())
            .ok_or(Error::Input("double precision")),
        _ => Err(Error::Input("double precision")),
    }
}
