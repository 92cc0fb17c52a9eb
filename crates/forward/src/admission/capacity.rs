//! Estimate of what one slot of a pool serves, from the answers that callers acknowledge.

use base::prelude::*;
use limit::share::Rate;

use crate::answer;
use crate::mean::Mean;
use crate::rate::Estimator;
use crate::rate::Window;

/// The weight of a new answer in the smoothed times: one part in this number. Some kinds of
/// requests take 7 times as long in 3% of the cases, so that fewer answers give an uneven mean.
const SMOOTHING: u64 = 128;
/// The same while the pool is loaded. Requests then also wait behind some that are not known here,
/// so that answers show more than the service time. With 1,024 the estimate doubled within 5 s at
/// 130 answers per second, and with 8,192 it rose by a sixth.
const SMOOTHING_LOADED: u64 = 32_768;
/// The same for the part of the time that requests are at the server, which rises within a service
/// time when they begin to wait there.
const PRESENCE_SMOOTHING: u64 = 32;
/// The sizes of rejections. An answer 503 has some hundred bytes.
const REJECTION: answer::Bounds = answer::Bounds {
    divisor: 4,
    smoothing: SMOOTHING,
    size_max: u32::MAX,
};
/// The shortest time at a server that is recorded.
const SERVICE_MIN: Span = Span(100);
/// The longest handshake that is recorded. A longer one contains a retransmission.
const HANDSHAKE_MAX: Span = Span::millis(100);
/// The factor above the service time from which on an answer shows that its request had to wait.
const WAITING_FACTOR: u64 = 2;
/// The weight of a new answer in the share of those whose requests had to wait: one part in this
/// number. A few answers in a row from one slow server must not count as waiting everywhere.
const WAITING_SMOOTHING: u32 = 8;
/// The share of such answers above which requests are expected to wait, in thousandths.
const WAITING_ABOVE: u32 = 500;
/// The same for the decision whether the slots of a domain as a whole suffice.
const QUEUEING_ABOVE: u32 = 100;
/// How long the latest answers of a failure domain say whether requests wait there. After that, a
/// single flow finds it out.
const WAITING_PERIOD: Span = Span::millis(500);
/// The period in which answers are counted before the estimate is corrected. A full queue takes
/// about as long to drain.
const CORRECTION_PERIOD: Span = Span::millis(100);
/// The number of answers that end such a period. Of fewer, a single rejection would be more than
/// the allowed share.
const CORRECTION_ANSWERS: u32 = 50;
/// The longest period with fewer answers.
const CORRECTION_PERIOD_MAX: Span = Span::secs(1);
/// The share of rejected and late answers above which the estimate is lowered, in thousandths. At
/// most 50 rejections per 1,000 requests are allowed.
const LOWER_ABOVE: u32 = 20;
/// The most by which the estimate is lowered in a period, in thousandths. The queues that filled
/// before still reject requests for a while.
const LOWER_MAX: u32 = 100;
/// The share of rejected and late answers below which the estimate is raised, in thousandths.
const RAISE_BELOW: u32 = 10;
/// The unit of the correction: no correction.
const FACTOR_MAX: u32 = 1_000;
/// The least correction. The estimate is never lowered below half, so that a fault of the
/// observation costs at most that.
const FACTOR_MIN: u32 = 500;
/// How much the correction is raised in each period: from the least to none within 2 s.
const FACTOR_STEP: u32 = 25;

/// Length of one step of the window of answers in time, in microseconds. The whole window of 1 s
/// evens out the rate of a small balancer, and follows a change within the time of a retry.
const SERVED_STEP: u64 = 125_000;
/// The part of the rate of answers in time that counts as capacity at the least correction, in
/// percent. It is 100 without a correction. The rest lets full queues drain: with 100 always, long
/// flows had 85 rejections per 1,000 requests at 1.3 times the capacity.
const SERVED_PERCENT_MIN: u64 = 70;

