//! Lookup of the route and the organisation of a request, which waits for a newer policy version if
//! the key is unknown.

use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::key_wait;
use lynxmast_state::outcome;
use lynxmast_state::policy::compiled;

use crate::ingress;
use crate::ingress::head;

/// Requests that wait at one ingress, shared between them.
pub type SharedWaits = sync::Mutex<key_wait::KeyWaits>;

/// Route, service and organisation of a request.
#[derive(Debug)]
pub struct Authenticated {
    /// Policy that the request is served by.
    pub policy: sync::Arc<compiled::CompiledPolicy>,
    /// Parsed head, without the key.
    pub parsed: head::RequestHead,
    /// Route, service and organisation that the policy assigns to the request.
    pub route_match: compiled::RouteMatch,
}

/// Result of looking a request up in the active policy.
enum LookUp {
    Found(Authenticated),
    /// The key is missing, or unknown in this version.
    UnknownKey {
        version: ids::PolicyVersion,
        is_missing: bool,
    },
}

/// Slot of a waiting request, which is returned when it is dropped, also if the caller disconnects.
struct WaitingSlot<'a>(&'a SharedWaits);

/// Time between two checks for the newer version.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

impl Drop for WaitingSlot<'_> {
    fn drop(&mut self) {
        lock(self.0).end();
    }
}

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Finds the route, the service and the organisation of a request. If its key is unknown and
    /// another daemon has a newer policy, requests that version and waits for it.
    ///
    /// # Errors
    ///
    /// Returns the reason for rejecting the request; `NoPolicy` while the policy is not current.
    pub(super) async fn authenticate(
        &self,
        head: &http::request::Parts,
        arrived: time::Instant,
    ) -> Result<Authenticated, outcome::Rejection> {
        let version = match self.look_up(head)? {
            LookUp::Found(authenticated) => return Ok(authenticated),
            LookUp::UnknownKey { is_missing: true, .. } => {
                count(outcome::Rejection::UnknownKey);
                return Err(outcome::Rejection::UnknownKey);
            }
            LookUp::UnknownKey { version, .. } => version,
        };
        let timeout = head::timeout(&head.headers, &self.identity.header_scheme)?;
        let deadline = arrived + timeout.unwrap_or(ingress::POLICY_WAIT_TIMEOUT);
        let started = self.shared.now();
        let mut search = self.search(version, started, deadline);
        lock(&self.key_waits).start(&search).inspect_err(|rejection| count(*rejection))?;
        let _slot = WaitingSlot(&self.key_waits);
        self.sidecar.policy_refresh.notify_one();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.shared.policy().version > search.version {
                match self.look_up(head)? {
                    LookUp::Found(authenticated) => return Ok(authenticated),
                    LookUp::UnknownKey { version, .. } => search.version = version,
                }
            }
            search = self.search(search.version, started, deadline);
            search.check().inspect_err(|rejection| count(*rejection))?;
        }
    }

    /// Returns the state of the search for a key that version `version` does not have.
    fn search(
        &self,
        version: ids::PolicyVersion,
        started: time::Instant,
        deadline: time::Instant,
    ) -> key_wait::Lookup {
        let now = self.shared.now();
        key_wait::Lookup {
            version,
            newest: self.shared.membership().newest_policy(now),
            waited: now.saturating_duration_since(started),
            time_left: deadline.saturating_duration_since(now),
        }
    }

    /// Looks a request up in the active policy.
    fn look_up(&self, head: &http::request::Parts) -> Result<LookUp, outcome::Rejection> {
        if !self.shared.is_current() {
            return Err(outcome::Rejection::NoPolicy);
        }
        let policy = self.shared.policy();
        let scheme = &self.identity.header_scheme;
        let reads_key = policy.has_organisations() || scheme.is_key_reserved();
        let mut parsed = head::RequestHead::parse(head, scheme, reads_key)?;
        let key = parsed.key.take();
        let (method, is_missing) = (head.method.as_str(), key.is_none());
        match policy.match_request(&parsed.host, &parsed.path, method, key.as_deref()) {
            Ok(route_match) => Ok(LookUp::Found(Authenticated { policy, parsed, route_match })),
            Err(outcome::Rejection::UnknownKey) => {
                Ok(LookUp::UnknownKey { version: policy.version, is_missing })
            }
            Err(rejection) => Err(rejection),
        }
    }
}

/// Counts a rejected search.
fn count(rejection: outcome::Rejection) {
    metrics::counter!("lynxmast_unknown_keys_total", "reason" => rejection.as_str()).increment(1);
}

fn lock(waits: &SharedWaits) -> sync::MutexGuard<'_, key_wait::KeyWaits> {
    waits.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
