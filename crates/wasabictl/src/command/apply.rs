//! `apply`: creates and updates objects from a file.
//!
//! All objects are validated, each alone and together with the stored objects, before the first one
//! is written. Failure domains are written first, then backend servers, then all other kinds, so
//! that no object is written before one that it refers to.

use base::prelude::*;
use conf::fault::Fault;
use conf::object::Kind;
use conf::raw;
use eyre::Result;
use plat::edit;
use plat::edit::Edit;
use plat::edit::Refusal;
use plat::Client;
use serde_json::json;

use crate::failure::Failure;
use crate::input;
use crate::output::Output;
use crate::snapshot::Snapshot;
use crate::view;

/// The result of writing one object. `seen` is the object as read, or as in the file for a new one.
pub(super) struct WriteResult {
    seen: raw::Object,
    result: Result<raw::Object, Refusal>,
}

/// The objects of a file, validated together with the stored objects, in the order of the writes.
pub(super) struct Plan {
    pub(super) before: Snapshot,
    pub(super) objects: Vec<raw::Object>,
    pub(super) warnings: Vec<Fault>,
}

pub(super) async fn run(client: &Client, file: &str) -> Result<Output> {
    let plan = plan(Snapshot::load(client).await?, input::read_objects(file)?)?;
    let mut results = Vec::new();
    for object in &plan.objects {
        let kind = conf::object::parse_kind(&object.kind)?;
        let seen = plan.before.get(kind, &object.name);
        let result = match seen {
            Some(seen) => edit::update(client, seen, &difference(seen, object)).await,
            None => edit::create(client, object).await,
        };
        results.push(WriteResult::new(seen.unwrap_or(object), result));
    }
    format_results(&results, &plan.warnings)
}

/// Validates objects together with the stored objects, and sorts them into the order of the writes.
pub(super) fn plan(before: Snapshot, mut objects: Vec<raw::Object>) -> Result<Plan> {
    for object in &objects {
        check_version(&before, object)?;
    }
    let write_order = |object: &raw::Object| match object.kind.as_str() {
        "Domain" => 0,
        "Server" => 1,
        _ => 2,
    };
    objects.sort_by_key(write_order);
    let merged: Vec<raw::Object> = objects
        .iter()
        .map(|object| merge(&before, object))
        .collect();
    let warnings = before.check_change(&before.clone().with_changes(&merged))?;
    Ok(Plan {
        before,
        objects,
        warnings,
    })
}

/// Fails if an object gives a version that is not the stored one. Version 0 means any version.
fn check_version(before: &Snapshot, object: &raw::Object) -> Result<()> {
    let kind: Kind = conf::object::parse_kind(&object.kind)?;
    let current = before
        .get(kind, &object.name)
        .map_or(0, |current| current.version);
    if object.version != 0 && object.version != current {
        let raw::Object { name, version, .. } = object;
        let text = format!("{kind} {name} is at v{current}, but the file has v{version}");
        return Err(Failure::new(Code::OldVersion, text).into());
    }
    Ok(())
}

/// Returns an object as it is stored once it has been applied.
fn merge(before: &Snapshot, object: &raw::Object) -> raw::Object {
    let mut objects = before.objects.iter();
    let seen = objects.find(|old| old.kind == object.kind && old.name == object.name);
    seen.map_or_else(
        || object.clone(),
        |seen| difference(seen, object).apply(seen),
    )
}

/// Returns the edit that gives `seen` the labels and spec of `object`. Labels that `object` does
/// not name are kept, since an operator may have set them after the file was written.
fn difference(seen: &raw::Object, object: &raw::Object) -> Edit {
    let labels = object.labels.iter();
    let edit = labels.fold(Edit::new(), |edit, (name, value)| {
        edit.with_label(name, Some(value.clone()))
    });
    match object.spec.is_equivalent(&seen.spec) {
        true => edit,
        false => edit.with_spec(object.spec.clone()),
    }
}

impl WriteResult {
    pub(super) fn new(seen: &raw::Object, result: Result<raw::Object, Refusal>) -> WriteResult {
        let seen = seen.clone();
        WriteResult { seen, result }
    }

    fn to_text(&self) -> String {
        let name = format!("{} {}", self.seen.kind, self.seen.name);
        match &self.result {
            Err(refusal) => format!("{name} refused: {}: {refusal}\n", refusal.code()),
            Ok(current) if current.version == self.seen.version => {
                format!("{name} unchanged at v{}\n", current.version)
            }
            Ok(current) => {
                let labels = view::format_labels(&current.labels);
                format!("{name} v{} {labels}", current.version)
                    .trim_end()
                    .to_string()
                    + "\n"
            }
        }
    }

    fn to_json(&self) -> serde_json::Value {
        let (kind, name) = (&self.seen.kind, &self.seen.name);
        match &self.result {
            Ok(current) => json!({ "kind": kind, "name": name, "object": current }),
            Err(refusal) => {
                let code = refusal.code().number();
                let text = refusal.to_string();
                json!({ "kind": kind, "name": name, "code": code, "error": text })
            }
        }
    }
}

/// Formats the faults that do not prevent a write, one a line.
pub(super) fn format_warnings(warnings: &[Fault]) -> String {
    let line = |fault: &Fault| {
        let Fault {
            kind, name, code, ..
        } = fault;
        format!("warning: {kind} {name}: {}\n", code.meaning())
    };
    warnings.iter().map(line).collect()
}

/// Formats the result of each write. The first refusal determines the exit code.
pub(super) fn format_results(results: &[WriteResult], warnings: &[Fault]) -> Result<Output> {
    let mut text: String = results.iter().map(WriteResult::to_text).collect();
    text.push_str(&format_warnings(warnings));
    let written = results
        .iter()
        .filter_map(|write| write.result.as_ref().ok());
    let revision = written.map(|current| current.version).max();
    if let Some(revision) = revision {
        text.push_str(&format!(
            "in force with: wasabictl wait --revision {revision}\n"
        ));
    }
    let objects: Vec<_> = results.iter().map(WriteResult::to_json).collect();
    let json = json!({ "revision": revision, "objects": objects, "warnings": warnings });
    let refusal = results.iter().find_map(|write| write.result.as_ref().err());
    let code = refusal.map_or(Code::Ok, Refusal::code);
    Ok(Output::new(text, json).with_code(code))
}
