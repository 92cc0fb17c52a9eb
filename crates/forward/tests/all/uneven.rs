//! Tests of the requests under way and of uneven servers. Each test names the load that it covers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use base::prelude::*;
use forward::packet::Verdict;
use forward::prelude::*;
use forward::tick;

use crate::sim::Simulation;
use crate::sim::SERVICE;

/// The size of an answer in bytes.
const ANSWER_BYTES: u32 = 1_000;

/// A balancer without a network: its packets go nowhere.
struct Driver {
    reducer: Forwarder,
    now: Time,
}

impl Driver {
    /// Returns a balancer with this many servers of 2 slots each.
    fn new(servers: usize) -> Driver {
        let mut sim = Simulation::new(1, 1, 1, servers);
        sim.run_for(Span::secs(2));
        let reducer = sim.reducer(0).clone();
        Driver {
            reducer,
            now: sim.now,
        }
    }

    fn head(flow: u32) -> Head {
        Head {
            flags: Flags::default(),
            length: 0,
            seq: 1,
            ack: 0,
            token: Token(0),
            caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 2_000 + flow as u16),
            service: SERVICE,
        }
    }

    /// Opens a flow, and returns its token.
    fn open(&mut self, flow: u32) -> Token {
        let mut head = Driver::head(flow);
        head.flags.syn = true;
        let verdict = self.reducer.handle_packet(self.now, &head, &mut Vec::new());
        match verdict {
            Verdict::Forward {
                token: Some(token), ..
            } => token,
            other => panic!("the flow must be forwarded, got {other}"),
        }
    }

    /// Sends a packet of an open flow.
    fn send(&mut self, flow: u32, token: Token, length: u16, ack: u32) {
        let mut head = Driver::head(flow);
        head.flags.ack = true;
        head.length = length;
        head.token = token;
        head.ack = ack;
        let verdict = self.reducer.handle_packet(self.now, &head, &mut Vec::new());
        assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict}");
    }

    /// Lets time pass, with the periodic work.
    fn wait(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + tick::PERIOD);
            self.reducer.step(self.now, Event::Tick, &mut Vec::new());
        }
    }

    /// Serves one request on a new flow in a time.
    fn serve(&mut self, flow: u32, took: Span) {
        let token = self.open(flow);
        self.send(flow, token, 300, 1);
        self.wait(took);
        self.send(flow, token, 0, 1 + ANSWER_BYTES);
    }

    /// Returns the requests that are counted as under way at all servers.
    fn requests(&self) -> u32 {
        let rows = self.reducer.table().servers();
        rows.map(|(_, row)| row.requests).sum()
    }
}

/// Load: servers at their connection limits reject opening packets, which the balancer does not
/// see. Counted until `OPENING_TIMEOUT`, they made all servers look full.
#[test]
fn a_rejected_opening_packet_counts_for_a_short_time() {
    let mut driver = Driver::new(3);
    (0..30).for_each(|flow| {
        driver.open(flow);
    });
    assert_eq!(driver.requests(), 30);
    driver.wait(Span::millis(125));
    assert_eq!(driver.requests(), 0, "requests counted after 125 ms");
}

/// Load: requests of 20 ms whose answers are lost or not acknowledged. Counted until
/// `REQUEST_TIMEOUT`, they made servers look full for 2 s.
#[test]
fn a_request_without_an_answer_counts_while_the_server_may_answer() {
    let mut driver = Driver::new(3);
    (0..30).for_each(|flow| driver.serve(flow, Span::millis(20)));
    assert_eq!(driver.requests(), 0);
    for flow in 100..110 {
        let token = driver.open(flow);
        driver.send(flow, token, 300, 1);
    }
    driver.wait(Span::millis(200));
    assert_eq!(driver.requests(), 10, "they may be in a queue");
    driver.wait(Span::millis(100));
    assert_eq!(driver.requests(), 0, "requests counted after 300 ms");
}
