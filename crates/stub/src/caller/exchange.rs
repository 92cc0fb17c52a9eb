//! One confirmable message, its retransmissions and its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use eyre::Result;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::report::Tally;

/// The Echo option (RFC 9175).
pub const ECHO: CoapOption = CoapOption::Unknown(252);

/// Length of a CoAP token.
const TOKEN_BYTES: usize = 8;

/// Maximum length of a received datagram.
const DATAGRAM_MAX_BYTES: usize = 2048;

/// No answer arrived in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeout;

/// Retransmission settings.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Initial time-out, before the random factor of 1 to 1.5.
    pub ack_timeout: std::time::Duration,
    /// Maximum number of retransmissions.
    pub retransmissions: u32,
}

/// The caller's end of a flow.
#[derive(Debug)]
pub struct Endpoint {
    socket: UdpSocket,
    timing: Timing,
    message_id: u16,
    /// The route token of the flow, from the last Echo option received.
    pub echo: Option<Vec<u8>>,
    /// Source of all random choices on this flow.
    pub rng: ChaCha8Rng,
    tally: Arc<Mutex<Tally>>,
}

impl Endpoint {
    /// Opens a flow to a service address, from a new port.
    pub async fn open(
        service: SocketAddr,
        timing: Timing,
        seed: u64,
        tally: Arc<Mutex<Tally>>,
    ) -> Result<Endpoint> {
        let socket = UdpSocket::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        socket.connect(service).await?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Ok(Endpoint {
            socket,
            timing,
            message_id: rng.random(),
            echo: None,
            rng,
            tally,
        })
    }

    /// Returns the counters.
    pub fn tally(&self) -> MutexGuard<'_, Tally> {
        // Each update is complete before the lock is released, so a panic elsewhere leaves it
        // consistent.
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message under a new message ID and token, and waits for its answer until `until`.
    pub async fn exchange(
        &mut self,
        mut packet: Packet,
        until: Instant,
    ) -> std::result::Result<Packet, Timeout> {
        self.message_id = self.message_id.wrapping_add(1);
        packet.header.message_id = self.message_id;
        packet.header.set_type(MessageType::Confirmable);
        let token: [u8; TOKEN_BYTES] = self.rng.random();
        packet.set_token(token.to_vec());
        if let Some(echo) = &self.echo {
            packet.add_option(ECHO, echo.clone());
        }
        let data = packet.to_bytes().map_err(|_| Timeout)?;
        let answer = self.send_reliably(&data, &token, until).await?;
        if let Some(echo) = answer.get_first_option(ECHO) {
            self.echo = Some(echo.clone());
        }
        Ok(answer)
    }

    async fn send_reliably(
        &mut self,
        data: &[u8],
        token: &[u8],
        until: Instant,
    ) -> std::result::Result<Packet, Timeout> {
        let factor = self.rng.random_range(1.0..1.5);
        let mut wait = self.timing.ack_timeout.mul_f64(factor);
        let mut retransmissions_left = self.timing.retransmissions;
        let mut retransmit_at = Instant::now() + wait;
        // A send error counts as a loss, as on any network.
        let _ = self.socket.send(data).await;
        loop {
            let answer = self.receive(token, retransmit_at.min(until)).await;
            match answer {
                Some(answer) => return Ok(answer),
                None if Instant::now() >= until || retransmissions_left == 0 => {
                    return Err(Timeout)
                }
                None => {}
            }
            retransmissions_left -= 1;
            wait *= 2;
            retransmit_at = Instant::now() + wait;
            let _ = self.socket.send(data).await;
            self.tally().report.retransmitted += 1;
        }
    }

    /// Waits for the answer with this token; `None` if it does not arrive before `until`.
    async fn receive(&mut self, token: &[u8], until: Instant) -> Option<Packet> {
        let mut buffer = [0; DATAGRAM_MAX_BYTES];
        loop {
            let received = tokio::time::timeout_at(until, self.socket.recv(&mut buffer)).await;
            let Ok(size) = received.ok()? else { continue };
            let packet = Packet::from_bytes(&buffer[..size]);
            let expected = packet.ok().filter(|p| self.is_answer(p, token));
            let Some(packet) = expected else {
                self.tally().report.stray += 1;
                continue;
            };
            if packet.header.get_type() == MessageType::Confirmable {
                self.acknowledge(packet.header.message_id).await;
            }
            return Some(packet);
        }
    }

    fn is_answer(&self, packet: &Packet, token: &[u8]) -> bool {
        let is_response = matches!(packet.header.code, MessageClass::Response(_));
        let is_match = match packet.header.get_type() {
            MessageType::Acknowledgement => packet.header.message_id == self.message_id,
            MessageType::Confirmable | MessageType::NonConfirmable => true,
            MessageType::Reset => false,
        };
        is_response && is_match && packet.get_token() == token
    }

    async fn acknowledge(&self, message_id: u16) {
        let mut packet = Packet::new();
        packet.header.code = MessageClass::Empty;
        packet.header.set_type(MessageType::Acknowledgement);
        packet.header.message_id = message_id;
        if let Ok(data) = packet.to_bytes() {
            let _ = self.socket.send(&data).await;
        }
    }
}
