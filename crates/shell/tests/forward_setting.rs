//! Settings of packet forwarding, from flags and a file, and the template of the deployment.

use std::net::SocketAddr;

use base::prelude::*;
use proptest::prelude::*;
use shell::packets::setting::Raw;
use shell::packets::setting::Setting;
use shell::setting::Fault;

proptest! {
    #[test]
    fn arbitrary_settings_files_do_not_panic(
        lines in prop::collection::vec("(WASABI_[A-Z_]{3,12}|#|) ?(=|) ?[ -~]{0,24}", 0..12),
        value in "[ -~]{0,30}",
    ) {
        let names = [
            "NAME", "ENTRY", "PEER", "PEER_BIND", "SEEDS", "COLD_OVERAGE", "COLD_SLACK", "GRACE_S",
            "GRACE_MS", "LOG",
            "OUT_AFTER_MS", "OUT_WITHIN_MS", "LINK_MBPS", "CPU_QUOTA",
        ];
        let known = names.map(|name| format!("WASABI_{name}={value}"));
        for text in [lines.join("\n"), known.join("\n"), value] {
            if let Ok(raw) = Raw::default().with_file(&text) {
                let _ = Setting::new(raw);
            }
            let _ = Setting::with_usable_lines(&Raw::default(), &text);
        }
    }
}

const FILE: &str = "
# comment
WASABI_NAME=edge-1
WASABI_DOMAIN = a
WASABI_ENTRY=10.0.0.1:80
WASABI_PEER=10.0.0.1:7720
WASABI_PLATFORM=http://10.9.0.1:8169
WASABI_SEEDS=10.0.0.2:8166,10.0.0.3
WASABI_COLD_OVERAGE=1.5
WASABI_COLD_SLACK=5
WASABI_GRACE_MS=6000
WASABI_LATER=ignored
";

#[test]
fn a_settings_file_is_read() {
    let raw = Raw::default().with_file(FILE).expect("well formed");
    let setting = Setting::new(raw).expect("no faults");
    let forward = &setting.forward;
    assert_eq!(
        (forward.name.as_str(), forward.domain.as_str()),
        ("edge-1", "a")
    );
    let seeds: Vec<String> = forward.seeds.iter().map(SocketAddr::to_string).collect();
    assert_eq!(seeds, ["10.0.0.2:7720", "10.0.0.3:7720"]);
    assert_eq!((forward.cold.overage_percent, forward.cold.slack), (150, 5));
    assert_eq!(forward.grace, Span::secs(6));
}

#[test]
fn peer_bind_defaults_to_the_peer_address() {
    let read = |text: &str| {
        let raw = Raw::default().with_file(text).expect("well formed");
        Setting::new(raw).expect("no faults").peer_bind.to_string()
    };
    assert_eq!(read(FILE), "10.0.0.1:7720");
    let bound = format!("{FILE}\nWASABI_PEER_BIND=127.0.0.1:7721");
    assert_eq!(read(&bound), "127.0.0.1:7721");
}

#[test]
fn a_flag_overrides_the_file() {
    let raw = Raw {
        name: Some("other".into()),
        ..Raw::default()
    };
    let raw = raw.with_file(FILE).expect("well formed");
    assert_eq!(raw.name.as_deref(), Some("other"));
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = "WASABI_ENTRY=nowhere\nWASABI_SEEDS=x\nWASABI_COLD_SLACK=-1\nWASABI_GRACE_MS=0";
    let raw = Raw::default().with_file(text).expect("well formed");
    let faults = Setting::new(raw).expect_err("faults");
    let flags: Vec<&str> = faults.iter().map(|fault| fault.flag).collect();
    let want = [
        "name",
        "domain",
        "entry",
        "peer",
        "platform",
        "seeds",
        "cold-slack",
        "grace-ms",
    ];
    assert_eq!(flags, want);
    assert!(Raw::default().with_file("no setting").is_err());
}

