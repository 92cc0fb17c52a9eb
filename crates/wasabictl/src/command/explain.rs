//! `explain`: prints the meaning of result codes.

use base::prelude::*;
use eyre::Result;
use serde_json::json;
use strum::IntoEnumIterator;

use crate::failure::Failure;
use crate::output::render_table;
use crate::output::Output;

pub(super) fn run(text: Option<&str>) -> Result<Output> {
    let codes = match text {
        None => Code::iter().collect(),
        Some(text) => vec![find_code(text)?],
    };
    let rows: Vec<[String; 3]> = codes.iter().map(cells).collect();
    let json = codes.iter().map(
        |code| json!({ "number": code.number(), "name": code.name(), "meaning": code.meaning() }),
    );
    let json = json.collect();
    Ok(Output::new(
        render_table(["CODE", "NAME", "MEANING"], &rows),
        json,
    ))
}

fn cells(code: &Code) -> [String; 3] {
    let number = format!("E{:03}", code.number());
    [number, code.name().into(), code.meaning().into()]
}

fn find_code(text: &str) -> Result<Code> {
    let lower = text.to_ascii_lowercase();
    let digits = lower.strip_prefix('e').unwrap_or(&lower);
    let number = digits.parse().ok().and_then(Code::from_repr);
    let named = || Code::iter().find(|code| code.name() == lower);
    let unknown = || Failure::new(Code::UnknownCode, format!("{text} is not a result code"));
    Ok(number.or_else(named).ok_or_else(unknown)?)
}
