//! Health checks of backend servers, and connections that a server at its limit does not accept.

use std::net::SocketAddrV4;
use std::time::Duration;

use eyre::Result;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::world::World;

/// Time for which an unresponsive server holds the connection of a health check.
const STALLED_CHECK_HOLD: Duration = Duration::from_secs(1);
/// Connections that the kernel queues for a listener. Once the queue is full, the kernel drops
/// further ones without an answer, as it does for a server at its connection limit. The queue is
/// longer than the checks that arrive while the run is busy.
const BACKLOG: u32 = 16;
/// Time between two checks whether a server has reached its limit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of a connection that fills the queue; it takes less than a millisecond on loopback.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// Binds the address for a server's health checks.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(at: SocketAddrV4) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at.into())?;
    Ok(socket.listen(BACKLOG)?)
}

/// Answers health checks at an address until the run ends.
pub async fn serve(world: World, address: usize, listener: TcpListener) {
    let at = world.addresses.server(address);
    loop {
        if is_full(&world, address) {
            let connections = fill_queue(at).await;
            while is_full(&world, address) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            drop(connections);
        }
        let Ok(accepted) = timeout(POLL_INTERVAL, listener.accept()).await else {
            continue;
        };
        let Ok((stream, _)) = accepted else { return };
        let is_responsive = world.with(|state, _| {
            let server = state.server_at[address];
            server.is_some_and(|server| state.servers[server].is_responsive())
        });
        tokio::spawn(answer(stream, is_responsive));
    }
}

fn is_full(world: &World, address: usize) -> bool {
    world.with(|state, now| {
        let server = state.server_at[address];
        server.is_some_and(|server| state.servers[server].is_full(now))
    })
}

/// Opens connections to a listener until its queue is full, and returns them.
async fn fill_queue(at: SocketAddrV4) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    // The kernel queues one connection more than the backlog.
    for _ in 0..=BACKLOG {
        if let Ok(Ok(connection)) = timeout(FILL_TIMEOUT, TcpStream::connect(at)).await {
            connections.push(connection);
        }
    }
    connections
}

async fn answer(mut stream: TcpStream, is_responsive: bool) {
    let mut buffer = [0; 512];
    // Errors are ignored: the balancer may have closed the connection.
    let _ = stream.read(&mut buffer).await;
    if is_responsive {
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        let _ = stream.write_all(answer).await;
    } else {
        tokio::time::sleep(STALLED_CHECK_HOLD).await;
    }
}
