//! Runs `wasabictl`, the operators' tool, against a deployment.

use std::time::Duration;

use eyre::eyre;
use eyre::Result;
use eyre::WrapErr;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use super::child;
use super::Fleet;

/// Time-out for a run of `wasabictl`.
const TOOL_TIMEOUT: Duration = Duration::from_secs(30);

impl Fleet {
    /// Runs `wasabictl` with these arguments and returns its standard output.
    pub async fn run_tool(&self, arguments: &[&str]) -> Result<String> {
        self.run_tool_with_input(arguments, b"").await
    }

    /// Runs `wasabictl` with these arguments and this standard input, and returns its standard
    /// output.
    pub async fn run_tool_with_input(&self, arguments: &[&str], input: &[u8]) -> Result<String> {
        let about = format!("wasabictl {}", arguments.join(" "));
        let mut process = child::binary("wasabictl")?
            .args(arguments)
            .env("WASABI_PLATFORM", self.platform_url())
            .stdin(std::process::Stdio::piped())
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| about.clone())?;
        if let Some(mut stdin) = process.stdin.take() {
            stdin.write_all(input).await?;
        }
        let output = timeout(TOOL_TIMEOUT, process.wait_with_output())
            .await
            .wrap_err_with(|| format!("{about} did not finish within {TOOL_TIMEOUT:?}"))??;
        if !output.status.success() {
            let errors = String::from_utf8_lossy(&output.stderr);
            return Err(eyre!("{about}: {}: {errors}", output.status));
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }
}
