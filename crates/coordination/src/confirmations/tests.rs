//! Tests of what a daemon confirms to others.

use std::net;

use lynxmast_state::member;
use lynxmast_state::router;

use super::*;

/// Clock that runs a task when it is read next.
#[derive(Clone, Default)]
struct HookClock {
    clock: clock::ManualClock,
    hook: sync::Arc<sync::Mutex<Option<Hook>>>,
}

type Hook = Box<dyn FnOnce() + Send>;

impl clock::Clock for HookClock {
    fn now(&self) -> time::Instant {
        let hook = self.hook.lock().expect("no thread panicked").take();
        hook.into_iter().for_each(|hook| hook());
        self.clock.now()
    }

    fn wall(&self) -> time::SystemTime {
        self.clock.wall()
    }

    fn suspended(&self) -> time::Duration {
        self.clock.suspended()
    }
}

// Guards against a confirmation of an older version with the age of a newer one, which would let the asking
// daemon keep the older version.
#[tokio::test]
async fn a_confirmation_is_not_newer_than_the_version_that_it_states() {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let addresses = member::Addresses { sidecar: address, control: address, admin: address };
    let own = member::Record::new("d1".into(), 1, "a".into(), addresses);
    let clock = HookClock::default();
    let shared = shared_state::SharedState::new(own, router::Balance::LoadSeen, clock.clone());
    let shared = sync::Arc::new(shared);
    let confirmations = sync::Arc::new(Confirmations::new(shared.clone()));
    shared.update_policy(|reducer| (reducer.version, reducer.next) = (1, 1));
    confirmations.record_read(shared.boot_time());
    clock.clock.advance(time::Duration::from_millis(900));
    let (updated, reader) = (shared.clone(), confirmations.clone());
    // The first reading is the time of the message; the second one that of the response.
    let during_response: Hook = Box::new(move || {
        updated.update_policy(|reducer| (reducer.version, reducer.next) = (2, 2));
        reader.record_read(updated.boot_time());
    });
    let hook = clock.hook.clone();
    let on_message: Hook =
        Box::new(move || *hook.lock().expect("no thread panicked") = Some(during_response));
    *clock.hook.lock().expect("no thread panicked") = Some(on_message);
    let age = time::Duration::from_millis(900);
    let confirmation = confirmations.next(1, Some(age)).await;
    let is_of_newer = confirmation.age.is_some_and(|age| age < time::Duration::from_millis(900));
    assert!(confirmation.version == 2 || !is_of_newer, "{confirmation:?}");
}
