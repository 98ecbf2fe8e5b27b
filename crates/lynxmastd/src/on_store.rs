//! Composition of a daemon with the adapter to the users' platform.

use std::net;
use std::sync;

use lynxmast_platform::check_ins;
use lynxmast_platform::configuration;
use lynxmast_platform::contacts;
use lynxmast_platform::documents;
use lynxmast_platform::headers;
use lynxmast_platform::store;
use lynxmast_protocol::dialect;
use lynxmast_state::clock;
use lynxmast_state::policy::service;
use lynxmast_transport::sidecar;

use crate::platform;
use crate::settings;

/// The users' platform with its store.
#[derive(Debug, Clone)]
pub struct OnStore<C> {
    store: store::Store,
    defaults: configuration::SharedDefaults,
    clock: C,
}

/// Requests that may wait at one upstream.
const QUEUE: u32 = 64;
/// Most slots that an announcement may claim.
const SLOTS_MAX: u32 = 4096;
/// Longest wait for a slot at one gate.
const WAIT_MAX: std::time::Duration = std::time::Duration::from_secs(2);
/// Longest time without progress on a body.
const STALL: std::time::Duration = std::time::Duration::from_secs(10);
/// Multiple of the time that 95 of 100 requests stay below, after which a request counts as hung.
const HEDGE_AFTER: f64 = 2.0;
/// Part of the retries that the rules allow which a service earns; the rest is for the calls that
/// repeated requests of other services make again, which count against it too, and for what was saved.
const BUDGET_USED: f64 = 0.5;
/// Part of the retries beyond the ratio that the daemons use; the rest is for daemons that start, who
/// do not know what was spent before, and for calls.
const RESERVE_USED: f64 = 0.4;

impl<C> OnStore<C> {
    /// Returns the platform whose store is at `address`.
    pub fn new(address: net::SocketAddr, settings: &settings::Services, clock: C) -> Self {
        let defaults = configuration::Defaults { service: service_defaults(settings) };
        let defaults = sync::Arc::new(sync::RwLock::new(defaults));
        Self { store: store::Store::new(address), defaults, clock }
    }

    /// Uses other settings for the configurations that are read from now on; returns what they come
    /// to for a service.
    pub fn revise(&self, settings: &settings::Services) -> service::Service {
        let service = service_defaults(settings);
        let mut defaults = self.defaults.write().unwrap_or_else(sync::PoisonError::into_inner);
        defaults.service = service.clone();
        service
    }
}

/// Returns what the settings and this page say of a service.
fn service_defaults(settings: &settings::Services) -> service::Service {
    let reserve = f64::from(settings.retry_reserve) * RESERVE_USED;
    service::Service {
        slots: SLOTS_MAX,
        queue: QUEUE,
        max_wait: WAIT_MAX,
        ramp: std::time::Duration::ZERO,
        stall: STALL,
        hedge_after: HEDGE_AFTER,
        floor_share: settings.floor_share,
        retry_ratio: settings.retry_ratio * BUDGET_USED,
        retry_reserve: Some(reserve as u32),
        retry_window: settings.retry_window,
        ..service::Service::default()
    }
}

impl<C: clock::Clock> platform::Platform<C> for OnStore<C> {
    type Documents = documents::Documents;
    type Directory = contacts::Contacts;
    type Beside = check_ins::CheckIns<C>;

    fn dialect(&self) -> sync::Arc<dialect::Dialect> {
        sync::Arc::new(headers::dialect())
    }

    fn documents(&self) -> Self::Documents {
        documents::Documents::new(self.store.clone(), self.defaults.clone())
    }

    fn directory(&self) -> Self::Directory {
        contacts::Contacts::new(self.store.clone())
    }

    fn beside(&self, gate: sync::Arc<sidecar::Sidecar<C>>) -> Self::Beside {
        check_ins::CheckIns::new(gate, self.clock.clone())
    }
}
