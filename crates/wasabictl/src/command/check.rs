//! `check`: validates a file without writing it.

use eyre::Result;
use plat::Client;
use serde_json::json;

use crate::command::apply;
use crate::input;
use crate::output::Output;
use crate::snapshot::Snapshot;

pub(super) async fn run(client: Option<&Client>, file: &str) -> Result<Output> {
    let objects = input::read_objects(file)?;
    let count = objects.len();
    let Some(client) = client else {
        let text = format!(
            "objects that pass, each alone: {count}; set --platform to check them together\n"
        );
        return Ok(Output::new(text, json!({ "objects": count })));
    };
    let plan = apply::plan(Snapshot::load(client).await?, objects)?;
    let text = format!(
        "objects that pass: {count}\n{}",
        apply::format_warnings(&plan.warnings)
    );
    let json = json!({ "objects": count, "warnings": plan.warnings });
    Ok(Output::new(text, json))
}
