//! Tests of opening packets of flows that a balancer has in its table, after a change of the
//! platform's objects.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use assert_matches::assert_matches;
use base::prelude::*;
use conf::object;
use conf::object::Body;
use conf::object::Kind;
use conf::object::Meta;
use conf::object::Object;
use conf::object::State;
use conf::raw;
use forward::count;
use forward::packet::Verdict;
use forward::prelude::*;

use crate::sim::SERVICE;

const NOW: Time = Time(1_900_000_000_000_000);
const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024);
/// The time after which a caller sends its first copy.
const FIRST_COPY: Span = Span::millis(200);
/// The time from its first copy to its second.
const SECOND_COPY: Span = Span::millis(400);
/// An age at which a copy may be a duplicate that the network made.
const DUPLICATE: Span = Span::millis(20);

/// Returns an opening packet, or a copy of one.
fn opening(caller: SocketAddrV4, copies: u32) -> Head {
    Head {
        flags: Flags {
            syn: true,
            ..Flags::default()
        },
        length: 0,
        seq: 1,
        ack: copies,
        token: Token(0),
        caller,
        service: SERVICE,
    }
}

/// A balancer, the platform's state that it last received, and a caller of `SERVICE`.
struct World {
    balancer: Forwarder,
    now: Time,
    revision: u64,
    copies: u32,
    out: Vec<Effect>,
}

/// The servers of the deployment, with their failure domains and pools. The last octet of a server's
/// address is its position.
const SERVERS: [(&str, &str, &str); 4] = [
    ("i-0", "a", "rounds"),
    ("i-1", "a", "rounds"),
    ("i-2", "b", "rounds"),
    ("i-3", "a", "sheets"),
];

impl World {
    /// Returns a balancer in domain `a`, with a route to the pool `rounds`.
    fn new() -> World {
        let peer = SocketAddr::from(([10, 0, 0, 1], 7));
        let peer = Peer {
            datagram: peer,
            stream: peer,
        };
        let setting = Setting::new("b0", "a", peer, peer.datagram);
        let mut world = World {
            balancer: Forwarder::new(setting, NOW),
            now: NOW,
            revision: 0,
            copies: 0,
            out: Vec::new(),
        };
        world.route(&[("rounds", 1)]);
        world.list_servers(&[]);
        world.list(Kind::Domain, Vec::new());
        // Packets that are read just after a start may have queued, and are not refused.
        world.wait(Span::secs(1));
        world
    }

    fn list(&mut self, kind: Kind, bodies: Vec<(String, Body)>) {
        self.revision += 1;
        let upto = self.revision;
        let object = |(name, body): (String, Body)| {
            let labels = match &body {
                Body::Server(server) => BTreeMap::from([
                    (object::DOMAIN_LABEL.into(), server.domain.clone()),
                    (
                        object::POOL_LABEL.into(),
                        server.pool.clone().unwrap_or_default(),
                    ),
                    (object::STATE_LABEL.into(), server.state.name().into()),
                ]),
                Body::Domain(domain) => {
                    BTreeMap::from([(object::STATE_LABEL.into(), domain.state.name().into())])
                }
                _ => BTreeMap::new(),
            };
            let meta = Meta {
                name,
                uid: 1,
                version: upto,
                generation: 0,
                labels,
            };
            raw::Object::from(&Object { meta, body })
        };
        let objects = bodies.into_iter().map(object).collect();
        let event = Event::Objects {
            kind,
            since: 0,
            upto,
            objects,
        };
        self.balancer.step(self.now, event, &mut self.out);
    }

    /// Puts a routing in force, with the weighted pools of `SERVICE`. Without any it has no route.
    fn route(&mut self, shares: &[(&str, u32)]) {
        let share = |&(pool, weight): &(&str, u32)| object::Share {
            pool: pool.into(),
            weight,
        };
        let route = object::Route::new(SERVICE, shares.iter().map(share).collect());
        let pool = |name: &str| object::Pool {
            name: name.into(),
            cold_per_minute: 0,
            cold: Span::ZERO,
            check_path: object::DEFAULT_CHECK_PATH.into(),
        };
        let routing = object::Routing {
            routes: if shares.is_empty() {
                Vec::new()
            } else {
                vec![route]
            },
            pools: ["rounds", "sheets"].map(pool).into(),
            idle: Span::secs(15),
        };
        self.list(Kind::Routing, vec![("main".into(), Body::Routing(routing))]);
    }

