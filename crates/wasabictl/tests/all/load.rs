//! Tests of `load` against stand-ins for the admin pages of balancers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use crate::harness::run;
use crate::harness::Harness;

/// Admin pages of balancers, each on a port of its own.
struct Fleet {
    /// The number of requests in flight, and the greatest one so far.
    in_flight: Arc<Mutex<(usize, usize)>>,
    listeners: Vec<TcpListener>,
    balancers: Vec<Value>,
}

impl Fleet {
    async fn new(names: &[(&str, &str)]) -> Fleet {
        let (mut listeners, mut balancers) = (Vec::new(), Vec::new());
        for (name, domain) in names {
            let listener = TcpListener::bind("127.0.0.1:0").await;
            let listener = listener.expect("a loopback port is free");
            let admin = listener.local_addr().expect("it is bound");
            balancers.push(json!({ "name": name, "domain": domain, "admin": admin }));
            listeners.push(listener);
        }
        Fleet {
            in_flight: Arc::default(),
            listeners,
            balancers,
        }
    }

    /// Adds a balancer whose port refuses connections. The socket that is returned keeps the port
    /// from being used by another test.
    fn add_ended(&mut self, name: &str, domain: &str) -> (TcpSocket, SocketAddr) {
        let socket = TcpSocket::new_v4().expect("a socket can be made");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any).expect("a loopback port is free");
        let admin = socket.local_addr().expect("it is bound");
        let balancer = json!({ "name": name, "domain": domain, "admin": admin });
        self.balancers.push(balancer);
        (socket, admin)
    }

    fn admin(&self, index: usize) -> SocketAddr {
        self.listeners[index].local_addr().expect("it is bound")
    }

    /// Returns the page of a balancer with these pools.
    fn page(&self, index: usize, pools: Value) -> String {
        json!({
            "balancer": self.balancers[index]["name"],
            "domain": self.balancers[index]["domain"],
            "pools": pools,
            "balancers": self.balancers,
            "unknown": "fields of later releases are ignored",
        })
        .to_string()
    }

    /// Answers every request with the status line and body at the balancer's index. A balancer
    /// without any accepts connections and never answers.
    fn serve(&mut self, answers: Vec<Option<(&'static str, String)>>) {
        for (listener, answer) in self.listeners.drain(..).zip(answers) {
            let in_flight = self.in_flight.clone();
            tokio::spawn(async move {
                let mut open = Vec::new();
                while let Ok((mut stream, _)) = listener.accept().await {
                    if let Some((status, body)) = &answer {
                        count(&in_flight, 1);
                        let _ = stream.read(&mut [0; 1_024]).await;
                        // Long enough that requests that are sent together overlap.
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        let length = body.len();
                        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n");
                        let head = head + "connection: close\r\n\r\n";
                        count(&in_flight, -1);
                        let _ = stream.write_all((head + body).as_bytes()).await;
                    } else {
                        open.push(stream);
                    }
                }
            });
        }
    }

    /// Runs command lines, in which `ADMIN` stands for the first balancer's address, and replaces
    /// the ports in the output by the balancers' indices.
    async fn run_session(&self, admins: &[SocketAddr], lines: &[&str]) -> String {
        let mut text = String::new();
        for line in lines {
            let outcome = run(&line.replace("ADMIN", &admins[0].to_string()), &[]).await;
            let exit = outcome.exit.number();
            let (stdout, stderr) = (outcome.stdout, outcome.stderr);
            text.push_str(&format!("$ wasabictl {line}\n{stdout}{stderr}"));
            text.push_str(&format!("[exit code {exit}]\n\n"));
        }
        for (index, admin) in admins.iter().enumerate() {
            text = text.replace(&admin.to_string(), &format!("127.0.0.1:PORT{index}"));
        }
        text
    }
}

fn count(in_flight: &Mutex<(usize, usize)>, change: isize) {
    let mut in_flight = in_flight.lock().expect("no test panics while it counts");
    in_flight.0 = in_flight.0.saturating_add_signed(change);
    in_flight.1 = in_flight.1.max(in_flight.0);
}

fn pool(name: &str, is_domain: bool, demand: u32, capacity: u32, refused: [u32; 3]) -> Value {
    let flows = refused.iter().enumerate().map(|(priority, refused)| {
        json!({
            "priority": priority,
            "offered_per_10s": 500,
            "admitted_per_10s": 500 - refused,
            "refused_per_10s": refused,
        })
    });
    json!({
        "name": name,
        "age_ms": 120 + refused[2],
        "covered_ms": 8_000,
        "slots": 40,
        "running": 39,
        "service_ms": 180,
        "shortage": {
            "is_domain": is_domain,
            "demand_per_10s": demand,
            "capacity_per_10s": capacity,
            "age_ms": 120 + refused[2],
        },
        "priorities": flows.collect::<Vec<_>>(),
        "spill": [{ "domain": "mazowsze-b", "share_permille": 125, "slots": 9, "running": 3 }],
        "slow_servers": [{
            "name": format!("{name}-7"), "domain": "mazowsze-a",
            "service_ms": 900 + refused[1], "slowdown_permille": 5_050,
        }],
    })
}

