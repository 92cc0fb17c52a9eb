//! Starts, signals and stops balancer processes. Signals go only to the ids of processes that the
//! run itself started.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use base::prelude::*;
use eyre::eyre;
use eyre::Result;
use eyre::WrapErr;
use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use tokio::process::Child;
use tokio::process::Command;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::address;
use crate::address::BALANCERS;
use crate::checker::Promise;
use crate::world::World;

/// Grace period of a planned stop, as set in the balancers' settings.
pub const GRACE_PERIOD: Duration = Duration::from_millis(4_000);
/// Time by which a stop may exceed the grace period, for scheduling delays of the machine.
const STOP_SLACK: Duration = Duration::from_millis(500);
/// Memory limit of a process, in KiB: what the smallest of the users' hosts offers.
const MEMORY_MAX_KIB: u64 = 99 * 1_024;

/// The balancer processes of a run.
pub struct Processes {
    world: World,
    program: PathBuf,
    folder: PathBuf,
    children: Vec<Mutex<Option<Child>>>,
}

impl Processes {
    /// Prepares the processes of a run without starting them. Logs and settings go to `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written.
    pub fn new(world: World, program: PathBuf, folder: PathBuf) -> Result<Processes> {
        std::fs::create_dir_all(&folder)?;
        let processes = Processes {
            world,
            program,
            folder,
            children: (0..BALANCERS).map(|_| Mutex::new(None)).collect(),
        };
        for balancer in 0..BALANCERS {
            processes.write_settings(balancer, "")?;
        }
        Ok(processes)
    }

    fn settings_path(&self, balancer: usize) -> PathBuf {
        self.folder.join(format!("b{balancer}.env"))
    }

