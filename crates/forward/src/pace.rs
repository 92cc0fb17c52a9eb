//! Order and delay of packets while the host's link is short.
//!
//! The pacer decides before each packet whether it is sent at once, which all packets are while less
//! than 85% of the link is used. Otherwise the driver hands it over, and takes packets back as the
//! link has room: acknowledgements and opening packets first, then by the priority of their routes,
//! uploads last, and one packet of each flow in turn.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::num::NonZeroU64;

use base::prelude::*;
use limit::share::PRIORITIES;

use crate::flow::Id;
use crate::host::Class;
use crate::host::TARGET_PERCENT;
use crate::packet::Head;

/// The longest time that a packet waits. Callers retransmit after 200 ms, so that one that waits for
/// longer would add a copy to the load.
pub const WAIT_MAX: Span = Span::millis(50);
/// The time over which the use of the link is compared with `TARGET_PERCENT`, as in `host::link`.
const WINDOW: Span = crate::host::link::WINDOW;
/// The bytes that are sent together while packets wait, as time of the link. It bounds the number of
/// times that the driver wakes to 200 per second.
const BURST: Span = Span::millis(10);
/// The least of these bytes: two packets of full length, so that each can be sent.
const BURST_BYTES_MIN: u64 = 3_200;
/// The unit of credits: the bytes that a link of 1 byte per second carries in 1 us.
const CREDIT_PER_BYTE: u64 = Span::secs(1).0;

/// The order in which packets are sent, from 0 on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u8);

impl Rank {
    /// The rank of acknowledgements and opening packets. They are short, and others wait for them.
    pub const FIRST: Rank = Rank(0);

    /// Returns the rank of a packet of a class.
    pub fn new(head: &Head, class: Class) -> Rank {
        if head.flags.syn || head.length == 0 {
            return Rank::FIRST;
        }
        match class.is_upload() {
            true => Rank(1 + PRIORITIES as u8),
            false => Rank(1 + limit::share::index(class.priority()) as u8),
        }
    }
}

/// A packet that waits.
#[derive(Clone, Debug)]
pub struct Packet<T> {
    /// Its flow.
    pub flow: Id,
    /// Its rank.
    pub rank: Rank,
    /// Its length on the link, in bytes.
    pub bytes: usize,
    /// What the driver needs to send it.
    pub payload: T,
}

/// The packets that wait, and the use of the link.
#[derive(Clone, Debug)]
pub struct Pacer<T> {
    /// Bytes per second of the link; `None` if not known.
    rate: Option<NonZeroU64>,
    filled_at: Time,
    /// What may be sent without pacing: `TARGET_PERCENT` of the link.
    free: u64,
    /// What may be sent while packets wait: all of the link.
    paced: u64,
    flows: BTreeMap<Id, Queue<T>>,
    /// The flows in the order in which they are served, by their rank and turn.
    turns: BTreeMap<(Rank, u64), Id>,
    /// The flows by the number of their oldest packet.
    oldest: BTreeMap<u64, Id>,
    /// Counts the packets and turns so far.
    sequence: u64,
    queued_bytes: usize,
    delayed: u64,
    dropped: u64,
}

/// The packets of one flow, of which there is at least one.
#[derive(Clone, Debug)]
struct Queue<T> {
    turn: (Rank, u64),
    packets: VecDeque<Waiting<T>>,
}

#[derive(Clone, Debug)]
struct Waiting<T> {
    number: u64,
    since: Time,
    packet: Packet<T>,
}

impl<T> Pacer<T> {
    /// Returns a pacer for a link of this many bytes per second. It does nothing without a rate.
    pub fn new(rate: Option<NonZeroU64>, now: Time) -> Pacer<T> {
        let mut pacer = Pacer {
            rate,
            filled_at: now,
            free: 0,
            paced: 0,
            flows: BTreeMap::new(),
            turns: BTreeMap::new(),
            oldest: BTreeMap::new(),
            sequence: 0,
            queued_bytes: 0,
            delayed: 0,
            dropped: 0,
        };
        pacer.free = pacer.free_max();
        pacer
    }

    /// Puts another rate in force. Packets that wait are sent at that rate, or at once without one.
    pub fn set_rate(&mut self, rate: Option<NonZeroU64>, now: Time) {
        if rate != self.rate {
            self.rate = rate;
            self.filled_at = now;
            (self.free, self.paced) = (self.free_max(), 0);
        }
    }

    /// Returns whether a packet of this many bytes is sent at once, and counts it then. Otherwise it
    /// has to be pushed.
    pub fn admit(&mut self, now: Time, bytes: usize) -> bool {
        if self.rate.is_none() && self.flows.is_empty() {
            return true;
        }
        self.fill(now);
        let cost = cost(bytes);
        let has_room = self.free >= cost || self.paced >= cost;
        let is_admitted = self.flows.is_empty() && has_room;
        if is_admitted {
            self.spend(cost);
        }
        is_admitted
    }

    /// Counts bytes that are sent without being asked for, such as frames.
    pub fn record(&mut self, bytes: usize) {
        self.spend(cost(bytes));
    }

