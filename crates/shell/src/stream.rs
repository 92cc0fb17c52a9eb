//! QUIC streams between balancers, for frames that do not fit a datagram.
//!
//! Both sides prove that they hold the fleet key: each has a certificate whose key pair is derived
//! from it, and accepts exactly the certificates derived from the current or the previous key.
//! Connections are opened on demand and closed when idle. A frame that cannot be sent is lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use eyre::eyre;
use eyre::WrapErr;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use quinn::Connection;
use quinn::Endpoint;
use quinn::RecvStream;
use quinn::TransportConfig;
use quinn::VarInt;
use tokio::sync::mpsc;
use tokio::sync::Semaphore;
use wire::seal::MAX_FRAME_BYTES;

use crate::identity;
use crate::setting::Keys;

/// Most frames being sent to one peer, so that an unreachable peer does not use up `SENDS_MAX`.
const PEER_SENDS_MAX: usize = 16;
/// Memory budget for all frames being received, in units of `BUDGET_UNIT_BYTES`.
const RECEIVE_BUDGET_UNITS: usize = MAX_FRAME_BYTES / BUDGET_UNIT_BYTES;
/// Size of a unit of the receive budget, in bytes.
const BUDGET_UNIT_BYTES: usize = 1 << 10;
/// Bytes of the prefix of a frame, which holds its length.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Most connections to peers, and most connections from peers.
const CONNECTIONS_MAX: usize = 64;
/// Most frames being sent to all peers.
const SENDS_MAX: usize = 64;
/// Most streams that one peer may have open.
const PEER_STREAMS_MAX: u32 = 4;
/// Time without traffic after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for sending or receiving a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Flow-control window of a stream and of a connection, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// A frame received on a stream, encoded.
#[derive(Clone, Debug)]
pub struct Received {
    /// Remote address of the connection.
    pub from: SocketAddr,
    /// Epoch in which the connection was accepted: the number of pauses of the process before.
    pub epoch: u64,
    /// Encoded frame.
    pub data: Bytes,
}

/// The QUIC endpoint, client and server on one socket. Clones share it.
#[derive(Clone)]
pub struct Streams {
    endpoint: Endpoint,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    incoming_permits: Arc<Semaphore>,
    send_permits: Arc<Semaphore>,
    receive_budget: Semaphore,
}

#[derive(Default)]
struct State {
    epoch: u64,
    outbound: BTreeMap<SocketAddr, Arc<Outbound>>,
    accepted: Vec<Connection>,
}

/// The connection to one peer and the permits for frames being sent to it.
struct Outbound {
    /// Locked while the connection is being opened, so that concurrent sends share it.
    connection: tokio::sync::Mutex<Option<Connection>>,
    send_permits: Arc<Semaphore>,
}

impl Outbound {
    fn new() -> Outbound {
        Outbound {
            connection: tokio::sync::Mutex::default(),
            send_permits: Arc::new(Semaphore::new(PEER_SENDS_MAX)),
        }
    }

