//! Command lines of the test doubles.

use std::net::SocketAddr;

use eyre::Result;
use tokio::process::Command;

use super::child;
use super::Plan;
use crate::caller::Options;

pub(super) fn backend(plan: &Plan) -> Result<Command> {
    let mut command = child::example("backend")?;
    for service in &plan.services {
        command.arg("--serve");
        command.arg(format!("{}={}", service.name, service.servers));
    }
    command.args(["--first", &super::FIRST_SERVER_HOST.to_string()]);
    command.args(["--time-us", &plan.service_time_us.to_string()]);
    command.args(["--cold-ms", &plan.cold_ms.to_string()]);
    command.args(["--cold-grace-ms", &plan.cold_grace_ms.to_string()]);
    command.args(["--seed", &plan.seed.to_string()]);
    Ok(command)
}

pub(super) fn fabric(plan: &Plan) -> Result<Command> {
    let mut command = child::example("fabric")?;
    for service in &plan.services {
        command.args(["--service", &format!("{}:0", service.address)]);
    }
    let link = plan.link;
    let settings = [
        ("--notice-ms", plan.removal_delay_ms.to_string()),
        ("--seed", plan.seed.to_string()),
        ("--drop", link.drop.to_string()),
        ("--duplicate", link.duplicate.to_string()),
        ("--reorder", link.reorder.to_string()),
        ("--delay-us", link.delay_us.to_string()),
        ("--jitter-us", link.jitter_us.to_string()),
        ("--inner-us", link.inner_us.to_string()),
    ];
    for (flag, value) in settings {
        command.args([flag, &value]);
    }
    Ok(command)
}

pub(super) fn caller(service: SocketAddr, options: &Options) -> Result<Command> {
    let mut command = child::example("caller")?;
    let settings = [
        ("--service", service.to_string()),
        ("--flows-per-s", options.flows_per_s.to_string()),
        ("--requests-per-flow", options.requests.to_string()),
        ("--think-ms", options.think_time.as_millis().to_string()),
        ("--seconds", options.duration.as_secs_f64().to_string()),
        ("--seed", options.seed.to_string()),
        ("--post-share", options.post_share.to_string()),
        ("--large-share", options.large_share.to_string()),
        ("--large", options.large_bytes.to_string()),
        (
            "--ack-timeout-ms",
            options.ack_timeout.as_millis().to_string(),
        ),
        ("--deadline-ms", options.deadline.as_millis().to_string()),
        ("--retransmissions", options.retransmissions.to_string()),
        ("--refusals", options.refusals.to_string()),
    ];
    for (flag, value) in settings {
        command.args([flag, &value]);
    }
    if !options.large_posts {
        command.arg("--small-posts");
    }
    Ok(command)
}
