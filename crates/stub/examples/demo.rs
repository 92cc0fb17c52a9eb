//! Runs both deployments at a small load: callers make requests while a backend server is drained
//! and a failure domain is taken out and brought back. At the same time, balancers forward packets
//! under faults drawn from the seed. Starts everything as separate processes on loopback and stops
//! by itself.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use base::prelude::*;
use bpaf::Bpaf;
use eyre::eyre;
use eyre::Result;
use eyre::WrapErr;
use soak::address::Addresses;
use stub::backend::Stats;
use stub::caller;
use stub::caller::Report;
use stub::fleet::Child;
use stub::fleet::Fleet;
use stub::fleet::Plan;
use stub::fleet::Server;
use tokio::time::sleep;

/// How long callers open new flows.
const LOAD_DURATION: Duration = Duration::from_secs(24);
/// Time-out after that until the last flow has ended.
const FLOWS_END_TIMEOUT: Duration = Duration::from_secs(25);
/// Time-out until all balancers are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two operator actions.
const STEP_PAUSE: Duration = Duration::from_secs(4);
/// Time-out of the demo as a whole.
const DEMO_TIMEOUT: Duration = Duration::from_secs(58);
/// Period in which faults begin while packets are forwarded.
const FAULT_PERIOD: Span = Span::secs(10);
/// Maximum number of printed lines of a command's output.
const EXCERPT_LINES: usize = 12;

/// Runs both deployments at a small load, as separate processes on loopback.
#[derive(Bpaf, Debug)]
#[bpaf(options)]
struct Options {
    /// Folder for the standard error of every process
    #[bpaf(argument("DIR"))]
    logs: Option<PathBuf>,
    /// Seed of all random choices
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options) -> Result<()> {
    let deployments = async {
        tokio::try_join!(
            run_deployment(Plan::zawadzki().with_seed(options.seed), options),
            run_deployment(Plan::lakeshore().with_seed(options.seed + 1), options),
            forward_packets(options)
        )
    };
    // All child processes are killed when the deployments are dropped, on success and on error.
    let (zawadzki, lakeshore, forwarded) = tokio::select! {
        done = deployments => done?,
        () = sleep(DEMO_TIMEOUT) => return Err(eyre!("the demo took longer than {DEMO_TIMEOUT:?}")),
        signal = stub::process::wait_for_termination() => {
            signal?;
            return Err(eyre!("stopped"));
        }
    };
    println!("\n{}", Row::header());
    let rows: Vec<Row> = zawadzki.into_iter().chain(lakeshore).collect();
    rows.iter().for_each(|row| println!("{row}"));
    let soak::run::Report {
        requests,
        served,
        refused,
        late,
        breaches,
        ..
    } = forwarded;
    println!(
        "\nforwarded as packets: {requests} requests, {served} served, {refused} refused, {late} late, {} promises broken",
        breaches.len()
    );
    match rows.iter().all(Row::is_clean) && breaches.is_empty() {
        true => Ok(()),
        false => Err(eyre!("a promise was broken: see the table")),
    }
}

/// Runs nine balancers that forward packets, under faults drawn from the seed.
async fn forward_packets(options: &Options) -> Result<soak::run::Report> {
    let name = format!("wasabiarch-demo-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let config = soak::run::Config {
        has_restores: false,
        has_loads: false,
        seed: options.seed,
        span: FAULT_PERIOD,
        addresses: Addresses::new(soak::address::SLOTS_MAX - 1),
        program: soak::process::default_program()?,
        folder: folder.clone(),
    };
    println!("[forward] nine balancers, 24 backend servers, callers in 3 failure domains");
    let report = soak::run::execute(config).await?;
    for fault in &report.faults {
        println!("[forward] {fault}");
    }
    for breach in &report.breaches {
        println!("[forward] broken: {breach}");
    }
    std::fs::remove_dir_all(folder)?;
    Ok(report)
}