/// Guards against wrong sums: the domain's demand and capacity, which each of its balancers knows,
/// must count once, and the flows that each balancer counts by itself must add up.
#[tokio::test]
async fn shortages_of_all_balancers_are_added_up() {
    let names = [
        ("a1", "mazowsze-a"),
        ("a2", "mazowsze-a"),
        ("b1", "mazowsze-b"),
    ];
    let mut fleet = Fleet::new(&names).await;
    let admins = [0, 1, 2].map(|index| fleet.admin(index));
    let pages = [
        json!([pool("rounds", true, 4_200, 3_000, [0, 100, 400])]),
        json!([
            pool("rounds", true, 4_100, 3_000, [0, 90, 300]),
            pool("edge", false, 700, 650, [0, 0, 20])
        ]),
        json!([pool("edge", false, 900, 600, [10, 0, 0])]),
    ];
    let answers = pages.into_iter().enumerate();
    let answers = answers.map(|(index, pools)| Some(("200 OK", fleet.page(index, pools))));
    let answers = answers.collect();
    fleet.serve(answers);
    let lines = [
        "load --admin ADMIN",
        "load --admin ADMIN b1",
        "load --admin ADMIN a1 c9",
        "load --admin ADMIN b1 -o json",
    ];
    insta::assert_snapshot!(fleet.run_session(&admins, &lines).await);
}

/// Guards against a balancer that missed a restore of the platform going unnoticed: its revision may
/// be higher than that of the others.
#[tokio::test]
async fn balancers_of_an_earlier_era_are_named() {
    let names = ["a1", "a2", "a3", "a4", "a5"].map(|name| (name, "mazowsze-a"));
    let mut fleet = Fleet::new(&names).await;
    let admins = [0, 1, 2, 3, 4].map(|index| fleet.admin(index));
    let page = |index: usize| {
        let (era, revision) = if index == 3 { (1, 413) } else { (2, 409) };
        let mut page: Value = serde_json::from_str(&fleet.page(index, json!([]))).expect("JSON");
        page["objects"] =
            json!([{ "kind": "Routing", "era": era, "revision": revision, "age_ms": 7 }]);
        Some(("200 OK", page.to_string()))
    };
    let answers = (0..5).map(page).collect();
    fleet.serve(answers);
    let lines = ["load --admin ADMIN", "load --admin ADMIN a4 -o json"];
    insta::assert_snapshot!(fleet.run_session(&admins, &lines).await);
}

/// Guards against a balancer that does not answer, answers with nonsense or is of an earlier release
/// hiding the others, or being left out in silence.
#[tokio::test]
async fn balancers_that_do_not_answer_are_listed() {
    let names = ["a1", "a2", "a3", "a4"].map(|name| (name, "mazowsze-a"));
    let mut fleet = Fleet::new(&names).await;
    let (_socket, ended) = fleet.add_ended("a5", "mazowsze-a");
    let mut admins = [0, 1, 2, 3].map(|index| fleet.admin(index)).to_vec();
    admins.push(ended);
    let page = fleet.page(0, json!([]));
    fleet.serve(vec![
        Some(("200 OK", page)),
        None,
        Some(("404 Not Found", String::new())),
        Some(("200 OK", "{".to_owned())),
    ]);
    let lines = [
        "load --admin ADMIN",
        "load --admin ADMIN a2",
        "load --admin ADMIN a2 -o json",
    ];
    insta::assert_snapshot!(fleet.run_session(&admins, &lines).await);
}

/// Guards against a wrong exit code or an unclear message where there is nobody to ask.
#[tokio::test]
async fn load_needs_a_balancer_that_answers() {
    let mut fleet = Fleet::new(&[]).await;
    let (_socket, ended) = fleet.add_ended("a1", "mazowsze-a");
    let admins = [ended];
    let lines = ["load --admin ADMIN", "load", "load --admin nowhere"];
    let mut text = fleet.run_session(&admins, &lines).await;
    let harness = Harness::new().await;
    text += &harness.run_session(&["load"]).await;
    harness
        .put_report("mazowsze-a", &[("a1", admins[0].port(), 13)])
        .await;
    text += &harness.run_session(&["load"]).await;
    insta::assert_snapshot!(text);
}

/// Guards against more than 64 requests at a time, and against a balancer left out behind them.
#[tokio::test]
async fn many_balancers_are_asked_in_turn() {
    let names: Vec<String> = (0..150).map(|index| format!("b{index:03}")).collect();
    let names: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let mut fleet = Fleet::new(&names).await;
    let admins = [fleet.admin(0)];
    let pages = (0..150).map(|index| Some(("200 OK", fleet.page(index, json!([])))));
    let pages = pages.collect();
    fleet.serve(pages);
    let text = fleet.run_session(&admins, &["load --admin ADMIN"]).await;
    assert!(text.contains("balancers: 150 answered, 0 silent"), "{text}");
    let (_, most) = *fleet.in_flight.lock().expect("nothing panicked");
    assert!((32..=64).contains(&most), "{most} requests at a time");
}
