//! Runs a balancer that forwards packets.

use std::path::Path;
use std::path::PathBuf;

use eyre::WrapErr;
use plat::source::Source;
use shell::log::Sink;
use shell::packets::run::Shell;
use shell::packets::setting::Raw;
use shell::packets::setting::Setting;
use shell::run::Outcome;
use shell::setting::Fault;

use crate::flag::Dialect;
use crate::Faults;

/// Reads the settings, sets up the log and runs the balancer until it has stopped.
///
/// Without `file`, the settings file is the one that `platform::setting::path` returns, if any.
pub(crate) fn start(dialect: Dialect, file: Option<PathBuf>, raw: Raw) -> eyre::Result<Outcome> {
    shell::packets::signal::block_reload()?;
    let file = file.or_else(platform::setting::path);
    let (setting, left_out) = match file.as_deref() {
        Some(file) => {
            let text = read_file(file).map_err(Faults)?;
            Setting::with_usable_lines(&raw, &text).map_err(Faults)?
        }
        None => (Setting::new(raw.clone()).map_err(Faults)?, Vec::new()),
    };
    let sink = shell::log::init_buffered(&setting.forward.name, &setting.log)?;
    for fault in &left_out {
        let Fault { code, flag, text } = fault;
        tracing::warn!(event = "setting-left-out", code = %code, flag, why = text);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    let platform = setting.platform.clone();
    let process = Process {
        raw,
        file,
        setting,
        has_left_out: !left_out.is_empty(),
        sink,
    };
    match dialect {
        Dialect::Platform => {
            let store = platform::store::Store::new(platform)?;
            runtime.block_on(process.serve(store))
        }
        Dialect::Objects => runtime.block_on(process.serve(plat::Client::new(platform)?)),
    }
}

/// The settings and the log with which the process starts.
struct Process {
    raw: Raw,
    file: Option<PathBuf>,
    setting: Setting,
    /// Whether lines of the settings file were left out.
    has_left_out: bool,
    sink: Sink,
}

impl Process {
    async fn serve(self, source: impl Source) -> eyre::Result<Outcome> {
        let Process {
            raw,
            file,
            setting,
            has_left_out,
            sink,
        } = self;
        let path = file.clone();
        let reload =
            move || read_settings(&raw, path.as_deref()).map_err(|faults| join_faults(&faults));
        let shell = Shell::bind(setting, platform::head::PacketCodec, source, sink).await?;
        let shell = shell.with_reload(file, Box::new(reload));
        shell.with_invalid_settings(has_left_out).run().await
    }
}

fn read_settings(raw: &Raw, file: Option<&Path>) -> Result<Setting, Vec<Fault>> {
    let raw = raw.clone();
    let Some(file) = file else {
        return Setting::new(raw);
    };
    Setting::new(raw.with_file(&read_file(file)?)?)
}

fn read_file(file: &Path) -> Result<String, Vec<Fault>> {
    std::fs::read_to_string(file).map_err(|error| {
        vec![Fault {
            code: base::prelude::Code::BadSetting,
            flag: "settings",
            text: format!("{}: {error}", file.display()),
        }]
    })
}

fn join_faults(faults: &[Fault]) -> String {
    let texts: Vec<String> = faults.iter().map(Fault::to_string).collect();
    texts.join("; ")
}
