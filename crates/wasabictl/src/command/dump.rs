//! `dump`: prints the internal state of a balancer, read from its admin address.

use std::time::Duration;

use base::prelude::*;
use eyre::Result;
use plat::Client;
use serde_json::Value;

use crate::command::status::Status;
use crate::failure::Failure;
use crate::output::Output;

/// Time-out for the connection attempt, and for the request as a whole.
const HTTP_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) async fn run(client: &Client, name: &str) -> Result<Output> {
    let status = Status::load_reports(client).await?;
    let mut balancers = status.balancers.iter().map(|(_, balancer)| balancer);
    let found = balancers.find(|balancer| balancer.name == name);
    let text = || format!("no report lists a balancer {name}");
    let balancer = found.ok_or_else(|| Failure::new(Code::NotFound, text()))?;
    let url = format!("http://{}/dump", balancer.admin);
    let text = fetch(&url).await.map_err(|error| {
        let text = format!("{name} at {}: {error}", balancer.admin);
        Failure::new(Code::BalancerDown, text)
    })?;
    let json = serde_json::from_str(&text).unwrap_or(Value::String(text.clone()));
    let text = text.trim_end().to_string() + "\n";
    Ok(Output::new(text, json))
}

async fn fetch(url: &str) -> reqwest::Result<String> {
    let http = reqwest::Client::builder()
        .connect_timeout(HTTP_TIMEOUT)
        .timeout(HTTP_TIMEOUT)
        .no_proxy()
        .build()?;
    let response = http.get(url).send().await?;
    response.error_for_status()?.text().await
}
