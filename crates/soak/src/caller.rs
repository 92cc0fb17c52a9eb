//! Callers. They open flows for one or many requests, retransmit what is not answered, and retry
//! failed requests on new flows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base::prelude::*;
use eyre::Result;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::checker::Promise;
use crate::fabric;
use crate::server;
use crate::world::Direction;
use crate::world::World;
use stub::packet::Packet;
use stub::packet::ACK;
use stub::packet::FIN;
use stub::packet::RST;
use stub::packet::SYN;

pub mod request;

/// Time-outs of the first SYN and its retransmissions. The attempt fails after the last.
const SYN_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];
/// Time before the first retransmission of data; doubles with each.
const RETRANSMIT_MIN: Duration = Duration::from_millis(200);
/// Longest time before a retransmission of data.
const RETRANSMIT_MAX: Duration = Duration::from_millis(1_600);
/// Parts of an upload before the request: with it, 20,000 bytes. A caller has at most 16 packets in
/// flight.
const UPLOAD_PARTS: u32 = 16;
/// Data bytes of each part.
const UPLOAD_PART_BYTES: usize = 1_200;
/// Port of the first flow of an endpoint.
const FIRST_PORT: u16 = 1_024;
/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 2_048;
/// Most packets that are queued for a flow; further ones are lost.
const INBOX_PACKETS: usize = 64;

type Inboxes = Arc<Mutex<BTreeMap<u16, mpsc::Sender<Packet>>>>;

/// Endpoint of the callers of a failure domain: one address, and a port for each flow.
#[derive(Clone)]
pub struct Endpoint {
    world: World,
    domain: usize,
    socket: Arc<UdpSocket>,
    inboxes: Inboxes,
    next_port: Arc<AtomicU16>,
}

/// A flow as its caller sees it.
struct Flow {
    port: u16,
    caller: SocketAddrV4,
    service: SocketAddrV4,
    inbox: mpsc::Receiver<Packet>,
    /// The server's sequence number, from its answer to the SYN.
    number: u32,
    /// Position up to which the caller has received the server's answers.
    received: u32,
    /// The last route token received.
    token: u32,
    /// The caller's sequence number; increases by one with each request.
    seq: u32,
}

/// Outcome of one attempt of a request on an open flow.
enum Reply {
    Served,
    /// Served, and the server closed the flow.
    Last,
    /// The server's queue was full, and it rejected the request without executing it.
    NotRun,
    Reset,
    TimedOut,
}

