//! Tests of the use of a host's link and processor. Each names the load that it covers.
//!
//! The link has 10 Mbit/s and carries 58 uploads per second.

use std::collections::VecDeque;

use base::prelude::*;
use conf::routing::Traffic;
use forward::host::Capacity;
use forward::host::Class;
use forward::host::Host;
use forward::host::Sample;
use proptest::prelude::*;

const START: Time = Time(1_900_000_000_000_000);
const STEP: Span = Span::millis(5);
const TICK: Span = Span::millis(25);
/// The processor time of a packet, in microseconds.
const PACKET_TIME: u64 = 100;
const LINK_MBPS: f64 = 10.0;
/// The delay of a tick of a process that has exceeded its quota.
const THROTTLED: Span = Span::millis(60);

/// New flows of one class: their number per second, and the packets of each, one every 5 ms.
#[derive(Clone, Copy, Debug)]
struct Offer {
    class: Class,
    per_s: u64,
    packets: u64,
    /// The data of a packet, in bytes.
    length: u16,
}

/// What became of the flows of one offer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    offered: u64,
    refused: u64,
}

/// A host under load.
struct Model {
    host: Host,
    now: Time,
    sample: Sample,
    /// Whether the processor time can be read.
    has_clock: bool,
    /// Whether the process is scheduled late when it exceeds its quota.
    is_throttled: bool,
    cores: f64,
    /// The processor time at the last tick.
    used: Span,
    open: VecDeque<(Offer, u64)>,
    /// The part of the next flow of each offer that is due, in microseconds of a flow per second.
    due: Vec<u64>,
    flows: u64,
}

fn uploads(per_s: u64) -> Offer {
    Offer {
        class: Class::new(Traffic::Upload, 0),
        per_s,
        packets: 20,
        length: 1_000,
    }
}

fn requests(priority: u8, per_s: u64) -> Offer {
    Offer {
        class: Class::new(Traffic::Idempotent, priority),
        per_s,
        packets: 4,
        length: 300,
    }
}

impl Model {
    fn new(capacity: Capacity) -> Model {
        Model {
            host: Host::new(capacity),
            now: START,
            sample: Sample::default(),
            has_clock: true,
            is_throttled: true,
            cores: 0.1,
            used: Span::ZERO,
            open: VecDeque::new(),
            due: Vec::new(),
            flows: 0,
        }
    }

    fn with_link() -> Model {
        Model::new(Capacity::default().with_link_mbps(LINK_MBPS))
    }

    /// Returns the processor time that the quota allows in a tick, in microseconds.
    fn tick_quota(&self) -> u64 {
        (TICK.0 as f64 * self.cores) as u64
    }

    /// Runs for a span under the offers, and returns what became of each.
    fn run(&mut self, span: Span, offers: &[Offer]) -> Vec<Outcome> {
        let end = self.now + span;
        let mut outcomes = vec![Outcome::default(); offers.len()];
        self.due.resize(offers.len(), 0);
        while self.now < end {
            self.now += STEP;
            for (index, offer) in offers.iter().enumerate() {
                self.due[index] += offer.per_s * STEP.0;
                while self.due[index] >= Span::secs(1).0 {
                    self.due[index] -= Span::secs(1).0;
                    self.flows += 1;
                    let gate = self.host.gate_mut();
                    let is_refused = gate.decide(self.now, offer.class, self.flows);
                    assert_eq!(
                        gate.is_refused(self.now, self.flows),
                        is_refused,
                        "copies share the fate of the first opening packet"
                    );
                    outcomes[index].offered += 1;
                    outcomes[index].refused += u64::from(is_refused);
                    if !is_refused {
                        self.open.push_back((*offer, offer.packets));
                    }
                }
            }
            for (offer, left) in &mut self.open {
                *left -= 1;
                self.host
                    .gate_mut()
                    .record_packet(offer.class, offer.length);
                self.sample.bytes += u64::from(offer.length) + 64;
                let used = self.sample.processor.unwrap_or_default();
                self.sample.processor = Some(Span(used.0 + PACKET_TIME));
            }
            self.open.retain(|&(_, left)| left > 0);
            if self.now.since(START).0 % TICK.0 == 0 {
                let mut sample = self.sample;
                let used = sample.processor.unwrap_or_default();
                let is_throttled = self.is_throttled && used.0 - self.used.0 > self.tick_quota();
                self.used = used;
                if is_throttled {
                    sample.tick_delay = THROTTLED;
                }
                sample.processor = sample.processor.filter(|_| self.has_clock);
                self.host.observe(self.now, sample);
            }
        }
        outcomes
    }
}

