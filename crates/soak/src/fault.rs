//! Injects the faults of a plan and reverts them.
//!
//! Each fault is recorded in the shared state while it lasts, so that the checker can tell its
//! consequences from breaches.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use rand::Rng;
use rustix::process::Signal;
use stub::platform::Faults;
use stub::platform::Outage;
use stub::platform::Platform;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use crate::address;
use crate::address::BALANCERS;
use crate::address::DOMAINS;
use crate::operator::Operator;
use crate::operator::COLD_TIME;
use crate::operator::PERMANENT_ROUTES;
use crate::operator::POOLS;
use crate::plan::Fault;
use crate::plan::Kind;
use crate::process::Processes;
use crate::server::Status;
use crate::world::PlatformLink;
use crate::world::World;

/// Time between the end of a process or server and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Delay of each chunk on a slow link to the platform, in either direction.
const LINK_DELAY: Duration = Duration::from_millis(60);
/// Delay of each answer of a slow platform, in milliseconds.
const PLATFORM_DELAY_MS: u64 = 240;
/// Datagrams lost during [`Kind::Loss`], in 10,000.
const HIGH_LOSS_PER_10_000: u32 = 300;
/// Longest delay of a datagram during [`Kind::Delay`].
const FRAME_DELAY_MAX: Duration = Duration::from_millis(150);
/// Time after which the entry of an unresponsive server is removed.
const ENTRY_REMOVAL_DELAY: Duration = Duration::from_millis(3_000);
/// Time for which a draining server still serves; some backend servers do so for many seconds.
const DRAIN_TIME: Duration = Duration::from_millis(8_000);
/// Least time for which a failure domain is out: longer than the bound for new flows, so that late
/// ones are seen.
const OUT_MIN: Duration = Duration::from_millis(7_000);
/// Time for which the platform is down before it is restored: this, and as much for each number of
/// the fault's index.
const RESTORE_DOWN_STEP: Duration = Duration::from_millis(200);
/// Time before another server reuses an address.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_millis(2_000);
/// Changes of the routing in one [`Kind::Storm`].
const STORM_CHANGES: u8 = 8;
/// Number of the first route that faults add.
const FIRST_ROUTE: u8 = 100;

/// Injects faults into the parts of a run.
pub struct Injector {
    /// The shared state.
    pub world: World,
    /// The balancer processes.
    pub processes: Processes,
    /// Changes the configuration and servers' entries.
    pub operator: Operator,
    /// The platform stub.
    pub platform: Platform,
    /// Held during a restore of the platform.
    pub restores: Mutex<()>,
}

fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

