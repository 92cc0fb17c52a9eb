//! Measures the cost of a permanent full mesh of QUIC connections: memory per connection on either
//! side, processor time per handshake, and bytes per keep-alive.
//!
//! Starts itself a second time as the accepting side, opens up to 400 connections over loopback,
//! and exits within a minute. Prints a table and a line of JSON.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use eyre::OptionExt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use quinn::Connection;
use quinn::Endpoint;
use quinn::TransportConfig;
use quinn::VarInt;
use shell::identity::Identity;
use shell::identity::SERVER_NAME;
use shell::setting::Keys;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;

/// Number of open connections at each measurement.
const CONNECTION_STEPS: [usize; 5] = [0, 50, 100, 200, 400];
/// Delay between the last handshake and the reading of memory.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Interval between keep-alives.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of keep-alive intervals measured.
const KEEP_ALIVES: u32 = 10;
/// Time without traffic after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Clock ticks per second in `/proc/PID/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Resource usage of one side's process, as the kernel reports it.
#[derive(Clone, Copy)]
struct Usage {
    rss_kb: f64,
    cpu_s: f64,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> eyre::Result<()> {
    match std::env::args().nth(1).as_deref() {
        Some("far") => run_acceptor().await,
        _ => run_connector().await,
    }
}

fn transport_config(keep_alive: Option<Duration>) -> eyre::Result<Arc<TransportConfig>> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IDLE_TIMEOUT.try_into()?))
        .keep_alive_interval(keep_alive)
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .max_concurrent_uni_streams(VarInt::from_u32(4))
        .datagram_receive_buffer_size(None);
    Ok(Arc::new(transport))
}

fn identity() -> eyre::Result<Identity> {
    let keys = Keys {
        current: [1; 32].into(),
        previous: None,
    };
    Identity::new(&keys)
}

/// Accepts connections until standard input is closed.
async fn run_acceptor() -> eyre::Result<()> {
    let crypto = QuicServerConfig::try_from(identity()?.server_config()?)?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport_config(None)?);
    let endpoint = Endpoint::server(config, SocketAddr::from(([127, 0, 0, 1], 0)))?;
    println!("{}", endpoint.local_addr()?);
    tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Some(incoming) = endpoint.accept().await {
            connections.extend(incoming.await);
        }
    });
    let mut line = String::new();
    BufReader::new(tokio::io::stdin())
        .read_line(&mut line)
        .await?;
    Ok(())
}

async fn run_connector() -> eyre::Result<()> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg("far")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let result = measure(&mut child).await;
    // The accepting side exits when its standard input is closed.
    drop(child.stdin.take());
    child.wait()?;
    result
}

async fn measure(child: &mut std::process::Child) -> eyre::Result<()> {
    let stdout = child.stdout.take().ok_or_eyre("stdout is piped")?;
    let mut line = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(stdout), &mut line)?;
    let to: SocketAddr = line.trim().parse()?;
    let crypto = QuicClientConfig::try_from(identity()?.client_config()?)?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport_config(Some(KEEP_ALIVE_INTERVAL))?);
    let mut endpoint = Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    endpoint.set_default_client_config(config);

    let mut connections: Vec<Connection> = Vec::new();
    let mut rows = Vec::new();
    println!("connections  near RSS KB  far RSS KB");
    for count in CONNECTION_STEPS {
        while connections.len() < count {
            connections.push(endpoint.connect(to, SERVER_NAME)?.await?);
        }
        let after_handshakes = [usage(std::process::id())?, usage(child.id())?];
        tokio::time::sleep(SETTLE_TIME).await;
        let settled = [usage(std::process::id())?, usage(child.id())?];
        println!(
            "{count:11}  {:11.0}  {:10.0}",
            settled[0].rss_kb, settled[1].rss_kb
        );
        rows.push((count, settled, after_handshakes));
    }
    let (first, last) = (&rows[1], &rows[CONNECTION_STEPS.len() - 1]);
    let opened = (last.0 - first.0) as f64;
    let memory = |side: usize| (last.1[side].rss_kb - first.1[side].rss_kb) / opened;
    // Difference between the ends of the first and the last batch of handshakes.
    let cpu = |side: usize| (last.2[side].cpu_s - first.2[side].cpu_s) * 1e3 / opened;
    let keep_alive = keep_alive(&connections).await;
    println!(
        "{{\"near_kb_a_connection\":{:.1},\"far_kb_a_connection\":{:.1},\
         \"near_cpu_ms_a_handshake\":{:.2},\"far_cpu_ms_a_handshake\":{:.2},\
         \"bytes_a_keep_alive\":{:.0}}}",
        memory(0),
        memory(1),
        cpu(0),
        cpu(1),
        keep_alive
    );
    endpoint.close(VarInt::from_u32(0), b"done");
    endpoint.wait_idle().await;
    Ok(())
}

/// Returns the UDP payload bytes, sent and received, per keep-alive of one connection.
async fn keep_alive(connections: &[Connection]) -> f64 {
    let bytes = || {
        let all = connections.iter().map(|connection| {
            let stats = connection.stats();
            stats.udp_tx.bytes + stats.udp_rx.bytes
        });
        all.sum::<u64>()
    };
    let before = bytes();
    tokio::time::sleep(KEEP_ALIVE_INTERVAL * KEEP_ALIVES).await;
    (bytes() - before) as f64 / (connections.len() as f64 * f64::from(KEEP_ALIVES))
}

fn usage(process: u32) -> eyre::Result<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let rss = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .ok_or_eyre("`/proc/PID/status` has VmRSS")?;
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    // User and system time are the 12th and 13th fields after the name.
    let ticks: f64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(Usage {
        rss_kb: rss.parse()?,
        cpu_s: ticks / CLOCK_TICKS_PER_S,
    })
}
