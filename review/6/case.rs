//! The grace time in the settings changes from 6 s to 6.5 s. Then the machines are restarted in turn.
//! Do their processes start?

#[allow(dead_code)]
#[path = "../common-2/world.rs"]
mod world;

use std::process::exit;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use world::ms;
use world::End;
use world::Router;
use world::World;
use world::ZONES;

/// The ends of a machine's processes by themselves that the rule allows are fewer than this.
const ENDS: usize = 3;
/// The machines on which that many make a fault: a tenth of those in use, two at least.
const MACHINES: usize = 2;
/// The time after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = std::env::args().nth(1).expect("the path of the record");
    let mut world = World::zawadzki_rounds(&path, None);
    world.write_first_config(2.0);
    if !world.start_balancers() {
        exit(2);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let router = Router::start(&world, &ZONES, &stop);
    let attempts = world::start_traffic(&world, &router, &[30, 30, 30], &stop);
    thread::sleep(ms(3_000));

    if trouble {
        // `hup`: the settings files change; three of nine machines get a signal, as its share says.
        world
            .record
            .say("graceS in the settings files changes from 6 to 6.5");
        world.write_settings("6.5");
        for n in [0, 4, 7] {
            world.balancers[n].signal("HUP");
        }
    }
    thread::sleep(ms(2_000));

    // `roll_term`: one at a time.
    let mut faulty = 0;
    for n in 0..world.balancers.len() {
        let name = world.balancers[n].name.clone();
        world.record.say(format!("{name} gets SIGTERM"));
        world.balancers[n].stop(ms(6_000));
        let mut ends = 0;
        while ends < ENDS {
            thread::sleep(RESTART_DELAY);
            world.balancers[n].start();
            thread::sleep(ms(500));
            if !world.balancers[n].has_ended() {
                break;
            }
            ends += 1;
            world
                .record
                .say(format!("the new process of {name} has ended by itself"));
            world.balancers[n].kill();
        }
        if ends < ENDS {
            world.record.say(format!("{name} runs again"));
        } else {
            faulty += 1;
        }
    }
    let from = world.record.now();
    thread::sleep(ms(2_000));
    stop.store(true, SeqCst);
    thread::sleep(ms(1_700));

    let attempts = attempts.lock().unwrap();
    let is_late = |a: &&world::Attempt| a.openings.first().is_some_and(|at| *at >= from);
    let late: Vec<_> = attempts.iter().filter(is_late).collect();
    let served = late
        .iter()
        .filter(|a| matches!(a.end, End::Served(_)))
        .count();
    world.record.say(format!(
        "after the restarts {served} of {} attempts are served",
        late.len()
    ));
    world.record.say(format!(
        "on {faulty} of {} machines processes ended by themselves {ENDS} times; {MACHINES} make a fault",
        world.balancers.len()
    ));
    let is_broken = faulty >= MACHINES;
    world
        .record
        .say(if is_broken { "BROKEN: Fault" } else { "HELD" });
    drop(attempts);
    drop(world);
    exit(i32::from(is_broken));
}