    /// Lists the servers, of which the named ones are draining.
    fn list_servers(&mut self, draining: &[&str]) {
        let server = |(index, &(name, domain, pool)): (usize, &(&str, &str, &str))| {
            let state = match draining.contains(&name) {
                true => State::Drain,
                false => State::In,
            };
            let server = object::Server {
                address: SocketAddr::from(([10, 1, 0, index as u8], 80)),
                slots: 2,
                connections: 2_000,
                domain: domain.into(),
                state,
                pool: Some(pool.into()),
                identity: Some(index as u64 + 1),
                cold: Span::ZERO,
            };
            (name.to_owned(), Body::Server(server))
        };
        let servers = SERVERS.iter().enumerate().map(server).collect();
        self.list(Kind::Server, servers);
    }

    fn take_out(&mut self, domain: &str) {
        let body = Body::Domain(object::Domain { state: State::Out });
        self.list(Kind::Domain, vec![(domain.into(), body)]);
    }

    /// Passes time in steps that are no stall.
    fn wait(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + Span::millis(25));
            self.balancer.step(self.now, Event::Tick, &mut self.out);
        }
    }

    fn send(&mut self, head: &Head) -> Verdict {
        let balancer = &mut self.balancer;
        balancer.handle_packet(self.now, head, &mut self.out)
    }

    /// Sends an opening packet or, after the first time, a copy of it.
    fn open(&mut self) -> Verdict {
        let head = opening(CALLER, self.copies);
        self.copies += 1;
        self.send(&head)
    }

    /// Sends an opening packet that is forwarded. Returns the name of its server and the token.
    fn open_at(&mut self) -> (&'static str, Token) {
        match self.open() {
            Verdict::Forward {
                target,
                token: Some(token),
            } => (
                SERVERS[usize::from(target.address.ip().octets()[3])].0,
                token,
            ),
            verdict => panic!("the opening packet is not forwarded: {verdict:?}"),
        }
    }

    /// Sends data with the token that the server has returned, so that the flow is open.
    fn send_data(&mut self, token: Token) -> Verdict {
        let head = Head {
            flags: Flags {
                ack: true,
                ..Flags::default()
            },
            length: 300,
            seq: 2,
            ack: 1,
            token,
            caller: CALLER,
            service: SERVICE,
        };
        self.send(&head)
    }

    /// Opens a flow, and returns the name of its server and its token.
    fn establish(&mut self) -> (&'static str, Token) {
        let (server, token) = self.open_at();
        self.wait(Span::millis(10));
        assert_matches!(self.send_data(token), Verdict::Forward { .. });
        (server, token)
    }

    /// Drains all servers but one, which takes the next flows.
    fn keep_only(&mut self, server: &str) {
        let names = SERVERS.iter().map(|&(name, ..)| name);
        let others: Vec<&str> = names.filter(|&name| name != server).collect();
        self.list_servers(&others);
    }

    fn count(&self, kind: count::Kind) -> u64 {
        self.balancer.counts().get(kind)
    }
}

/// Makes a test for each case from its steps and assertions.
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident: $body:expr;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                let mut world = World::new();
                let body: fn(&mut World) = $body;
                body(&mut world);
            }
        )*
    };
}

