//! The actions of each run.

use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use eyre::Result;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoEnumIterator;
use stub::caller;
use stub::caller::Report;
use stub::fleet::Child;
use stub::fleet::Fleet;
use stub::fleet::Plan;
use stub::fleet::Usage;
use stub::platform::Faults;
use stub::platform::Outage;
use tokio::time::sleep;
use tokio::time::Instant;

use crate::outcome::Extra;
use crate::outcome::Outcome;

/// Time-out until all balancers are ready, or until a change is active on all of them.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before control traffic is measured, so that the traffic of joining is not measured.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Duration of the measurement of control traffic, before callers start.
const IDLE_WINDOW: Duration = Duration::from_secs(4);
/// Duration of load before the action of the scenario.
const LOAD_BEFORE: Duration = Duration::from_secs(10);
/// Duration of load after the action of the scenario.
const LOAD_AFTER: Duration = Duration::from_secs(8);
/// Time-out until the last flow has ended.
const FLOWS_END_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a failure domain stays out.
const DOMAIN_OUT_TIME: Duration = Duration::from_secs(10);
/// How long the platform is down.
const OUTAGE_TIME: Duration = Duration::from_secs(30);
/// How long a balancer is paused.
const PAUSE_TIME: Duration = Duration::from_secs(10);
/// Number of changes whose time until they are active is measured.
const CHANGES: u32 = 5;
/// Time between the starts of two changes.
const BETWEEN_CHANGES: Duration = Duration::from_secs(2);
/// Number of backend servers that turn cold at once.
const COLD_SERVERS: usize = 4;
/// Number of requests of a flow.
const REQUESTS_PER_FLOW: u32 = 10;
/// Mean pause between the requests of a flow.
const THINK_TIME: Duration = Duration::from_millis(500);
/// Initial retransmission time-out of a caller.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of slots of a backend server.
const SLOTS: f64 = 2.0;

/// Load of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Mean share of all slots that requests use.
    pub(crate) share: f64,
    /// Whether POST requests may have large bodies.
    pub(crate) large_posts: bool,
    /// Pause between two replacements of balancers.
    pub(crate) between: Duration,
}

/// The action of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Scenario {
    /// Only labels without effect are changed.
    Steady,
    /// All balancers are replaced by planned stops, one after another.
    Rolling,
    /// A balancer is killed.
    Killed,
    /// A failure domain is taken out and brought back, its backend servers cold.
    Domain,
    /// Backend servers turn cold under load.
    Cold,
    /// The platform is down; a change follows immediately after.
    Outage,
    /// A balancer is paused.
    Pause,
}

impl Scenario {
    /// Returns every scenario.
    pub(crate) fn all() -> Vec<Scenario> {
        Scenario::iter().collect()
    }

    /// Runs a deployment through the scenario.
    pub(crate) async fn run(
        self,
        plan: Plan,
        load: &Load,
        logs: Option<PathBuf>,
    ) -> Result<Outcome> {
        let mut outcome = Outcome {
            deployment: plan.name.clone(),
            scenario: self.to_string(),
            seed: plan.seed,
            ..Outcome::default()
        };
        let logs = logs.map(|l| l.join(format!("{self}-{}-{}", plan.name, plan.seed)));
        let mut fleet = Fleet::start(plan, logs).await?;
        let revision = fleet.create_objects().await?;
        fleet.wait_until_ready(READY_TIMEOUT).await?;
        fleet.wait_for_revision(revision, READY_TIMEOUT).await?;
        outcome.idle_bytes_per_s = measure_idle_traffic(&fleet).await?;

        let mut callers = self.start_callers(&fleet, load)?;
        let since = Instant::now();
        let before = fleet.usage().await?;
        let started = unix_ms();
        sleep(LOAD_BEFORE).await;
        let mut extra = self.perform(&mut fleet, load).await?;
        let acted = unix_ms();
        sleep(LOAD_AFTER).await;
        let after = fleet.usage().await?;
        // After `Rolling`, none of the balancers of the first reading is left to compare with.
        if self != Scenario::Rolling {
            outcome.add_traffic(&before, &after, since.elapsed().as_secs_f64());
        }
        outcome.add_memory(&after);
        for child in &mut callers {
            let report: Report = child
                .read_line(self.load_duration() + FLOWS_END_TIMEOUT)
                .await?;
            outcome.add_report(report);
        }
        let main = fleet.plan.services[0].name.clone();
        outcome.add_servers(&main, &fleet.server_stats().await?);
        outcome.acted = LOAD_BEFORE.as_secs() as usize;
        // After that, flows only end.
        outcome.ended = ((acted - started) / 1_000 + LOAD_AFTER.as_secs()) as usize;
        let late = fleet.stop().await?;
        extra.insert("not stopped with all others".into(), late.len() as f64);
        outcome.extra = extra;
        Ok(outcome)
    }

