//! `delete`: deletes an object.

use conf::object::Kind;
use eyre::Result;
use plat::edit;
use plat::Client;
use serde_json::json;

use crate::output::Output;
use crate::snapshot::Snapshot;

pub(super) async fn run(client: &Client, kind: Kind, name: &str) -> Result<Output> {
    let before = Snapshot::load(client).await?;
    let seen = before.require(kind, name)?;
    before.check_change(&before.clone().without_object(seen))?;
    let revision = edit::delete(client, seen).await?;
    let json = json!({ "kind": kind.name(), "name": name, "revision": revision });
    let text = match revision {
        Some(revision) => format!(
            "{kind} {name} deleted at v{revision}\n\
             in force with: wasabictl wait --revision {revision}\n"
        ),
        None => format!("{kind} {name} deleted\n"),
    };
    Ok(Output::new(text, json))
}
