//! Tests of what is known of calls.

use test_case::test_case;

use super::*;

#[test]
fn old_calls_are_forgotten_with_their_runs() {
    let start = time::Instant::now();
    let mut calls = Calls::default();
    for second in 0..30 {
        let now = start + time::Duration::from_secs(second);
        calls.ran(now);
        if second % 2 == 0 {
            calls.called(&"a".into(), now);
        }
    }
    let now = start + time::Duration::from_secs(30);
    let rates = calls.per_run(now).expect("enough runs").0;
    assert!(matches!(&rates[..], [(name, rate)] if &**name == "a" && (0.4..0.6).contains(rate)));
    let later = start + time::Duration::from_secs(120);
    assert_eq!(calls.per_run(later), None);
}

#[test]
fn too_few_runs_tell_nothing() {
    let now = time::Instant::now();
    let mut calls = Calls::default();
    calls.ran(now);
    (0..9).for_each(|_| calls.called(&"a".into(), now));
    assert_eq!(calls.per_run(now), None);
}

#[test_case("", Ok(&[]); "nothing is called")]
#[test_case("media=1.4", Ok(&[("media", 1.4)]); "one service")]
#[test_case("a=0.1,b=2.0", Ok(&[("a", 0.1), ("b", 2.0)]); "two services")]
#[test_case("media", Err(NotPerRun); "without a rate")]
#[test_case("media=-1", Err(NotPerRun); "a negative rate")]
#[test_case("media=NaN", Err(NotPerRun); "no number")]
fn rates_are_read(text: &str, expected: Result<&[(&str, f64)], NotPerRun>) {
    let own = |rates: &[(&str, f64)]| {
        PerRun(rates.iter().map(|(name, rate)| ((*name).into(), *rate)).collect())
    };
    assert_eq!(text.parse(), expected.map(own));
}
