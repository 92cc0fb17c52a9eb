//! `get`: prints whether objects are in service, draining or out of service, and why.

use base::prelude::*;
use conf::label::Selector;
use conf::object::Kind;
use eyre::Result;
use plat::Client;
use serde_json::json;

use crate::failure::Failure;
use crate::output::render_table;
use crate::output::Output;
use crate::snapshot::Snapshot;
use crate::view;
use crate::view::Row;
use crate::view::View;

/// The kinds shown by default. Failure domains come first, since their state can explain that of
/// the objects below.
const DEFAULT_KINDS: [Kind; 3] = [Kind::Domain, Kind::Service, Kind::Server];

pub(super) async fn run(
    client: &Client,
    kind: Option<Kind>,
    name: Option<String>,
    selector: Option<Selector>,
) -> Result<Output> {
    let view = View::new(Snapshot::load(client).await?);
    let kinds = kind.map_or(DEFAULT_KINDS.to_vec(), |kind| vec![kind]);
    let mut tables = Vec::new();
    let mut json = json!({ "revision": view.snapshot().revision });
    for kind in kinds {
        let rows = select_rows(&view, kind, name.as_deref(), selector.as_ref());
        if let (Some(name), []) = (&name, rows.as_slice()) {
            let text = format!("{kind} {name} does not exist");
            return Err(Failure::new(Code::NotFound, text).into());
        }
        tables.push(render_rows(kind, &rows));
        json[kind.name()] = serde_json::to_value(&rows)?;
    }
    Ok(Output::new(tables.join("\n"), json))
}

fn select_rows(
    view: &View,
    kind: Kind,
    name: Option<&str>,
    selector: Option<&Selector>,
) -> Vec<Row> {
    let objects = view.snapshot().of_kind(kind);
    objects
        .filter(|object| name.is_none_or(|name| object.name == name))
        .filter(|object| selector.is_none_or(|selector| selector.matches(&object.labels)))
        .map(|object| view.row(kind, object))
        .collect()
}

fn render_rows(kind: Kind, rows: &[Row]) -> String {
    let version = |row: &Row| row.object.version.to_string();
    let labels = |row: &Row| view::format_labels(&row.object.labels);
    match kind {
        Kind::Domain => render_table(
            ["DOMAIN", "STATE", "WHY", "SERVERS", "VERSION", "LABELS"],
            &cells(rows, |row| {
                let Row { state, why, .. } = row.clone();
                let servers = row.members.clone();
                [name(row), state, why, servers, version(row), labels(row)]
            }),
        ),
        Kind::Service => render_table(
            [
                "SERVICE", "STATE", "WHY", "SERVERS", "ADDRESS", "SELECTOR", "VERSION", "LABELS",
            ],
            &cells(rows, |row| {
                let Row { state, why, .. } = row.clone();
                let (address, selector) = (spec_field(row, "address"), spec_field(row, "selector"));
                let servers = row.members.clone();
                let [version, labels] = [version(row), labels(row)];
                [
                    name(row),
                    state,
                    why,
                    servers,
                    address,
                    selector,
                    version,
                    labels,
                ]
            }),
        ),
        Kind::Server => render_table(
            [
                "SERVER", "SERVICE", "DOMAIN", "STATE", "WHY", "VERSION", "LABELS",
            ],
            &cells(rows, |row| {
                let Row { state, why, .. } = row.clone();
                let service = row.service.clone();
                let domain = row.object.labels.get("domain").cloned().unwrap_or_default();
                [
                    name(row),
                    service,
                    domain,
                    state,
                    why,
                    version(row),
                    labels(row),
                ]
            }),
        ),
        Kind::Report => render_table(
            ["REPORT", "OF", "VERSION"],
            &cells(rows, |row| [name(row), row.members.clone(), version(row)]),
        ),
        Kind::Routing => render_table(
            ["ROUTING", "ROUTES", "VERSION"],
            &cells(rows, |row| [name(row), row.members.clone(), version(row)]),
        ),
    }
}

fn cells<const N: usize>(rows: &[Row], of: impl Fn(&Row) -> [String; N]) -> Vec<[String; N]> {
    rows.iter().map(of).collect()
}

fn name(row: &Row) -> String {
    row.object.name.clone()
}

/// Returns a text field of the stored spec, even if the object is not valid.
fn spec_field(row: &Row, name: &str) -> String {
    let spec: serde_json::Value = serde_json::from_str(&row.object.spec.0).unwrap_or_default();
    spec[name].as_str().unwrap_or_default().to_string()
}
