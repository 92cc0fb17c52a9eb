//! Slow start: raises the concurrency limit of a backend server as its answers show that it is
//! warm.
//!
//! A server counts as cold, with a concurrency limit (`level`) of one, until its answers show that
//! it is warm.
//!
//! - With a baseline: `Setting::warm_threshold` fast answers (ranked up to `FAST_RANK` in it), to
//!   requests started after the last evidence of a cold start, raise the level by one. An answer
//!   ranked above `RESET_RANK` resets the count.
//! - Without one, see `calibration`.
//! - The health endpoint can lower the level and keep it from rising for a time, but never raises
//!   it.
//! - Evidence of a cold start lowers the level to one at once: an answer far longer than all of the
//!   baseline, answers that together rank too high in it (a CUSUM test), an overdue request (one
//!   that has already run for longer than that), a shed or failed request, and a health endpoint
//!   that starts to report a cold start.
//! - A single answer far longer than the baseline, followed by fast answers only, was a long
//!   request and not a cold start: it becomes part of the baseline.

use std::collections::BTreeMap;
use std::fmt;

use base::prelude::*;

use crate::baseline;
use crate::baseline::Baseline;
use crate::calibration::Calibration;
use crate::setting::Setting;

/// Rank up to which an answer counts as fast.
const FAST_RANK: u32 = baseline::MAX_RANK * 3 / 4;

/// Rank above which an answer resets the count of fast answers.
const RESET_RANK: u32 = baseline::MAX_RANK * 97 / 100;

/// Mean rank above which answers together are evidence of a cold start. The mean rank of a warm
/// server is `baseline::MEDIAN_RANK`.
const DRIFT_RANK: u32 = baseline::MAX_RANK * 3 / 4;

/// Cumulative excess over `DRIFT_RANK` that is evidence of a cold start: four answers longer than
/// all of the baseline.
const DRIFT_SUM: u32 = baseline::MAX_RANK;

/// Maximum number of answers that are withheld from the baseline while they may be those of a cold
/// server. Older ones are dropped.
const MAX_WITHHELD: usize = 32;

/// Service times of one service at the backend server.
#[derive(Clone, Debug, Default)]
struct Profile {
    /// Distribution at the warm server.
    baseline: Baseline,
    /// Exponential moving average, whether the server is warm or cold; zero before the first
    /// answer.
    recent: Span,
    calibration: Calibration,
}

/// Slow answers since the level was last raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlowAnswers {
    /// There were none.
    None,
    /// There was one, of this service.
    One(u32, Span),
    /// There were several, or there was other evidence of a cold start.
    Many,
}

/// The slow start of one backend server.
#[derive(Clone, Debug)]
pub struct Ramp {
    setting: Setting,
    /// Current concurrency limit, from 1 to `Setting::slots`.
    level: u8,
    /// Whether the server counts as cold.
    is_cold: bool,
    /// Incremented with each piece of evidence of a cold start, except for slow answers and overdue
    /// requests of a cold server at level one.
    epoch: u32,
    /// Fast answers that count towards the next level.
    fast_answers: u32,
    /// Cumulative sum of ranks over `DRIFT_RANK`.
    drift: u32,
    /// Answers since `drift` was last zero; the baseline gets them when it returns to zero.
    withheld: Vec<(u32, Span)>,
    slow_answers: SlowAnswers,
    /// When the health endpoint started to report a cold start.
    cold_since: Option<Time>,
    services: BTreeMap<u32, Profile>,
}

impl Ramp {
    /// Creates the ramp of a cold server without baselines.
    pub fn new(setting: Setting) -> Ramp {
        Ramp {
            setting,
            level: 1,
            is_cold: true,
            epoch: 0,
            fast_answers: 0,
            drift: 0,
            withheld: Vec::new(),
            slow_answers: SlowAnswers::None,
            cold_since: None,
            services: BTreeMap::new(),
        }
    }

    /// Returns the current concurrency limit.
    pub const fn level(&self) -> u8 {
        self.level
    }

    /// Returns whether the server counts as cold.
    pub const fn is_cold(&self) -> bool {
        self.is_cold
    }

    /// Returns the current epoch, which ends with evidence of a cold start. A request is tagged
    /// with the epoch that it starts in.
    pub const fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the recent service time, or zero before the first answer.
    pub fn recent_service_time(&self, service: u32) -> Span {
        let profile = self.services.get(&service);
        profile.map_or(Span::ZERO, |profile| profile.recent)
    }

    /// Returns the median service time of the warm server, if its baseline is known.
    pub fn baseline(&self, service: u32) -> Option<Span> {
        let baseline = &self.services.get(&service)?.baseline;
        baseline.is_known().then(|| baseline.median())
    }

    /// Sets the baseline to the typical service time at other servers, unless one is known.
    pub fn seed_baseline(&mut self, service: u32, typical: Span) {
        let profile = self.services.entry(service).or_default();
        if !profile.baseline.is_known() {
            profile.baseline = Baseline::new(typical);
        }
    }

    /// Continues from the level that the former owner's ramp had reached, unless the health
    /// endpoint reports a cold start.
    pub fn adopt_level(&mut self, level: u8) {
        if self.cold_since.is_none() {
            self.level = level.clamp(1, self.setting.slots);
            self.is_cold = self.level < self.setting.slots;
        }
    }

    /// Records evidence of a cold start other than a slow answer.
    pub fn record_evidence(&mut self) {
        self.slow_answers = SlowAnswers::Many;
        self.lower_level();
    }

    fn lower_level(&mut self) {
        self.level = 1;
        self.is_cold = true;
        self.epoch = self.epoch.wrapping_add(1);
        self.reset_counts();
    }