/// An answer, as seen from its acknowledgement by the caller.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Time since the request was forwarded.
    pub took: Span,
    /// Time since the request began to count as under way.
    pub counted: Span,
    /// The number of bytes that were acknowledged.
    pub bytes: u32,
    /// The number of requests under way at the server, including this one.
    pub running: u32,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Time within which the caller wants the answer.
    pub target: Span,
}

/// What answers show of the servers of a pool in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Path {
    /// Smoothed time from an opening packet to the caller's next packet, which contains no work, in
    /// microseconds.
    handshake: Mean,
    answered_at: Time,
    probed_at: Time,
    /// Smoothed part of the time that a request counts as under way in which it is at the server,
    /// in thousandths.
    presence: Mean,
    /// Smoothed share of the answers whose requests had to wait, in thousandths.
    waiting: u32,
    /// The slots of its servers, in thousandths, when the load was last assessed.
    slots: u64,
    /// The number of requests that were known to be at these servers, in thousandths.
    taken: u64,
}

/// The estimate of a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Smoothed time that a request occupies a slot, in microseconds.
    service: Mean,
    /// The correction of the capacity, in thousandths.
    factor: u32,
    /// Answers within the target.
    served: Window<SERVED_STEP>,
    answers: u32,
    failures: u32,
    period_start: Time,
    /// The number of answers that the service time was smoothed over, up to `SMOOTHING`.
    samples: u64,
    /// Whether requests are expected to wait at most servers.
    pub(super) is_loaded: bool,
}

impl Default for Estimate {
    fn default() -> Estimate {
        Estimate {
            service: Mean::default(),
            factor: FACTOR_MAX,
            served: Window::default(),
            answers: 0,
            failures: 0,
            period_start: Time::default(),
            samples: 0,
            is_loaded: false,
        }
    }
}

impl Path {
    pub(super) fn record_handshake(&mut self, took: Span) {
        if took <= HANDSHAKE_MAX {
            self.handshake.record(took.0, SMOOTHING);
        }
    }

    /// Returns the smoothed time of a handshake, zero before the first one.
    pub(super) fn handshake(&self) -> Span {
        Span(self.handshake.get().unwrap_or_default())
    }

    /// Returns whether recent answers show that requests wait there; `None` without such answers.
    pub(super) fn is_waiting(&self, now: Time) -> Option<bool> {
        let is_known = now.since(self.answered_at) < WAITING_PERIOD;
        is_known.then_some(self.waiting > WAITING_ABOVE)
    }

    /// Returns whether a flow may find out whether requests wait there, since no answer of late
    /// shows it, and counts it. The others wait for its answer.
    pub(super) fn start_probe(&mut self, now: Time) -> bool {
        let is_due = now.since(self.probed_at) >= WAITING_PERIOD;
        if is_due {
            self.probed_at = now;
        }
        is_due
    }

    /// Returns whether recent answers show that hardly any request waits there.
    pub(super) fn is_unloaded(&self, now: Time) -> bool {
        now.since(self.answered_at) < WAITING_PERIOD && self.waiting < QUEUEING_ABOVE
    }

    pub(super) fn clear_load(&mut self) {
        (self.slots, self.taken) = (0, 0);
    }

    /// Adds a server with its requests under way, of which some are on the network.
    pub(super) fn add_load(&mut self, slots: u32, running: u32) {
        self.slots += u64::from(slots) * 1_000;
        self.taken += u64::from(running) * self.presence.get().unwrap_or(1_000);
    }

    /// Returns whether at most a percentage of the slots was taken.
    pub(super) fn has_room(&self, percent: u64) -> bool {
        self.taken * 100 < self.slots * percent
    }

    fn record_wait(&mut self, has_waited: bool) {
        let share = if has_waited { 1_000 } else { 0 };
        self.waiting = (self.waiting * (WAITING_SMOOTHING - 1) + share) / WAITING_SMOOTHING;
    }
}