fn read_with(line: &str) -> Result<Setting, Vec<String>> {
    let text = format!("{FILE}{line}");
    let raw = Raw::default().with_file(&text).expect("well formed");
    Setting::new(raw).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

/// Defines a test for the capacity that lines of the settings file give.
macro_rules! capacities {
    ($($name:ident: $lines:literal => $link:expr, $processor:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let capacity = read_with($lines).expect("no faults").forward.capacity;
                let found = (capacity.link.map(u64::from), capacity.processor.map(u64::from));
                assert_eq!(found, ($link, $processor));
            }
        )*
    };
}

capacities! {
    a_capacity_that_is_not_given_is_not_known: "" => None, None;
    an_empty_capacity_is_not_known: "WASABI_LINK_MBPS=\nWASABI_CPU_QUOTA= " => None, None;
    a_capacity_of_zero_is_not_known: "WASABI_LINK_MBPS=0\nWASABI_CPU_QUOTA=0.0" => None, None;
    a_whole_capacity_is_read: "WASABI_LINK_MBPS=10\nWASABI_CPU_QUOTA=1" => Some(1_250_000), Some(1_000_000);
    a_decimal_capacity_is_read: "WASABI_LINK_MBPS=2.5\nWASABI_CPU_QUOTA=0.084" => Some(312_500), Some(84_000);
}

/// Defines a test for the cut of open flows that lines of the settings file give, in milliseconds.
macro_rules! cuts {
    ($($name:ident: $lines:literal => $cut:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let setting = read_with($lines).expect("no faults");
                assert_eq!(setting.forward.out_after.as_millis(), $cut);
            }
        )*
    };
}

cuts! {
    without_a_bound_the_cut_has_its_default: "" => 3_000;
    the_cut_comes_before_the_operators_bound: "WASABI_OUT_WITHIN_MS=8000" => 6_000;
    the_cut_takes_precedence_over_the_bound: "WASABI_OUT_WITHIN_MS=8000\nWASABI_OUT_AFTER_MS=2500" => 2_500;
    an_empty_cut_does_not_hide_the_bound: "WASABI_OUT_WITHIN_MS=8000\nWASABI_OUT_AFTER_MS=" => 6_000;
    a_bound_that_no_change_can_meet_cuts_at_once: "WASABI_OUT_WITHIN_MS=1500" => 0;
}

/// Defines a test for each wrong setting, with the text of its fault.
macro_rules! wrong_settings {
    ($($name:ident: $line:literal => $text:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let faults = read_with($line).expect_err("a fault");
                assert_eq!(faults.len(), 1, "{faults:?}");
                assert!(faults[0].contains($text), "{faults:?}");
            }
        )*
    };
}

wrong_settings! {
    a_negative_link: "WASABI_LINK_MBPS=-1" => "link-mbps: `-1` is not a number from 0 to 1000000";
    a_link_with_a_unit: "WASABI_LINK_MBPS=10M" => "link-mbps: `10M` is not a number";
    a_link_that_is_no_number: "WASABI_LINK_MBPS=NaN" => "link-mbps: `NaN` is not a number";
    an_infinite_quota: "WASABI_CPU_QUOTA=inf" => "cpu-quota: `inf` is not a number from 0 to 1024";
    a_quota_that_rounds_to_nothing: "WASABI_CPU_QUOTA=0.0000001" => "cpu-quota: `0.0000001` is less than 0.001";
    a_bound_beyond_its_range: "WASABI_OUT_WITHIN_MS=602001" => "out-within-ms: `602001` is not a number from 0 to 602000";
    a_grace_time_of_nothing: "WASABI_GRACE_S=0" => "grace-s: `0` is not a number from 0.001 to 600";
    a_grace_time_with_a_unit: "WASABI_GRACE_S=6.5s" => "grace-s: `6.5s` is not a number";
    a_wrong_grace_time_beside_another: "WASABI_GRACE_MS=2500\nWASABI_GRACE_S=x" => "grace-s: `x`";
    a_slack_without_end: "WASABI_COLD_SLACK=inf" => "cold-slack: `inf` is not a number from 0 to 10000";
    a_wrong_bound_beside_a_cut: "WASABI_OUT_AFTER_MS=2500\nWASABI_OUT_WITHIN_MS=x" => "out-within-ms: `x`";
}

