//! Starts a child process, reads its output, sends it signals and waits for its exit.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use eyre::eyre;
use eyre::Result;
use eyre::WrapErr;
use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use serde::de::DeserializeOwned;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::process::ChildStdout;
use tokio::process::Command;
use tokio::time::timeout;

/// Returns the folder of built binaries that the running test or example belongs to.
///
/// # Errors
///
/// Fails if the path of the running executable is not known or has no such folder.
pub fn binary_folder() -> Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let folder = exe
        .parent()
        .ok_or_else(|| eyre!("the executable is in no folder of binaries"))?;
    let inner = ["deps", "examples"].map(Path::new);
    match folder.file_name() {
        Some(name) if inner.contains(&Path::new(name)) => {
            let outer = folder.parent();
            Ok(outer
                .ok_or_else(|| eyre!("the executable is in no folder of binaries"))?
                .to_owned())
        }
        _ => Ok(folder.to_owned()),
    }
}

/// Makes the command for a shipped binary.
pub fn binary(name: &str) -> Result<Command> {
    command_for(binary_folder()?.join(name))
}

/// Makes the command for an example of this crate.
pub fn example(name: &str) -> Result<Command> {
    command_for(binary_folder()?.join("examples").join(name))
}

fn command_for(path: PathBuf) -> Result<Command> {
    if !path.exists() {
        return Err(eyre!("{} is not built", path.display()));
    }
    Ok(Command::new(path))
}

/// A child process; it is killed when dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: tokio::process::Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Child {
    /// Starts a command. Its standard error is written to the file `NAME.log` in the folder `logs`,
    /// or discarded without one.
    pub fn start(name: &str, mut command: Command, logs: Option<&Path>) -> Result<Child> {
        let stderr = match logs {
            Some(folder) => std::fs::File::create(folder.join(format!("{name}.log")))?.into(),
            None => Stdio::null(),
        };
        let mut process = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {name}"))?;
        let output = process.stdout.take();
        let output = output.ok_or_else(|| eyre!("{name} has no standard output"))?;
        Ok(Child {
            name: name.to_owned(),
            process,
            lines: BufReader::new(output).lines(),
        })
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Reads the next line of standard output as JSON.
    pub async fn read_line<T: DeserializeOwned>(&mut self, limit: Duration) -> Result<T> {
        let line = timeout(limit, self.lines.next_line())
            .await
            .wrap_err_with(|| format!("{} printed no line within {limit:?}", self.name))??;
        let line = line.ok_or_else(|| eyre!("{} exited without printing a line", self.name))?;
        serde_json::from_str(&line)
            .wrap_err_with(|| format!("{} printed an unexpected line: {line}", self.name))
    }

    /// Sends a signal, unless the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.process.id().and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            kill_process(pid, signal)?;
        }
        Ok(())
    }

    /// Returns the process ID, unless the process has exited.
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Waits for the process to exit.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let status = timeout(limit, self.process.wait()).await;
        Ok(status.wrap_err_with(|| format!("{} has not exited within {limit:?}", self.name))??)
    }

    /// Sends SIGTERM and waits for the process to exit.
    pub async fn stop(mut self, limit: Duration) -> Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.wait(limit).await
    }
}
