//! Runs the packet-spraying network of this crate; prints its addresses as one line of JSON.

use std::net::SocketAddr;

use bpaf::Bpaf;
use stub::fabric;
use stub::fabric::Fabric;
use stub::fabric::Link;

/// Test double of the fabric: forwards each datagram to a random balancer.
#[derive(Bpaf, Debug)]
#[bpaf(options)]
struct Options {
    /// Service address; may be given several times
    #[bpaf(argument("IP:PORT"), some("no --service IP:PORT"))]
    service: Vec<SocketAddr>,
    /// Entry port of a balancer; may be given several times
    #[bpaf(argument("PORT"))]
    balancer: Vec<u16>,
    /// Address of the control endpoints
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    control: SocketAddr,
    /// How long datagrams are still forwarded to a balancer after its removal, in milliseconds
    #[bpaf(argument("MS"), fallback(2_000))]
    notice_ms: u64,
    /// Seed of the random choices
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Probability that a datagram is lost, each way
    #[bpaf(argument("P"), fallback(0.0))]
    drop: f64,
    /// Probability that a datagram is duplicated
    #[bpaf(argument("P"), fallback(0.0))]
    duplicate: f64,
    /// Probability that a datagram is reordered
    #[bpaf(argument("P"), fallback(0.0))]
    reorder: f64,
    /// One-way delay, in microseconds
    #[bpaf(argument("US"), fallback(0))]
    delay_us: u64,
    /// Maximum jitter, in microseconds
    #[bpaf(argument("US"), fallback(0))]
    jitter_us: u64,
    /// Additional delay from the fabric to a balancer, in microseconds
    #[bpaf(argument("US"), fallback(0))]
    inner_us: u64,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    let fabric = Fabric::start(fabric::Options {
        services: options.service,
        control: options.control,
        removal_delay_ms: options.notice_ms,
        seed: options.seed,
        link: Link {
            drop: options.drop,
            duplicate: options.duplicate,
            reorder: options.reorder,
            delay_us: options.delay_us,
            jitter_us: options.jitter_us,
            inner_us: options.inner_us,
        },
    })
    .await?;
    let ports = options.balancer;
    fabric.set_balancers(&fabric::Balancers { ports });
    println!("{}", serde_json::to_string(fabric.address())?);
    stub::process::wait_for_termination().await
}
