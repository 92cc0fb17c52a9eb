//! `load`: prints which services are short of capacity, which priorities pay for it, and up to which
//! change of the platform each balancer has its objects in force.
//!
//! One balancer is asked for the addresses of all live ones, and each of those for its page `/load`.

use std::fmt;
use std::time::Duration;

use base::prelude::*;
use eyre::Result;
use forward::overview::Balancer;
use forward::overview::Page;
use plat::Client;
use tokio::task::JoinSet;

use crate::command::status::Status;
use crate::failure::Failure;
use crate::output::Output;

mod render;
mod total;

use total::Report;
use total::Silent;

/// Bounds the requests in flight. Operators' hosts have few file descriptors to spare, and 450
/// balancers that all answer at once would exceed a small host's link.
const REQUESTS_MAX: usize = 64;
/// Time-out of one request. Balancers answer within 1 s or not at all.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Bounds the size of a page in bytes. With 256 pools, 8 domains and 450 balancers a page has 510 KB.
const PAGE_BYTES_MAX: usize = 1 << 20;

/// Runs the command. `client` makes a client of the platform, which is needed without `admin`.
pub(super) async fn run(
    client: impl FnOnce() -> Result<Client>,
    admin: Option<&str>,
    names: &[String],
) -> Result<Output> {
    let http = reqwest::Client::builder()
        .connect_timeout(REQUEST_TIMEOUT)
        .timeout(REQUEST_TIMEOUT)
        .no_proxy()
        .build()?;
    let first = match admin {
        Some(admin) => fetch(&http, &admin).await.map_err(|why| {
            let text = format!("the balancer at {admin} does not answer: {why}");
            Failure::new(Code::BalancerDown, text)
        })?,
        None => fetch_reported(&http, &client()?).await?,
    };
    let balancers = select(first.balancers, names)?;
    let (mut pages, mut silent) = (Vec::new(), Vec::new());
    for (balancer, result) in fetch_all(&http, balancers).await {
        match result {
            Ok(page) => pages.push(page),
            Err(why) => silent.push(Silent { balancer, why }),
        }
    }
    // Answers arrive in any order, and the output should not depend on it.
    pages.sort_by(|one, other| (&one.domain, &one.balancer).cmp(&(&other.domain, &other.balancer)));
    silent.sort_by(|one, other| one.balancer.cmp(&other.balancer));
    let report = Report {
        services: total::services(&pages),
        in_force: total::in_force(&pages),
        silent,
        answered: pages.len(),
    };
    Ok(Output::new(render::text(&report), render::json(&report)?))
}

/// Returns the balancers with these names, or all of them without names.
fn select(balancers: Vec<Balancer>, names: &[String]) -> Result<Vec<Balancer>> {
    if names.is_empty() {
        return Ok(balancers);
    }
    let is_known = |name: &&String| balancers.iter().any(|balancer| balancer.name == **name);
    if let Some(name) = names.iter().find(|name| !is_known(name)) {
        let text = format!("no live balancer is called {name}");
        return Err(Failure::new(Code::NotFound, text).into());
    }
    let selected = balancers
        .into_iter()
        .filter(|balancer| names.contains(&balancer.name));
    Ok(selected.collect())
}

/// Returns the page of the first balancer that the platform's reports list and that answers.
async fn fetch_reported(http: &reqwest::Client, client: &Client) -> Result<Page> {
    let status = Status::load_reports(client).await?;
    for (_, balancer) in &status.balancers {
        if let Ok(page) = fetch(http, &balancer.admin).await {
            return Ok(page);
        }
    }
    let text = match status.balancers.is_empty() {
        true => "no report lists a balancer: name one with --admin",
        false => "no reported balancer answers: name one with --admin",
    };
    Err(Failure::new(Code::BalancerDown, text).into())
}

/// Fetches the pages of all balancers, `REQUESTS_MAX` at a time.
async fn fetch_all(
    http: &reqwest::Client,
    balancers: Vec<Balancer>,
) -> Vec<(Balancer, Result<Page, &'static str>)> {
    let mut waiting = balancers.into_iter();
    let mut running = JoinSet::new();
    let mut results = Vec::new();
    loop {
        while running.len() < REQUESTS_MAX {
            let Some(balancer) = waiting.next() else {
                break;
            };
            let http = http.clone();
            running.spawn(async move {
                let result = fetch(&http, &balancer.admin).await;
                (balancer, result)
            });
        }
        match running.join_next().await {
            Some(Ok(result)) => results.push(result),
            Some(Err(error)) => std::panic::resume_unwind(error.into_panic()),
            None => return results,
        }
    }
}

/// Fetches the page of a balancer. The error is the reason, in a few words.
async fn fetch(http: &reqwest::Client, admin: &impl fmt::Display) -> Result<Page, &'static str> {
    let reason = |error: reqwest::Error| match error.is_timeout() {
        true => "no answer in time",
        false => "no connection",
    };
    let request = http.get(format!("http://{admin}/load")).send();
    let mut response = request.await.map_err(reason)?;
    match response.status() {
        status if status.is_success() => (),
        reqwest::StatusCode::NOT_FOUND => return Err("no such page: a relay or an older release"),
        _ => return Err("it is not serving"),
    }
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(reason)? {
        body.extend_from_slice(&chunk);
        if body.len() > PAGE_BYTES_MAX {
            return Err("the answer is too long");
        }
    }
    serde_json::from_slice(&body).map_err(|_| "the answer is malformed")
}