/// Runs one deployment from its start to its stop.
async fn run_deployment(plan: Plan, options: &Options) -> Result<Vec<Row>> {
    let plan = plan.with_service_time_us(20_000);
    let about = plan.name.clone();
    let print = |text: &str| text.lines().for_each(|line| println!("[{about}] {line}"));
    let logs = options.logs.clone();
    let fleet = Fleet::start(plan, logs).await.wrap_err("cannot start")?;
    print(&format!(
        "{} balancers, {} backend servers, platform at {}",
        fleet.balancers.len(),
        fleet.servers.len(),
        fleet.platform_url()
    ));
    let objects = serde_json::to_vec(&serde_json::json!({"objects": fleet.objects()}))?;
    fleet.run_tool_with_input(&["apply", "-"], &objects).await?;
    fleet.wait_until_ready(READY_TIMEOUT).await?;
    fleet.run_tool(&["wait"]).await?;
    print("objects applied and in force on every balancer");

    let callers = start_callers(&fleet)?;
    let operator = operate(&fleet, &print);
    let reports = async {
        let mut reports = Vec::new();
        for (service, mut child) in callers {
            let report: Report = child.read_line(LOAD_DURATION + FLOWS_END_TIMEOUT).await?;
            reports.push((service, report));
        }
        Ok(reports)
    };
    let ((), reports) = tokio::try_join!(operator, reports)?;
    print(&excerpt(&fleet.run_tool(&["status"]).await?));
    let stats = fleet.server_stats().await?;
    let rows = reports.iter().map(|(service, report)| {
        let of_service = stats.iter().filter(|(s, _)| s.at.service == *service);
        Row::new(&about, service, report, of_service.map(|(_, stats)| stats))
    });
    let rows = rows.collect();
    let late = fleet.stop().await?;
    if !late.is_empty() {
        print(&format!(
            "did not stop gracefully in time: {}",
            late.join(", ")
        ));
    }
    Ok(rows)
}

fn start_callers(fleet: &Fleet) -> Result<Vec<(String, Child)>> {
    let rates = [20.0, 5.0];
    let services = fleet.plan.services.iter().zip(rates);
    services
        .map(|(service, flows_per_s)| {
            let options = caller::Options::new(fleet.service_address(&service.name)?)
                .with_load(flows_per_s, LOAD_DURATION)
                .with_flow(6, Duration::from_millis(400))
                .with_ack_timeout(Duration::from_millis(500))
                .with_seed(fleet.plan.seed);
            Ok((
                service.name.clone(),
                fleet.start_callers(&service.name, &options)?,
            ))
        })
        .collect()
}

/// Drains a backend server, takes a failure domain out and brings it back.
async fn operate(fleet: &Fleet, print: &impl Fn(&str)) -> Result<()> {
    sleep(STEP_PAUSE).await;
    print(&format!("served so far: {}", served(fleet).await?));

    let server = &fleet.servers[1];
    run_command(
        fleet,
        print,
        &["label", "Server", &server.name, "state=drain"],
    )
    .await?;
    let before = stats_of(fleet, &server.name).await?.served;
    sleep(STEP_PAUSE).await;
    let after = stats_of(fleet, &server.name).await?.served;
    print(&format!(
        "{} served {} requests in the {STEP_PAUSE:?} after its drain was in force",
        server.name,
        after - before
    ));

    let domain = &fleet.plan.domains[2];
    run_command(fleet, print, &["label", "Domain", domain, "state=out"]).await?;
    let before = served_in(fleet, domain).await?;
    sleep(STEP_PAUSE).await;
    let after = served_in(fleet, domain).await?;
    print(&format!(
        "backend servers in {domain} served {} requests in the {STEP_PAUSE:?} after it was out",
        after - before
    ));
    print(&excerpt(&fleet.run_tool(&["get"]).await?));

    run_command(fleet, print, &["label", "Domain", domain, "state=in"]).await?;
    let name = server.name.as_str();
    run_command(fleet, print, &["label", "Server", name, "state=in"]).await?;
    let before = served_in(fleet, domain).await?;
    sleep(STEP_PAUSE).await;
    let after = served_in(fleet, domain).await?;
    print(&format!(
        "backend servers in {domain} served {} requests in the {STEP_PAUSE:?} after it was back",
        after - before
    ));
    Ok(())
}

