//! The state of each object and the reason for it, derived from the same table as on the balancers.

use std::collections::BTreeMap;

use base::prelude::*;
use conf::fault::Fault;
use conf::key;
use conf::label::Labels;
use conf::object::Body;
use conf::object::Kind;
use conf::object::Object;
use conf::object::State;
use conf::object::DOMAIN_LABEL;
use conf::raw;
use conf::table::server;
use conf::table::Table;
use serde::Serialize;

use crate::snapshot::Snapshot;

/// One object and its effective state.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    /// `in`, `drain`, `out` or `kept-out`; empty for a report.
    pub(crate) state: String,
    /// The reason for the state; empty if there is none to give.
    pub(crate) why: String,
    /// Name of the service of a server; empty if it has none, and for other kinds.
    pub(crate) service: String,
    /// Number of servers in each state for a service or domain, of balancers for a report, of
    /// routes for a routing; empty for a server.
    pub(crate) members: String,
    /// The object as stored.
    pub(crate) object: raw::Object,
}

/// The state shown for an object that validation keeps out of the configuration in force.
const KEPT_OUT: &str = "kept-out";

/// Derives the rows of a snapshot.
pub(crate) struct View {
    snapshot: Snapshot,
    table: Table,
    /// Number of reported balancers, by name of the failure domain.
    balancer_counts: BTreeMap<String, usize>,
}

