//! Tests of reading the settings again.

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
    assert_eq!(reload.read(), Reloaded::Unchanged);
    fs::write(&file, format!("{GOOD}service = 'shop'\n")).expect("a temporary file");
    assert_eq!(reload.read(), Reloaded::AtNextStart);
    fs::write(&file, "name = 3").expect("a temporary file");
    assert_eq!(reload.read(), Reloaded::Refused);
    fs::remove_file(&file).expect("the file is there");
}
