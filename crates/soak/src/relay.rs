//! Relays between processes: for each balancer, one for frames from its peers and one for its calls
//! to the platform. They apply the state of the links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use eyre::Result;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

use crate::address;
use crate::address::BALANCERS;
use crate::world::Direction;
use crate::world::PlatformLink;
use crate::world::World;

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 2_048;
/// Most bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1_024;
/// Time between two checks of the state of a link.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts to relay frames between balancers until the run ends.
///
/// # Errors
///
/// Fails if a socket cannot be bound.
pub async fn spawn_frames(world: World) -> Result<()> {
    let mut sockets = Vec::new();
    for balancer in 0..BALANCERS {
        sockets.push(Arc::new(
            UdpSocket::bind(world.addresses.peer_relay(balancer)).await?,
        ));
    }
    let sockets = Arc::new(sockets);
    for balancer in 0..BALANCERS {
        tokio::spawn(relay_frames(world.clone(), sockets.clone(), balancer));
    }
    Ok(())
}

async fn relay_frames(world: World, sockets: Arc<Vec<Arc<UdpSocket>>>, to: usize) {
    let mut buffer = [0; DATAGRAM_BYTES];
    while let Ok((length, from)) = sockets[to].recv_from(&mut buffer).await {
        let SocketAddr::V4(from) = from else { continue };
        let Some(from) = world.addresses.balancer_of(*from.ip()) else {
            continue;
        };
        let Some(delay) = world.datagram_delay(address::domain_of(from), address::domain_of(to))
        else {
            continue;
        };
        let sent = world.host_delay(from, Direction::Out, length);
        let Some(received) = sent.and_then(|_| world.host_delay(to, Direction::In, length)) else {
            continue;
        };
        let delay = delay + sent.unwrap_or_default() + received;
        // Sends from the sender's relay socket, so that the receiver's answers pass the relay too.
        let (socket, frame) = (sockets[from].clone(), buffer[..length].to_vec());
        let at = world.addresses.peer_bind(to);
        tokio::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            // A balancer that is not running receives nothing.
            let _ = socket.send_to(&frame, at).await;
        });
    }
}

/// Starts to relay a balancer's calls to the platform until the run ends.
///
/// # Errors
///
/// Fails if the listener cannot be bound.
pub async fn spawn_calls(world: World, balancer: usize) -> Result<()> {
    let listener = TcpListener::bind(world.addresses.platform_relay(balancer)).await?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay_connection(world.clone(), balancer, stream));
        }
    });
    Ok(())
}

async fn relay_connection(world: World, balancer: usize, client: TcpStream) {
    let opened = world.now();
    let Ok(upstream) = TcpStream::connect(world.addresses.platform()).await else {
        return;
    };
    // Disables Nagle's algorithm: small answers would each wait for an acknowledgement.
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let connection = Connection {
        world,
        balancer,
        opened,
    };
    tokio::select! {
        () = connection.forward(client_read, upstream_write) => (),
        () = connection.forward(upstream_read, client_write) => (),
        () = connection.wait_for_reset() => (),
    }
}

/// A relayed connection of a balancer to the platform.
struct Connection {
    world: World,
    balancer: usize,
    opened: Time,
}

impl Connection {
    fn link_state(&self) -> PlatformLink {
        self.world.with(|state, _| {
            if self.opened < state.links.stalled_before {
                return PlatformLink::Stalled;
            }
            state.links.platform[self.balancer]
        })
    }

    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(length) = from.read(&mut buffer).await {
            if length == 0 {
                return;
            }
            while self.link_state() == PlatformLink::Stalled {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            if let PlatformLink::Slow(delay) = self.link_state() {
                tokio::time::sleep(delay).await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    /// Returns once the link's state requires the connection to be reset.
    async fn wait_for_reset(&self) {
        while self.link_state() != PlatformLink::Reset {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
