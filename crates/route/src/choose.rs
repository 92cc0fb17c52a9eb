//! Load-aware choice of the backend server for a new flow.
//!
//! The first choice is made by weighted rendezvous hashing, with slots as weights, so that all
//! entries (balancers that receive datagrams from callers) agree on it. If the first choice carries
//! more than its share of the load, the entry diverts the flow to the least loaded of the first
//! choice and the next few candidates in the order of their scores.

use crate::rendezvous;

/// A backend server, with its load as known to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Uid of the backend server.
    pub uid: u64,
    /// Requests running and queued: those in the last load report and those sent by this entry
    /// since.
    pub open_requests: u32,
    /// Request rate in the last load report, in tenths of a request per second.
    pub rate: u32,
    /// Concurrency limit; 0 if the server accepts no new flows.
    pub slots: u32,
    /// Whether the server is in the entry's own failure domain.
    pub is_local: bool,
    /// Whether the last load report is recent enough to be used.
    pub is_load_fresh: bool,
}

/// Number of candidates, besides the first choice, that a diverted flow is offered.
const ALTERNATIVES: usize = 2;
/// Excess load of the first choice above which a flow is diverted, in percent of the mean.
const DIVERT_PERCENT: u64 = 10;
/// Difference of loads up to which a server in the own failure domain is preferred, in percent of
/// the mean.
const LOCAL_PREFERENCE_PERCENT: u64 = 5;
/// Load of one open request per slot, in percent of the load of the mean request rate.
const OPEN_REQUEST_PERCENT: u64 = 15;

/// Returns the uid of the backend server for a new flow; `None` if no server accepts new flows.
pub fn choose(flow: u64, candidates: &[Candidate]) -> Option<u64> {
    let known = candidates.iter().any(|c| c.slots > 0 && c.is_load_fresh);
    let ranked = Ranked::new(flow, eligible(candidates, known));
    let first = ranked.0[0]?.1;
    let mean = Mean::new(candidates);
    if !known || mean.load(first) <= 100 + DIVERT_PERCENT {
        return Some(first.uid);
    }
    let cost = |c: &Candidate| {
        mean.load(c)
            + if c.is_local {
                0
            } else {
                LOCAL_PREFERENCE_PERCENT
            }
    };
    let ranked = ranked.0.iter().flatten().map(|&(_, candidate)| candidate);
    ranked.min_by_key(|c| cost(c)).map(|c| c.uid)
}

/// Returns the uid of the first choice for a new flow, by the hash alone; `None` if no server
/// accepts new flows.
pub fn hash_choice(flow: u64, candidates: &[Candidate]) -> Option<u64> {
    let known = candidates.iter().any(|c| c.slots > 0 && c.is_load_fresh);
    let ranked = Ranked::new(flow, eligible(candidates, known));
    ranked.0[0].map(|(_, first)| first.uid)
}

/// Returns the candidates that accept new flows; if the load of any of them is known, only those
/// whose load is.
fn eligible(candidates: &[Candidate], known: bool) -> impl Iterator<Item = &Candidate> + Clone {
    let candidates = candidates.iter();
    candidates.filter(move |c| c.slots > 0 && (c.is_load_fresh || !known))
}

/// Rank of a candidate for a flow: whether the flow is in the share that the slots of the candidate
/// give it, the score, and the uid, which breaks ties. The greatest is the first choice.
type Rank = (bool, u64, u64);

/// Returns the rank of a candidate for a flow, where `max_slots` is the highest number of slots of a
/// candidate.
///
/// A candidate with fewer slots ranks last for a share of the flows, so that it is the first choice
/// in proportion to its slots. Other flows keep their first choice when the slots of a candidate
/// change.
fn rank(flow: u64, candidate: &Candidate, max_slots: u32) -> Rank {
    let score = rendezvous::score(flow, candidate.uid);
    let draw = rendezvous::score(score, candidate.uid) % u64::from(max_slots);
    (draw < u64::from(candidate.slots), score, candidate.uid)
}

/// The highest ranked candidates for a flow, in order.
#[derive(Default)]
struct Ranked<'a>([Option<(Rank, &'a Candidate)>; 1 + ALTERNATIVES]);

impl<'a> Ranked<'a> {
    fn new(flow: u64, eligible: impl Iterator<Item = &'a Candidate> + Clone) -> Ranked<'a> {
        let max_slots = eligible.clone().map(|c| c.slots).max().unwrap_or(1);
        let mut ranked = Ranked::default();
        for candidate in eligible {
            ranked.insert(rank(flow, candidate, max_slots), candidate);
        }
        ranked
    }

    fn insert(&mut self, rank: Rank, candidate: &'a Candidate) {
        let mut displaced = Some((rank, candidate));
        for place in &mut self.0 {
            if displaced.map(|(rank, _)| rank) > place.map(|(rank, _)| rank) {
                std::mem::swap(place, &mut displaced);
            }
        }
    }
}

/// Total rate and slots of the candidates whose load is known, which give the mean rate per slot.
struct Mean {
    rate: u64,
    slots: u64,
}

impl Mean {
    fn new(candidates: &[Candidate]) -> Mean {
        let mut mean = Mean { rate: 0, slots: 0 };
        for candidate in candidates.iter().filter(|c| c.slots > 0 && c.is_load_fresh) {
            mean.rate += u64::from(candidate.rate);
            mean.slots += u64::from(candidate.slots);
        }
        mean
    }

    /// Returns the load per slot of a candidate, in percent of the mean.
    fn load(&self, candidate: &Candidate) -> u64 {
        let slots = u64::from(candidate.slots);
        let share = self.rate * slots;
        let rate = u64::from(candidate.rate) * self.slots * 100;
        let percent = rate.checked_div(share).unwrap_or(0);
        percent + u64::from(candidate.open_requests) * OPEN_REQUEST_PERCENT / slots
    }
}