    /// Returns whether frames are being sent or the connection is open.
    fn is_in_use(&self) -> bool {
        let is_open = |connection: &Option<Connection>| {
            let reason = connection.as_ref().map(Connection::close_reason);
            matches!(reason, Some(None))
        };
        let is_idle = self.send_permits.available_permits() == PEER_SENDS_MAX;
        !is_idle
            || self
                .connection
                .try_lock()
                .is_ok_and(|connection| is_open(&connection))
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the entry of a peer, or `None` when there are too many peers in use.
    fn outbound(&self, to: SocketAddr) -> Option<Arc<Outbound>> {
        let mut state = self.state();
        if !state.outbound.contains_key(&to) {
            state.outbound.retain(|_, outbound| outbound.is_in_use());
            if state.outbound.len() >= CONNECTIONS_MAX {
                return None;
            }
        }
        let outbound = state.outbound.entry(to);
        Some(
            outbound
                .or_insert_with(|| Arc::new(Outbound::new()))
                .clone(),
        )
    }
}

impl Streams {
    /// Binds the endpoint and starts to receive frames, which go to `received`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the identity cannot be made.
    pub fn bind(
        address: SocketAddr,
        keys: &Keys,
        received: mpsc::Sender<Received>,
    ) -> eyre::Result<Streams> {
        let socket = std::net::UdpSocket::bind(address).wrap_err("cannot bind")?;
        let identity = identity::Identity::new(keys)?;
        let transport = Arc::new(transport_config()?);
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(
            identity.server_config()?,
        )?));
        server.transport_config(transport.clone());
        server.max_incoming(CONNECTIONS_MAX);
        server.migration(false);
        let mut client = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(
            identity.client_config()?,
        )?));
        client.transport_config(transport);
        let mut endpoint = Endpoint::new(
            quinn::EndpointConfig::default(),
            Some(server),
            socket,
            Arc::new(quinn::TokioRuntime),
        )?;
        endpoint.set_default_client_config(client);
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            incoming_permits: Arc::new(Semaphore::new(CONNECTIONS_MAX)),
            send_permits: Arc::new(Semaphore::new(SENDS_MAX)),
            receive_budget: Semaphore::new(RECEIVE_BUDGET_UNITS),
        });
        let streams = Streams { endpoint, shared };
        tokio::spawn(streams.clone().accept(received));
        Ok(streams)
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub fn local(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Returns the current epoch. Frames of an earlier epoch date from before a pause.
    pub fn epoch(&self) -> u64 {
        self.shared.state().epoch
    }

    /// Returns the number of open connections to and from peers.
    pub fn connections(&self) -> usize {
        self.endpoint.open_connections()
    }

    /// Sends a frame in the background. Returns `false` when it was dropped because too many frames
    /// are being sent or too many peers are in use.
    pub fn send(&self, to: SocketAddr, data: Bytes) -> bool {
        let Ok(permit) = self.shared.send_permits.clone().try_acquire_owned() else {
            return false;
        };
        let Some(outbound) = self.shared.outbound(to) else {
            return false;
        };
        let Ok(peer_permit) = outbound.send_permits.clone().try_acquire_owned() else {
            return false;
        };
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            let sent = send_frame(&endpoint, &outbound, to, data);
            let sent = tokio::time::timeout(FRAME_TIMEOUT, sent).await;
            if !matches!(sent, Ok(Ok(()))) {
                tracing::debug!(peer = %to, "cannot send the frame on a stream");
                if let Some(connection) = outbound.connection.lock().await.take() {
                    connection.close(VarInt::from_u32(0), b"lost");
                }
            }
            drop((peer_permit, permit));
        });
        true
    }

    /// Starts a new epoch and closes all connections, since data buffered in them is as old as the
    /// pause of the process.
    pub fn reset(&self) {
        let mut state = self.shared.state();
        state.epoch += 1;
        for connection in state.accepted.drain(..) {
            connection.close(VarInt::from_u32(0), b"paused");
        }
        for outbound in state.outbound.values() {
            // A connection that is being opened holds the lock, and has carried no data yet.
            let slot = outbound.connection.try_lock();
            if let Some(connection) = slot.ok().and_then(|mut slot| slot.take()) {
                connection.close(VarInt::from_u32(0), b"paused");
            }
        }
    }

    /// Closes the endpoint once all frames are sent, or after `grace`.
    pub async fn close(&self, grace: Duration) {
        let all = self.shared.send_permits.acquire_many(SENDS_MAX as u32);
        if tokio::time::timeout(grace, all).await.is_err() {
            tracing::warn!("stopping before all frames were sent; the rest are lost");
        }
        self.endpoint.close(VarInt::from_u32(0), b"stop");
    }

    async fn accept(self, received: mpsc::Sender<Received>) {
        while let Some(incoming) = self.endpoint.accept().await {
            if !incoming.remote_address_validated() && incoming.may_retry() {
                // Validates the address first, so that a forged source address takes no state.
                let _ = incoming.retry();
                continue;
            }
            let Ok(permit) = self.shared.incoming_permits.clone().try_acquire_owned() else {
                incoming.refuse();
                continue;
            };
            let shared = self.shared.clone();
            let received = received.clone();
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    receive_frames(&shared, connection, received).await;
                }
                drop(permit);
            });
        }
    }
}

async fn send_frame(
    endpoint: &Endpoint,
    outbound: &Outbound,
    to: SocketAddr,
    data: Bytes,
) -> eyre::Result<()> {
    let mut stream = get_or_connect(endpoint, outbound, to)
        .await?
        .open_uni()
        .await?;
    let length = u32::try_from(data.len())?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&data).await?;
    stream.finish()?;
    stream.stopped().await?;
    Ok(())
}

/// Returns the open connection to a peer, or connects.
async fn get_or_connect(
    endpoint: &Endpoint,
    outbound: &Outbound,
    to: SocketAddr,
) -> eyre::Result<Connection> {
    let mut slot = outbound.connection.lock().await;
    if let Some(connection) = slot.as_ref() {
        if connection.close_reason().is_none() {
            return Ok(connection.clone());
        }
    }
    let connection = endpoint.connect(to, identity::SERVER_NAME)?.await?;
    *slot = Some(connection.clone());
    Ok(connection)
}

async fn receive_frames(shared: &Shared, connection: Connection, received: mpsc::Sender<Received>) {
    let epoch = {
        let mut state = shared.state();
        state
            .accepted
            .retain(|connection| connection.close_reason().is_none());
        state.accepted.push(connection.clone());
        state.epoch
    };
    let from = connection.remote_address();
    while let Ok(stream) = connection.accept_uni().await {
        let read = tokio::time::timeout(FRAME_TIMEOUT, read_frame(&shared.receive_budget, stream));
        let Ok(Ok(data)) = read.await else {
            continue;
        };
        if received.send(Received { from, epoch, data }).await.is_err() {
            break;
        }
    }
}

/// Reads a frame. Its memory counts against the budget until it is complete.
async fn read_frame(budget: &Semaphore, mut stream: RecvStream) -> eyre::Result<Bytes> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut prefix).await?;
    let length = u32::from_be_bytes(prefix);
    if length as usize > MAX_FRAME_BYTES {
        return Err(eyre!(
            "frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
        ));
    }
    let _permit = budget
        .acquire_many(length.div_ceil(BUDGET_UNIT_BYTES as u32))
        .await?;
    let mut data = vec![0; length as usize];
    stream.read_exact(&mut data).await?;
    // The sender regards its frame as delivered once the end of the stream has been read.
    stream.read_to_end(0).await?;
    Ok(data.into())
}

fn transport_config() -> eyre::Result<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IDLE_TIMEOUT.try_into()?))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .max_concurrent_uni_streams(VarInt::from_u32(PEER_STREAMS_MAX))
        .stream_receive_window(VarInt::from_u32(WINDOW_BYTES))
        .receive_window(VarInt::from_u32(WINDOW_BYTES))
        .send_window(WINDOW_BYTES.into())
        .datagram_receive_buffer_size(None);
    Ok(transport)
}