/// Runs a `wasabictl` command and waits until its change is active on all balancers.
async fn run_command(fleet: &Fleet, print: &impl Fn(&str), arguments: &[&str]) -> Result<()> {
    print(&format!("$ wasabictl {}", arguments.join(" ")));
    print(&excerpt(&fleet.run_tool(arguments).await?));
    fleet.run_tool(&["wait"]).await?;
    Ok(())
}

fn excerpt(text: &str) -> String {
    let mut lines: Vec<&str> = text.lines().take(EXCERPT_LINES).collect();
    if text.lines().count() > EXCERPT_LINES {
        lines.push("...");
    }
    lines.join("\n")
}

async fn served(fleet: &Fleet) -> Result<String> {
    let stats = fleet.server_stats().await?;
    let sums = fleet.plan.services.iter().map(|service| {
        let of_service = stats.iter().filter(|(s, _)| s.at.service == service.name);
        let sum: u64 = of_service.map(|(_, stats)| stats.served).sum();
        format!("{} {sum}", service.name)
    });
    Ok(sums.collect::<Vec<_>>().join(", "))
}

async fn served_in(fleet: &Fleet, domain: &str) -> Result<u64> {
    let stats = fleet.server_stats().await?;
    let inside = stats.iter().filter(|(s, _)| s.domain == domain);
    Ok(inside.map(|(_, stats)| stats.served).sum())
}

async fn stats_of(fleet: &Fleet, name: &str) -> Result<Stats> {
    let stats = fleet.server_stats().await?;
    let found = stats
        .into_iter()
        .find(|(s, _): &(Server, _)| s.name == name);
    found
        .map(|(_, stats)| stats)
        .ok_or_else(|| eyre!("no backend server {name}"))
}

/// A row of the result table.
struct Row {
    deployment: String,
    service: String,
    served: u64,
    refused: u64,
    unknown: u64,
    lost: u64,
    flows: u64,
    broken: u64,
    given_up: u64,
    run_twice: u64,
    wrong_service: u64,
    p50_ms: f64,
}

impl Row {
    fn new<'a>(
        deployment: &str,
        service: &str,
        report: &Report,
        stats: impl Iterator<Item = &'a Stats> + Clone,
    ) -> Row {
        // Flows that end because their failure domain was taken out count as given up, not as
        // broken.
        let given_up = report
            .broken_by
            .iter()
            .filter(|(reason, _)| reason.contains("E105") || reason.contains("E203"));
        let given_up = given_up.map(|(_, n)| n).sum();
        Row {
            deployment: deployment.to_owned(),
            service: service.to_owned(),
            served: report.served,
            refused: report.refused,
            unknown: report.unknown,
            lost: report.timeout + report.wrong + report.failed,
            flows: report.flows,
            broken: report.broken - given_up,
            given_up,
            run_twice: stats.clone().map(|s| s.run_twice).sum(),
            wrong_service: stats.map(|s| s.wrong_service).sum(),
            p50_ms: report.latency.p50 as f64 / 1e3,
        }
    }

    fn header() -> String {
        format!(
            "{:<10} {:<13} {:>7} {:>7} {:>7} {:>5} {:>6} {:>7} {:>8} {:>9} {:>13} {:>8}",
            "deployment",
            "service",
            "served",
            "refused",
            "unknown",
            "lost",
            "flows",
            "broken",
            "given up",
            "run twice",
            "wrong service",
            "p50 ms"
        )
    }

    /// Returns whether requests were served, none ran twice or reached a wrong service, and no flow
    /// broke.
    fn is_clean(&self) -> bool {
        self.run_twice == 0 && self.wrong_service == 0 && self.broken == 0 && self.served > 0
    }
}

impl std::fmt::Display for Row {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:<10} {:<13} {:>7} {:>7} {:>7} {:>5} {:>6} {:>7} {:>8} {:>9} {:>13} {:>8.1}",
            self.deployment,
            self.service,
            self.served,
            self.refused,
            self.unknown,
            self.lost,
            self.flows,
            self.broken,
            self.given_up,
            self.run_twice,
            self.wrong_service,
            self.p50_ms
        )
    }
}