impl Outcome {
    fn refused_percent(&self) -> u64 {
        self.refused * 100 / self.offered.max(1)
    }
}

/// Guards against uploads that fill a small link until packets of all flows are lost.
#[test]
fn a_link_full_of_uploads_refuses_uploads_only() {
    let mut model = Model::with_link();
    let offers = [uploads(117), requests(0, 40)];
    model.run(Span::secs(1), &offers);
    let mut worst = 0;
    for _ in 0..20 {
        let outcomes = model.run(Span::millis(200), &offers);
        assert_eq!(outcomes[1].refused, 0, "requests take 5% of the link");
        worst = worst.max(model.host.usage().link.expect("known"));
    }
    let outcomes = model.run(Span::secs(2), &offers);
    let refused = outcomes[0].refused_percent();
    assert!(
        (50..=70).contains(&refused),
        "{refused}% of uploads refused"
    );
    assert!((80..=95).contains(&worst), "the link is used to {worst}%");
}

/// Guards against urgent requests that are refused although uploads and less urgent ones could be.
#[test]
fn a_link_full_of_requests_refuses_the_least_urgent() {
    let mut model = Model::with_link();
    let offers = [uploads(10), requests(0, 350), requests(2, 700)];
    model.run(Span::secs(2), &offers);
    let outcomes = model.run(Span::secs(2), &offers);
    assert!(outcomes[0].refused_percent() >= 85, "{outcomes:?}");
    assert_eq!(outcomes[1].refused, 0, "{outcomes:?}");
    let refused = outcomes[2].refused_percent();
    assert!((30..=70).contains(&refused), "{outcomes:?}");
}

/// Guards against a host with 0.1 of a core that is not scheduled for a part of each second.
#[test]
fn a_short_processor_refuses_the_least_urgent() {
    let mut model = Model::new(Capacity::default().with_cores(0.1));
    let offers = [requests(0, 100), requests(3, 300)];
    model.run(Span::secs(4), &offers);
    let outcomes = model.run(Span::secs(4), &offers);
    let used = model.host.usage().processor.expect("known");
    assert!(
        (75..=95).contains(&used),
        "the processor is used to {used}%"
    );
    assert_eq!(outcomes[0].refused, 0, "{outcomes:?}");
    let refused = outcomes[1].refused_percent();
    assert!((55..=75).contains(&refused), "{outcomes:?}");
}

/// Guards against refusals because of a burst that the link's buffer takes.
#[test]
fn a_single_burst_refuses_nothing() {
    let mut model = Model::with_link();
    let burst = Offer {
        packets: 1,
        ..uploads(5_000)
    };
    // Windows end 25 ms after each 100 ms, so that each burst is within one.
    model.run(Span::millis(1_030), &[uploads(4)]);
    for _ in 0..20 {
        let burst = model.run(Span::millis(50), &[burst]);
        model.run(Span::millis(50), &[uploads(4)]);
        let used = model.host.usage().link;
        assert!(
            used > Some(95),
            "the burst alone exceeds the mean: {used:?}"
        );
        let rest = model.run(Span::millis(900), &[uploads(4)]);
        assert_eq!(burst[0].refused + rest[0].refused, 0);
    }
}

/// Guards against hosts that all refuse flows because of an update of the store's objects, which takes
/// 60 ms of a core on each of them.
#[test]
fn an_update_of_many_objects_refuses_nothing() {
    let mut model = Model::new(Capacity::default().with_cores(0.1));
    let offers = [requests(3, 50)];
    model.run(Span::secs(1), &offers);
    for _ in 0..10 {
        let used = model.sample.processor.unwrap_or_default();
        model.sample.processor = Some(Span(used.0 + 60_000));
        let outcomes = model.run(Span::secs(1), &offers);
        assert_eq!(outcomes[0].refused, 0);
    }
}

