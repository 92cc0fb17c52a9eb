//! The output of `load`, as text and JSON.

use eyre::Result;
use serde_json::Value;

use super::total::InForce;
use super::total::Report;
use super::total::Service;
use super::total::Silent;
use crate::output::render_table;

/// The number of balancers up to which a table names them.
const NAMES_MAX: usize = 3;

pub(super) fn json(report: &Report) -> Result<Value> {
    Ok(serde_json::to_value(report)?)
}

pub(super) fn text(report: &Report) -> String {
    let Report {
        answered,
        silent,
        services,
        in_force,
    } = report;
    let mut text = format!("balancers: {answered} answered, {} silent\n", silent.len());
    if services.is_empty() && *answered > 0 {
        text.push_str("no service was short of capacity there in the last 60 s\n");
    }
    let sections = [
        services_table(services),
        priorities_table(services),
        spill_table(services),
        servers_table(services),
        objects_table(in_force),
        silent_table(silent),
    ];
    for section in sections.into_iter().flatten() {
        text.push('\n');
        text.push_str(&section);
    }
    text
}

/// Shows which service is short, where, and by how much.
fn services_table(services: &[Service]) -> Option<String> {
    let rows = services.iter().flat_map(|service| {
        service.domains.iter().map(|domain| {
            let (demand, capacity) = (domain.demand_per_10s, domain.capacity_per_10s);
            let short = demand
                .zip(capacity)
                .map(|(demand, capacity)| rate(demand.saturating_sub(capacity)));
            [
                service.name.clone(),
                domain.name.clone(),
                short.unwrap_or_default(),
                demand.map(rate).unwrap_or_default(),
                capacity.map(rate).unwrap_or_default(),
                domain.slots.to_string(),
                domain.running.to_string(),
                domain.service_ms.map(millis).unwrap_or_default(),
                millis(domain.age_ms),
            ]
        })
    });
    let header = [
        "SERVICE",
        "DOMAIN",
        "SHORT BY",
        "DEMAND",
        "CAPACITY",
        "SLOTS",
        "RUNNING",
        "SERVICE TIME",
        "LAST SHORT",
    ];
    section(header, rows)
}

/// Shows which priorities pay.
fn priorities_table(services: &[Service]) -> Option<String> {
    let rows = services.iter().flat_map(|service| {
        service.priorities.iter().map(|part| {
            let percent = u64::from(part.refused_per_10s) * 100;
            let percent = percent / u64::from(part.offered_per_10s.max(1));
            let priority = match part.priority {
                3 => "3+".to_owned(),
                priority => priority.to_string(),
            };
            [
                service.name.clone(),
                priority,
                rate(part.offered_per_10s),
                rate(part.admitted_per_10s),
                rate(part.refused_per_10s),
                format!("{percent}%"),
            ]
        })
    });
    let header = [
        "SERVICE",
        "PRIORITY",
        "OFFERED",
        "ADMITTED",
        "REFUSED",
        "OF OFFERED",
    ];
    section(header, rows)
}

fn spill_table(services: &[Service]) -> Option<String> {
    let rows = services.iter().flat_map(|service| {
        service.domains.iter().flat_map(|domain| {
            domain.spill_permille.iter().map(|(to, share)| {
                let share = format!("{}.{}%", share / 10, share % 10);
                [service.name.clone(), domain.name.clone(), to.clone(), share]
            })
        })
    });
    section(["SERVICE", "SPILLS FROM", "TO", "SHARE"], rows)
}

fn servers_table(services: &[Service]) -> Option<String> {
    let rows = services.iter().flat_map(|service| {
        service.slow_servers.iter().map(|server| {
            let slowdown = server.slowdown_permille;
            [
                service.name.clone(),
                server.name.clone(),
                server.domain.clone(),
                millis(server.service_ms),
                format!("{}.{}x", slowdown / 1_000, slowdown % 1_000 / 100),
            ]
        })
    });
    let header = [
        "SERVICE",
        "SLOW SERVER",
        "DOMAIN",
        "SERVICE TIME",
        "OF POOL",
    ];
    section(header, rows)
}

/// Shows which balancers lack changes, also after the platform was restored from an older copy.
fn objects_table(in_force: &[InForce]) -> Option<String> {
    let rows = in_force.iter().map(|objects| {
        let balancers = match objects.balancers.len() {
            count @ 0..=NAMES_MAX => format!("{count}: {}", objects.balancers.join(", ")),
            count => count.to_string(),
        };
        [
            objects.kind.clone(),
            objects.era.to_string(),
            objects.revision.to_string(),
            balancers,
        ]
    });
    section(["OBJECTS", "ERA", "REVISION", "IN FORCE AT"], rows)
}

fn silent_table(silent: &[Silent]) -> Option<String> {
    let rows = silent.iter().map(|silent| {
        [
            silent.balancer.name.clone(),
            silent.balancer.domain.clone(),
            silent.balancer.admin.to_string(),
            silent.why.to_owned(),
        ]
    });
    section(["SILENT BALANCER", "DOMAIN", "ADMIN", "REASON"], rows)
}

/// Returns a table, or nothing without rows.
fn section<const N: usize>(
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> Option<String> {
    let rows: Vec<[String; N]> = rows.collect();
    (!rows.is_empty()).then(|| render_table(header, &rows))
}

fn rate(per_10s: u32) -> String {
    format!("{}.{}/s", per_10s / 10, per_10s % 10)
}

fn millis(ms: u64) -> String {
    match ms {
        0..10_000 => format!("{ms}ms"),
        _ => format!("{}s", ms / 1_000),
    }
}