impl Estimate {
    /// Records an answer. `usual` is the smoothed size of the answers on its route, and is updated.
    pub(super) fn record(
        &mut self,
        now: Time,
        path: &mut Path,
        usual: &mut answer::Size,
        answer: &Answer,
    ) {
        self.correct(now);
        self.answers += 1;
        path.answered_at = now;
        let is_small = usual.is_short(answer.bytes, &REJECTION);
        let is_full = answer.running >= answer.slots || path.waiting > WAITING_ABOVE;
        if is_small && is_full {
            self.failures += 1;
            path.record_wait(true);
            return;
        }
        usual.record(answer.bytes, &REJECTION);
        if is_small {
            // It may be a rejection by a server that is full of requests that are not known here.
            return;
        }
        match answer.took > answer.target {
            true => self.failures += 1,
            false => self.served.record(now),
        }
        let network = path.handshake.get().unwrap_or_default();
        let present = answer.took.0.saturating_sub(network).max(SERVICE_MIN.0);
        let part = present * 1_000 / answer.counted.0.max(present);
        path.presence.record(part, PRESENCE_SMOOTHING);
        let slots = u64::from(answer.slots.max(1));
        // The requests that share the server's slots with this one, without those on the network.
        let sharing = (u64::from(answer.running) * part).max(slots * 1_000);
        let service = (present * slots * 1_000 / sharing).max(SERVICE_MIN.0);
        self.samples = (self.samples + 1).min(SMOOTHING);
        let weight = match self.is_loaded && self.samples == SMOOTHING {
            true => SMOOTHING_LOADED,
            false => self.samples,
        };
        self.service.record(service, weight);
        let mean = self.service.get();
        path.record_wait(mean.is_some_and(|mean| present > mean * WAITING_FACTOR));
    }

    /// Corrects the estimate by the answers of the last period.
    fn correct(&mut self, now: Time) {
        let passed = now.since(self.period_start);
        let has_few_answers = self.answers < CORRECTION_ANSWERS && passed < CORRECTION_PERIOD_MAX;
        if passed < CORRECTION_PERIOD || has_few_answers {
            return;
        }
        let periods = passed.0 / CORRECTION_PERIOD.0;
        let failed = self.failures * 1_000 / self.answers.max(1);
        if failed > LOWER_ABOVE {
            let lowered = self.factor * (1_000 - failed.min(LOWER_MAX)) / 1_000;
            self.factor = lowered.max(FACTOR_MIN);
        } else if failed < RAISE_BELOW {
            let periods = u32::try_from(periods).unwrap_or(u32::MAX);
            let raised = self
                .factor
                .saturating_add(FACTOR_STEP.saturating_mul(periods));
            self.factor = raised.min(FACTOR_MAX);
        }
        (self.answers, self.failures) = (0, 0);
        self.period_start = now;
    }

    /// Returns the smoothed time that a request occupies a slot.
    pub(super) fn service_time(&self) -> Option<Span> {
        self.service.get().map(Span)
    }

    /// Returns the capacity of a number of slots; `None` before the first answer.
    pub(super) fn capacity(&mut self, now: Time, slots: u32) -> Option<Rate> {
        self.correct(now);
        let service = self.service_time()?;
        let factor = u64::from(self.factor);
        let rate = u64::from(slots) * 10 * Span::secs(1).0 / service.0.max(1) * factor;
        Some(Rate::try_from(rate / u64::from(FACTOR_MAX)).unwrap_or(Rate::MAX))
    }

    /// Returns the least capacity of this balancer's part, by its rate of answers within the target.
    /// The servers can serve about this much, even if the service time was overestimated or some
    /// servers reject requests while others are free.
    pub(super) fn least(&self, now: Time) -> Rate {
        let above = u64::from(self.factor - FACTOR_MIN);
        let whole = u64::from(FACTOR_MAX - FACTOR_MIN);
        let percent = SERVED_PERCENT_MIN + (100 - SERVED_PERCENT_MIN) * above / whole;
        let rate = u64::from(self.served.rate(now)) * percent / 100;
        Rate::try_from(rate).unwrap_or(Rate::MAX)
    }

    /// Returns the correction of the capacity, in thousandths.
    pub(super) fn factor(&self) -> u32 {
        self.factor
    }
}