impl Injector {
    /// Injects a fault and returns when it is over. `number` is unique among the faults of the run.
    pub async fn inject(self: Arc<Self>, number: u8, fault: Fault) {
        let (index, duration) = (fault.index, to_duration(fault.duration));
        match fault.kind {
            Kind::Stop => self.stop_and_restart(index).await,
            Kind::Roll => {
                for balancer in
                    (0..BALANCERS).filter(|&balancer| address::domain_of(balancer) == index)
                {
                    self.stop_and_restart(balancer).await;
                }
            }
            Kind::Kill => self.kill_and_restart(index).await,
            Kind::KillAll => {
                let mut kills = JoinSet::new();
                for balancer in 0..BALANCERS {
                    let injector = self.clone();
                    kills.spawn(async move { injector.kill_and_restart(balancer).await });
                }
                kills.join_all().await;
            }
            Kind::Pause => self.pause_balancer(index, duration).await,
            Kind::PauseStop => self.pause_and_stop(index, duration).await,
            Kind::Reload => self.change_settings(index, duration).await,
            Kind::StoreSlow => {
                self.disturb_platform_link(index, PlatformLink::Slow(LINK_DELAY), duration)
                    .await
            }
            Kind::StoreSilent => {
                self.disturb_platform_link(index, PlatformLink::Stalled, duration)
                    .await
            }
            Kind::StoreReset => {
                self.disturb_platform_link(index, PlatformLink::Reset, duration)
                    .await
            }
            Kind::StoreOpenSilent => self.world.with(|state, now| {
                state.links.stalled_before = now;
                (0..BALANCERS).for_each(|balancer| state.record_fault(balancer, now));
            }),
            Kind::PlatformDown => self.inject_outage(Outage::Refuse, 0, duration).await,
            Kind::PlatformBusy => self.inject_outage(Outage::Unavailable, 0, duration).await,
            Kind::PlatformHangs => self.inject_outage(Outage::Hang, 0, duration).await,
            Kind::PlatformSlow => {
                self.inject_outage(Outage::None, PLATFORM_DELAY_MS, duration)
                    .await
            }
            Kind::PlatformForgets => self.compact_history().await,
            Kind::Cut => self.partition(index, true, duration).await,
            Kind::OneWay => self.partition(index, false, duration).await,
            Kind::Loss => {
                self.degrade_datagrams(HIGH_LOSS_PER_10_000, Duration::ZERO, duration)
                    .await
            }
            Kind::Delay => self.degrade_datagrams(0, FRAME_DELAY_MAX, duration).await,
            Kind::Replace => self.replace_server(index).await,
            Kind::Silent => self.fail_server(index).await,
            Kind::Hang => self.hang_server(index, duration).await,
            Kind::Restart => self.restart_server(index).await,
            Kind::Out => {
                self.operator.set_out(index, true).await;
                tokio::time::sleep(OUT_MIN + duration).await;
                self.operator.set_out(index, false).await;
                // The domain's servers do not count as settled right after it is back.
                self.world.with(|state, now| {
                    let servers = state.servers.iter_mut();
                    let own = servers.filter(|server| server.domain == index);
                    own.for_each(|server| server.last_fault = now);
                });
            }
            Kind::AddRoute => self.operator.add_route(FIRST_ROUTE + number).await,
            Kind::RemoveRoute => {
                let route = FIRST_ROUTE + number;
                self.operator.add_route(route).await;
                tokio::time::sleep(duration).await;
                self.operator.remove_route(route).await;
            }
            Kind::Storm => {
                let route = FIRST_ROUTE + number;
                for change in 0..STORM_CHANGES {
                    match change % 2 {
                        0 => self.operator.add_route(route).await,
                        _ => self.operator.remove_route(route).await,
                    }
                }
            }
            Kind::Slow => {
                self.load_servers(index, duration, |server, end| server.slow_until = end)
                    .await
            }
            Kind::Full => {
                self.load_servers(index, duration, |server, end| server.full_until = end)
                    .await
            }
            Kind::Crowd => self.run_crowd().await,
            Kind::Link => self.fill_link(index, duration).await,
            Kind::Restore => self.restore_platform(index, duration).await,
        }
    }

    /// Returns whether a recent fault excuses a late or failed stop of a balancer.
    fn had_recent_fault(&self, balancer: usize) -> bool {
        self.world
            .with(|state, now| now.since(state.balancers[balancer].last_fault) < Span::secs(6))
    }

    async fn start_balancer(&self, balancer: usize) {
        if let Err(error) = self.processes.start(balancer).await {
            let what = format!("{error:#}");
            self.world
                .with(|state, now| state.record_breach(now, crate::checker::Promise::End, what));
        }
    }

    async fn stop_and_restart(&self, balancer: usize) {
        self.processes
            .stop(balancer, || self.had_recent_fault(balancer))
            .await;
        tokio::time::sleep(RESTART_DELAY).await;
        self.start_balancer(balancer).await;
    }

    async fn kill_and_restart(&self, balancer: usize) {
        self.processes.kill(balancer).await;
        tokio::time::sleep(RESTART_DELAY).await;
        self.start_balancer(balancer).await;
    }

    async fn pause_balancer(&self, balancer: usize, duration: Duration) {
        self.record_fault(balancer);
        self.processes.signal(balancer, Signal::STOP).await;
        tokio::time::sleep(duration).await;
        self.processes.signal(balancer, Signal::CONT).await;
        self.record_fault(balancer);
    }

