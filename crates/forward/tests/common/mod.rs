//! A balancer in a deployment of a given size, for benchmarks and allocation tests.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use base::prelude::*;
use conf::object;
use conf::object::Body;
use conf::object::Kind;
use conf::object::Meta;
use conf::object::Object;
use conf::object::State;
use conf::raw;
use forward::prelude::*;
use wire::frame::Body as FrameBody;
use wire::frame::Frame;
use wire::frame::Gossip;
use wire::frame::Update;

/// The time at which the balancer has all state.
pub(crate) const NOW: Time = Time(1_900_000_000_000_000);
/// The number of failure domains.
const DOMAINS: usize = 8;

/// The size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Size {
    /// The number of balancers.
    pub(crate) balancers: usize,
    /// The number of backend servers.
    pub(crate) servers: usize,
    /// The number of service addresses, each with its own pool.
    pub(crate) services: usize,
    /// The number of flows in the balancer's table.
    pub(crate) flows: u32,
}

/// Returns the address of a service, in 198.18.0.0/15.
pub(crate) fn service(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0xc612_0000 + number as u32), 443)
}

/// Returns the head of a packet of a flow. Each caller address from 100.64.0.0 on has 60,000 flows.
pub(crate) fn head(flow: u32, services: usize, flags: Flags, token: Token) -> Head {
    let port = 1024 + (flow % 60_000) as u16;
    Head {
        flags,
        length: if flags.syn { 0 } else { 300 },
        seq: 1,
        ack: 0,
        token,
        caller: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + flow / 60_000), port),
        service: service(flow as usize % services),
    }
}

/// The flags of an opening packet.
pub(crate) const OPENING: Flags = Flags {
    syn: true,
    ack: false,
    fin: false,
    rst: false,
};
/// The flags of a packet of an open flow.
pub(crate) const OPEN: Flags = Flags {
    syn: false,
    ack: true,
    fin: false,
    rst: false,
};

fn raw(name: String, labels: BTreeMap<String, String>, version: u64, body: Body) -> raw::Object {
    let meta = Meta {
        name,
        uid: 1,
        version,
        generation: 0,
        labels,
    };
    raw::Object::from(&Object { meta, body })
}

fn routing(size: Size) -> raw::Object {
    let route = |number: usize| {
        let share = object::Share {
            pool: format!("p{number}"),
            weight: 1,
        };
        object::Route::new(service(number), vec![share])
    };
    let pool = |number: usize| object::Pool {
        name: format!("p{number}"),
        cold_per_minute: 0,
        cold: Span::secs(2),
        check_path: object::DEFAULT_CHECK_PATH.into(),
    };
    let routing = object::Routing {
        routes: (0..size.services).map(route).collect(),
        pools: (0..size.services).map(pool).collect(),
        idle: Span::secs(15),
    };
    raw("main".into(), BTreeMap::new(), 1, Body::Routing(routing))
}

fn server(number: usize, size: Size) -> raw::Object {
    let domain = format!("d{}", number % DOMAINS);
    let labels = [
        (object::DOMAIN_LABEL, domain.clone()),
        (object::POOL_LABEL, format!("p{}", number % size.services)),
    ];
    let body = Body::Server(object::Server {
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a80_0000 + number as u32)), 80),
        slots: 2,
        connections: 2000,
        domain,
        state: State::In,
        pool: Some(format!("p{}", number % size.services)),
        identity: Some(number as u64 + 1),
        cold: Span::ZERO,
    });
    let labels = labels.map(|(name, value)| (name.to_owned(), value));
    let version = number as u64 + 2;
    raw(format!("i-{number:08x}"), labels.into(), version, body)
}

/// Returns a listing of the backend servers.
pub(crate) fn servers(size: Size) -> Vec<raw::Object> {
    (0..size.servers)
        .map(|number| server(number, size))
        .collect()
}

/// Returns a balancer that has all replicated state and the flows in its table.
pub(crate) fn balancer(size: Size) -> Forwarder {
    let peer = Peer {
        datagram: SocketAddr::from(([10, 0, 0, 1], 7)),
        stream: SocketAddr::from(([10, 0, 0, 1], 7)),
    };
    let setting = Setting::new("b0", "d0", peer, peer.datagram);
    let mut balancer = Forwarder::new(setting, NOW);
    let mut out = Vec::new();
    let upto = size.servers as u64 + 2;
    let listings = [
        (Kind::Routing, vec![routing(size)]),
        (Kind::Server, servers(size)),
        (Kind::Domain, Vec::new()),
    ];
    for (kind, objects) in listings {
        let event = Event::Objects {
            kind,
            since: 0,
            upto,
            objects,
        };
        balancer.step(NOW, event, &mut out);
    }
    for number in 1..size.balancers {
        add_peer(&mut balancer, number);
    }
    for flow in 0..size.flows {
        balancer.handle_packet(NOW, &head(flow, size.services, OPENING, Token(0)), &mut out);
        out.clear();
    }
    balancer
}

/// Adds a peer to the balancer's membership, by a ping that announces the peer.
fn add_peer(balancer: &mut Forwarder, number: usize) {
    let address = SocketAddr::from((Ipv4Addr::from(0x0a00_0001 + number as u32), 7));
    let from = Incarnation::new(NOW, &format!("b{number}"));
    let update = Update {
        incarnation: from,
        name: format!("b{number}"),
        domain: format!("d{}", number % DOMAINS),
        peer: Peer {
            datagram: address,
            stream: address,
        },
        admin: address,
        epoch: 0,
        state: 0,
        revision: 0,
    };
    let gossip = Gossip {
        updates: vec![update],
        ..Gossip::default()
    };
    let frame = Frame {
        from,
        body: FrameBody::Ping { seq: 1, gossip },
    };
    let event = Event::Frame {
        peer: address,
        frame,
    };
    balancer.step(NOW, event, &mut Vec::new());
}
