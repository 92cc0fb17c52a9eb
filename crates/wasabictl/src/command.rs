//! The commands, one module each.

use base::prelude::*;
use eyre::Result;
use plat::Client;

use crate::args::Args;
use crate::args::Command;
use crate::failure::Failure;
use crate::output::Output;

mod apply;
mod check;
mod delete;
mod dump;
mod explain;
mod get;
mod label;
mod load;
mod status;
mod wait;

pub(crate) async fn run(args: &Args) -> Result<Output> {
    let client = || new_client(args.platform_url());
    match args.command().clone() {
        Command::Get {
            selector,
            kind,
            name,
            ..
        } => get::run(&client()?, kind.map(|kind| kind.0), name, selector).await,
        Command::Label {
            selector,
            kind,
            arguments,
            ..
        } => label::run(&client()?, kind.0, selector, &arguments).await,
        Command::Apply { file, .. } => apply::run(&client()?, &file).await,
        Command::Delete { kind, name, .. } => delete::run(&client()?, kind.0, &name).await,
        Command::Status { .. } => status::run(&client()?).await,
        Command::Wait {
            revision,
            timeout_s,
            ..
        } => wait::run(&client()?, revision, Span::secs(timeout_s)).await,
        Command::Dump { balancer, .. } => dump::run(&client()?, &balancer).await,
        Command::Load {
            admin, balancers, ..
        } => load::run(client, admin.as_deref(), &balancers).await,
        Command::Check { file, .. } => {
            let client = args.platform_url().map(|_| client()).transpose()?;
            check::run(client.as_ref(), &file).await
        }
        Command::Explain { code, .. } => explain::run(code.as_deref()),
    }
}

fn new_client(url: Option<&str>) -> Result<Client> {
    let text = "the platform URL is required: set --platform or WASABI_PLATFORM";
    let url = url.ok_or_else(|| Failure::new(Code::Usage, text))?;
    let invalid_url =
        |error: plat::Error| Failure::new(Code::Usage, format!("--platform: {error}"));
    Ok(Client::new(url).map_err(invalid_url)?)
}