impl Endpoint {
    /// Binds the address of a failure domain's callers and starts to receive packets.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(world: World, domain: usize) -> Result<Endpoint> {
        let socket = Arc::new(UdpSocket::bind(world.addresses.caller(domain)).await?);
        let endpoint = Endpoint {
            world,
            domain,
            socket,
            inboxes: Inboxes::default(),
            next_port: Arc::new(AtomicU16::new(FIRST_PORT)),
        };
        tokio::spawn(receive(endpoint.clone()));
        Ok(endpoint)
    }

    fn new_flow(&self, service: SocketAddrV4) -> Flow {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let (sender, inbox) = mpsc::channel(INBOX_PACKETS);
        self.inboxes().insert(port, sender);
        let caller = SocketAddrV4::new(*self.world.addresses.caller(self.domain).ip(), port);
        // Late copies from an earlier flow of the port.
        self.world.with(|state, _| state.forwarded.remove(&caller));
        Flow {
            port,
            caller,
            service,
            inbox,
            number: 0,
            received: 0,
            token: 0,
            seq: 1,
        }
    }

    fn inboxes(&self) -> std::sync::MutexGuard<'_, BTreeMap<u16, mpsc::Sender<Packet>>> {
        self.inboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remove_flow(&self, flow: &Flow) {
        self.inboxes().remove(&flow.port);
        self.world
            .with(|state, _| state.open_flows.remove(&flow.caller));
    }

    /// Sends a packet. Returns the balancer that the fabric selected, and whether the packet was
    /// sent to it.
    async fn send(&self, packet: Packet) -> (usize, bool) {
        let (balancer, is_lost) = self.world.with(|state, _| {
            let balancer = fabric::select_balancer(state, self.domain, packet.from);
            (balancer, state.draw_loss())
        });
        let packet = packet.encode();
        let delay = match is_lost {
            true => None,
            false => self.world.host_delay(balancer, Direction::In, packet.len()),
        };
        if let Some(delay) = delay {
            let to = self.world.addresses.entry(balancer);
            let socket = self.socket.clone();
            let send = async move {
                tokio::time::sleep(delay).await;
                // A packet to a balancer that is not running is lost, as on any network.
                let _ = socket.send_to(&packet, to).await;
            };
            match delay {
                Duration::ZERO => send.await,
                _ => drop(tokio::spawn(send)),
            }
        }
        (balancer, delay.is_some())
    }

    /// Opens a flow. Returns whether a server answered.
    async fn open_flow(&self, flow: &mut Flow) -> bool {
        let route = flow.service.ip().octets()[3];
        // The balancer that received the latest copy, and when it received the first one.
        let mut received: Option<(usize, Time)> = None;
        for (copies, wait) in (0..).zip(SYN_TIMEOUTS) {
            let packet = Packet::new(SYN, flow.caller, flow.service);
            // A SYN carries the number of copies sent before it in place of an acknowledgement.
            let packet = packet
                .with_seq_ack_token(flow.seq, copies, 0)
                .with_checksum();
            let (via, is_sent) = self.send(packet).await;
            if is_sent && received.is_none_or(|(balancer, _)| balancer != via) {
                received = Some((via, self.world.now()));
            }
            let until = Instant::now() + wait;
            while let Some(packet) = self.recv(flow, until).await {
                if packet.flags & RST != 0 {
                    // Only balancers send resets without a checksum.
                    if packet.checksum == 0 {
                        self.world.with(|state, now| {
                            state.check_refusal(now, route, Some(via));
                            if let Some((via, since)) = received {
                                state.check_refusal_time(now, flow.caller, since, via);
                            }
                        });
                    }
                    return false;
                }
                if packet.flags & (SYN | ACK) == SYN | ACK {
                    flow.number = packet.seq;
                    flow.received = packet.seq;
                    flow.token = packet.token;
                    return true;
                }
            }
        }
        false
    }

    async fn recv(&self, flow: &mut Flow, until: Instant) -> Option<Packet> {
        let wait = until.saturating_duration_since(Instant::now());
        timeout(wait, flow.inbox.recv()).await.ok().flatten()
    }

    /// Sends a request on an open flow and waits for its answer.
    async fn send_request(&self, flow: &mut Flow, data: &[u8], until: Instant) -> Reply {
        flow.seq += 1;
        let mut wait = RETRANSMIT_MIN;
        let expected = server::answer(data);
        while Instant::now() < until {
            let packet = Packet::new(ACK, flow.caller, flow.service);
            let packet = packet.with_seq_ack_token(flow.seq, flow.received, flow.token);
            self.send(packet.with_data(data.to_vec()).with_checksum())
                .await;
            let mut resend_at = until.min(Instant::now() + wait);
            while let Some(packet) = self.recv(flow, resend_at).await {
                if is_acknowledgement(flow, &packet) {
                    // The server has the request, and sends its answer again if that is lost.
                    resend_at = until;
                }
                if let Some(reply) = self.classify(flow, &packet, &expected) {
                    if !packet.data.is_empty() {
                        self.acknowledge(flow).await;
                    }
                    return reply;
                }
            }
            wait = RETRANSMIT_MAX.min(wait * 2);
        }
        Reply::TimedOut
    }

    /// Uploads the body of a request in parts. Returns the reply if the attempt ended early.
    async fn upload(&self, flow: &mut Flow, until: Instant) -> Option<Reply> {
        let first = flow.seq + 1;
        flow.seq += UPLOAD_PARTS;
        let mut unacknowledged: BTreeSet<u32> = (first..=flow.seq).collect();
        let mut wait = RETRANSMIT_MIN;
        while Instant::now() < until {
            for &seq in &unacknowledged {
                let packet = Packet::new(ACK, flow.caller, flow.service);
                let packet = packet.with_seq_ack_token(seq, flow.received, flow.token);
                let part = [server::UPLOAD_PART; UPLOAD_PART_BYTES].to_vec();
                self.send(packet.with_data(part).with_checksum()).await;
            }
            let resend_at = until.min(Instant::now() + wait);
            while let Some(packet) = self.recv(flow, resend_at).await {
                if packet.flags & RST != 0 {
                    self.check_reset(flow, &packet);
                    return Some(Reply::Reset);
                }
                if packet.flags == ACK
                    && unacknowledged.remove(&packet.ack)
                    && unacknowledged.is_empty()
                {
                    return None;
                }
            }
            wait = RETRANSMIT_MAX.min(wait * 2);
        }
        Some(Reply::TimedOut)
    }

    /// Acknowledges an answer. Balancers see only callers' packets, so that this is how they learn
    /// that a server has answered.
    async fn acknowledge(&self, flow: &Flow) {
        let packet = Packet::new(ACK, flow.caller, flow.service);
        let packet = packet.with_seq_ack_token(flow.seq + 1, flow.received, flow.token);
        self.send(packet.with_checksum()).await;
    }

    fn classify(&self, flow: &mut Flow, packet: &Packet, expected: &[u8]) -> Option<Reply> {
        if packet.flags & RST != 0 {
            self.check_reset(flow, packet);
            return Some(Reply::Reset);
        }
        if packet.flags & SYN != 0 || packet.data.is_empty() || packet.seq != flow.number {
            return None;
        }
        flow.token = packet.token;
        if packet.ack != flow.seq {
            return None;
        }
        flow.received = flow.received.wrapping_add(packet.data.len() as u32);
        if packet.data == b"not run" {
            return Some(Reply::NotRun);
        }
        if packet.data != expected {
            let what = format!("{} got the answer to another request", flow.caller);
            self.world
                .with(|state, now| state.record_breach(now, Promise::Answer, what));
        }
        match packet.flags & FIN {
            0 => Some(Reply::Served),
            _ => Some(Reply::Last),
        }
    }

    /// Checks a reset, unless the flow's own server sent it: a server may reset its flows.
    fn check_reset(&self, flow: &Flow, packet: &Packet) {
        let route = flow.service.ip().octets()[3];
        self.world.with(|state, now| {
            let own = state.open_flows.get(&flow.caller).map(|flow| flow.server);
            // A server writes its index as the sequence number. A balancer sends no checksum.
            let by = (packet.checksum != 0).then_some(packet.seq as usize);
            if by.is_none() || by != own {
                state.check_reset(now, flow.caller, route);
            }
        });
    }

    async fn finish_flow(&self, flow: &mut Flow) {
        let packet = Packet::new(ACK | FIN, flow.caller, flow.service);
        let packet = packet.with_seq_ack_token(flow.seq + 1, flow.received, flow.token);
        self.send(packet.with_checksum()).await;
        self.remove_flow(flow);
    }
}

/// Returns whether a server acknowledges the caller's latest data without an answer to it.
fn is_acknowledgement(flow: &Flow, packet: &Packet) -> bool {
    packet.flags == ACK
        && packet.data.is_empty()
        && (packet.seq, packet.ack) == (flow.number, flow.seq)
}

async fn receive(endpoint: Endpoint) {
    let mut buffer = [0; DATAGRAM_BYTES];
    while let Ok((length, _)) = endpoint.socket.recv_from(&mut buffer).await {
        let Some(packet) = Packet::decode(&buffer[..length]) else {
            continue;
        };
        let is_balancer_reset =
            packet.flags == RST && packet.checksum == 0 && packet.data.is_empty();
        if !is_balancer_reset && !packet.has_valid_checksum() {
            let what = format!("packet corrupted on its way to {}", packet.to);
            endpoint
                .world
                .with(|state, now| state.record_breach(now, Promise::Packet, what));
            continue;
        }
        let sender = endpoint.inboxes().get(&packet.to.port()).cloned();
        if let Some(sender) = sender {
            // Packets beyond the capacity of the inbox are lost, as on any network.
            let _ = sender.try_send(packet);
        }
    }
}