impl View {
    pub(crate) fn new(snapshot: Snapshot) -> View {
        let table = snapshot.build_table();
        let mut balancer_counts = BTreeMap::new();
        for report in snapshot.of_kind(Kind::Report) {
            if let Ok(Body::Report(body)) = Object::try_from(report).map(|object| object.body) {
                balancer_counts.insert(report.name.clone(), body.balancers.len());
            }
        }
        View {
            snapshot,
            table,
            balancer_counts,
        }
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn row(&self, kind: Kind, object: &raw::Object) -> Row {
        let faults = self.faults_of(object);
        let (state, why, related) = match Object::try_from(object) {
            Err(error) => {
                let why = format!("{error}; the last valid version, if any, stays in force");
                (KEPT_OUT.into(), why, String::new())
            }
            Ok(_) => match kind {
                Kind::Service => self.service_state(object, &faults),
                Kind::Server => self.server_state(object, &faults),
                Kind::Domain => self.domain_state(object),
                Kind::Report => self.report_state(object),
                Kind::Routing => routing_state(object),
            },
        };
        let (service, members) = match kind {
            Kind::Server => (related, String::new()),
            _ => (String::new(), related),
        };
        Row {
            state,
            why,
            service,
            members,
            object: object.clone(),
        }
    }

    fn faults_of(&self, object: &raw::Object) -> Vec<Fault> {
        let is_own = |fault: &&Fault| fault.kind == object.kind && fault.name == object.name;
        self.table.faults().iter().filter(is_own).cloned().collect()
    }

    /// Returns the state, the reason, and the number of servers in each state. The state is the
    /// least one of its servers: `in` if any server is in service, `out` if there are none.
    fn service_state(&self, object: &raw::Object, faults: &[Fault]) -> (String, String, String) {
        let why = join_reasons(faults.iter().map(|fault| fault.code.to_string()));
        let Some(service) = self.table.service_by_uid(object.uid) else {
            return (KEPT_OUT.into(), why, String::new());
        };
        let servers = self.table.servers_of(service);
        let states = servers.iter().map(|server| self.table[*server].state);
        let state = match states.clone().min() {
            _ if self.table[service].address.is_none() => KEPT_OUT,
            None => State::Out.name(),
            Some(state) => state.name(),
        };
        (state.into(), why, format_counts(states))
    }

    /// Returns the state, the reason, and the name of the service.
    fn server_state(&self, object: &raw::Object, faults: &[Fault]) -> (String, String, String) {
        let found = self.table.server_by_uid(object.uid);
        let Some(server) = found.filter(|server| self.table.is_present(*server)) else {
            let why = join_reasons(
                faults
                    .iter()
                    .map(|fault| self.format_fault(object, fault.code)),
            );
            return (KEPT_OUT.into(), why, String::new());
        };
        let row = &self.table[server];
        let service = row.service.map(|service| self.service_name(service));
        let why = self.server_reasons(row);
        (row.state.name().into(), why, service.unwrap_or_default())
    }

    fn format_fault(&self, object: &raw::Object, code: Code) -> String {
        match (code, object.labels.get(DOMAIN_LABEL)) {
            (Code::UnknownDomain, Some(domain)) => format!("{code} {domain}"),
            _ => code.to_string(),
        }
    }

    /// Returns why a server is not in state `in`, has no service, or is shared by services.
    fn server_reasons(&self, row: &server::Row) -> String {
        let domain = &self.table[row.domain];
        let own =
            (row.own_state != State::In).then(|| format!("own label state={}", row.own_state));
        let domains = (domain.state != State::In)
            .then(|| format!("domain {} is {}", domain.name, domain.state));
        let unselected = row.service.is_none();
        let unselected = unselected.then(|| "no service selects it".to_string());
        let others = row.services.iter().skip(1).map(|service| {
            let name = self.service_name(*service);
            format!("also selected by {} ({})", name, Code::ServerShared)
        });
        join_reasons(
            own.into_iter()
                .chain(domains)
                .chain(unselected)
                .chain(others),
        )
    }

    fn service_name(&self, service: key::Service) -> String {
        self.table[service].name.clone()
    }

    /// Returns the state, the reason, and the number of servers in each state.
    fn domain_state(&self, object: &raw::Object) -> (String, String, String) {
        let Some(domain) = self.table.domain_by_uid(object.uid) else {
            return (KEPT_OUT.into(), String::new(), String::new());
        };
        let state = self.table[domain].state;
        let own = (state != State::In).then(|| format!("own label state={state}"));
        let balancer_count = self.balancer_counts.get(&object.name);
        let no_report = balancer_count
            .is_none()
            .then(|| "no balancer reports".to_string());
        let members = self.table.servers().values();
        let members = members.filter(|row| row.is_present && row.domain == domain);
        let why = join_reasons(own.into_iter().chain(no_report));
        (
            state.name().into(),
            why,
            format_counts(members.map(|row| row.state)),
        )
    }

    /// Returns an empty state and reason, and the number of balancers.
    fn report_state(&self, object: &raw::Object) -> (String, String, String) {
        let balancers = self.balancer_counts.get(&object.name).copied().unwrap_or(0);
        (
            String::new(),
            String::new(),
            format!("{balancers} balancers"),
        )
    }
}

/// Formats the number of servers in each state, such as `12 in, 1 drain`.
fn format_counts(states: impl Iterator<Item = State>) -> String {
    let mut counts: BTreeMap<State, usize> = BTreeMap::new();
    for state in states {
        *counts.entry(state).or_default() += 1;
    }
    let parts = counts
        .iter()
        .map(|(state, count)| format!("{count} {state}"));
    parts.collect::<Vec<_>>().join(", ")
}

fn join_reasons(parts: impl Iterator<Item = String>) -> String {
    parts.collect::<Vec<_>>().join("; ")
}

/// Formats labels as `name=value`, separated by spaces.
pub(crate) fn format_labels(labels: &Labels) -> String {
    let pairs = labels.iter().map(|(name, value)| format!("{name}={value}"));
    pairs.collect::<Vec<_>>().join(" ")
}

/// Returns the state of a valid routing, an empty reason, and its number of routes.
fn routing_state(object: &raw::Object) -> (String, String, String) {
    let routes = match Object::try_from(object).map(|object| object.body) {
        Ok(Body::Routing(routing)) => routing.routes.len(),
        _ => 0,
    };
    (State::In.name().into(), String::new(), routes.to_string())
}
