//! Measures the latency that balancers add to a request, without simulated network delays.
//!
//! Three round trips are timed one at a time: a request of a caller through fabric and balancers,
//! the same request directly to a backend server over a persistent connection, and a datagram
//! through a fabric to a socket that echoes it. The first minus the other two is the latency that
//! balancers add.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use bytes::Bytes;
use eyre::Result;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use stub::caller;
use stub::caller::Report;
use stub::fabric;
use stub::fabric::Balancers;
use stub::fabric::Fabric;
use stub::fabric::Link;
use stub::fleet::Fleet;
use stub::fleet::Plan;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Number of round trips of each kind.
const ROUNDS: usize = 2_000;
/// Length of a datagram and of an answer.
const PAYLOAD_BYTES: usize = 200;
/// Time-out until the configuration is active on all balancers.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Duration of the load before the measurement, which ends the cold start of backend servers.
const WARM_UP: Duration = Duration::from_secs(10);

/// Measures the latency that balancers add to a request, without simulated network delays.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Seed of all random choices
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(options().run().seed).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(seed: u64) -> Result<()> {
    let plan = Plan::zawadzki().with_seed(seed).with_service_time_us(1);
    let service = plan.services[0].name.clone();
    let fleet = Fleet::start(plan, None).await?;
    let revision = fleet.create_objects().await?;
    fleet.wait_for_revision(revision, READY_TIMEOUT).await?;

    // On average one flow at a time: pauses are short, so that a flow ends before the next one
    // opens.
    let load = caller::Options {
        large_share: 0.0,
        post_share: 0.0,
        ..caller::Options::new(fleet.service_address(&service)?)
            .with_flow(20, Duration::from_millis(5))
            .with_seed(seed)
    };
    fleet
        .start_callers(&service, &load.clone().with_load(20.0, WARM_UP))?
        .read_line::<Report>(READY_TIMEOUT)
        .await?;
    // 5 flows a second with 20 requests each are 100 requests a second.
    let length = Duration::from_secs(ROUNDS as u64 / 100);
    let mut callers = fleet.start_callers(&service, &load.with_load(5.0, length))?;
    let report: Report = callers.read_line(length + READY_TIMEOUT).await?;

    let server = &fleet.servers[0].at;
    let direct = time_direct(server.address, &service).await?;
    let fabric = time_through_fabric().await?;
    let total = report.latency.p50;
    println!(
        "through fabric and balancers, p50: {total} us ({} served)",
        report.served
    );
    println!("directly to a backend server, p50: {direct} us");
    println!("through a fabric and back, p50: {fabric} us");
    let added = total.saturating_sub(direct + fabric);
    println!("added by balancers at the median: {added} us");
    fleet.stop().await?;
    Ok(())
}

/// Times requests to a backend server over one connection, and returns the median in microseconds.
async fn time_direct(to: SocketAddr, service: &str) -> Result<u64> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(conn);
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        let request = Request::get(format!("/stops/1?size={PAYLOAD_BYTES}"))
            .header("host", service)
            .body(Full::<Bytes>::default())?;
        let since = Instant::now();
        let answer = sender.send_request(request).await?;
        answer.into_body().collect().await?;
        times.push(since.elapsed());
    }
    driver.abort();
    Ok(median(times))
}

/// Times datagrams through a fabric to a socket that echoes them, and returns the median in
/// microseconds.
async fn time_through_fabric() -> Result<u64> {
    let echo = UdpSocket::bind("0.0.0.0:0").await?;
    let ports = vec![echo.local_addr()?.port()];
    let echoing = tokio::spawn(async move {
        let mut buffer = [0; PAYLOAD_BYTES];
        while let Ok((size, from)) = echo.recv_from(&mut buffer).await {
            let _ = echo.send_to(&buffer[..size], from).await;
        }
    });
    let fabric = Fabric::start(fabric::Options {
        services: vec![SocketAddr::from(([127, 1, 0, 9], 0))],
        control: SocketAddr::from(([127, 0, 0, 1], 0)),
        removal_delay_ms: 0,
        seed: 1,
        link: Link::default(),
    })
    .await?;
    fabric.set_balancers(&Balancers { ports });
    let caller = UdpSocket::bind("127.0.0.1:0").await?;
    caller.connect(fabric.address().services[0]).await?;
    let mut times = Vec::new();
    let mut buffer = [0; PAYLOAD_BYTES];
    for _ in 0..ROUNDS {
        let since = Instant::now();
        caller.send(&[0; PAYLOAD_BYTES]).await?;
        caller.recv(&mut buffer).await?;
        times.push(since.elapsed());
    }
    echoing.abort();
    Ok(median(times))
}

fn median(mut times: Vec<Duration>) -> u64 {
    times.sort();
    times[times.len() / 2].as_micros() as u64
}