    async fn pause_and_stop(&self, balancer: usize, duration: Duration) {
        self.record_fault(balancer);
        self.processes.signal(balancer, Signal::STOP).await;
        tokio::time::sleep(duration / 4).await;
        self.processes.signal(balancer, Signal::TERM).await;
        self.processes.signal(balancer, Signal::CONT).await;
        self.record_fault(balancer);
        self.stop_and_restart(balancer).await;
    }

    async fn change_settings(&self, balancer: usize, duration: Duration) {
        // Lines added to the settings: two invalid ones, a valid one, and none.
        let lines = [
            "WASABI_GRACE_MS=nothing",
            "no setting",
            "WASABI_OUT_AFTER_MS=2500",
            "",
        ];
        for line in lines {
            if let Err(error) = self.processes.write_settings(balancer, line) {
                eprintln!("cannot write settings of balancer {balancer}: {error:#}");
            }
            self.processes.signal(balancer, Signal::HUP).await;
            tokio::time::sleep(duration / 4).await;
        }
    }

    fn record_fault(&self, balancer: usize) {
        self.world
            .with(|state, now| state.record_fault(balancer, now));
    }

    async fn disturb_platform_link(&self, balancer: usize, link: PlatformLink, duration: Duration) {
        self.record_fault(balancer);
        self.world
            .with(|state, _| state.links.platform[balancer] = link);
        self.record_fault_for(duration, |state, now| state.record_fault(balancer, now))
            .await;
        self.world
            .with(|state, _| state.links.platform[balancer] = PlatformLink::Healthy);
    }