    /// Writes a balancer's settings file, with `line` added at the end.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write_settings(&self, balancer: usize, line: &str) -> Result<()> {
        let addresses = self.world.addresses;
        // Seed nodes of the membership protocol: the first balancer of each failure domain.
        let seeds: Vec<String> = (0..3)
            .map(|seed| addresses.peer_relay(seed).to_string())
            .collect();
        let text = format!(
            "WASABI_NAME=b{balancer}\nWASABI_DOMAIN={}\nWASABI_ENTRY={}\nWASABI_PEER={}\n\
             WASABI_PEER_BIND={}\nWASABI_ADMIN={}\nWASABI_PLATFORM=http://{}\nWASABI_SEEDS={}\n\
             WASABI_DIALECT=objects\nWASABI_COLD_OVERAGE=1.5\nWASABI_COLD_SLACK=5\n\
             WASABI_GRACE_MS={}\n{line}\n",
            address::domain_name(address::domain_of(balancer)),
            addresses.entry(balancer),
            addresses.peer_relay(balancer),
            addresses.peer_bind(balancer),
            addresses.admin(balancer),
            addresses.platform_relay(balancer),
            seeds.join(","),
            GRACE_PERIOD.as_millis(),
        );
        // Replaces the file atomically, since the process may read it at any time.
        let file = self.settings_path(balancer);
        let new = file.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(&new, &file).wrap_err("cannot replace the settings file")
    }

    /// Starts a balancer, unless it is running.
    ///
    /// # Errors
    ///
    /// Fails if the settings or logs cannot be written or the program cannot be started.
    pub async fn start(&self, balancer: usize) -> Result<()> {
        let mut child = self.children[balancer].lock().await;
        if child.is_some() {
            return Ok(());
        }
        // A balancer refuses to start with invalid settings, by design; a fault may have left some.
        self.write_settings(balancer, "")?;
        let number = self.world.with(|state, _| {
            let balancer_state = &mut state.balancers[balancer];
            balancer_state.incarnation += 1;
            balancer_state.incarnation
        });
        let log = File::create(self.folder.join(format!("b{balancer}-{number}.log")))?;
        let errors = File::create(self.folder.join(format!("b{balancer}-{number}.err")))?;
        let process = Command::new(&self.program)
            .args(["forward", "--dialect", "objects", "--settings"])
            .arg(self.settings_path(balancer))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        *child = Some(process);
        self.world.with(|state, now| {
            let balancer_state = &mut state.balancers[balancer];
            balancer_state.is_down = false;
            balancer_state.last_maintenance = now;
        });
        Ok(())
    }

    /// Sends a signal to a balancer. Returns whether the balancer was running.
    pub async fn signal(&self, balancer: usize, signal: Signal) -> bool {
        let child = self.children[balancer].lock().await;
        let id = child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Tells a balancer to stop and checks its exit. `is_disturbed` returns whether faults excuse a
    /// late or failed stop.
    pub async fn stop(&self, balancer: usize, is_disturbed: impl Fn() -> bool) {
        self.world.with(|state, now| {
            let balancer_state = &mut state.balancers[balancer];
            balancer_state.is_down = true;
            balancer_state.last_maintenance = now;
        });
        if !self.signal(balancer, Signal::TERM).await {
            return;
        }
        let limit = GRACE_PERIOD + STOP_SLACK;
        let mut slot = self.children[balancer].lock().await;
        let Some(child) = slot.as_mut() else { return };
        let ended = timeout(limit, child.wait()).await;
        let what = match ended {
            Ok(Ok(status)) if status.success() => None,
            Ok(Ok(status)) => Some(format!("balancer {balancer} stopped with {status}")),
            Ok(Err(error)) => Some(format!("balancer {balancer}: {error}")),
            Err(_) => Some(format!("balancer {balancer} still runs after {limit:?}")),
        };
        if let Some(what) = what.filter(|_| !is_disturbed()) {
            self.world
                .with(|state, now| state.record_breach(now, Promise::Stop, what));
        }
        // Dropping the child kills a process that still runs.
        *slot = None;
    }

    /// Kills a balancer.
    pub async fn kill(&self, balancer: usize) {
        self.world.with(|state, now| {
            state.balancers[balancer].is_down = true;
            state.record_fault(balancer, now);
        });
        self.signal(balancer, Signal::KILL).await;
        let mut slot = self.children[balancer].lock().await;
        if let Some(child) = slot.as_mut() {
            // The process has exited even if its status cannot be read.
            let _ = child.wait().await;
        }
        *slot = None;
    }

    /// Records a breach for each process that exited without being told to.
    pub async fn check_exits(&self) {
        for balancer in 0..BALANCERS {
            let Ok(mut slot) = self.children[balancer].try_lock() else {
                // Another task is starting, signalling or stopping it.
                continue;
            };
            let Some(child) = slot.as_mut() else { continue };
            if let Ok(Some(status)) = child.try_wait() {
                let what = format!("balancer {balancer} ended with {status}");
                self.world
                    .with(|state, now| state.record_breach(now, Promise::End, what));
                *slot = None;
            }
        }
    }

    /// Returns the largest peak memory of a running balancer, in KiB, and records a breach for each
    /// that exceeded the limit.
    pub async fn peak_memory(&self) -> u64 {
        let mut most = 0;
        for balancer in 0..BALANCERS {
            let child = self.children[balancer].lock().await;
            let Some(id) = child.as_ref().and_then(Child::id) else {
                continue;
            };
            let Some(peak) = peak_kib(id) else { continue };
            most = most.max(peak);
            if peak > MEMORY_MAX_KIB {
                let what = format!("balancer {balancer} used {peak} KiB of memory");
                self.world
                    .with(|state, now| state.record_breach(now, Promise::Memory, what));
            }
        }
        most
    }

    /// Checks that each log line is valid JSON. Returns the number of lines.
    ///
    /// # Errors
    ///
    /// Fails if a log cannot be read.
    pub fn check_logs(&self) -> Result<u64> {
        let mut lines = 0;
        for entry in std::fs::read_dir(&self.folder)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                lines += self.check_log(&path)?;
            }
        }
        Ok(lines)
    }

    fn check_log(&self, path: &Path) -> Result<u64> {
        let text = std::fs::read(path)?;
        let text = String::from_utf8_lossy(&text);
        let mut lines = 0;
        // The last line may be incomplete if the process was killed while writing it.
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        for line in whole.lines() {
            lines += 1;
            if serde_json::from_str::<serde_json::Value>(line).is_err() {
                let what = format!("{}: {line}", path.display());
                self.world
                    .with(|state, now| state.record_breach(now, Promise::Log, what));
            }
        }
        Ok(lines)
    }
}

/// Returns the peak resident memory of a process, in KiB.
fn peak_kib(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Returns the default executable: `wasabid` in the build folder of the running program.
///
/// # Errors
///
/// Fails if it is not built.
pub fn default_program() -> Result<PathBuf> {
    let path = stub::fleet::child::binary_folder()?.join("wasabid");
    match path.exists() {
        true => Ok(path),
        false => Err(eyre!(
            "{}: {} is not built",
            Code::BadSetting,
            path.display()
        )),
    }
}
