//! Tests of settings validation.

use test_case::test_case;

use super::*;

const VALID: &str =
    "name = 'd1'\ndomain = 'pk-south-a'\nsecret = '0123456789abcdef'\nlog = '127.0.0.1:7400'\n";

/// Checks that `extra`, appended to valid settings, gives a problem at `key` and `line`.
fn check_problem(extra: &str, key: &str, line: Option<usize>) {
    let problems =
        Settings::parse(&format!("{VALID}{extra}")).expect_err("the settings are invalid");
    let found = problems.iter().find(|problem| problem.key == key);
    assert_eq!(found.map(|problem| problem.line), Some(line), "{problems:?}");
}

#[test]
fn valid_settings_are_accepted() {
    let text = format!("{VALID}[listen]\nentry = '127.0.0.1:7100'\n[limits]\nshutdown = '5s'\n");
    let settings = Settings::parse(&text).expect("the settings are valid");
    assert_eq!(settings.listen.entry.port(), 7100);
    assert_eq!(settings.limits.shutdown, time::Duration::from_secs(5));
}

/// Guards against a budget that does not follow from the machine's memory.
#[test_case("", 16 * 1024 * 1024; "memory not known")]
#[test_case("memory-mb = 160\n", 10 * 1024 * 1024; "a sixteenth of the memory")]
#[test_case("memory-mb = 16\n", 4 * 1024 * 1024; "at least 4 MiB")]
#[test_case("memory-mb = 160\nheld-bytes = 2000000\n", 2_000_000; "set")]
fn held_bytes_follow_from_the_memory(extra: &str, expected: usize) {
    let settings = Settings::parse(&format!("{VALID}[limits]\n{extra}")).expect("valid settings");
    assert_eq!(settings.limits.held_bytes(), expected);
}

#[test_case("speed = 1\n", "speed", Some(5); "unknown key")]
#[test_case("peers = ['here']\n", "peers", Some(5); "invalid address")]
#[test_case("[listen]\nentry = 7100\n", "listen.entry", Some(6); "wrong type")]
#[test_case("[listen]\nside = '127.0.0.1:1'\n", "listen.side", Some(6); "unknown key in a table")]
#[test_case("[listen]\nentry = '127.0.0.1:1'\ngate = '127.0.0.1:1'\n", "listen.gate", Some(7); "address used twice")]
#[test_case("[listen]\ngate = '0.0.0.0:1'\n", "listen.gate", Some(6); "unspecified address that is not advertised")]
#[test_case("[limits]\nconnections = 0\n", "limits.connections", Some(6); "limit of zero")]
#[test_case("[limits]\nheld-bytes = 1000\n", "limits.held-bytes", Some(6); "too few held bytes")]
#[test_case("[limits]\nheld-bytes = -1\n", "limits.held-bytes", Some(6); "negative held bytes")]
#[test_case("[limits]\nmemory-mb = 0\n", "limits.memory-mb", Some(6); "no memory")]
#[test_case("[limits]\nshutdown = '3 moons'\n", "limits.shutdown", Some(6); "invalid duration")]
#[test_case("limits = 3\n", "limits", Some(5); "value in place of a table")]
#[test_case("name = \n", "", Some(5); "syntax error")]
fn problems_have_key_and_line(extra: &str, key: &str, line: Option<usize>) {
    check_problem(extra, key, line);
}

#[test]
fn all_problems_are_reported() {
    let problems = Settings::parse("secret = 'short'\n").expect_err("the settings are invalid");
    let keys: Vec<&str> = problems.iter().map(|problem| problem.key.as_str()).collect();
    assert_eq!(keys, ["name", "domain", "secret", "log"]);
}

#[test_case("retry-reserve = 25", 25.0; "whole reserve")]
#[test_case("retry-reserve = 25.294117647058822", 25.294117647058822; "fractional reserve")]
#[test_case("retry-reserve = 0", 0.0; "no reserve")]
fn a_reserve_may_be_a_fraction(line: &str, expected: f64) {
    let settings = Settings::parse(&format!("{VALID}[services]\n{line}\n"));
    assert_eq!(settings.expect("the settings are valid").services.retry_reserve, expected);
}

#[test_case("0", 0.0; "zero")]
#[test_case("1", 1.0; "whole")]
#[test_case("0.2", 0.2; "fractional")]
#[test_case("1.0", 1.0; "whole with a fraction")]
fn a_fraction_may_be_written_as_an_integer(number: &str, expected: f64) {
    let text = format!("{VALID}[services]\nretry-ratio = {number}\nfloor-share = {number}\n");
    let services = Settings::parse(&text).expect("the settings are valid").services;
    assert_eq!((services.retry_ratio, services.floor_share), (expected, expected));
}

#[test_case("10s", 10_000; "whole seconds")]
#[test_case("2.5s", 2_500; "fractional seconds")]
#[test_case("1500ms", 1_500; "milliseconds")]
#[test_case("1500.5ms", 1_500; "fractional milliseconds")]
fn a_duration_may_be_a_fraction(duration: &str, expected_ms: u128) {
    let text = format!(
        "{VALID}heartbeat = '{duration}'\n[services]\nretry-window = '{duration}'\n[limits]\nshutdown = '{duration}'\n"
    );
    let settings = Settings::parse(&text).expect("the settings are valid");
    let durations = [settings.heartbeat, settings.services.retry_window, settings.limits.shutdown];
    assert_eq!(durations.map(|duration| duration.as_millis()), [expected_ms; 3]);
}

#[test_case("retry-reserve = -1", "services.retry-reserve"; "negative reserve")]
#[test_case("retry-reserve = nan", "services.retry-reserve"; "reserve that is not a number")]
#[test_case("retry-reserve = inf", "services.retry-reserve"; "infinite reserve")]
#[test_case("retry-ratio = nan", "services.retry-ratio"; "ratio that is not a number")]
#[test_case("floor-share = 1.01", "services.floor-share"; "share above one")]
fn numbers_out_of_range_are_reported(line: &str, key: &str) {
    check_problem(&format!("[services]\n{line}\n"), key, Some(6));
}

#[test_case("", (5000, 0.1, 20.0); "defaults")]
#[test_case("window = '2.5s'\nexcess = 0.05\nslack = 12.5\n", (2500, 0.05, 12.5); "fractions")]
#[test_case("window = '10s'\nexcess = 0\nslack = 0\n", (10_000, 0.0, 0.0); "integers")]
fn quotas_have_a_window_an_excess_and_a_slack(lines: &str, expected: (u128, f64, f64)) {
    let settings = Settings::parse(&format!("{VALID}[quota]\n{lines}"));
    let quota = settings.expect("the settings are valid").quota;
    assert_eq!((quota.window.as_millis(), quota.excess, quota.slack), expected);
}

#[test_case("window = '0s'", "quota.window"; "window of zero")]
#[test_case("window = 5", "quota.window"; "window without a unit")]
#[test_case("excess = -0.1", "quota.excess"; "negative excess")]
#[test_case("excess = nan", "quota.excess"; "excess that is not a number")]
#[test_case("slack = inf", "quota.slack"; "infinite slack")]
#[test_case("burst = 3", "quota.burst"; "unknown key")]
fn bounds_of_quotas_out_of_range_are_reported(line: &str, key: &str) {
    check_problem(&format!("[quota]\n{line}\n"), key, Some(6));
}