    /// Calls `record` repeatedly until the fault is over, so that what it affects does not count as
    /// settled meanwhile.
    async fn record_fault_for(
        &self,
        duration: Duration,
        record: impl Fn(&mut crate::world::State, Time),
    ) {
        let end = tokio::time::Instant::now() + duration;
        while tokio::time::Instant::now() < end {
            self.world.with(|state, now| record(state, now));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.world.with(|state, now| record(state, now));
    }

    async fn inject_outage(&self, outage: Outage, delay_ms: u64, duration: Duration) {
        let faults = Faults {
            outage,
            delay_ms,
            lose_writes: 0,
        };
        self.platform.set_faults(faults);
        self.record_fault_for(duration, |state, now| state.platform_last_fault = now)
            .await;
        self.platform.set_faults(Faults::default());
    }

    /// Restores the platform from a copy of the given age. Nothing counts as settled before all lost
    /// changes have been repeated.
    async fn restore_platform(&self, index: usize, age: Duration) {
        let _guard = self.restores.lock().await;
        let copy = self.platform.copy();
        tokio::time::sleep(age).await;
        let down = RESTORE_DOWN_STEP * (index as u32 + 1);
        self.inject_outage(Outage::Refuse, 0, down).await;
        self.platform.restore(copy);
        self.world
            .with(|state, now| state.platform_last_fault = now);
        self.operator.repeat_lost_changes().await;
        self.world
            .with(|state, now| state.platform_last_fault = now);
    }

    async fn compact_history(&self) {
        let control = self.platform.address().control;
        let call = stub::http::call(hyper::Method::POST, control, "/control/compact", "");
        if let Err(error) = call.await {
            eprintln!("cannot compact the platform's history: {error:#}");
        }
        self.world
            .with(|state, now| state.platform_last_fault = now);
    }

    async fn partition(&self, domain: usize, is_bidirectional: bool, duration: Duration) {
        let others = (0..DOMAINS).filter(|&other| other != domain);
        let pairs: Vec<(usize, usize)> = others
            .flat_map(|other| [(domain, other), (other, domain)])
            .filter(|&(from, _)| is_bidirectional || from == domain)
            .collect();
        let own: Vec<usize> = (0..BALANCERS)
            .filter(|&balancer| address::domain_of(balancer) == domain)
            .collect();
        self.world.with(|state, _| {
            state.links.partitioned.extend(pairs.iter().copied());
            for &balancer in &own {
                state.links.platform[balancer] = PlatformLink::Stalled;
            }
        });
        self.record_fault_for(duration, |state, now| {
            for &(from, to) in &pairs {
                state.record_link_fault(from, to, now);
            }
            (0..BALANCERS).for_each(|balancer| state.record_fault(balancer, now));
        })
        .await;
        self.world.with(|state, _| {
            for pair in &pairs {
                state.links.partitioned.remove(pair);
            }
            for &balancer in &own {
                state.links.platform[balancer] = PlatformLink::Healthy;
            }
        });
    }

    async fn degrade_datagrams(&self, loss: u32, delay: Duration, duration: Duration) {
        let before = self.world.with(|state, _| {
            let before = (state.links.loss, state.links.delay_max);
            state.links.loss = state.links.loss.max(loss);
            state.links.delay_max = state.links.delay_max.max(delay);
            before
        });
        self.record_fault_for(duration, |state, now| {
            (0..BALANCERS).for_each(|balancer| state.record_fault(balancer, now));
        })
        .await;
        self.world
            .with(|state, _| (state.links.loss, state.links.delay_max) = before);
    }

    fn healthy_server_at(&self, address: usize) -> Option<usize> {
        self.world.with(|state, _| {
            let server = state.server_at[address]?;
            (state.servers[server].status == Status::Healthy).then_some(server)
        })
    }

    async fn replace_server(&self, address: usize) {
        let Some(server) = self.healthy_server_at(address) else {
            return;
        };
        self.operator.drain_server(server).await;
        tokio::time::sleep(DRAIN_TIME).await;
        self.operator.remove_server(server).await;
        self.add_replacement(address).await;
    }

    /// Starts a cold server of a random pool at an address, unless the address is taken.
    async fn add_replacement(&self, address: usize) {
        tokio::time::sleep(ADDRESS_REUSE_DELAY).await;
        let is_free = self
            .world
            .with(|state, _| state.server_at[address].is_none());
        if is_free {
            let pool = self
                .world
                .with(|state, _| state.random.random_range(0..POOLS));
            self.operator.add_server(address, pool, true).await;
        }
    }

    async fn fail_server(&self, address: usize) {
        let Some(server) = self.healthy_server_at(address) else {
            return;
        };
        self.world.with(|state, now| {
            state.servers[server].status = Status::Unresponsive;
            state.servers[server].last_fault = now;
        });
        tokio::time::sleep(ENTRY_REMOVAL_DELAY).await;
        self.operator.remove_server(server).await;
        self.add_replacement(address).await;
    }

    async fn hang_server(&self, address: usize, duration: Duration) {
        let Some(server) = self.healthy_server_at(address) else {
            return;
        };
        self.world
            .with(|state, _| state.servers[server].status = Status::Unresponsive);
        self.record_fault_for(duration, |state, now| {
            state.servers[server].last_fault = now
        })
        .await;
        self.world.with(|state, _| {
            if state.servers[server].status == Status::Unresponsive {
                state.servers[server].status = Status::Healthy;
            }
        });
    }

    async fn restart_server(&self, address: usize) {
        let Some(server) = self.healthy_server_at(address) else {
            return;
        };
        self.world.with(|state, now| {
            state.servers[server].status = Status::Unresponsive;
            state.servers[server].last_fault = now;
        });
        tokio::time::sleep(RESTART_DELAY).await;
        self.world.with(|state, now| {
            let server_state = &mut state.servers[server];
            server_state.restart();
            server_state.last_fault = now;
            server_state.cold_until = now + COLD_TIME;
        });
        self.operator.write_server(server).await;
    }

    /// Creates the routes and servers that exist at the start of a run.
    pub async fn create_objects(&self) {
        for route in 1..=PERMANENT_ROUTES {
            self.operator.add_route(route).await;
        }
        for address in 0..address::SERVERS {
            let pool = (address / DOMAINS) % POOLS;
            self.operator.add_server(address, pool, false).await;
        }
    }
}
