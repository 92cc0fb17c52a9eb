//! Backend servers. The tasks of an address serve whichever server currently uses it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use base::hash;
use base::prelude::*;
use eyre::Result;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::address;
use crate::checker::Promise;
use crate::checker::SETTLE_TIME;
use crate::health;
use crate::operator::PRIORITY_POOL;
use crate::world::Direction;
use crate::world::OpenFlow;
use crate::world::State;
use crate::world::World;
use stub::packet::Packet;
use stub::packet::ACK;
use stub::packet::FIN;
use stub::packet::IDENTITY_BYTES;
use stub::packet::RST;
use stub::packet::SYN;

mod work;

use work::Work;

/// Bytes of an answer. Balancers recognise a rejection by its size, which is far smaller.
const ANSWER_BYTES: usize = 400;
/// Byte that fills the parts of an upload. A server acknowledges them; their request follows once
/// its caller has all acknowledgements.
pub const UPLOAD_PART: u8 = b'#';
/// Range of the time to execute a request, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 5..30;
/// Factor on the time to execute a request at a slow server.
const SLOW_FACTOR: u32 = 5;
/// Factor on the time to execute a request of the pool with priorities. Its 12 servers complete 270
/// requests per second; 36 callers send 80 per second to it, and a crowd some 490, of which 140 are
/// urgent. Shorter requests would need a crowd whose packets overload the machine.
const LONG_WORK_FACTOR: u32 = 5;
/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 2_048;

/// Life cycle of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It serves.
    Healthy,
    /// It drains. The time is when the platform acknowledged the change of its entry; `None` before
    /// that.
    Draining(Option<Time>),
    /// It ignores packets and health checks.
    Unresponsive,
    /// It has stopped for good.
    Stopped,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name of its entry on the platform.
    pub name: String,
    /// Identity by which forwarded packets name their server.
    pub identity: u64,
    /// Index of its address.
    pub address: usize,
    /// Index of its failure domain.
    pub domain: usize,
    /// Index of its pool.
    pub pool: usize,
    /// State in its life cycle.
    pub status: Status,
    /// When a fault last affected it.
    pub last_fault: Time,
    /// End of its cold time.
    pub cold_until: Time,
    /// Times of new flows within the last second, recorded while it is cold.
    pub new_flows: VecDeque<Time>,
    /// Until when it is slow.
    pub slow_until: Time,
    /// Until when it is at its connection limit: it answers neither opening packets nor health
    /// checks, and serves its open flows.
    pub full_until: Time,
    /// Number of its restarts.
    pub incarnation: u32,
    /// Number of requests that it executed.
    pub executed: u32,
    flows: BTreeMap<SocketAddrV4, Flow>,
    running: usize,
    queued: VecDeque<Work>,
}

#[derive(Clone, Debug)]
struct Flow {
    /// The server's sequence number.
    number: u32,
    /// The last route token received.
    token: u32,
    is_open: bool,
    /// Sequence number of the last request, and its answer once there is one.
    last_request: Option<(u32, Option<Vec<u8>>)>,
    /// Whether the caller has acknowledged that answer.
    is_acknowledged: bool,
    is_closed: bool,
}

impl Server {
    /// Makes a healthy, warm server.
    pub fn new(name: String, identity: u64, address: usize, pool: usize) -> Server {
        Server {
            name,
            identity,
            address,
            domain: address::domain_of(address),
            pool,
            status: Status::Healthy,
            last_fault: Time::default(),
            cold_until: Time::default(),
            new_flows: VecDeque::new(),
            slow_until: Time::default(),
            full_until: Time::default(),
            incarnation: 0,
            executed: 0,
            flows: BTreeMap::new(),
            running: 0,
            queued: VecDeque::new(),
        }
    }

    /// Returns whether it is at its connection limit.
    pub fn is_full(&self, now: Time) -> bool {
        self.is_responsive() && now < self.full_until
    }

    /// Returns whether it answers packets and, unless it is full, health checks.
    pub fn is_responsive(&self) -> bool {
        matches!(self.status, Status::Healthy | Status::Draining(_))
    }

    /// Returns whether it is responsive and no fault affected it within [`SETTLE_TIME`].
    pub fn is_settled(&self, now: Time) -> bool {
        self.is_responsive() && now.since(self.last_fault) >= SETTLE_TIME
    }

