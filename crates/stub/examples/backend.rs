//! Runs backend servers in one process; prints their addresses as one line of JSON.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::Bpaf;
use stub::backend;

/// Test doubles of backend servers, each with its own ports.
#[derive(Bpaf, Debug)]
#[bpaf(options)]
struct Options {
    /// Service and its number of servers, such as rounds=14; may be given several times
    #[bpaf(argument("SERVICE=N"), some("no --serve SERVICE=N"))]
    serve: Vec<Group>,
    /// Address of the first server; each further one has the next
    #[bpaf(argument("IP"), fallback(Ipv4Addr::LOCALHOST))]
    first: Ipv4Addr,
    /// Maximum number of requests that run at once on a server
    #[bpaf(argument("N"), fallback(2))]
    slots: u32,
    /// Maximum number of requests that wait for a slot; more are shed
    #[bpaf(argument("N"), fallback(2))]
    backlog: u32,
    /// Mean service time of a request, in microseconds
    #[bpaf(argument("US"), fallback(10_000))]
    time_us: u64,
    /// Use the mean as the service time of every request; without this, times are exponentially
    /// distributed
    fixed: bool,
    /// Start all servers cold
    cold: bool,
    /// Maximum duration of a cold start, in milliseconds
    #[bpaf(argument("MS"), fallback(10_000))]
    cold_ms: u64,
    /// Number of served requests that end a cold start
    #[bpaf(argument("N"), fallback(50))]
    cold_requests: u32,
    /// Grace period in which a server that turns cold under load does not crash, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    cold_grace_ms: u64,
    /// How long a server refuses connections after a crash, in milliseconds
    #[bpaf(argument("MS"), fallback(3_000))]
    fall_ms: u64,
    /// Seed of the service times
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

#[derive(Clone, Debug)]
struct Group {
    service: String,
    count: u32,
}

impl FromStr for Group {
    type Err = String;

    fn from_str(text: &str) -> Result<Group, String> {
        let (service, count) = text.split_once('=').ok_or("expected SERVICE=N")?;
        Ok(Group {
            service: service.to_owned(),
            count: count.parse().map_err(|_| "N is not a number")?,
        })
    }
}

impl Options {
    fn server(&self, service: &str, n: u64) -> backend::Options {
        let time = match self.fixed {
            true => backend::ServiceTime::Fixed(self.time_us),
            false => backend::ServiceTime::Exponential(self.time_us),
        };
        backend::Options {
            slots: self.slots,
            backlog: self.backlog,
            cold_ms: self.cold_ms,
            cold_requests: self.cold_requests,
            starts_cold: self.cold,
            cold_grace_ms: self.cold_grace_ms,
            restart_ms: self.fall_ms,
            ..backend::Options::new(service)
                .with_service_time(time)
                .with_seed(self.seed.wrapping_mul(1000) + n)
        }
    }
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut servers = Vec::new();
    for group in &options.serve {
        for _ in 0..group.count {
            let n = servers.len() as u32;
            let server = options.server(&group.service, n.into());
            let ip = Ipv4Addr::from_bits(options.first.to_bits() + n);
            servers.push(backend::Server::start(server, (ip, 0).into(), any).await?);
        }
    }
    let addresses: Vec<_> = servers.iter().map(|s| s.address()).collect();
    println!("{}", serde_json::to_string(&addresses)?);
    stub::process::wait_for_termination().await
}