    /// Queues a packet. If the queue is full, a packet of the last rank is dropped: another one, or
    /// this one if none has a later rank.
    pub fn push(&mut self, now: Time, packet: Packet<T>) {
        let flow = packet.flow;
        let waiting = self.flows.get(&flow);
        let rank = waiting.map_or(packet.rank, |queue| queue.turn.0);
        while self.queued_bytes + packet.bytes > self.queue_bytes_max() {
            if !self.evict_after(rank) {
                self.dropped += 1;
                return;
            }
        }
        self.delayed += 1;
        self.queued_bytes += packet.bytes;
        self.sequence += 1;
        let number = self.sequence;
        let turn = (packet.rank, number);
        let waiting = Waiting {
            number,
            since: now,
            packet,
        };
        if let Some(queue) = self.flows.get_mut(&flow) {
            queue.packets.push_back(waiting);
            return;
        }
        let packets = VecDeque::from([waiting]);
        self.flows.insert(flow, Queue { turn, packets });
        self.turns.insert(turn, flow);
        self.oldest.insert(number, flow);
    }

    /// Returns the next packet to send, if one waits and the link has room for it. Drops packets that
    /// have waited for too long.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        self.fill(now);
        self.expire(now);
        let (_, &flow) = self.turns.first_key_value()?;
        let cost = cost(self.flows.get(&flow)?.packets.front()?.packet.bytes);
        if self.rate.is_some() && self.paced < cost {
            return None;
        }
        self.spend(cost);
        self.take_head(flow).map(|packet| packet.payload)
    }

    /// Drops the packets of a flow that has ended.
    pub fn remove_flow(&mut self, flow: Id) {
        while self.take_head(flow).is_some() {
            self.dropped += 1;
        }
    }

    /// Returns the time until `pop` may return a packet; `None` if none waits.
    pub fn wait(&self, now: Time) -> Option<Span> {
        let (_, flow) = self.turns.first_key_value()?;
        let Some(rate) = self.rate else {
            return Some(Span::ZERO);
        };
        let head = self.flows.get(flow)?.packets.front()?;
        // Packets are sent in bursts, so that the driver wakes less often.
        let wanted = cost(head.packet.bytes).max(self.paced_max() / 2);
        let wait = Span(wanted.saturating_sub(self.paced).div_ceil(rate.get()));
        Some(Span(wait.0.saturating_sub(now.since(self.filled_at).0)))
    }

    /// Returns the number of packets that had to wait.
    pub fn delayed(&self) -> u64 {
        self.delayed
    }

    /// Returns the number of packets that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the bytes of the packets that wait.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    fn expire(&mut self, now: Time) {
        while let Some((_, &flow)) = self.oldest.first_key_value() {
            let head = self
                .flows
                .get(&flow)
                .and_then(|queue| queue.packets.front());
            if head.is_none_or(|head| now.since(head.since) < WAIT_MAX) {
                return;
            }
            self.take_head(flow);
            self.dropped += 1;
        }
    }

    /// Drops the latest packet of the flow that is served last, if its rank is after `rank`. Returns
    /// whether there was one.
    fn evict_after(&mut self, rank: Rank) -> bool {
        let last = self.turns.last_key_value();
        let Some((_, &flow)) = last.filter(|((last, _), _)| *last > rank) else {
            return false;
        };
        self.dropped += 1;
        let queue = self.flows.get_mut(&flow);
        match queue.filter(|queue| queue.packets.len() > 1) {
            Some(queue) => {
                let dropped = queue.packets.pop_back();
                self.queued_bytes -= dropped.map_or(0, |waiting| waiting.packet.bytes);
            }
            None => drop(self.take_head(flow)),
        }
        true
    }

    /// Takes the oldest packet of a flow, which gets its next turn after the other flows of its rank.
    fn take_head(&mut self, flow: Id) -> Option<Packet<T>> {
        let queue = self.flows.get_mut(&flow)?;
        let head = queue.packets.pop_front()?;
        self.queued_bytes -= head.packet.bytes;
        self.turns.remove(&queue.turn);
        self.oldest.remove(&head.number);
        match queue.packets.front() {
            Some(next) => {
                self.sequence += 1;
                queue.turn = (next.packet.rank, self.sequence);
                self.turns.insert(queue.turn, flow);
                self.oldest.insert(next.number, flow);
            }
            None => drop(self.flows.remove(&flow)),
        }
        Some(head.packet)
    }

    fn fill(&mut self, now: Time) {
        let elapsed = now.since(self.filled_at).min(Span::secs(1)).0;
        self.filled_at = now;
        let credit = self.rate.map_or(0, NonZeroU64::get) * elapsed;
        let free = credit * u64::from(TARGET_PERCENT) / 100;
        self.free = (self.free + free).min(self.free_max());
        self.paced = (self.paced + credit).min(self.paced_max());
    }

    fn spend(&mut self, cost: u64) {
        self.free = self.free.saturating_sub(cost);
        self.paced = self.paced.saturating_sub(cost);
    }

    fn free_max(&self) -> u64 {
        let whole = self.rate.map_or(0, NonZeroU64::get) * WINDOW.0;
        whole * u64::from(TARGET_PERCENT) / 100
    }

    fn paced_max(&self) -> u64 {
        let burst = self.rate.map_or(0, NonZeroU64::get) * BURST.0;
        burst.max(BURST_BYTES_MIN * CREDIT_PER_BYTE)
    }

    fn queue_bytes_max(&self) -> usize {
        self.rate.map_or(usize::MAX, |rate| {
            (rate.get() * WAIT_MAX.0 / CREDIT_PER_BYTE) as usize
        })
    }
}

fn cost(bytes: usize) -> u64 {
    bytes as u64 * CREDIT_PER_BYTE
}
