//! Reloads of the settings while the process runs.

use std::time::SystemTime;

use base::prelude::*;
use forward::event::Event;

use super::Loop;
use super::Shell;

impl<C: forward::codec::Codec, S> Loop<C, S> {
    /// Puts changed settings in force. Faulty ones change nothing.
    pub(super) fn reload(&mut self, now: Time) {
        let read = (self.shell.reload)();
        self.shell.has_invalid_settings = read.is_err();
        let setting = match read {
            Ok(setting) => setting,
            Err(why) => {
                tracing::warn!(event = "reload-failed", code = %Code::BadSetting, why);
                return;
            }
        };
        let fixed = self.shell.setting.fixed_changes(&setting);
        if !fixed.is_empty() {
            let settings = fixed.join(",");
            tracing::warn!(event = "reload-needs-restart", settings);
        }
        // These take effect only after a restart.
        let old = &self.shell.setting.forward;
        let mut forward = setting.forward;
        forward.name = old.name.clone();
        forward.domain = old.domain.clone();
        forward.peer = old.peer;
        forward.admin = old.admin;
        self.shell.setting.forward = forward.clone();
        self.set_link_rate(now, forward.capacity.link);
        let event = Event::Setting(Box::new(forward));
        self.reducer.step(now, event, &mut self.effects);
    }
}

/// Returns when the settings file was last changed, if there is one.
pub(super) fn modified_time<C, S>(shell: &Shell<C, S>) -> Option<SystemTime> {
    let meta = std::fs::metadata(shell.file.as_ref()?);
    meta.and_then(|meta| meta.modified()).ok()
}
