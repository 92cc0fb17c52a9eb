//! Starts and controls a deployment as separate processes on loopback, for the demo, the experiment
//! and process tests.
//!
//! - `plan`: describes a deployment.
//! - `child`: starts, signals and reads from a child process.
//! - `tool`: runs `wasabictl`.
//! - `measure`: active revisions and resource usage of balancers.
//! - `control`: injects faults into the test doubles.
//! - `command`: command lines of the test doubles.
//!
//! All processes are killed when their `Fleet` is dropped.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use conf::raw::Object;
use eyre::eyre;
use eyre::Result;
use hyper::Method;
use hyper::StatusCode;
use rustix::process::Signal;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use tokio::process::Command;
use tokio::time::Instant;

use crate::backend;
use crate::caller;
use crate::fabric;
use crate::http;
use crate::platform;
use crate::platform::store::Host;
use crate::platform::store::Hosts;

pub mod child;
mod command;
mod control;
mod measure;
pub mod plan;
mod tool;

pub use child::Child;
pub use measure::Usage;
pub use plan::Plan;
pub use plan::Server;

/// Time-out for the start of a process, for a control call, and for the stop of a test double.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time-out for the graceful stop of one balancer.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Time-out for the graceful stop of all balancers together.
const STOP_ALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Host address of the first balancer; each further one has the next.
const FIRST_BALANCER_HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);

/// Host address of the first backend server; each further one has the next.
const FIRST_SERVER_HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 2, 1);

/// Environment variables of the keys of all balancers, and the byte that each key repeats.
const KEYS: [(&str, u8); 2] = [("WASABI_FLEET_KEY", 0x5a), ("WASABI_TOKEN_KEY", 0xa5)];

/// Addresses that a balancer listens on; it prints them when it starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Its name.
    pub name: String,
    /// For datagrams of callers.
    pub entry: SocketAddr,
    /// For datagrams of peers.
    pub peer: SocketAddr,
    /// For QUIC connections of peers.
    pub stream: SocketAddr,
    /// For admin pages.
    pub admin: SocketAddr,
}

/// A running balancer.
#[derive(Debug)]
pub struct Balancer {
    /// Addresses that it listens on.
    pub at: Address,
    /// Its failure domain.
    pub domain: String,
    /// Its process.
    pub child: Child,
    /// Whether it is being stopped gracefully.
    is_leaving: bool,
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// Its description.
    pub plan: Plan,
    /// Balancers that are running or stopping.
    pub balancers: Vec<Balancer>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Addresses of the platform.
    pub platform: platform::Address,
    /// Addresses of the fabric.
    pub fabric: fabric::Address,
    logs: Option<PathBuf>,
    /// Number of balancers started so far; it gives each its name and host address.
    balancers_started: u32,
    test_doubles: Vec<Child>,
}

impl Fleet {
    /// Starts all processes of a deployment, with an empty platform. Standard error is written to
    /// files in the folder `logs`, or discarded without one.
    pub async fn start(plan: Plan, logs: Option<PathBuf>) -> Result<Fleet> {
        if let Some(folder) = &logs {
            std::fs::create_dir_all(folder)?;
        }
        let start = |name: &str, command| {
            let name = format!("{}-{name}", plan.name);
            Child::start(&name, command, logs.as_deref())
        };
        let mut platform = start("platform", child::example("platform")?)?;
        let mut backend = start("backend", command::backend(&plan)?)?;
        let mut fabric = start("fabric", command::fabric(&plan)?)?;
        let addresses: Vec<backend::Address> = backend.read_line(START_TIMEOUT).await?;
        let mut fleet = Fleet {
            balancers: Vec::new(),
            servers: assign_server_names(&plan, addresses),
            platform: platform.read_line(START_TIMEOUT).await?,
            fabric: fabric.read_line(START_TIMEOUT).await?,
            balancers_started: 0,
            test_doubles: vec![platform, backend, fabric],
            logs,
            plan,
        };
        for n in 0..fleet.plan.balancers as usize {
            let domain = fleet.plan.domain(n).to_owned();
            fleet.add_balancer(&domain).await?;
        }
        Ok(fleet)
    }

