//! Processor time of the fingerprints of requests, and size of an update about suspects.

use std::hint;
use std::time;

use lynxmast_state::fingerprint;
use lynxmast_state::quarantine;

use crate::report;

/// Size of the request bodies that are hashed.
const BODY_SIZES: [usize; 3] = [0, 1024, fingerprint::BODY_PREFIX_MAX];

/// Measures the time per request for each body size, with its record of a response, and the encoded
/// size of a suspect.
pub fn measure(_seed: u64, duration: time::Duration) {
    let key = fingerprint::Key::from_secret("a secret for measurements");
    let organisation = "public".into();
    for size in BODY_SIZES {
        let body = vec![7; size];
        let mut quarantine = quarantine::Quarantine::default();
        let started = time::Instant::now();
        let mut count = 0_u32;
        while started.elapsed() < duration {
            let target = format!("/orders/{count}");
            let head = key.hash_head(&fingerprint::Head {
                method: "POST",
                host: "shop.example",
                target: &target,
                organisation: &organisation,
                body_size: size as u64,
            });
            let mut hasher = fingerprint::BodyHasher::new(key);
            hasher.update(&body);
            let request = fingerprint::Fingerprint { head, body: hasher.hash() };
            hint::black_box(quarantine.is_suspected_head(head));
            quarantine.record_response(request, started);
            count += 1;
        }
        let time_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(count);
        report::figure(&format!("fingerprint_{size}_bytes"), time_us, "us");
    }
    let mut quarantine = quarantine::Quarantine::default();
    let now = time::Instant::now();
    let request = fingerprint::Fingerprint { head: u64::MAX, body: u64::MAX };
    let address = "10.128.0.9:8080".parse().expect("an address");
    quarantine.record_crash(request, address, 1_773_379_174_703, now);
    let update = quarantine.opening_update(now);
    let encoded = rmp_serde::to_vec(&update).expect("updates encode");
    report::figure("suspect_update", encoded.len() as f64, "bytes");
}