    /// Returns how long callers open new flows.
    fn load_duration(self) -> Duration {
        let action = match self {
            Scenario::Steady => BETWEEN_CHANGES * CHANGES,
            Scenario::Rolling => Duration::from_secs(40),
            Scenario::Killed => Duration::ZERO,
            Scenario::Domain => DOMAIN_OUT_TIME,
            Scenario::Cold => LOAD_AFTER,
            Scenario::Outage => OUTAGE_TIME,
            Scenario::Pause => PAUSE_TIME,
        };
        LOAD_BEFORE + action + LOAD_AFTER
    }

    fn start_callers(self, fleet: &Fleet, load: &Load) -> Result<Vec<Child>> {
        let mut callers = Vec::new();
        for service in &fleet.plan.services {
            let capacity =
                f64::from(service.servers) * SLOTS * 1e6 / fleet.plan.service_time_us as f64;
            let flows_per_s = capacity * load.share / f64::from(REQUESTS_PER_FLOW);
            let options = caller::Options {
                large_posts: load.large_posts,
                ..caller::Options::new(fleet.service_address(&service.name)?)
            };
            let options = options
                .with_load(flows_per_s, self.load_duration())
                .with_flow(REQUESTS_PER_FLOW, THINK_TIME)
                .with_ack_timeout(ACK_TIMEOUT)
                .with_seed(fleet.plan.seed);
            callers.push(fleet.start_callers(&service.name, &options)?);
        }
        Ok(callers)
    }

    async fn perform(self, fleet: &mut Fleet, load: &Load) -> Result<Extra> {
        let mut extra = Extra::new();
        match self {
            Scenario::Steady => change_labels(fleet, &mut extra).await?,
            Scenario::Rolling => replace_all(fleet, load.between, &mut extra).await?,
            Scenario::Killed => {
                let name = fleet.balancers[0].at.name.clone();
                fleet.kill_balancer(&name).await?;
            }
            Scenario::Domain => take_out_and_in(fleet, &mut extra).await?,
            Scenario::Cold => {
                let servers = fleet.servers.iter().take(COLD_SERVERS);
                for server in servers {
                    fleet.control_server(&server.name, "/control/cold").await?;
                }
                sleep(LOAD_AFTER).await;
            }
            Scenario::Outage => interrupt_platform(fleet, &mut extra).await?,
            Scenario::Pause => {
                let name = fleet.balancers[0].at.name.clone();
                fleet.pause_balancer(&name)?;
                sleep(PAUSE_TIME).await;
                fleet.resume_balancer(&name)?;
            }
        }
        Ok(extra)
    }
}

/// Measures the traffic of a balancer to its peers without callers, in bytes a second.
async fn measure_idle_traffic(fleet: &Fleet) -> Result<f64> {
    let sum = |all: Vec<Usage>| all.iter().map(|u| u.sent).sum::<u64>() as f64;
    sleep(SETTLE_TIME).await;
    let before = sum(fleet.usage().await?);
    sleep(IDLE_WINDOW).await;
    let after = sum(fleet.usage().await?);
    Ok((after - before) / IDLE_WINDOW.as_secs_f64() / fleet.balancers.len() as f64)
}