    /// Returns the platform's address as a URL.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform.api)
    }

    /// Returns the platform objects of the deployment.
    pub fn objects(&self) -> Vec<Object> {
        self.plan.objects(&self.servers)
    }

    /// Creates all objects of the deployment on the platform and returns the last revision.
    pub async fn create_objects(&self) -> Result<u64> {
        let mut last = 0;
        for object in self.objects() {
            last = self.put_object(&object).await?.version;
        }
        Ok(last)
    }

    /// Writes an object to the platform, on condition that the stored one has its version.
    pub async fn put_object(&self, object: &Object) -> Result<Object> {
        let Object {
            kind,
            name,
            version,
            ..
        } = object;
        let path = format!("/v1/objects/{kind}/{name}?version={version}");
        let body = serde_json::to_vec(object)?;
        let data = call(Method::PUT, self.platform.api, &path, body).await?;
        Ok(serde_json::from_slice(&data)?)
    }

    /// Sets a label of an object on the platform, without `wasabictl`.
    pub async fn set_label(
        &self,
        kind: &str,
        name: &str,
        label: &str,
        value: &str,
    ) -> Result<Object> {
        let path = format!("/v1/objects/{kind}/{name}");
        let mut object: Object = get(self.platform.api, &path).await?;
        object.labels.insert(label.to_owned(), value.to_owned());
        self.put_object(&object).await
    }

    /// Starts another balancer and publishes it to the platform and the fabric.
    pub async fn add_balancer(&mut self, domain: &str) -> Result<()> {
        self.balancers_started += 1;
        let name = format!("{}-bal-{:02}", self.plan.name, self.balancers_started);
        let command = self.balancer_command(&name, domain)?;
        let mut child = Child::start(&name, command, self.logs.as_deref())?;
        let at: Address = child.read_line(START_TIMEOUT).await?;
        self.balancers.push(Balancer {
            at,
            domain: domain.to_owned(),
            child,
            is_leaving: false,
        });
        self.publish_hosts().await
    }

    fn balancer_command(&self, name: &str, domain: &str) -> Result<Command> {
        let ip = Ipv4Addr::from_bits(FIRST_BALANCER_HOST.to_bits() + self.balancers_started - 1);
        let seeds = self.balancers.iter().filter(|b| !b.is_leaving);
        let seeds: Vec<String> = seeds.map(|b| b.at.peer.to_string()).collect();
        let mut command = match self.plan.balancer {
            plan::Balancer::Wasabid => child::binary("wasabid")?,
            plan::Balancer::Plain => child::example("plain")?,
        };
        command.args(["--name", name, "--domain", domain]);
        command.args(["--entry", "0.0.0.0:0", "--admin", "127.0.0.1:0"]);
        command.args(["--peer", &format!("{ip}:0")]);
        command.args(["--stream", &format!("{ip}:0")]);
        command.args(["--platform", &self.platform_url()]);
        if !seeds.is_empty() {
            command.args(["--seeds", &seeds.join(",")]);
        }
        command.args(&self.plan.flags);
        for (variable, byte) in KEYS {
            command.env(variable, format!("{byte:02x}").repeat(32));
        }
        Ok(command)
    }

    /// Publishes the current balancers to the platform's list of hosts and to the fabric.
    async fn publish_hosts(&self) -> Result<()> {
        let balancers = self.balancers.iter().map(|b| Host {
            ip: b.at.peer.ip(),
            leaving: b.is_leaving,
            datagram: Some(b.at.peer),
            stream: Some(b.at.stream),
        });
        let servers = self.servers.iter().map(|s| Host {
            ip: s.at.address.ip(),
            leaving: false,
            datagram: None,
            stream: None,
        });
        let hosts = Hosts {
            hosts: balancers.chain(servers).collect(),
        };
        let body = serde_json::to_vec(&hosts)?;
        call(Method::PUT, self.platform.control, "/control/hosts", body).await?;
        let remaining = self.balancers.iter().filter(|b| !b.is_leaving);
        let ports = remaining.map(|b| b.at.entry.port()).collect();
        let body = serde_json::to_vec(&fabric::Balancers { ports })?;
        call(Method::PUT, self.fabric.control, "/control/balancers", body).await?;
        Ok(())
    }

    /// Stops a balancer gracefully: publishes that it is leaving and waits until it has exited.
    pub async fn stop_balancer(&mut self, name: &str) -> Result<std::process::ExitStatus> {
        let n = self.find(name)?;
        self.balancers[n].is_leaving = true;
        self.balancers[n].child.signal(Signal::TERM)?;
        self.publish_hosts().await?;
        let ended = self.balancers[n].child.wait(STOP_TIMEOUT).await;
        self.balancers.remove(n);
        self.publish_hosts().await?;
        ended
    }

    /// Kills a balancer. The fabric removes it after the removal delay of the plan.
    pub async fn kill_balancer(&mut self, name: &str) -> Result<()> {
        let n = self.find(name)?;
        let mut balancer = self.balancers.remove(n);
        balancer.child.signal(Signal::KILL)?;
        balancer.child.wait(STOP_TIMEOUT).await?;
        self.publish_hosts().await
    }

    /// Suspends a balancer with SIGSTOP: it runs no instruction until resumed.
    pub fn pause_balancer(&self, name: &str) -> Result<()> {
        self.balancers[self.find(name)?].child.signal(Signal::STOP)
    }

    /// Resumes a suspended balancer.
    pub fn resume_balancer(&self, name: &str) -> Result<()> {
        self.balancers[self.find(name)?].child.signal(Signal::CONT)
    }

    fn find(&self, name: &str) -> Result<usize> {
        let found = self.balancers.iter().position(|b| b.at.name == name);
        found.ok_or_else(|| eyre!("no balancer {name}"))
    }

    /// Waits until all balancers report that they are ready.
    pub async fn wait_until_ready(&self, limit: Duration) -> Result<()> {
        let until = Instant::now() + limit;
        for balancer in &self.balancers {
            let admin = balancer.at.admin;
            loop {
                let answer = http::call(Method::GET, admin, "/ready", Bytes::new()).await;
                if matches!(answer, Ok((StatusCode::OK, _))) {
                    break;
                }
                if Instant::now() >= until {
                    return Err(eyre!("{} is not ready: {answer:?}", balancer.at.name));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Starts callers of a service; `Child::read_line` returns their `caller::Report` at the end.
    pub fn start_callers(&self, service: &str, options: &caller::Options) -> Result<Child> {
        let name = format!("{}-caller-{service}", self.plan.name);
        let command = command::caller(self.service_address(service)?, options)?;
        Child::start(&name, command, self.logs.as_deref())
    }

    /// Returns the address of a service, which the fabric listens on.
    pub fn service_address(&self, service: &str) -> Result<SocketAddr> {
        let n = self.plan.services.iter().position(|s| s.name == service);
        let n = n.ok_or_else(|| eyre!("no service {service}"))?;
        Ok(self.fabric.services[n])
    }

    /// Returns the counters of all backend servers.
    pub async fn server_stats(&self) -> Result<Vec<(Server, backend::Stats)>> {
        let mut all = Vec::new();
        for server in &self.servers {
            let stats = get(server.at.control, "/control/stats").await?;
            all.push((server.clone(), stats));
        }
        Ok(all)
    }

    /// Returns the counters of the platform.
    pub async fn platform_stats(&self) -> Result<platform::Stats> {
        get(self.platform.control, "/control/stats").await
    }

    /// Returns the counters of the fabric.
    pub async fn fabric_stats(&self) -> Result<fabric::Stats> {
        get(self.fabric.control, "/control/stats").await
    }

    /// Stops all processes: first all balancers at once, then the test doubles. Returns the names
    /// of the balancers that did not stop gracefully in time; these are killed.
    pub async fn stop(mut self) -> Result<Vec<String>> {
        for balancer in &self.balancers {
            balancer.child.signal(Signal::TERM)?;
        }
        let until = Instant::now() + STOP_ALL_TIMEOUT;
        let mut late = Vec::new();
        for balancer in &mut self.balancers {
            let left = until.saturating_duration_since(Instant::now());
            match balancer.child.wait(left).await {
                Ok(status) if status.success() => {}
                _ => late.push(balancer.at.name.clone()),
            }
        }
        for child in self.test_doubles.drain(..) {
            child.stop(START_TIMEOUT).await?;
        }
        Ok(late)
    }
}

fn assign_server_names(plan: &Plan, addresses: Vec<backend::Address>) -> Vec<Server> {
    let mut servers: Vec<Server> = Vec::new();
    for at in addresses {
        let of_same_service = servers.iter().filter(|s| s.at.service == at.service);
        let n = of_same_service.count();
        servers.push(Server {
            name: format!("{}-{:02}", at.service, n + 1),
            domain: plan.domain(n).to_owned(),
            at,
        });
    }
    servers
}

/// Makes a call and fails unless its status is a success.
async fn call(method: Method, to: SocketAddr, path: &str, body: impl Into<Bytes>) -> Result<Bytes> {
    let (status, data) =
        tokio::time::timeout(START_TIMEOUT, http::call(method, to, path, body)).await??;
    if !status.is_success() {
        let text = String::from_utf8_lossy(&data);
        return Err(eyre!("{path} at {to}: {status} {text}"));
    }
    Ok(data)
}

/// Reads a JSON document.
///
/// # Errors
///
/// Fails if the call does not succeed within 10 s, or if the answer is not valid JSON for `T`.
pub async fn get<T: DeserializeOwned>(from: SocketAddr, path: &str) -> Result<T> {
    let data = call(Method::GET, from, path, Bytes::new()).await?;
    Ok(serde_json::from_slice(&data)?)
}