    /// Restarts it: all flows and requests are lost.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.flows.clear();
        self.queued.clear();
        self.new_flows.clear();
        self.running = 0;
        self.status = Status::Healthy;
    }
}

/// Returns the answer that a server gives to a request.
pub fn answer(request: &[u8]) -> Vec<u8> {
    let mut answer = format!("answer {:016x}", hash::bytes(request)).into_bytes();
    answer.resize(ANSWER_BYTES, b'.');
    answer
}

/// Starts to serve health checks and packets at an address until the run ends.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(world: World, address: usize) -> Result<()> {
    let at = world.addresses.server(address);
    let socket = Arc::new(UdpSocket::bind(at).await?);
    let listener = health::bind(at)?;
    tokio::spawn(health::serve(world.clone(), address, listener));
    tokio::spawn(serve_packets(world, address, socket));
    Ok(())
}

async fn serve_packets(world: World, address: usize, socket: Arc<UdpSocket>) {
    let mut buffer = [0; DATAGRAM_BYTES];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let SocketAddr::V4(from) = from else { continue };
        let via = world.addresses.balancer_of(*from.ip());
        let Some((identity, packet)) = buffer[..length].split_at_checked(IDENTITY_BYTES) else {
            continue;
        };
        let identity = u64::from_be_bytes(
            identity
                .try_into()
                .expect("the prefix has the length of an identity"),
        );
        let Some(packet) = Packet::decode(packet) else {
            let what = "a packet that cannot be decoded reached a server";
            world.with(|state, now| state.record_breach(now, Promise::Packet, what));
            continue;
        };
        if packet.flags & SYN != 0 {
            world.with(|state, _| state.forwarded.insert(packet.from));
        }
        let here = address::domain_of(address);
        let there = via.map_or(here, address::domain_of);
        // The delay is not applied: only frames between balancers are delayed.
        if world.datagram_delay(there, here).is_none() {
            continue;
        }
        let delay = via.map(|via| world.host_delay(via, Direction::Out, length));
        let (world, socket) = (world.clone(), socket.clone());
        let receive = |delay| async move {
            tokio::time::sleep(delay).await;
            let reply = world.with(|state, now| {
                let server = state.server_at[address]?;
                let server_state = &state.servers[server];
                // Identity 0 means any server.
                let is_recipient = identity == 0 || identity == server_state.identity;
                (server_state.is_responsive() && is_recipient)
                    .then(|| handle_packet(state, now, server, &packet, via))?
            });
            perform_action(&world, &socket, reply).await;
        };
        match delay.unwrap_or(Some(Duration::ZERO)) {
            Some(Duration::ZERO) => receive(Duration::ZERO).await,
            Some(delay) => drop(tokio::spawn(receive(delay))),
            None => (),
        }
    }
}

/// What a server does in response to a packet.
enum Action {
    Send(Packet),
    Execute(Packet, Work),
}

async fn perform_action(world: &World, socket: &Arc<UdpSocket>, next: Option<Action>) {
    match next {
        Some(Action::Send(packet)) => send_packet(world, socket, &packet).await,
        Some(Action::Execute(acknowledgement, work)) => {
            send_packet(world, socket, &acknowledgement).await;
            drop(tokio::spawn(work::run(world.clone(), socket.clone(), work)))
        }
        None => (),
    }
}

async fn send_packet(world: &World, socket: &UdpSocket, packet: &Packet) {
    if world.with(|state, _| state.draw_loss()) {
        return;
    }
    // All flows of a failure domain's callers share one socket. The flow's port is only in the
    // packet.
    let to = SocketAddrV4::new(*packet.to.ip(), world.addresses.caller(0).port());
    // A failed send counts as a lost datagram.
    let _ = socket.send_to(&packet.encode(), to).await;
}

/// Makes the acknowledgement of data. Servers send it at once, whatever they do with the data.
fn acknowledge(number: u32, packet: &Packet) -> Packet {
    let acknowledgement =
        reply_to(ACK, packet).with_seq_ack_token(number, packet.seq, packet.token);
    acknowledgement.with_checksum()
}

fn reply_to(flags: u8, packet: &Packet) -> Packet {
    Packet::new(flags, packet.to, packet.from)
}

/// Makes the reset of a flow. Its sequence number is the index of the server that sends it.
fn reset_flow(packet: &Packet, server: usize) -> Action {
    let number = u32::try_from(server).expect("the index of a server fits into 32 bits");
    let reset = reply_to(RST, packet).with_seq_ack_token(number, 0, packet.token);
    Action::Send(reset.with_checksum())
}

