//! The fault plan of a seed. Faults are drawn at random; they may follow each other or overlap.
//!
//! A seed always gives the same plan: the order of the draws and of the variants of [`Kind`] is
//! part of that. Loads and restores are drawn from random streams of their own, so that a seed keeps
//! the faults that it had before there were any.

use base::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use strum::Display;
use strum::EnumCount;
use strum::FromRepr;

use crate::address;
use crate::address::BALANCERS;
use crate::address::DOMAINS;

/// Makes the random stream of the plan differ from that of the run, which has the same seed.
const PLAN_SALT: u64 = 0x706c_616e;
/// Makes the random stream of the loads differ from the others of the same seed.
const LOAD_SALT: u64 = 0x6c6f_6164;
/// Makes the random stream of the restores differ from the others of the same seed.
const RESTORE_SALT: u64 = 0x6261_636b;
/// Time before the first fault; longer than the time after which balancers count as settled.
pub const WARM_UP: Span = Span::secs(5);
/// Time after the last fault. The system recovers first, then requests are checked.
pub const COOL_DOWN: Span = Span::secs(10);
/// Range of the number of faults in ten seconds.
const FAULTS_PER_10_S: std::ops::RangeInclusive<u64> = 5..=12;
/// Range of the duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..5_000;
/// Range of the number of loads of a seed.
const LOADS: std::ops::RangeInclusive<u64> = 2..=4;
/// Range of the number of restores of a seed.
const RESTORES: std::ops::RangeInclusive<u64> = 1..=3;
/// Time after the last possible start of a fault within which loads still start, so that some of
/// them meet no fault.
const LOAD_TAIL: Span = Span::secs(15);
/// Number of the kinds that are faults. The kinds after them are loads.
const FAULT_KINDS: usize = Kind::Slow as usize;
/// Number of the kinds that are faults or loads.
const LOAD_KINDS_END: usize = Kind::Restore as usize;

/// Kinds of faults. They are printed under their names, in kebab case.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, EnumCount, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(usize)]
pub enum Kind {
    /// A balancer is stopped gracefully and restarted.
    Stop,
    /// Rolling restart: the balancers of a failure domain are stopped and restarted in turn.
    Roll,
    /// A balancer is killed and restarted.
    Kill,
    /// All balancers are killed at the same time and restarted.
    KillAll,
    /// A balancer's process is suspended and resumed.
    Pause,
    /// A balancer's process is suspended, and told to stop meanwhile.
    PauseStop,
    /// The settings file changes repeatedly, also to invalid contents, and is reloaded each time.
    Reload,
    /// A balancer's link to the platform is slow.
    StoreSlow,
    /// A balancer's link to the platform stalls: connections stay open but carry no data.
    StoreSilent,
    /// A balancer's connections to the platform are reset.
    StoreReset,
    /// All open connections to the platform stall for good, while new ones work.
    StoreOpenSilent,
    /// The platform refuses connections.
    PlatformDown,
    /// The platform answers 503.
    PlatformBusy,
    /// The platform accepts calls and does not answer.
    PlatformHangs,
    /// The platform answers with a delay.
    PlatformSlow,
    /// The platform compacts its history, so that watches cannot resume from an old revision.
    PlatformForgets,
    /// A network partition separates a failure domain from the others and the platform.
    Cut,
    /// A one-way partition: nothing leaves a failure domain, also not to the platform.
    OneWay,
    /// More datagrams are lost.
    Loss,
    /// Frames between balancers are delayed with jitter, so that they are reordered.
    Delay,
    /// A server drains and stops, and another server reuses its address.
    Replace,
    /// A server becomes unresponsive for good; its entry is removed, and another server reuses its
    /// address.
    Silent,
    /// A server is unresponsive for a while.
    Hang,
    /// A server restarts under the same name, cold.
    Restart,
    /// A failure domain is taken out of service and put back.
    Out,
    /// A route is added.
    AddRoute,
    /// A route is added and removed.
    RemoveRoute,
    /// The routing changes several times in quick succession.
    Storm,
    /// Half of the servers of a failure domain run several times slower.
    Slow,
    /// Half of the servers of a failure domain are at their connection limit.
    Full,
    /// More callers send requests to the pool with priorities than its servers can serve.
    Crowd,
    /// The link of a balancer's host is full of uploads.
    Link,
    /// The platform is down and comes back from a copy of its objects that was made at the start of
    /// the fault. Authors repeat their lost changes.
    Restore,
}

/// A planned fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When the fault starts, from the start of the run.
    pub at: Span,
    /// How long the fault lasts; unused by kinds that happen at once.
    pub duration: Span,
    /// The kind of the fault.
    pub kind: Kind,
    /// Index of the balancer, failure domain or server address that is affected; unused by kinds
    /// that affect all or none.
    pub index: usize,
}

/// Draws the faults of a seed, ordered by their start, which lies within `span` after [`WARM_UP`].
pub fn draw(seed: u64, span: Span) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PLAN_SALT);
    let count = random.random_range(FAULTS_PER_10_S) * span.0 / Span::secs(10).0;
    let mut faults: Vec<Fault> = (0..count.max(1))
        .map(|_| draw_fault(&mut random, span))
        .collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_fault(random: &mut ChaCha8Rng, span: Span) -> Fault {
    let kind = random.random_range(0..FAULT_KINDS);
    draw_details(random, kind, span)
}

/// Draws the loads of a seed. They start within `span` and `LOAD_TAIL` after [`WARM_UP`].
pub fn draw_loads(seed: u64, span: Span) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ LOAD_SALT);
    let count = random.random_range(LOADS);
    let draw = |_| {
        let kind = random.random_range(FAULT_KINDS..LOAD_KINDS_END);
        draw_details(&mut random, kind, Span(span.0 + LOAD_TAIL.0))
    };
    (0..count).map(draw).collect()
}

/// Draws the restores of a seed. They start within `span` after [`WARM_UP`].
pub fn draw_restores(seed: u64, span: Span) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ RESTORE_SALT);
    let count = random.random_range(RESTORES);
    let draw = |_| draw_details(&mut random, Kind::Restore as usize, span);
    (0..count).map(draw).collect()
}

fn draw_details(random: &mut ChaCha8Rng, kind: usize, span: Span) -> Fault {
    let kind = Kind::from_repr(kind).expect("the index is below the number of kinds");
    let count = match kind {
        Kind::Roll | Kind::Cut | Kind::OneWay | Kind::Out | Kind::Slow | Kind::Full => DOMAINS,
        Kind::Replace | Kind::Silent | Kind::Hang | Kind::Restart => address::SERVERS,
        _ => BALANCERS,
    };
    Fault {
        at: Span(WARM_UP.0 + random.random_range(0..span.0)),
        duration: Span::millis(random.random_range(DURATION_MS)),
        kind,
        index: random.random_range(0..count),
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (at, duration) = (self.at.as_millis(), self.duration.as_millis());
        write!(f, "{at} ms {} {} for {duration} ms", self.kind, self.index)
    }
}