    /// Records a health report. Only the first of consecutive reports of a cold start is evidence.
    pub fn record_health(&mut self, now: Time, cold: bool) {
        match (cold, self.cold_since) {
            (true, None) => {
                self.cold_since = Some(now);
                self.record_evidence();
            }
            (true, Some(_)) => {}
            (false, _) => self.cold_since = None,
        }
    }

    /// Returns whether a request that has run for `age` is overdue: a slow answer, if it ended now.
    pub fn is_overdue(&self, service: u32, age: Span) -> bool {
        let profile = self.services.get(&service);
        profile.is_some_and(|profile| {
            profile.baseline.is_known()
                && age > profile.baseline.slow_threshold(self.setting.jitter)
        })
    }

    /// Records an overdue request. Its answer counts as a slow one when it arrives.
    ///
    /// At level one, a cold server's calibration is kept: `lower_level` would discard it with each
    /// overdue request, and a server that stays slow would never get a new baseline.
    pub fn record_overdue(&mut self) {
        if self.level > 1 || !self.is_cold {
            self.lower_level();
        }
        self.fast_answers = 0;
    }

    /// Records an answer to a request that was started at `start`, in `epoch`.
    pub fn record_answer(&mut self, now: Time, service: u32, start: Time, epoch: u32, took: Span) {
        let profile = self.services.entry(service).or_default();
        profile.recent = match profile.recent {
            Span::ZERO => took,
            recent => Span((recent.0 * 3 + took.0) / 4),
        };
        let baseline = &profile.baseline;
        let slow = baseline.is_known() && took > baseline.slow_threshold(self.setting.jitter);
        if slow {
            self.slow_answers = match self.slow_answers {
                SlowAnswers::None => SlowAnswers::One(service, took),
                SlowAnswers::One(..) | SlowAnswers::Many => SlowAnswers::Many,
            };
        }
        if epoch != self.epoch {
            // The request started before the last evidence of a cold start, so its answer does not
            // show the present state.
        } else if self.is_cold {
            self.evaluate_cold(now, service, start, took);
        } else if slow {
            self.lower_level();
        } else {
            self.evaluate_warm(service, took);
        }
    }

    /// Evaluates an answer of a warm server.
    fn evaluate_warm(&mut self, service: u32, took: Span) {
        let jitter = self.setting.jitter;
        let baseline = &self.profile_mut(service).baseline;
        if baseline.is_known() {
            let rank = baseline.rank(took, jitter);
            self.drift = (self.drift + rank).saturating_sub(DRIFT_RANK);
        }
        if self.drift >= DRIFT_SUM {
            return self.record_evidence();
        }
        // Adding the answer at once would widen the baseline just when the server turns cold.
        self.withheld.push((service, took));
        if self.drift == 0 {
            for (service, took) in std::mem::take(&mut self.withheld) {
                self.profile_mut(service).baseline.record(took);
            }
        }
        let excess = self.withheld.len().saturating_sub(MAX_WITHHELD);
        self.withheld.drain(..excess);
    }

    /// Evaluates an answer of a cold server.
    fn evaluate_cold(&mut self, now: Time, service: u32, start: Time, took: Span) {
        let Setting {
            jitter,
            warm_threshold,
            min_recalibration,
            min_calibration,
            ..
        } = self.setting;
        let profile = self.profile_mut(service);
        profile.calibration.record(start, took);
        let known = profile.baseline.is_known();
        let min_time = if known {
            min_recalibration
        } else {
            min_calibration
        };
        let calibrated = profile.calibration.baseline(now, min_time, jitter);
        if known {
            let rank = profile.baseline.rank(took, jitter);
            let slow = took > profile.baseline.slow_threshold(jitter);
            self.count_answer(rank, slow);
        }
        if self.is_cold_reported(now) {
            // The count of fast answers is kept until the report of a cold start lapses.
        } else if self.fast_answers >= warm_threshold {
            if let SlowAnswers::One(service, took) = self.slow_answers {
                self.profile_mut(service).baseline.record(took);
            }
            self.raise_level();
        } else if let Some(baseline) = calibrated {
            self.profile_mut(service).baseline = baseline;
            self.raise_level();
        }
    }

    /// Updates the count of fast answers, or lowers the level after a slow one.
    fn count_answer(&mut self, rank: u32, slow: bool) {
        if slow && self.level > 1 {
            self.lower_level();
        } else if rank <= FAST_RANK {
            self.fast_answers = (self.fast_answers + 1).min(self.setting.warm_threshold);
        } else if rank > RESET_RANK {
            self.fast_answers = 0;
        }
    }

    fn profile_mut(&mut self, service: u32) -> &mut Profile {
        self.services.entry(service).or_default()
    }

    /// Returns whether the health endpoint's report of a cold start is in effect.
    fn is_cold_reported(&self, now: Time) -> bool {
        self.cold_since
            .is_some_and(|since| now.since(since) < self.setting.cold_report_timeout)
    }

    fn raise_level(&mut self) {
        self.level = (self.level + 1).min(self.setting.slots);
        self.is_cold = self.level < self.setting.slots;
        self.slow_answers = SlowAnswers::None;
        self.reset_counts();
    }

    fn reset_counts(&mut self) {
        self.fast_answers = 0;
        self.drift = 0;
        self.withheld.clear();
        for profile in self.services.values_mut() {
            profile.calibration = Calibration::default();
        }
    }
}

impl fmt::Display for Ramp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_cold { "cold" } else { "warm" };
        write!(f, "{state} {}/{}", self.level, self.setting.slots)?;
        if self.is_cold {
            write!(
                f,
                " proofs {}/{}",
                self.fast_answers, self.setting.warm_threshold
            )?;
        }
        Ok(())
    }
}
