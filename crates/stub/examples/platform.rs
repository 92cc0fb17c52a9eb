//! Runs the in-memory platform of this crate; prints its addresses as one line of JSON.

use std::net::SocketAddr;

use bpaf::Bpaf;
use stub::platform::Platform;

/// Test double of the platform: the object API in memory.
#[derive(Bpaf, Debug)]
#[bpaf(options)]
struct Options {
    /// Address of the object API
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Address of the control endpoints
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    control: SocketAddr,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options().run();
    let platform = Platform::start(options.listen, options.control).await?;
    println!("{}", serde_json::to_string(&platform.address())?);
    stub::process::wait_for_termination().await
}