fn handle_packet(
    state: &mut State,
    now: Time,
    server: usize,
    packet: &Packet,
    via: Option<usize>,
) -> Option<Action> {
    if !packet.has_valid_checksum() {
        let name = state.servers[server].name.clone();
        state.record_breach(
            now,
            Promise::Packet,
            format!("packet corrupted on its way to {name}"),
        );
        return None;
    }
    let route = packet.to.ip().octets()[3];
    if packet.flags & SYN != 0 {
        return open_flow(state, now, server, packet, route, via).map(Action::Send);
    }
    if let Some(flow) = state.open_flows.get_mut(&packet.from) {
        flow.via = via;
    }
    state.check_misrouted(now, packet.from, server, route);
    if !state.servers[server].flows.contains_key(&packet.from) {
        return (packet.flags & RST == 0).then(|| reset_flow(packet, server));
    }
    let server_state = &mut state.servers[server];
    let flow = server_state.flows.get_mut(&packet.from)?;
    flow.token = packet.token;
    // Callers give their next position in whatever they send after an answer.
    let last = flow.last_request.as_ref();
    flow.is_acknowledged |= last.is_some_and(|(seq, _)| packet.seq > *seq);
    if packet.flags & RST != 0 {
        flow.is_closed = true;
        return None;
    }
    if packet.flags & FIN != 0 {
        flow.is_closed = true;
        let end =
            reply_to(ACK | FIN, packet).with_seq_ack_token(flow.number, packet.seq, flow.token);
        return Some(Action::Send(end.with_checksum()));
    }
    if flow.is_closed && !packet.data.is_empty() {
        return Some(reset_flow(packet, server));
    }
    // The caller's first acknowledgement of the server's number completes the handshake.
    if !flow.is_open && packet.ack == flow.number {
        flow.is_open = true;
        let flow = OpenFlow {
            server,
            incarnation: server_state.incarnation,
            misrouted: 0,
            misrouted_since: now,
            via,
        };
        state.open_flows.insert(packet.from, flow);
    }
    if packet.data.is_empty() || !flow.is_open {
        return None;
    }
    if packet.data[0] == UPLOAD_PART {
        return Some(Action::Send(acknowledge(flow.number, packet)));
    }
    let last = flow
        .last_request
        .clone()
        .filter(|(seq, _)| *seq == packet.seq);
    if let Some((seq, answer)) = last {
        // A retransmitted request: resends the answer, unless the request is still being executed.
        let Some(answer) = answer else {
            return Some(Action::Send(acknowledge(flow.number, packet)));
        };
        return work::answer_packet(server_state, packet.from, packet.to, seq, answer)
            .map(Action::Send);
    }
    flow.last_request = Some((packet.seq, None));
    flow.is_acknowledged = false;
    let mut span = Duration::from_millis(state.random.random_range(WORK_MS));
    if state.has_loads && state.servers[server].pool == PRIORITY_POOL {
        span *= LONG_WORK_FACTOR;
    }
    if now < state.servers[server].slow_until {
        span *= SLOW_FACTOR;
    }
    let work = Work {
        server,
        incarnation: state.servers[server].incarnation,
        span,
        caller: packet.from,
        service: packet.to,
        seq: packet.seq,
        data: packet.data.clone(),
    };
    work::admit(state, now, work, packet)
}

fn open_flow(
    state: &mut State,
    now: Time,
    server: usize,
    packet: &Packet,
    route: u8,
    via: Option<usize>,
) -> Option<Packet> {
    let incarnation = state.servers[server].incarnation;
    let known = state.servers[server].flows.get(&packet.from);
    let number = match known {
        Some(flow) => flow.number,
        None if state.servers[server].is_full(now) => return None,
        None => {
            state.check_new_flow(now, server, route, via);
            let number = state.assign_flow_number(server, incarnation);
            let flow = Flow {
                number,
                token: packet.token,
                is_open: false,
                last_request: None,
                is_acknowledged: false,
                is_closed: false,
            };
            state.servers[server].flows.insert(packet.from, flow);
            number
        }
    };
    let answer = reply_to(SYN | ACK, packet).with_seq_ack_token(number, packet.seq, packet.token);
    Some(answer.with_checksum())
}