/// The deployment's template with the value of one placeholder, and usual values for the rest.
fn fill_template(changed: &str, value: &str) -> String {
    let usual = [
        ("nodeName", "edge-1"),
        ("zone", "a"),
        ("listen.datagramAddr", "10.0.0.1:80"),
        ("ip", "10.0.0.1"),
        ("internalPortRange.0", "7720"),
        ("listen.readiness", "10.0.0.1:81"),
        ("platform.address", "10.9.0.1:8169"),
        ("seeds", "10.0.0.2:8166"),
        ("bounds.warmupOverage", "1.5"),
        ("bounds.warmupSlack", "5"),
        ("bounds.evacuateMs", "5000"),
        ("bounds.graceS", "6"),
        ("limits.bandwidthMbps", "10"),
        ("limits.cpuQuota", "0.084"),
    ];
    let mut text = include_str!("../../../deploy/settings.env").to_owned();
    for (name, usual) in usual {
        let value = if name == changed { value } else { usual };
        let placeholder = format!("{{{{{name}}}}}");
        assert!(text.contains(&placeholder), "{placeholder} is not used");
        text = text.replace(&placeholder, value);
    }
    assert!(!text.contains("{{"), "{text}");
    text
}

/// Defines a test for each value that the platform may fill into the template, with a part of the
/// settings that result from it.
macro_rules! template_values {
    ($($(#[doc = $doc:literal])? $name:ident: $placeholder:literal = $value:literal => $field:expr, $want:expr;)*) => {
        $(
            $(#[doc = $doc])?
            #[test]
            fn $name() {
                let text = fill_template($placeholder, $value);
                let raw = Raw::default().with_file(&text).expect("well formed");
                let setting = Setting::new(raw).expect("no faults");
                let field: fn(&Setting) -> _ = $field;
                assert_eq!(field(&setting), $want);
            }
        )*
    };
}

template_values! {
    a_whole_grace_time: "bounds.graceS" = "6" => |s| s.forward.grace, Span::secs(6);
    /// Guards against a start that fails because the grace time is no whole number of seconds.
    a_fractional_grace_time: "bounds.graceS" = "6.5" => |s| s.forward.grace, Span::millis(6_500);
    a_grace_time_with_an_exponent: "bounds.graceS" = "1e1" => |s| s.forward.grace, Span::secs(10);
    a_grace_time_without_a_value: "bounds.graceS" = "" => |s| s.forward.grace, Span::secs(5);
    a_fractional_slack_is_rounded_down: "bounds.warmupSlack" = "5.5" => |s| s.forward.cold.slack, 5;
    a_slack_without_a_value: "bounds.warmupSlack" = "" => |s| s.forward.cold.slack, 0;
    a_fractional_overage: "bounds.warmupOverage" = "1.25" => |s| s.forward.cold.overage_percent, 125;
    a_fractional_bound_on_cuts: "bounds.evacuateMs" = "4500.5" => |s| s.forward.out_after, Span(2_500_500);
    a_fractional_link: "limits.bandwidthMbps" = "2.5" => |s| s.forward.capacity.link.map(u64::from), Some(312_500);
}

/// The template's values reach the settings: an empty or misspelt line would leave them unset.
#[test]
fn the_deployments_settings_template_names_known_settings() {
    let text = fill_template("bounds.evacuateMs", "5000");
    let raw = Raw::default().with_file(&text).expect("well formed");
    let forward = Setting::new(raw).expect("no faults").forward;
    let link = forward.capacity.link.map(u64::from);
    let processor = forward.capacity.processor.map(u64::from);
    assert_eq!((link, processor), (Some(1_250_000), Some(84_000)));
    assert_eq!(forward.out_after, Span::secs(3));
    assert_eq!(forward.grace, Span::secs(6));
    assert_eq!((forward.cold.overage_percent, forward.cold.slack), (150, 5));
    assert_eq!(
        forward.seeds,
        ["10.0.0.2:7720".parse().expect("an address")]
    );
}

#[test]
fn a_grace_time_by_flag_overrides_the_file_in_either_unit() {
    let raw = Raw {
        grace_s: Some("2.5".into()),
        ..Raw::default()
    };
    let raw = raw.with_file(FILE).expect("well formed");
    let setting = Setting::new(raw).expect("no faults");
    assert_eq!(setting.forward.grace, Span::millis(2_500));
}

/// The longer unit is for templates whose values are in seconds.
#[test]
fn a_grace_time_in_milliseconds_takes_precedence() {
    let grace = |lines| read_with(lines).expect("no faults").forward.grace;
    assert_eq!(
        grace("WASABI_GRACE_MS=\nWASABI_GRACE_S=6.5"),
        Span::millis(6_500)
    );
    assert_eq!(
        grace("WASABI_GRACE_S=6.5\nWASABI_GRACE_MS=2500"),
        Span::millis(2_500)
    );
}

/// Returns the settings of a process that starts with further lines in its file, and the flags of the
/// lines that were left out.
fn start_with(raw: &Raw, lines: &str) -> Result<(Setting, Vec<&'static str>), Vec<&'static str>> {
    let flags = |faults: Vec<Fault>| faults.iter().map(|fault| fault.flag).collect();
    match Setting::with_usable_lines(raw, &format!("{FILE}{lines}")) {
        Ok((setting, faults)) => Ok((setting, flags(faults))),
        Err(faults) => Err(flags(faults)),
    }
}

/// Defines a test for invalid lines that do not keep a process from starting, with their flags. The
/// other lines stay in force.
macro_rules! left_out_lines {
    ($($name:ident: $lines:literal => $flags:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (setting, flags) = start_with(&Raw::default(), $lines).expect("starts");
                assert_eq!(flags, $flags);
                assert_eq!(setting.forward.cold.overage_percent, 150);
            }
        )*
    };
}

left_out_lines! {
    a_start_without_faults: "" => [""; 0];
    a_start_with_a_grace_time_out_of_range: "WASABI_GRACE_MS=\nWASABI_GRACE_S=900" => ["grace-s"];
    a_start_with_a_slack_that_is_no_number: "WASABI_COLD_SLACK=true" => ["cold-slack"];
    a_start_with_a_bound_out_of_range: "WASABI_OUT_WITHIN_MS=700000" => ["out-within-ms"];
    a_start_with_a_wrong_filter: "WASABI_LOG=a=b=c" => ["log"];
    a_start_with_wrong_seeds: "WASABI_SEEDS=nowhere" => ["seeds"];
    a_start_with_a_wrong_source: "WASABI_START_FROM=disk" => ["start-from"];
    a_start_with_wrong_capacities: "WASABI_LINK_MBPS=x\nWASABI_CPU_QUOTA=y" => ["link-mbps", "cpu-quota"];
    a_start_with_a_line_that_is_no_setting: "what\nWASABI_OUT_AFTER_MS=x" => ["settings", "out-after-ms"];
}

/// A balancer that does not know its own addresses cannot serve.
#[test]
fn a_start_without_a_valid_address_fails() {
    let flags = start_with(&Raw::default(), "WASABI_ENTRY=nowhere\nWASABI_GRACE_S=x");
    assert_eq!(flags.expect_err("no entry"), ["entry", "grace-s"]);
}

/// Whoever gives a flag reads the answer, so that nothing is left out there.
#[test]
fn a_start_with_an_invalid_flag_fails() {
    let raw = Raw {
        grace_ms: Some("nothing".into()),
        ..Raw::default()
    };
    assert_eq!(start_with(&raw, "").expect_err("a fault"), ["grace-ms"]);
}

#[test]
fn changes_that_need_a_restart_are_listed() {
    let read = |text: &str| {
        let raw = Raw::default().with_file(text).expect("well formed");
        Setting::new(raw).expect("no faults")
    };
    let new = read(
        &FILE
            .replace("10.0.0.1:80", "10.0.0.1:81")
            .replace("SLACK=5", "SLACK=6"),
    );
    assert_eq!(read(FILE).fixed_changes(&new), ["entry"]);
}
