//! Tests of reading the settings again.

use std::cell;
use std::fs;

use super::*;

const GOOD: &str =
    "name = 'd1'\ndomain = 'a'\nsecret = '0123456789abcdef'\nstore = '127.0.0.1:1'\n";

#[test]
fn a_reload_tells_what_became_of_the_settings() {
    let file = std::env::temp_dir().join(format!("lynxmast-reload-{}.toml", std::process::id()));
    fs::write(&file, GOOD).expect("a temporary file");
    let current = settings::Settings::load(&file).expect("good settings");
    let mut reload = Reload::new(file.clone(), current);
    let applied = cell::RefCell::new(Vec::new());
    let apply = |services: &settings::Services| applied.borrow_mut().push(services.retry_reserve);
    let mut check = |text: &str, changed: bool, expected: Reloaded| {
        fs::write(&file, text).expect("a temporary file");
        assert_eq!(reload.has_changed(), changed, "{text}");
        assert_eq!(reload.read(apply), expected, "{text}");
        assert!(!reload.has_changed(), "{text}");
    };
    check(GOOD, false, Reloaded::Unchanged);
    check(&format!("{GOOD}service = 'shop'\n"), true, Reloaded::AtNextStart);
    check("name = 3", true, Reloaded::Refused);
    let services = format!("{GOOD}service = 'shop'\n[services]\nretry-reserve = 7\n");
    check(&services, true, Reloaded::InForce);
    check(&services, false, Reloaded::Unchanged);
    assert_eq!(applied.into_inner(), [7]);
    fs::remove_file(&file).expect("the file is there");
}
