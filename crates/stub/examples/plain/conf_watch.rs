//! Follows the configuration by a watch of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use conf::store::Store;
use conf::table::Table;
use eyre::eyre;
use eyre::Result;
use hyper::Method;
use hyper::StatusCode;
use stub::http;
use stub::platform::store::List;

/// Time-out of a long poll.
const LONG_POLL_MS: u64 = 20_000;
/// Pause after a failed call to the platform, or while the platform has no object.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    store: Store,
    table: Table,
}

/// The latest configuration received from the platform.
#[derive(Clone, Default)]
pub(crate) struct Watch(Arc<Mutex<State>>);

impl Watch {
    /// Starts a watch in the background.
    pub(crate) fn start(platform: SocketAddr) -> Watch {
        let watch = Watch::default();
        let follower = watch.clone();
        tokio::spawn(async move {
            loop {
                if follower.poll(platform).await.is_err() {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        });
        watch
    }

    async fn poll(&self, platform: SocketAddr) -> Result<()> {
        let since = self.state().store.revision();
        let path = match since {
            0 => "/v1/objects".to_owned(),
            since => format!("/v1/watch?since={since}&wait_ms={LONG_POLL_MS}"),
        };
        let (status, data) = http::call(Method::GET, platform, &path, "").await?;
        if status != StatusCode::OK {
            return Err(eyre!("{path}: {status}"));
        }
        let list: List = serde_json::from_slice(&data)?;
        self.apply(&list, since);
        if since == 0 && list.revision == 0 {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Ok(())
    }

    fn apply(&self, list: &List, since: u64) {
        let mut state = self.state();
        let State { store, table } = &mut *state;
        store.apply(&list.objects, since, list.revision);
        table.rebuild(store);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The table is rebuilt from the store as a whole, so a panic elsewhere leaves it
        // consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `read` with the current table.
    pub(crate) fn table<T>(&self, read: impl FnOnce(&Table) -> T) -> T {
        read(&self.state().table)
    }
}
