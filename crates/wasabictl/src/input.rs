//! Reads objects from files. A file is used only if all of its objects are valid.

use std::collections::BTreeSet;
use std::io::Read;

use base::prelude::*;
use conf::object::Kind;
use conf::object::Object;
use conf::raw;
use eyre::eyre;
use eyre::Result;
use eyre::WrapErr;
use serde::Deserialize;
use serde_json::Value;

use crate::failure::Failure;

/// Maximum number of bytes read from a file. A longer file is truncated, so that it normally fails
/// to parse.
const FILE_MAX_BYTES: u64 = 16 * 1024 * 1024;
/// The fields that an object in a file may have. Decoding a `raw::Object` ignores other fields, so
/// a misspelled one would go unnoticed.
const OBJECT_FIELDS: [&str; 8] = [
    "kind",
    "name",
    "uid",
    "version",
    "generation",
    "deleted",
    "labels",
    "spec",
];

/// Reads and validates the objects of a file; `-` is standard input.
pub(crate) fn read_objects(file: &str) -> Result<Vec<raw::Object>> {
    let mut text = String::new();
    let result = match file {
        "-" => std::io::stdin()
            .take(FILE_MAX_BYTES)
            .read_to_string(&mut text),
        file => std::fs::File::open(file)
            .and_then(|opened| opened.take(FILE_MAX_BYTES).read_to_string(&mut text)),
    };
    result.wrap_err_with(|| format!("cannot read {file}"))?;
    parse_objects(&text).wrap_err_with(|| file.to_string())
}

/// Parses and validates one object, a list of objects, or a JSON object with the list `objects`.
pub(crate) fn parse_objects(text: &str) -> Result<Vec<raw::Object>> {
    let value: Value = serde_json::from_str(text).map_err(|error| bad_field(error.to_string()))?;
    let values = match value {
        Value::Array(values) => values,
        Value::Object(mut map) if !map.contains_key("kind") => match map.remove("objects") {
            Some(Value::Array(values)) => values,
            _ => return Err(bad_field("neither an object nor a list of objects").into()),
        },
        value => vec![value],
    };
    let mut objects = Vec::new();
    let mut names = BTreeSet::new();
    for (index, value) in values.into_iter().enumerate() {
        let object = parse_object(value).wrap_err_with(|| format!("object {}", index + 1))?;
        if !names.insert((object.kind.clone(), object.name.clone())) {
            let text = format!("{} {} appears twice", object.kind, object.name);
            return Err(Failure::new(Code::NameRepeated, text).into());
        }
        objects.push(object);
    }
    Ok(objects)
}

fn parse_object(value: Value) -> Result<raw::Object> {
    let map = value
        .as_object()
        .ok_or_else(|| bad_field("not an object"))?;
    if let Some(field) = map
        .keys()
        .find(|field| !OBJECT_FIELDS.contains(&field.as_str()))
    {
        return Err(bad_field(format!("unknown field {field}")).into());
    }
    let raw = raw::Object::deserialize(&value).map_err(|error| bad_field(error.to_string()))?;
    let context = || format!("{} {}", raw.kind, raw.name);
    let typed = Object::try_from(&raw).wrap_err_with(context)?;
    if typed.kind() == Kind::Report {
        return Err(eyre!(Failure::new(
            Code::Usage,
            "reports are written only by balancers"
        )));
    }
    Ok(raw)
}

fn bad_field(text: impl Into<String>) -> Failure {
    Failure::new(Code::BadField, text)
}
