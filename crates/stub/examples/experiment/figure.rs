//! The result table: the median of each figure over the seeds, with its range.

use std::collections::BTreeMap;

use crate::outcome::Outcome;

/// A figure of the table: its name and how to compute it from an outcome.
type Figure = (&'static str, fn(&Outcome) -> f64);

/// All figures, in the order of the table.
const FIGURES: [Figure; 25] = [
    ("flows", |o| o.flows as f64),
    ("broken flows", |o| o.broken as f64),
    ("given-up flows", |o| o.given_up as f64),
    ("served", |o| o.served as f64),
    ("refused", |o| o.refused as f64),
    ("unknown", |o| o.unknown as f64),
    ("lost or wrong", |o| o.lost as f64),
    ("run twice", |o| o.run_twice as f64),
    ("wrong service", |o| o.wrong_service as f64),
    ("fell over", |o| o.fell_over as f64),
    ("shed by servers", |o| o.shed as f64),
    ("max at once while cold", |o| f64::from(o.max_cold)),
    ("over the bound in the grace", |o| o.cold_excess as f64),
    ("requests max/mean", |o| o.requests.max_to_mean),
    ("requests variation", |o| o.requests.variation),
    ("slot time max/mean", |o| o.busy.max_to_mean),
    ("slot time variation", |o| o.busy.variation),
    ("latency p50 ms", |o| o.p50_ms),
    ("latency p99 ms", |o| o.p99_ms),
    ("latency p99.9 ms", |o| o.p999_ms),
    ("idle bytes/s a balancer", |o| o.idle_bytes_per_s),
    ("load bytes/s a balancer", |o| o.load_bytes_per_s),
    ("platform calls/s, all", |o| o.platform_per_s),
    ("cores a balancer", |o| o.processor),
    ("MiB a balancer", |o| o.memory_mib),
];

/// Returns one block for each scenario and deployment, with each figure as median [minimum,
/// maximum].
pub(crate) fn table(outcomes: &[Outcome]) -> String {
    let mut groups: BTreeMap<(&str, &str), Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        let key = (outcome.scenario.as_str(), outcome.deployment.as_str());
        groups.entry(key).or_default().push(outcome);
    }
    let blocks = groups.iter().map(|((scenario, deployment), runs)| {
        let head = format!("{scenario}, {deployment}, {} seeds", runs.len());
        let lines = FIGURES.iter().map(|(name, figure)| {
            let values = runs.iter().map(|run| figure(run)).collect();
            line(name, values)
        });
        let extras = extras(runs);
        [head].into_iter().chain(lines).chain(extras).collect()
    });
    let blocks: Vec<Vec<String>> = blocks.collect();
    let texts: Vec<String> = blocks.iter().map(|lines| lines.join("\n")).collect();
    texts.join("\n\n")
}

fn extras(runs: &[&Outcome]) -> Vec<String> {
    let mut by_name: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (name, value) in runs.iter().flat_map(|run| &run.extra) {
        by_name.entry(name).or_default().push(*value);
    }
    let lines = by_name.into_iter();
    lines.map(|(name, values)| line(name, values)).collect()
}

fn line(name: &str, mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    let (least, greatest) = (values[0], values[values.len() - 1]);
    let show = |v: f64| match v.fract() == 0.0 {
        true => format!("{v}"),
        false => format!("{v:.3}"),
    };
    let spread = format!("[{}, {}]", show(least), show(greatest));
    format!("  {name:<38} {:>10} {spread}", show(median))
}