/// Guards against refusals that outlast the shortage.
#[test]
fn refusals_end_when_use_falls() {
    let mut model = Model::with_link();
    model.run(Span::secs(5), &[uploads(150)]);
    assert!(model.host.gate().is_refusing());
    model.run(Span::millis(500), &[uploads(20)]);
    let outcomes = model.run(Span::secs(3), &[uploads(20)]);
    assert_eq!(outcomes[0].refused, 0);
    assert!(!model.host.gate().is_refusing());
}

/// Guards against a host that is unusable because its link is set to a hundredth.
#[test]
fn a_link_that_is_set_too_small_admits_a_tenth() {
    let capacity = Capacity::default().with_link_mbps(0.1);
    let mut model = Model::new(capacity);
    let offers = [uploads(20), requests(0, 100), requests(1, 100)];
    model.run(Span::secs(2), &offers);
    let outcomes = model.run(Span::secs(10), &offers);
    let refused: u64 = outcomes.iter().map(|outcome| outcome.refused).sum();
    let offered: u64 = outcomes.iter().map(|outcome| outcome.offered).sum();
    assert!(
        (85..=90).contains(&(refused * 100 / offered)),
        "{outcomes:?}"
    );
    assert!(outcomes[1].refused_percent() < 85, "{outcomes:?}");
}

/// Guards against a change of behaviour of hosts whose capacity nobody has set.
#[test]
fn unknown_capacity_refuses_nothing() {
    let mut model = Model::new(Capacity::default());
    let outcomes = model.run(Span::secs(5), &[uploads(1_000), requests(7, 1_000)]);
    assert!(outcomes.iter().all(|outcome| outcome.refused == 0));
    assert_eq!(model.host.usage().greatest(), None);
}

/// Guards against a clock that counts elapsed time as processor time, and against quotas that are not
/// enforced: the process is scheduled in time.
#[test]
fn a_processor_without_delays_refuses_nothing() {
    let mut model = Model::new(Capacity::default().with_cores(0.1));
    model.is_throttled = false;
    let outcomes = model.run(Span::secs(5), &[requests(3, 1_000)]);
    assert!(model.host.usage().processor > Some(200));
    assert_eq!(outcomes[0].refused, 0);
    assert_eq!(model.host.usage().greatest(), None);
}

/// Guards against refusals that stay in force when the processor time cannot be read any more.
#[test]
fn an_unreadable_clock_refuses_nothing() {
    let mut model = Model::new(Capacity::default().with_cores(0.1));
    let offers = [requests(3, 1_000)];
    model.run(Span::secs(3), &offers);
    assert!(model.host.gate().is_refusing());
    model.has_clock = false;
    model.run(TICK, &offers);
    let outcomes = model.run(Span::secs(3), &offers);
    assert_eq!(outcomes[0].refused, 0);
    assert_eq!(model.host.usage().processor, None);
}

proptest! {
    /// Guards against a load that gets more than 90% of its opening packets refused.
    #[test]
    fn a_tenth_is_admitted_under_any_load(
        loads in prop::collection::vec((any::<bool>(), 0..9u8, 0..400u64), 1..6),
        mbps in 0.01..20.0f64,
        cores in 0.001..0.5f64,
    ) {
        let capacity = Capacity::default().with_link_mbps(mbps).with_cores(cores);
        let mut model = Model::new(capacity);
        let offers: Vec<Offer> = loads
            .iter()
            .map(|&(is_upload, priority, per_s)| match is_upload {
                true => uploads(per_s),
                false => requests(priority, per_s),
            })
            .collect();
        model.run(Span::secs(2), &offers);
        let outcomes = model.run(Span::secs(4), &offers);
        let refused: u64 = outcomes.iter().map(|outcome| outcome.refused).sum();
        let offered: u64 = outcomes.iter().map(|outcome| outcome.offered).sum();
        // Credits of each class carry over from the time before.
        prop_assert!(refused * 100 <= offered * 91 + 800, "{outcomes:?}");
    }
}
