//! Tests of reloading the settings.

use std::cell;
use std::fs;

use super::*;

const VALID: &str =
    "name = 'd1'\ndomain = 'a'\nsecret = '0123456789abcdef'\nstore = '127.0.0.1:1'\n";

#[test]
fn reload_applies_service_settings_and_reports_other_changes() {
    let file = std::env::temp_dir().join(format!("lynxmast-reload-{}.toml", std::process::id()));
    fs::write(&file, VALID).expect("the temporary file is written");
    let current = settings::Settings::load(&file).expect("the settings are valid");
    let mut reloader = Reloader::new(file.clone(), current);
    let applied = cell::RefCell::new(Vec::new());
    let apply = |settings: &settings::Settings| {
        applied.borrow_mut().push((settings.service.clone(), settings.services.retry_reserve));
    };
    let mut check = |text: &str, changed: bool, expected: ReloadResult| {
        fs::write(&file, text).expect("the temporary file is written");
        assert_eq!(reloader.has_changed(), changed, "{text}");
        assert_eq!(reloader.reload(apply), expected, "{text}");
        assert!(!reloader.has_changed(), "{text}");
    };
    check(VALID, false, ReloadResult::Unchanged);
    check(&format!("{VALID}service = 'shop'\n"), true, ReloadResult::InForce);
    let renamed = VALID.replace("'a'", "'b'");
    check(&format!("{renamed}service = 'shop'\n"), true, ReloadResult::AtNextStart);
    check(&format!("{VALID}service = 'shop'\n"), true, ReloadResult::AtNextStart);
    check("name = 3", true, ReloadResult::Invalid);
    let services = format!("{VALID}service = 'shop'\n[services]\nretry-reserve = 7\n");
    check(&services, true, ReloadResult::InForce);
    check(&services, false, ReloadResult::Unchanged);
    let default = settings::Services::default().retry_reserve;
    assert_eq!(applied.into_inner(), [("shop".to_owned(), default), ("shop".to_owned(), 7.0)]);
    fs::remove_file(&file).expect("the file exists");
}
