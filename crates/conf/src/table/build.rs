//! Builds the table from the store and applies the validation rules across objects.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use super::domain;
use super::intern;
use super::server;
use super::service;
use super::Table;
use crate::fault::Fault;
use crate::key;
use crate::label::Labels;
use crate::label::Selector;
use crate::label::Term;
use crate::object;
use crate::object::Body;
use crate::object::Kind;
use crate::object::Meta;
use crate::object::State;
use crate::store::Store;

/// Objects of the store by kind, each kind ordered by uid.
#[derive(Default)]
struct Input<'a> {
    services: Vec<(&'a Meta, &'a object::Service)>,
    servers: Vec<(&'a Meta, &'a object::Server)>,
    domains: Vec<(&'a Meta, &'a object::Domain)>,
}

/// The present backend servers and their labels, indexed by label.
#[derive(Default)]
struct Index<'a> {
    all: Vec<Labelled<'a>>,
    by_label: BTreeMap<&'a str, BTreeMap<&'a str, Vec<Labelled<'a>>>>,
}

type Labelled<'a> = (key::Server, &'a Labels);

pub(super) fn rebuild(table: &mut Table, store: &Store) {
    let input = Input::new(store);
    table.revision = store.revision();
    table.faults = store.faults();
    clear(table);
    insert_domains(table, &input);
    let index = insert_servers(table, &input);
    insert_services(table, &input, &index);
    table.faults.sort();
}

impl<'a> Input<'a> {
    fn new(store: &'a Store) -> Input<'a> {
        let mut input = Input::default();
        for object in store.objects() {
            let meta = &object.meta;
            match &object.body {
                Body::Service(body) => input.services.push((meta, body)),
                Body::Server(body) => input.servers.push((meta, body)),
                Body::Domain(body) => input.domains.push((meta, body)),
                Body::Report(_) | Body::Routing(_) => (),
            }
        }
        sort_by_uid(&mut input.services);
        sort_by_uid(&mut input.servers);
        sort_by_uid(&mut input.domains);
        input
    }
}

/// Sorts by uid. The platform does not reuse uids; if it did, only the first object by name would
/// be applied, since a key refers to one object.
fn sort_by_uid<T>(objects: &mut Vec<(&Meta, T)>) {
    objects.sort_by_key(|(meta, _)| meta.uid);
    objects.dedup_by_key(|(meta, _)| meta.uid);
}

impl<'a> Index<'a> {
    fn add(&mut self, server: key::Server, labels: &'a Labels) {
        self.all.push((server, labels));
        for (name, value) in labels {
            let values = self.by_label.entry(name).or_default();
            values.entry(value).or_default().push((server, labels));
        }
    }

    fn servers_with_label(&self, name: &str, value: &str) -> &[Labelled<'a>] {
        let found = self.by_label.get(name).and_then(|found| found.get(value));
        found.map_or(&[], Vec::as_slice)
    }

    /// Returns the servers that can match: those with the rarest label that the selector requires.
    fn candidates(&self, selector: &Selector) -> &[Labelled<'a>] {
        let required = selector.terms().iter().filter_map(|term| match term {
            Term::Equal(name, value) => Some(self.servers_with_label(name, value)),
            _ => None,
        });
        required
            .min_by_key(|found| found.len())
            .unwrap_or(&self.all)
    }
}

fn clear(table: &mut Table) {
    table.addresses.clear();
    for row in table.domains.values_mut() {
        row.is_present = false;
    }
    for row in table.servers.values_mut() {
        row.is_present = false;
        row.service = None;
        row.services.clear();
    }
    for row in table.services.values_mut() {
        row.is_present = false;
        row.address = None;
        row.servers.clear();
    }
}

fn insert_domains(table: &mut Table, input: &Input<'_>) {
    for (meta, body) in &input.domains {
        let row = domain::Row {
            uid: meta.uid,
            name: meta.name.clone(),
            state: body.state,
            is_present: true,
        };
        let domain = intern(&mut table.domains, &mut table.domain_uids, meta.uid, || {
            row.clone()
        });
        table.domains[domain] = row;
    }
}

fn insert_servers<'a>(table: &mut Table, input: &Input<'a>) -> Index<'a> {
    let mut index = Index::default();
    let names: BTreeMap<String, (key::Domain, State)> = table
        .domains
        .iter()
        .filter(|(_, row)| row.is_present)
        .map(|(domain, row)| (row.name.clone(), (domain, row.state)))
        .collect();
    // Uid of the server that has each address.
    let mut owners: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for (meta, body) in &input.servers {
        let Some((domain, state)) = names.get(&body.domain).copied() else {
            push_fault(table, Kind::Server, meta, Code::UnknownDomain);
            continue;
        };
        if *owners.entry(body.address).or_insert(meta.uid) != meta.uid {
            push_fault(table, Kind::Server, meta, Code::AddressTaken);
            continue;
        }
        let server = insert_server(table, meta, body, domain, state);
        index.add(server, &meta.labels);
    }
    index
}

fn insert_server(
    table: &mut Table,
    meta: &Meta,
    body: &object::Server,
    domain: key::Domain,
    state: State,
) -> key::Server {
    let row = server::Row {
        uid: meta.uid,
        name: meta.name.clone(),
        generation: meta.generation,
        address: body.address,
        domain,
        slots: body.slots,
        connections: body.connections,
        own_state: body.state,
        state: body.state.max(state),
        service: None,
        services: Vec::new(),
        is_present: true,
    };
    let server = intern(&mut table.servers, &mut table.server_uids, meta.uid, || {
        row.clone()
    });
    table.servers[server] = row;
    server
}

fn insert_services(table: &mut Table, input: &Input<'_>, index: &Index<'_>) {
    for (meta, body) in &input.services {
        let row = service::Row {
            uid: meta.uid,
            name: meta.name.clone(),
            generation: meta.generation,
            address: Some(body.address),
            deadline: body.deadline,
            selector: body.selector.clone(),
            servers: Vec::new(),
            is_present: true,
        };
        let service = intern(
            &mut table.services,
            &mut table.service_uids,
            meta.uid,
            || row.clone(),
        );
        table.services[service] = row;
        if *table.addresses.entry(body.address).or_insert(service) != service {
            table.services[service].address = None;
            push_fault(table, Kind::Service, meta, Code::AddressTaken);
        }
        if let Some(code) = assign_servers(table, service, index) {
            push_fault(table, Kind::Service, meta, code);
        }
    }
}

/// Assigns to a service the servers that its selector matches and that no earlier service has.
/// Returns the fault that this finds, if any.
fn assign_servers(table: &mut Table, service: key::Service, index: &Index<'_>) -> Option<Code> {
    let selector = table.services[service].selector.clone();
    let mut servers = Vec::new();
    // The first server that is assigned clears `SelectsNothing`; `ServerShared` is never cleared.
    let mut code = Some(Code::SelectsNothing);
    for (server, labels) in index.candidates(&selector) {
        if !selector.matches(labels) {
            continue;
        }
        let row = &mut table.servers[*server];
        row.services.push(service);
        if *row.service.get_or_insert(service) == service {
            servers.push(*server);
            code = code.filter(|code| *code == Code::ServerShared);
        } else {
            code = Some(Code::ServerShared);
        }
    }
    servers.sort();
    table.services[service].servers = servers;
    code
}

fn push_fault(table: &mut Table, kind: Kind, meta: &Meta, code: Code) {
    table.faults.push(Fault {
        kind: kind.name().into(),
        name: meta.name.clone(),
        version: meta.version,
        code,
    });
}
