//! `status`: prints the revision that each balancer has in force, and the faults that it reports.

use std::collections::BTreeSet;

use conf::object::Balancer;
use conf::object::Body;
use conf::object::Finding;
use conf::object::Kind;
use conf::object::Object;
use eyre::Result;
use plat::response::Host;
use plat::response::List;
use plat::Client;
use serde_json::json;

use crate::output::render_table;
use crate::output::Output;
use crate::snapshot::Snapshot;

/// The reports of the balancers, compared with the platform's revision and host list.
pub(super) struct Status {
    /// The platform's revision.
    pub(super) revision: u64,
    /// The highest version of a configuration object, which any object but a report is; 0 if
    /// only reports were loaded.
    pub(super) newest_configuration: u64,
    /// Reported balancers, each with the name of its failure domain.
    pub(super) balancers: Vec<(String, Balancer)>,
    /// Number of hosts in the platform's list that run a balancer and are not being removed.
    pub(super) balancer_hosts: usize,
}

impl Status {
    pub(super) async fn load(client: &Client) -> Result<Status> {
        let snapshot = Snapshot::load(client).await?;
        let hosts = client.hosts().await?;
        Ok(Status::new(&snapshot, &hosts))
    }

    /// Loads only the reports; `newest_configuration` is 0.
    pub(super) async fn load_reports(client: &Client) -> Result<Status> {
        let List {
            revision, objects, ..
        } = client.list(Some(Kind::Report)).await?;
        let hosts = client.hosts().await?;
        Ok(Status::new(&Snapshot { revision, objects }, &hosts))
    }

    pub(super) fn new(snapshot: &Snapshot, hosts: &[Host]) -> Status {
        let mut balancers = Vec::new();
        for report in snapshot.of_kind(Kind::Report) {
            if let Ok(Body::Report(body)) = Object::try_from(report).map(|object| object.body) {
                let reported = body.balancers.into_iter();
                balancers.extend(reported.map(|balancer| (report.name.clone(), balancer)));
            }
        }
        let is_balancer = |host: &&Host| host.datagram.is_some() && !host.leaving;
        Status {
            revision: snapshot.revision,
            newest_configuration: snapshot.newest_configuration(),
            balancers,
            balancer_hosts: hosts.iter().filter(is_balancer).count(),
        }
    }

    /// Returns the names of the balancers whose revision in force is older than `revision`.
    pub(super) fn balancers_behind(&self, revision: u64) -> Vec<&str> {
        let balancers = self.balancers.iter().map(|(_, balancer)| balancer);
        let behind = balancers.filter(|balancer| balancer.revision < revision);
        behind.map(|balancer| balancer.name.as_str()).collect()
    }

    /// Returns the number of hosts that run a balancer beyond the number of reported balancers.
    pub(super) fn unreported_hosts(&self) -> usize {
        self.balancer_hosts.saturating_sub(self.balancers.len())
    }

    /// Returns the faults that at least one balancer reports, sorted and without duplicates.
    pub(super) fn reported_faults(&self) -> Vec<String> {
        let faults = self
            .balancers
            .iter()
            .flat_map(|(_, balancer)| &balancer.faults);
        let found: BTreeSet<String> = faults.map(format_finding).collect();
        found.into_iter().collect()
    }

    fn to_text(&self) -> String {
        let rows: Vec<[String; 6]> = self
            .balancers
            .iter()
            .map(|(domain, balancer)| self.cells(domain, balancer))
            .collect();
        let header = [
            "DOMAIN", "BALANCER", "ADMIN", "REVISION", "IN FORCE", "FAULTS",
        ];
        let mut text = format!(
            "platform at r{}, newest configuration r{}\n{}",
            self.revision,
            self.newest_configuration,
            render_table(header, &rows)
        );
        if self.unreported_hosts() > 0 {
            let line = format!(
                "balancers' hosts in no report: {}\n",
                self.unreported_hosts()
            );
            text.push_str(&line);
        }
        if self.is_platform_behind() {
            text.push_str("the platform is behind the balancers: it has lost changes\n");
        }
        text
    }

    /// Returns whether a balancer has a later revision in force than the platform. The platform has
    /// then lost changes, for example because it was restored to an earlier state.
    pub(super) fn is_platform_behind(&self) -> bool {
        let mut balancers = self.balancers.iter();
        balancers.any(|(_, balancer)| balancer.revision > self.revision)
    }

    fn cells(&self, domain: &str, balancer: &Balancer) -> [String; 6] {
        let in_force = match balancer.revision >= self.newest_configuration {
            true => "newest",
            false => "older",
        };
        let format_finding = |finding: &conf::object::Finding| {
            format!("{} {} {}", finding.kind, finding.name, finding.code)
        };
        let faults: Vec<String> = balancer.faults.iter().map(format_finding).collect();
        [
            domain.into(),
            balancer.name.clone(),
            balancer.admin.to_string(),
            format!("r{}", balancer.revision),
            in_force.into(),
            faults.join("; "),
        ]
    }

    fn to_json(&self) -> serde_json::Value {
        let balancers = self.balancers.iter().map(|(domain, balancer)| {
            let faults = balancer.faults.iter().map(|fault| {
                let code = fault.code.number();
                json!({ "kind": fault.kind, "name": fault.name, "code": code })
            });
            json!({
                "domain": domain,
                "name": balancer.name,
                "incarnation": balancer.incarnation.to_string(),
                "admin": balancer.admin,
                "revision": balancer.revision,
                "newest": balancer.revision >= self.newest_configuration,
                "faults": faults.collect::<Vec<_>>(),
            })
        });
        json!({
            "revision": self.revision,
            "newest": self.newest_configuration,
            "hosts": self.balancer_hosts,
            "unheard": self.unreported_hosts(),
            "platform_behind": self.is_platform_behind(),
            "balancers": balancers.collect::<Vec<_>>(),
        })
    }
}

fn format_finding(finding: &Finding) -> String {
    format!("{} {} {}", finding.kind, finding.name, finding.code)
}

pub(super) async fn run(client: &Client) -> Result<Output> {
    let status = Status::load(client).await?;
    Ok(Output::new(status.to_text(), status.to_json()))
}
