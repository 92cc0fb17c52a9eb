//! A minimal balancer, as a baseline for comparison: it chooses a backend server by a hash of the
//! caller alone, divides each limit among the balancers, and has no owners, no hand-over and no
//! detection of duplicates across balancers.
//!
//! It accepts the flags of `wasabid` and prints the same line, so that `stub::fleet` can start it
//! in place of `wasabid`. Flags that only `wasabid` needs are ignored.
//!
//! - `conf_watch`: follows the configuration by a watch of the platform.
//! - `page`: the admin pages that `stub::fleet` reads.
//! - `relay`: passes requests to backend servers and answers back.

mod conf_watch;
mod page;
mod relay;

use std::net::SocketAddr;
use std::sync::Arc;

use bpaf::Bpaf;
use eyre::Result;
use serde_json::json;
use shell::socket::Socket;

use conf_watch::Watch;
use relay::Relay;

/// A minimal balancer, as a baseline for comparison.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Name of this balancer
    #[bpaf(argument("NAME"))]
    name: String,
    /// Ignored
    #[bpaf(argument("NAME"))]
    domain: Option<String>,
    /// UDP address for callers
    #[bpaf(argument("IP:PORT"))]
    entry: SocketAddr,
    /// Ignored, but printed
    #[bpaf(argument("IP:PORT"))]
    peer: SocketAddr,
    /// Ignored, but printed
    #[bpaf(argument("IP:PORT"))]
    stream: SocketAddr,
    /// TCP address of the admin pages /ready and /metrics
    #[bpaf(argument("IP:PORT"))]
    admin: SocketAddr,
    /// Base URL of the platform
    #[bpaf(argument("URL"))]
    platform: String,
    /// Ignored
    #[bpaf(argument("IP:PORT,.."))]
    seeds: Option<String>,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let options = options().run();
    let platform = options.platform.trim_start_matches("http://").parse()?;
    let watch = Arc::new(Watch::start(platform));
    let admin = page::serve(options.admin, watch.clone()).await?;
    let (domain, seeds) = (options.domain, options.seeds);
    eprintln!("plain balancer: ignoring domain {domain:?} and seeds {seeds:?}");
    let socket = Socket::bind(options.entry)?;
    let bound = json!({
        "name": options.name,
        "entry": socket.local(),
        "peer": options.peer,
        "stream": options.stream,
        "admin": admin,
    });
    println!("{bound}");
    Relay::new(watch).run(socket).await
}
