//! Platform with a store: connects the platform adapter to the daemon and sets the service
//! defaults.

use std::net;
use std::sync;

use lynxmast_platform::configuration;
use lynxmast_platform::configuration_source;
use lynxmast_platform::discovery;
use lynxmast_platform::headers;
use lynxmast_platform::heartbeat_server;
use lynxmast_platform::store;
use lynxmast_protocol::header_scheme;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::policy::service;
use lynxmast_transport::sidecar;
use tokio::sync::watch;

use crate::platform;
use crate::settings;

/// Platform whose store holds the policy and the list of daemons.
#[derive(Debug, Clone)]
pub struct StorePlatform<C> {
    store: store::Store,
    defaults: configuration::SharedDefaults,
    clock: C,
}

/// Maximum length of the request queue of one upstream.
const QUEUE_LENGTH_MAX: u32 = 64;
/// Maximum number of slots that an announcement may claim.
const SLOTS_MAX: u32 = 4096;
/// Longest time that a request waits for a slot at one sidecar.
const WAIT_MAX: std::time::Duration = std::time::Duration::from_secs(2);
/// Longest time without progress on a body before the request is aborted.
const STALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
/// Multiple of the 95th percentile of the response time after which a request counts as hung and is
/// hedged.
const HEDGE_AFTER: f64 = 2.0;
/// Fraction of the configured retry ratio that the daemons use for a service. The rest is headroom
/// for unspent retries, which accumulate for a quarter of the window.
const RETRY_RATIO_FRACTION: f64 = 0.8;
/// Fraction of the configured retry reserve that the daemons use. The rest is headroom for calls
/// that backend servers make again, and for daemons that have just started and do not know how much
/// of the reserve has been spent.
const RETRY_RESERVE_FRACTION: f64 = 0.5;

impl<C> StorePlatform<C> {
    /// Creates the platform whose store is at `address`; `settings` are the defaults for services.
    pub fn new(address: net::SocketAddr, settings: &settings::Services, clock: C) -> Self {
        let defaults = configuration::Defaults { service: service_defaults(settings) };
        let defaults = sync::Arc::new(sync::RwLock::new(defaults));
        Self { store: store::Store::new(address), defaults, clock }
    }

    /// Replaces the service settings for all configurations read from now on. Returns the resulting
    /// defaults of a service.
    pub fn update_services(&self, settings: &settings::Services) -> service::Service {
        let service = service_defaults(settings);
        let mut defaults = self.defaults.write().unwrap_or_else(sync::PoisonError::into_inner);
        defaults.service = service.clone();
        service
    }
}

/// Returns the defaults of a service, from the settings and the constants of this module.
fn service_defaults(settings: &settings::Services) -> service::Service {
    service::Service {
        slots: SLOTS_MAX,
        queue: QUEUE_LENGTH_MAX,
        max_wait: WAIT_MAX,
        ramp: std::time::Duration::ZERO,
        stall: STALL_TIMEOUT,
        hedge_after: HEDGE_AFTER,
        floor_share: settings.floor_share,
        retry_ratio: settings.retry_ratio * RETRY_RATIO_FRACTION,
        retry_reserve: Some(settings.retry_reserve * RETRY_RESERVE_FRACTION),
        retry_window: settings.retry_window,
        ..service::Service::default()
    }
}

impl<C: clock::Clock> platform::Platform<C> for StorePlatform<C> {
    type Documents = configuration_source::ConfigurationSource;
    type Discovery = discovery::StoreDiscovery;
    type LocalApi = heartbeat_server::HeartbeatServer<C>;

    fn header_scheme(&self) -> sync::Arc<header_scheme::HeaderScheme> {
        sync::Arc::new(headers::scheme())
    }

    fn documents(&self) -> Self::Documents {
        configuration_source::ConfigurationSource::new(self.store.clone(), self.defaults.clone())
    }

    fn discovery(&self) -> Self::Discovery {
        discovery::StoreDiscovery::new(self.store.clone())
    }

    fn source_epochs(&self) -> watch::Receiver<Option<ids::SourceEpoch>> {
        self.store.era.subscribe()
    }

    fn local_api(&self, sidecar: sync::Arc<sidecar::Sidecar<C>>) -> Self::LocalApi {
        heartbeat_server::HeartbeatServer::new(sidecar, self.clock.clone())
    }
}
