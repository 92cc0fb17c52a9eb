//! `wait`: waits until a revision is in force on all balancers.

use std::time::Duration;

use base::prelude::*;
use conf::object::Kind;
use eyre::Result;
use plat::Client;
use serde_json::json;
use tokio::time::Instant;

use crate::command::status::Status;
use crate::exit::Exit;
use crate::failure;
use crate::output::Output;

/// Maximum duration of one watch. A change of the host list does not end a watch, so the list is
/// read again after this time.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(2);
/// Delay before the next attempt after a request to the platform failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);

pub(super) async fn run(client: &Client, revision: Option<u64>, timeout: Span) -> Result<Output> {
    let deadline = Instant::now() + Duration::from_millis(timeout.as_millis());
    let mut target = revision;
    loop {
        let status = match target {
            None => Status::load(client).await,
            Some(_) => Status::load_reports(client).await,
        };
        let pending = match &status {
            Ok(status) => {
                let target = *target.get_or_insert(status.newest_configuration);
                pending_reason(status, target)
            }
            Err(report) => Some(failure::format_report(report).trim_end().to_string()),
        };
        let Some(pending) = pending else {
            let faults = status
                .map(|status| status.reported_faults())
                .unwrap_or_default();
            return Ok(output(target, None, &faults));
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Ok(output(target, Some(pending), &[]));
        }
        // The watch ends when a report changes. During an outage, requests are retried until the
        // deadline.
        let is_platform_down = match &status {
            Ok(status) => {
                let wait = WATCH_WAIT_MAX.min(remaining);
                client
                    .watch(status.revision, wait, &[Kind::Report])
                    .await
                    .is_err()
            }
            Err(_) => true,
        };
        if is_platform_down {
            tokio::time::sleep(RETRY_DELAY.min(remaining)).await;
        }
    }
}

/// Returns why `target` is not yet in force on all balancers, or `None` if it is.
fn pending_reason(status: &Status, target: u64) -> Option<String> {
    let behind = status.balancers_behind(target);
    if status.balancers.is_empty() {
        return Some("no balancer reports".into());
    }
    if !behind.is_empty() {
        return Some(format!("behind: {}", behind.join(", ")));
    }
    if status.is_platform_behind() {
        return Some("the platform is behind the balancers: it has lost changes".into());
    }
    let unreported_hosts = status.unreported_hosts();
    (unreported_hosts > 0).then(|| format!("balancers' hosts in no report: {unreported_hosts}"))
}

fn output(target: Option<u64>, pending: Option<String>, faults: &[String]) -> Output {
    let name = target.map_or("the newest revision".to_string(), |target| {
        format!("r{target}")
    });
    let Some(pending) = pending else {
        let mut text = format!("{name} is in force on all balancers\n");
        for fault in faults {
            text.push_str(&format!("but kept out: {fault}\n"));
        }
        let json = json!({ "revision": target, "in_force": true, "kept_out": faults });
        return Output::new(text, json);
    };
    let text = format!("{}: {name}: {pending}\n", Code::WaitTimeout);
    let json = json!({ "revision": target, "in_force": false, "missing": pending });
    Output::new(text, json).with_exit(Exit::Timeout)
}
