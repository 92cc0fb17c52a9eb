//! Describes a deployment.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use conf::raw::Object;
use conf::raw::Spec;
use serde_json::json;

use crate::backend;
use crate::fabric::Link;

/// A service and its number of backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The service address.
    pub address: Ipv4Addr,
    /// Number of backend servers, assigned to the failure domains round-robin.
    pub servers: u32,
}

/// Implementation of the balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Balancer {
    /// The shipped binary.
    Wasabid,
    /// The minimal balancer among this crate's examples, as a baseline for comparison.
    Plain,
}

/// Description of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Failure domains.
    pub domains: Vec<String>,
    /// Services.
    pub services: Vec<Service>,
    /// Number of balancers, assigned to the failure domains round-robin.
    pub balancers: u32,
    /// Mean service time of a request on a backend server, in microseconds.
    pub service_time_us: u64,
    /// Maximum duration of a cold start of a backend server, in milliseconds.
    pub cold_ms: u64,
    /// Grace period in which a backend server that turns cold under load does not crash, in
    /// milliseconds.
    pub cold_grace_ms: u64,
    /// Network conditions of callers' datagrams.
    pub link: Link,
    /// How long the fabric still forwards datagrams to a removed balancer, in milliseconds.
    pub removal_delay_ms: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Implementation of the balancers.
    pub balancer: Balancer,
    /// Additional command-line flags of every balancer.
    pub flags: Vec<String>,
}

/// First two bytes of the service addresses of [`Plan::zawadzki`].
const ZAWADZKI_NETWORK: [u8; 2] = [127, 1];
/// First two bytes of the service addresses of [`Plan::lakeshore`].
const LAKESHORE_NETWORK: [u8; 2] = [127, 2];

impl Plan {
    /// Returns the deployment of Zawadzki Tofu Rounds at its current size.
    pub fn zawadzki() -> Plan {
        let domains = ["mazowsze-a", "mazowsze-b", "mazowsze-c"];
        let services = [("rounds", 14), ("route-sheets", 4)];
        Plan::new("zawadzki", domains, services, ZAWADZKI_NETWORK)
    }

    /// Returns the deployment of Lakeshore Frame Fitters at its current size.
    pub fn lakeshore() -> Plan {
        let domains = ["gl-a", "gl-b", "gl-c"];
        let services = [("fitting", 14), ("lens-preview", 4)];
        Plan::new("lakeshore", domains, services, LAKESHORE_NETWORK)
    }

    fn new<const N: usize, const M: usize>(
        name: &str,
        domains: [&str; N],
        services: [(&str, u32); M],
        net: [u8; 2],
    ) -> Plan {
        let service = |(n, (name, servers)): (u8, (&str, u32))| Service {
            name: name.to_owned(),
            address: Ipv4Addr::new(net[0], net[1], 0, n),
            servers,
        };
        Plan {
            name: name.to_owned(),
            domains: domains.map(str::to_owned).to_vec(),
            services: (1..).zip(services).map(service).collect(),
            balancers: 9,
            service_time_us: 10_000,
            cold_ms: 5_000,
            cold_grace_ms: 0,
            link: Link::default(),
            removal_delay_ms: 1_000,
            seed: 1,
            balancer: Balancer::Wasabid,
            flags: Vec::new(),
        }
    }

    /// Sets the seed.
    pub fn with_seed(mut self, seed: u64) -> Plan {
        self.seed = seed;
        self
    }

    /// Sets the network conditions of callers' datagrams.
    pub fn with_link(mut self, link: Link) -> Plan {
        self.link = link;
        self
    }

    /// Sets the mean service time of a request on a backend server, in microseconds.
    pub fn with_service_time_us(mut self, service_time_us: u64) -> Plan {
        self.service_time_us = service_time_us;
        self
    }

    /// Returns the failure domain of the `n`th balancer, or of the `n`th backend server of a
    /// service.
    pub fn domain(&self, n: usize) -> &str {
        &self.domains[n % self.domains.len()]
    }

    /// Returns the platform objects of the deployment, with the addresses of these backend servers.
    pub fn objects(&self, servers: &[Server]) -> Vec<Object> {
        let domains = self
            .domains
            .iter()
            .map(|name| object("Domain", name, [], json!({})));
        let servers = servers.iter().map(Server::object);
        let services = self.services.iter().map(|service| {
            let selector = format!("service={}", service.name);
            let spec = json!({"address": service.address, "selector": selector});
            object("Service", &service.name, [], spec)
        });
        domains.chain(servers).chain(services).collect()
    }
}

/// A backend server of a deployment.
#[derive(Clone, Debug)]
pub struct Server {
    /// The name of its object.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Addresses that it listens on.
    pub at: backend::Address,
}

impl Server {
    fn object(&self) -> Object {
        let labels = [("domain", &self.domain), ("service", &self.at.service)];
        let labels = labels.map(|(name, value)| (name, value.as_str()));
        object(
            "Server",
            &self.name,
            labels,
            json!({"address": self.at.address}),
        )
    }
}

fn object<const N: usize>(
    kind: &str,
    name: &str,
    labels: [(&str, &str); N],
    spec: serde_json::Value,
) -> Object {
    let labels = labels.map(|(name, value)| (name.to_owned(), value.to_owned()));
    Object {
        kind: kind.to_owned(),
        name: name.to_owned(),
        uid: 0,
        version: 0,
        generation: 0,
        deleted: false,
        labels: BTreeMap::from(labels),
        spec: Spec(spec.to_string()),
    }
}
