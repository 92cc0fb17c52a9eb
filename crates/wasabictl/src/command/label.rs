//! `label`: sets and removes labels of one object, or of all objects that match a selector.

use base::prelude::*;
use conf::label::Selector;
use conf::object::Kind;
use conf::raw;
use eyre::Result;
use plat::edit;
use plat::edit::Edit;
use plat::Client;

use crate::command::apply;
use crate::command::apply::WriteResult;
use crate::failure::Failure;
use crate::output::Output;
use crate::snapshot::Snapshot;

pub(super) async fn run(
    client: &Client,
    kind: Kind,
    selector: Option<Selector>,
    arguments: &[String],
) -> Result<Output> {
    if kind == Kind::Report {
        return Err(Failure::new(Code::Usage, "reports are written only by balancers").into());
    }
    let (name, changes) = match &selector {
        Some(_) => (None, arguments),
        None => (arguments.first(), arguments.get(1..).unwrap_or_default()),
    };
    let edit = parse_edit(changes)?;
    let before = Snapshot::load(client).await?;
    let seen = match (&selector, name) {
        (Some(selector), _) => before.matching(kind, selector),
        (None, Some(name)) => vec![before.require(kind, name)?],
        (None, None) => Vec::new(),
    };
    if seen.is_empty() {
        let text = format!("the selector matches no {kind}");
        return Err(Failure::new(Code::NotFound, text).into());
    }
    let desired: Vec<raw::Object> = seen.iter().map(|object| edit.apply(object)).collect();
    let warnings = before.check_change(&before.clone().with_changes(&desired))?;
    let mut results = Vec::new();
    for object in seen {
        let result = edit::update(client, object, &edit).await;
        results.push(WriteResult::new(object, result));
    }
    apply::format_results(&results, &warnings)
}

/// Combines label changes into one edit; each label may occur once.
fn parse_edit(arguments: &[String]) -> Result<Edit> {
    if arguments.is_empty() {
        return Err(
            Failure::new(Code::Usage, "label changes are required: KEY=VALUE or KEY-").into(),
        );
    }
    let mut edit = Edit::new();
    for argument in arguments {
        let change: Edit = argument.parse()?;
        for (name, value) in change.labels {
            if edit.labels.insert(name.clone(), value).is_some() {
                let text = format!("label {name} is changed twice");
                return Err(Failure::new(Code::Usage, text).into());
            }
        }
    }
    Ok(edit)
}
