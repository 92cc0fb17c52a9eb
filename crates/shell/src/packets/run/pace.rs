//! The send path of packets to backend servers, with the pacer in front of it, and what the process
//! uses of its host.

use std::net::SocketAddrV4;
use std::num::NonZeroU64;
use std::time::Duration;

use base::prelude::*;
use forward::codec::Codec;
use forward::codec::SERVER_HEADER_BYTES;
use forward::event::Event;
use forward::flow::Id;
use forward::host::Sample;
use forward::pace::Pacer;
use forward::pace::Packet;
use forward::packet::Head;
use forward::Forwarder;

use super::Loop;
use crate::clock;
use crate::clock::Clock;
use crate::packets::processor;

/// Bytes of the headers of IP and UDP.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// A datagram that waits until the link has room.
struct Held {
    to: SocketAddrV4,
    data: Vec<u8>,
}

/// What the process sends on its host's link.
pub(super) struct Outlet {
    pacer: Pacer<Held>,
    /// Bytes sent since the start, and those that wait or were dropped.
    bytes: u64,
    last_tick: Time,
    processor: processor::Clock,
}

impl Outlet {
    /// Makes an outlet to a link of this many bytes per second, if that is known.
    pub(super) fn new(rate: Option<NonZeroU64>, now: Time) -> Outlet {
        Outlet {
            pacer: Pacer::new(rate, now),
            bytes: 0,
            last_tick: now,
            processor: processor::Clock::default(),
        }
    }

    /// Counts a datagram with this many bytes of payload that is sent at once.
    pub(super) fn record(&mut self, payload: usize) {
        let bytes = payload + DATAGRAM_HEADER_BYTES;
        self.bytes += bytes as u64;
        self.pacer.record(bytes);
    }

    /// Drops the datagrams of a flow that has been reset.
    pub(super) fn remove_flow(&mut self, head: &Head) {
        self.pacer.remove_flow(flow_id(head));
    }

    /// Waits until a datagram that waits may be sent. Never returns if none waits. Cancel safe.
    pub(super) async fn wait(&self, clock: &Clock) {
        match self.pacer.wait(clock.now()) {
            Some(span) => tokio::time::sleep(Duration::from_micros(span.0)).await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether datagrams wait.
    pub(super) fn holds(&self) -> bool {
        self.pacer.queued_bytes() > 0
    }

    fn sample(&mut self, now: Time, quota: Option<NonZeroU64>) -> Sample {
        let interval = now.since(self.last_tick);
        self.last_tick = now;
        let processor = quota.and_then(|quota| {
            let read = clock::processor_time();
            self.processor.check(now, read, quota.get())
        });
        Sample {
            bytes: self.bytes,
            processor,
            tick_delay: Span(interval.0.saturating_sub(forward::tick::PERIOD.0)),
            delayed: self.pacer.delayed(),
            dropped: self.pacer.dropped(),
        }
    }
}

fn flow_id(head: &Head) -> Id {
    Id {
        caller: head.caller,
        service: head.service,
    }
}

impl<C: Codec, S> Loop<C, S> {
    /// Queues a datagram of the last read for a backend server, or holds a copy of it while the link
    /// has no room.
    pub(super) fn send_forward(
        &mut self,
        now: Time,
        index: usize,
        head: &Head,
        header: [u8; SERVER_HEADER_BYTES],
        to: SocketAddrV4,
    ) {
        let entry = &mut self.shell.entry;
        let data = entry.datagram(index).data;
        let bytes = SERVER_HEADER_BYTES + data.len() + DATAGRAM_HEADER_BYTES;
        self.outlet.bytes += bytes as u64;
        if self.outlet.pacer.admit(now, bytes) {
            return entry.queue_forward(index, header, to);
        }
        let data = [&header[..], data].concat();
        let packet = Packet {
            flow: flow_id(head),
            rank: self.reducer.rank(head),
            bytes,
            payload: Held { to, data },
        };
        self.outlet.pacer.push(now, packet);
    }

    /// Sends the held datagrams for which the link has room.
    pub(super) fn release_held(&mut self, now: Time) {
        while let Some(held) = self.outlet.pacer.pop(now) {
            if let Err(error) = self.shell.entry.send(held.to.into(), &held.data) {
                // Dropped like a datagram of a batch; callers retransmit it.
                tracing::debug!(event = "send-failed", to = %held.to, %error);
                self.shell.metric.count_drops(Code::Unreachable, 1);
            }
        }
    }

    /// Puts the rate of the link in force.
    pub(super) fn set_link_rate(&mut self, now: Time, rate: Option<NonZeroU64>) {
        self.outlet.pacer.set_rate(rate, now);
        self.release_held(now);
    }

    /// Passes to the reducer what the process has used of its host, if the host's capacity is known.
    pub(super) fn observe_host(&mut self, now: Time) {
        if self.reducer.host().is_known() {
            let quota = self.shell.setting.forward.capacity.processor;
            let event = Event::HostUse(self.outlet.sample(now, quota));
            self.reducer.step(now, event, &mut self.effects);
        }
    }
}

/// Returns the use of the host as far as it is known, for the metrics.
pub(super) fn host_values(reducer: &Forwarder) -> impl Iterator<Item = (&'static str, u64)> {
    let host = reducer.host();
    let usage = host.usage();
    let is_withdrawn = host.readiness().is_withdrawn();
    let values = [
        ("host_link_percent", usage.link.map(u64::from)),
        ("host_processor_percent", usage.processor.map(u64::from)),
        ("host_tick_delay_ms", Some(usage.tick_delay.as_millis())),
        ("host_is_withdrawn", Some(is_withdrawn.into())),
    ];
    let is_known = host.is_known();
    let values = values.into_iter().filter(move |_| is_known);
    values.filter_map(|(name, value)| Some((name, value?)))
}
