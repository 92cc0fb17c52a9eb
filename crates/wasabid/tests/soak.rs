//! Short soak tests of packet forwarding by real processes. Crate `soak` defines the faults that are
//! injected and the promises that are checked.

use std::path::PathBuf;

use base::prelude::*;
use soak::address::Addresses;
use soak::run;
use soak::run::Config;

async fn run_seed(seed: u64, slot: u8, span: Span, has_restores: bool) {
    let folder = std::env::temp_dir().join(format!("wasabid-soak-{}-{seed}", std::process::id()));
    let config = Config {
        seed,
        span,
        has_loads: false,
        has_restores,
        addresses: Addresses::new(slot),
        program: PathBuf::from(env!("CARGO_BIN_EXE_wasabid")),
        folder: folder.clone(),
    };
    let report = run::execute(config)
        .await
        .expect("the run is set up and its faults are injected");
    assert!(
        report.breaches.is_empty(),
        "{report:#?}\nlogs are in {}",
        folder.display()
    );
    assert!(report.served > 0, "no request was served: {report:?}");
    std::fs::remove_dir_all(folder).expect("the log folder can be removed");
}

/// Defines a test for each seed, with the time within which faults start, in seconds, the slot of its
/// addresses, and whether the platform is restored. The slots differ, since tests run concurrently.
macro_rules! seeds {
    ($($(#[doc = $cause:literal])* $name:ident: $seed:literal for $secs:literal at $slot:literal, $has_restores:expr;)*) => {
        $(
            $(#[doc = $cause])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                run_seed($seed, $slot, Span::secs($secs), $has_restores).await;
            }
        )*
    };
}

seeds! {
    stops_and_a_kill_of_all: 1 for 8 at 60, false;
    a_replaced_server_and_lost_history: 2 for 8 at 61, false;
    /// Regression: the soak test itself started a process while its settings file was invalid.
    a_restart_while_settings_change: 100 for 15 at 62, false;
    /// Regression: a server restarted cold while the platform was down. Balancers that learned only
    /// from a peer that it had been unresponsive and had recovered treated it as warm.
    a_cold_start_that_nobody_hears_of: 110 for 15 at 59, false;
    /// Regression: a route that had been dropped after two restores of the platform was served on,
    /// since the routing had been given a revision of before.
    a_route_dropped_after_a_restore: 7001 for 15 at 58, true;
}