cases! {
    /// Guards against a caller's copy that is forwarded on a route which a change has dropped.
    promise_10_a_copy_on_a_dropped_route_is_reset: |world| {
        world.open_at();
        world.wait(FIRST_COPY);
        world.open_at();
        world.route(&[]);
        world.wait(SECOND_COPY);
        assert_eq!(world.open(), Verdict::Reset(Code::NoService));
        assert_eq!(world.balancer.flows(), 0);
    };
    /// The same where no other server is left, and the copy would go to the first one again.
    promise_10_a_copy_on_a_dropped_route_is_not_resent: |world| {
        world.keep_only("i-0");
        world.open_at();
        world.route(&[]);
        world.wait(FIRST_COPY);
        assert_eq!(world.open(), Verdict::Reset(Code::NoService));
    };
    /// The same with a duplicate made by the network. Its server may answer the first packet, so that
    /// the duplicate resets nothing.
    promise_10_a_duplicate_on_a_dropped_route_is_dropped: |world| {
        world.open_at();
        world.route(&[]);
        world.wait(DUPLICATE);
        assert_eq!(world.open(), Verdict::Drop(Code::FlowOutdated));
        world.wait(FIRST_COPY);
        assert_eq!(world.open(), Verdict::Reset(Code::NoService));
    };
    /// Guards against a copy that stays in the pool which a route led to before a change.
    promise_10_a_copy_follows_its_route_to_another_pool: |world| {
        let (old, _) = world.open_at();
        world.route(&[("sheets", 1)]);
        world.wait(FIRST_COPY);
        assert_ne!(old, "i-3");
        assert_eq!(world.open_at().0, "i-3");
        assert_eq!(world.balancer.flows(), 1);
        assert_eq!(world.count(count::Kind::Rerouted), 1);
    };
    /// The same where the former pool is still named, but takes no flows.
    promise_10_a_copy_leaves_a_pool_without_weight: |world| {
        world.open_at();
        world.route(&[("rounds", 0), ("sheets", 3)]);
        world.wait(FIRST_COPY);
        assert_eq!(world.open_at().0, "i-3");
    };
    /// A server that left an opening packet unanswered is suspected, whatever became of its route.
    a_dropped_route_hides_no_silent_server: |world| {
        let (server, _) = world.open_at();
        world.route(&[]);
        world.wait(FIRST_COPY);
        world.open();
        let mut rows = world.balancer.table().servers();
        assert!(rows.any(|(_, row)| row.name == server && row.health.is_suspected()));
    };
    /// A change of the weights does not move a flow whose pool keeps a share.
    a_copy_stays_in_a_pool_that_keeps_a_share: |world| {
        world.open_at();
        world.route(&[("rounds", 1), ("sheets", 1_000)]);
        world.wait(FIRST_COPY);
        assert_ne!(world.open_at().0, "i-3");
        assert_eq!(world.count(count::Kind::Moves), 1);
    };
    /// A flow that is assigned anew does not wait for a free slot, as a caller of an outage would.
    a_rerouted_copy_takes_a_saturated_server: |world| {
        world.open_at();
        world.route(&[("sheets", 1)]);
        world.wait(FIRST_COPY);
        for port in 1..=4 {
            let caller = SocketAddrV4::new(*CALLER.ip(), CALLER.port() + port);
            let verdict = world.send(&opening(caller, 0));
            assert_matches!(verdict, Verdict::Forward { .. });
        }
        assert_eq!(world.open_at().0, "i-3");
    };
    /// Packets of an open flow stay where they are, also on a dropped route.
    an_open_flow_outlives_its_route: |world| {
        let (_, token) = world.establish();
        world.route(&[]);
        world.wait(DUPLICATE);
        assert_matches!(world.send_data(token), Verdict::Forward { .. });
    };
    /// Guards against a late copy that ends the open flow which it belongs to.
    promise_10_a_late_copy_on_a_dropped_route_is_dropped: |world| {
        let (_, token) = world.establish();
        world.route(&[]);
        world.wait(DUPLICATE);
        assert_eq!(world.open(), Verdict::Drop(Code::FlowOutdated));
        assert_matches!(world.send_data(token), Verdict::Forward { .. });
    };
    /// Guards against a new flow from an address in use before that goes to the old flow's server,
    /// which is draining by now. Its first packet passes for a late copy.
    promise_08_a_reused_address_avoids_a_draining_server: |world| {
        let (old, _) = world.establish();
        world.list_servers(&[old]);
        world.wait(Span::secs(5));
        world.copies = 0;
        assert_eq!(world.open(), Verdict::Drop(Code::FlowOutdated));
        world.wait(FIRST_COPY);
        assert_ne!(world.open_at().0, old);
    };
    /// The same with a server in a failure domain that is out by now.
    promise_04_a_reused_address_avoids_a_domain_that_is_out: |world| {
        world.keep_only("i-2");
        let (old, _) = world.establish();
        assert_eq!(old, "i-2");
        world.list_servers(&[]);
        world.take_out("b");
        world.wait(Span::secs(5));
        world.copies = 0;
        assert_eq!(world.open(), Verdict::Drop(Code::FlowOutdated));
        world.wait(FIRST_COPY);
        assert_ne!(world.open_at().0, "i-2");
    };
    /// A late copy of an open flow stays at the flow's server while nothing has changed.
    a_late_copy_goes_to_the_server_of_its_flow: |world| {
        let (server, _) = world.establish();
        world.wait(DUPLICATE);
        assert_eq!(world.open_at().0, server);
    };
}
