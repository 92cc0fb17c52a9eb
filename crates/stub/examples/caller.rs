//! Generates the load of callers on one service address; prints their report as one line of JSON.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use stub::caller;

/// Load generator: callers of one service address.
#[derive(Bpaf, Debug)]
#[bpaf(options)]
struct Options {
    /// Service address that the fabric listens on
    #[bpaf(argument("IP:PORT"))]
    service: SocketAddr,
    /// Mean number of flows opened a second
    #[bpaf(argument("N"), fallback(10.0))]
    flows_per_s: f64,
    /// Number of requests of each flow
    #[bpaf(argument("N"), fallback(5))]
    requests_per_flow: u32,
    /// Mean pause between the requests of a flow, in milliseconds
    #[bpaf(argument("MS"), fallback(500))]
    think_ms: u64,
    /// How long new flows are opened, in seconds
    #[bpaf(argument("S"), fallback(10.0))]
    seconds: f64,
    /// Seed of all random choices
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Share of requests that are POST
    #[bpaf(argument("P"), fallback(0.3))]
    post_share: f64,
    /// Share of requests with a large body or answer
    #[bpaf(argument("P"), fallback(0.05))]
    large_share: f64,
    /// Size of a large body, in bytes
    #[bpaf(argument("BYTES"), fallback(5_000))]
    large: usize,
    /// Bodies of POST are never large
    small_posts: bool,
    /// Initial retransmission time-out, in milliseconds
    #[bpaf(argument("MS"), fallback(2_000))]
    ack_timeout_ms: u64,
    /// Deadline of a request, in milliseconds
    #[bpaf(argument("MS"), fallback(10_000))]
    deadline_ms: u64,
    /// Maximum number of retransmissions of a message
    #[bpaf(argument("N"), fallback(4))]
    retransmissions: u32,
    /// Number of refused attempts after which a request ends as refused
    #[bpaf(argument("N"), fallback(4))]
    refusals: u32,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    let load = Duration::try_from_secs_f64(options.seconds)?;
    let report = caller::run(caller::Options {
        post_share: options.post_share,
        large_share: options.large_share,
        large_posts: !options.small_posts,
        large_bytes: options.large,
        deadline: Duration::from_millis(options.deadline_ms),
        retransmissions: options.retransmissions,
        refusals: options.refusals,
        ..caller::Options::new(options.service)
            .with_load(options.flows_per_s, load)
            .with_flow(
                options.requests_per_flow,
                Duration::from_millis(options.think_ms),
            )
            .with_ack_timeout(Duration::from_millis(options.ack_timeout_ms))
            .with_seed(options.seed)
    })
    .await?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