async fn change_labels(fleet: &Fleet, extra: &mut Extra) -> Result<()> {
    let mut times = Vec::new();
    for n in 0..CHANGES {
        let name = &fleet.servers[n as usize].name;
        let changed = fleet
            .set_label("Server", name, "note", &n.to_string())
            .await?;
        let took = fleet
            .wait_for_revision(changed.version, READY_TIMEOUT)
            .await?;
        times.push(took.as_secs_f64() * 1e3);
        sleep(BETWEEN_CHANGES.saturating_sub(took)).await;
    }
    times.sort_by(f64::total_cmp);
    extra.insert("change in force, median ms".into(), times[times.len() / 2]);
    extra.insert("change in force, worst ms".into(), times[times.len() - 1]);
    Ok(())
}

async fn replace_all(fleet: &mut Fleet, between: Duration, extra: &mut Extra) -> Result<()> {
    let first: Vec<(String, String)> = fleet
        .balancers
        .iter()
        .map(|b| (b.at.name.clone(), b.domain.clone()))
        .collect();
    let since = Instant::now();
    let mut ungraceful = 0;
    for (name, domain) in first {
        fleet.add_balancer(&domain).await?;
        fleet.wait_until_ready(READY_TIMEOUT).await?;
        let status = fleet.stop_balancer(&name).await?;
        ungraceful += u32::from(!status.success());
        sleep(between).await;
    }
    extra.insert(
        "replacement of all, s".into(),
        since.elapsed().as_secs_f64(),
    );
    extra.insert("stops that were not graceful".into(), ungraceful.into());
    Ok(())
}

async fn take_out_and_in(fleet: &Fleet, extra: &mut Extra) -> Result<()> {
    let domain = fleet.plan.domains[1].clone();
    let changed = fleet.set_label("Domain", &domain, "state", "out").await?;
    let out_ms = unix_ms();
    let took = fleet
        .wait_for_revision(changed.version, READY_TIMEOUT)
        .await?;
    extra.insert("out in force, ms".into(), took.as_secs_f64() * 1e3);
    sleep(DOMAIN_OUT_TIME - took.min(DOMAIN_OUT_TIME)).await;
    let stats = fleet.server_stats().await?;
    let inside = || stats.iter().filter(|(s, _)| s.domain == domain);
    let last = |field: fn(&stub::backend::Stats) -> u64| {
        let last = inside().map(|(_, stats)| field(stats)).max();
        last.unwrap_or(0).saturating_sub(out_ms) as f64 / 1e3
    };
    extra.insert(
        "last request after out, s".into(),
        last(|s| s.last_request_ms),
    );
    extra.insert(
        "last contact after out, s".into(),
        last(|s| s.last_contact_ms),
    );
    for (server, _) in inside() {
        fleet.control_server(&server.name, "/control/cold").await?;
    }
    let changed = fleet.set_label("Domain", &domain, "state", "in").await?;
    let took = fleet
        .wait_for_revision(changed.version, READY_TIMEOUT)
        .await?;
    extra.insert("in in force, ms".into(), took.as_secs_f64() * 1e3);
    Ok(())
}

async fn interrupt_platform(fleet: &Fleet, extra: &mut Extra) -> Result<()> {
    let down = Faults {
        outage: Outage::Refuse,
        ..Faults::default()
    };
    fleet.set_platform_faults(down).await?;
    sleep(OUTAGE_TIME).await;
    fleet.set_platform_faults(Faults::default()).await?;
    let name = &fleet.servers[0].name;
    let changed = fleet.set_label("Server", name, "state", "drain").await?;
    let took = fleet
        .wait_for_revision(changed.version, READY_TIMEOUT)
        .await?;
    extra.insert(
        "change after outage in force, ms".into(),
        took.as_secs_f64() * 1e3,
    );
    Ok(())
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}
