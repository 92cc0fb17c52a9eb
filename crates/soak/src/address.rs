//! Addresses of a run.
//!
//! Concurrent runs have different slots. Each slot has a loopback network of its own, so that their
//! addresses do not collide.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

/// Number of failure domains in a run.
pub const DOMAINS: usize = 3;
/// Number of balancers in a run, assigned to the failure domains in turn.
pub const BALANCERS: usize = 9;
/// Number of backend server addresses, assigned to the failure domains in turn.
pub const SERVERS: usize = 24;
/// Second octet of the network of slot 0.
const FIRST_NETWORK: u8 = 32;
/// Most runs at a time, and so the number of slots.
pub const SLOTS_MAX: u8 = 64;

const ENTRY_PORT: u16 = 4400;
const PEER_PORT: u16 = 4401;
const ADMIN_PORT: u16 = 4402;
const PLATFORM_PORT: u16 = 4403;
const SERVER_PORT: u16 = 4404;

/// The addresses of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    network: u8,
}

impl Addresses {
    /// Makes the addresses of a slot.
    ///
    /// # Panics
    ///
    /// Panics if `slot` is not below [`SLOTS_MAX`].
    pub fn new(slot: u8) -> Addresses {
        assert!(slot < SLOTS_MAX, "slot {slot} is not below {SLOTS_MAX}");
        Addresses {
            network: FIRST_NETWORK + slot,
        }
    }

    fn socket_address(self, third_octet: u8, index: usize, port: u16) -> SocketAddrV4 {
        let index = u8::try_from(index + 1).expect("an index is below 255");
        SocketAddrV4::new(Ipv4Addr::new(127, self.network, third_octet, index), port)
    }

    /// Returns the address at which a balancer receives callers' packets.
    pub fn entry(self, balancer: usize) -> SocketAddrV4 {
        self.socket_address(1, balancer, ENTRY_PORT)
    }

    /// Returns the address that a balancer binds for frames from peers.
    pub fn peer_bind(self, balancer: usize) -> SocketAddrV4 {
        self.socket_address(1, balancer, PEER_PORT)
    }

    /// Returns the address of the relay through which peers reach a balancer.
    pub fn peer_relay(self, balancer: usize) -> SocketAddrV4 {
        self.socket_address(2, balancer, PEER_PORT)
    }

    /// Returns the address of a balancer's admin pages.
    pub fn admin(self, balancer: usize) -> SocketAddrV4 {
        self.socket_address(1, balancer, ADMIN_PORT)
    }

    /// Returns the address of the relay through which a balancer reaches the platform.
    pub fn platform_relay(self, balancer: usize) -> SocketAddrV4 {
        self.socket_address(3, balancer, PLATFORM_PORT)
    }

    /// Returns the address at which the platform listens.
    pub fn platform(self) -> SocketAddrV4 {
        self.socket_address(4, 0, PLATFORM_PORT)
    }

    /// Returns the address at which callers of a failure domain receive packets.
    pub fn caller(self, domain: usize) -> SocketAddrV4 {
        self.socket_address(5, domain, ENTRY_PORT)
    }

    /// Returns a backend server address; several servers may use it one after the other.
    pub fn server(self, address: usize) -> SocketAddrV4 {
        self.socket_address(6, address, SERVER_PORT)
    }

    /// Returns the service address of a route. It only occurs in packets: no socket is bound to it.
    pub fn service(self, route: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, route), 443)
    }

    /// Returns the balancer that sends from an address, if it is one of a balancer.
    pub fn balancer_of(self, ip: Ipv4Addr) -> Option<usize> {
        match ip.octets() {
            [127, network, 1, index] if network == self.network => Some(usize::from(index) - 1),
            _ => None,
        }
    }
}

/// Returns the failure domain of a balancer or of a server's address.
pub fn domain_of(index: usize) -> usize {
    index % DOMAINS
}

/// Returns the name of a failure domain.
pub fn domain_name(domain: usize) -> String {
    format!("d{domain}")
}
