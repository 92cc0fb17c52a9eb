//! A route is dropped while the opening packet of a flow on it is unanswered: is the caller's next
//! copy handled by the new config?

#[allow(dead_code)]
#[path = "../common-2/world.rs"]
mod world;

use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use world::call;
use world::ms;
use world::Attempt;
use world::World;

/// `rollbackSlackMs` of the site.
const ROLLBACK_SLACK_MS: f64 = 250.0;
/// When the operator writes the config, after the caller's first opening packet.
const CHANGE_DELAY: Duration = Duration::from_millis(205);

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = std::env::args().nth(1).expect("the path of the record");
    let mut world = World::zawadzki_rounds(&path, None);
    let stops = ("stops", 1, "rounds", "idempotent");
    let old = ("old-sheets", 2, "route-sheets", "download");
    let new = ("new-stops", 3, "rounds", "idempotent");
    world.write_config(7, &[stops, old], 20.0);
    if !world.start_balancers() {
        exit(2);
    }
    let via = world.balancers[0].entry;
    // Some traffic first. All of it has to be served.
    for n in 0..20 {
        let service = world.service_address(1 + n % 2);
        let done = call(
            &world.record,
            &format!("warm-{n}"),
            world.new_caller(),
            service,
            via,
            ms(1_500),
        );
        if !matches!(done.end, world::End::Served(_)) {
            world
                .record
                .say("the traffic before the case is not served");
            exit(2);
        }
    }
    thread::sleep(ms(1_000));

    if trouble {
        // `srv_crash`, how `domain`: the service's servers of one zone are down.
        for server in &world.servers {
            if server.service == "route-sheets" && server.zone == "mazowsze-a" {
                world.record.say(format!("server {} crashes", server.id));
                server.crash();
            }
        }
    }
    thread::sleep(ms(50));

    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let start = Instant::now();
    let on_old = {
        let (record, service) = (world.record.clone(), world.service_address(2));
        let (caller, attempts) = (world.new_caller(), attempts.clone());
        thread::spawn(move || {
            let done = call(&record, "on-the-old-route", caller, service, via, ms(5_000));
            attempts.lock().unwrap().push(done);
        })
    };
    thread::sleep(CHANGE_DELAY.saturating_sub(start.elapsed()));
    world.write_config(11, &[stops, new], 20.0);
    // Callers of the new route, through the same machine.
    let mut callers = Vec::new();
    for n in 0..6 {
        let (record, service) = (world.record.clone(), world.service_address(3));
        let caller = world.new_caller();
        callers.push(thread::spawn(move || {
            call(
                &record,
                &format!("on-the-new-route-{n}"),
                caller,
                service,
                via,
                ms(1_500),
            );
        }));
        thread::sleep(ms(15));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let _ = on_old.join();
    thread::sleep(ms(300));

    let has_ended = world
        .balancers
        .iter_mut()
        .any(|balancer| balancer.has_ended());
    let seen = world.seen();
    let runs = |id: &str| {
        seen.iter()
            .find(|s| s.what.starts_with("runs") && s.id.starts_with(id))
            .cloned()
    };
    let Some(effect) = runs("on-the-new-route") else {
        world.record.say("no request of the new route was run");
        exit(2);
    };
    world.record.say(format!(
        "a server saw the effect of version 11 at {:.1}",
        effect.at
    ));
    let attempts = attempts.lock().unwrap();
    let attempt = &attempts[0];
    let Some(run) = runs("on-the-old-route") else {
        world.record.say(format!(
            "HELD: the request of the old route was not run: {:?}",
            attempt.end
        ));
        drop(attempts);
        drop(world);
        exit(if has_ended { 2 } else { 0 });
    };
    // The opening packet that the server took: the last copy that it saw before the run.
    let took = seen.iter().filter(|s| {
        s.server == run.server
            && s.caller == run.caller
            && s.what.starts_with("took")
            && s.at <= run.at
    });
    let copy: usize = took
        .last()
        .map_or(0, |s| s.id.trim_start_matches("copy ").parse().unwrap_or(0));
    let sent = attempt.openings[copy];
    let late = sent - effect.at;
    world.record.say(format!(
        "server {} took opening packet {copy} of the dropped route, sent at {sent:.1}, {late:.1} ms after the effect",
        run.server
    ));
    let is_broken = late > ROLLBACK_SLACK_MS;
    let verdict = if is_broken { "BROKEN: CONFIG" } else { "HELD" };
    world
        .record
        .say(format!("{verdict}: limit {ROLLBACK_SLACK_MS} ms"));
    drop(attempts);
    drop(world);
    exit(i32::from(is_broken));
}
