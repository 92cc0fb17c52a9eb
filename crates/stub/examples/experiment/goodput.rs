//! Goodput (served requests a second) relative to a steady run with the same seed.
//!
//! Flows arrive at the same times in both runs, so that random variation of the load cancels out.

use crate::outcome::Outcome;

/// Length of the moving average of goodput, in seconds.
const WINDOW_S: usize = 3;
/// Share of the steady run's goodput from which goodput counts as recovered.
const RECOVERED_SHARE: f64 = 0.99;

/// Adds its relative goodput to each outcome for which there is a steady run to compare with.
pub(crate) fn compare(outcomes: &mut [Outcome]) {
    let steady: Vec<Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.scenario == "steady")
        .cloned()
        .collect();
    for outcome in outcomes.iter_mut().filter(|o| o.scenario != "steady") {
        let baseline = steady
            .iter()
            .find(|s| s.deployment == outcome.deployment && s.seed == outcome.seed);
        if let Some(baseline) = baseline {
            add_goodput(outcome, baseline);
        }
    }
}

fn add_goodput(outcome: &mut Outcome, baseline: &Outcome) {
    let end = outcome.ended.min(baseline.ended);
    let served = |of: &Outcome| -> Vec<f64> {
        let all = of.seconds.iter().map(|second| second.served as f64);
        all.take(end).skip(outcome.acted).collect()
    };
    let (measured, reference) = (served(outcome), served(baseline));
    let sum = |part: &[f64]| part.iter().sum::<f64>();
    let shares: Vec<f64> = measured
        .windows(WINDOW_S)
        .zip(reference.windows(WINDOW_S))
        .map(|(measured, reference)| sum(measured) / sum(reference))
        .collect();
    let lowest = shares.iter().copied().fold(f64::INFINITY, f64::min);
    let extra = &mut outcome.extra;
    extra.insert(
        "goodput to steady run".into(),
        sum(&measured) / sum(&reference),
    );
    extra.insert("lowest 3 s to steady run".into(), lowest);
    let low = shares.iter().rposition(|share| *share < RECOVERED_SHARE);
    let recovered = low.map_or(0, |n| n + 1);
    if recovered < shares.len() {
        extra.insert("at 99% of steady run from second".into(), recovered as f64);
    }
}
