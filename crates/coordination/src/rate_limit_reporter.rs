//! Reports the demand of organisations to their allocators and applies the rate-limit shares that
//! the allocators return.

use std::net;
use std::sync;

use indexmap::IndexMap;
use lynxmast_state::clock;
use lynxmast_state::rate_limit;
use lynxmast_state::shared_state;
use tokio_util::sync::CancellationToken;

use crate::control_client;

/// Reports the demand at this daemon's ingress.
#[derive(Debug)]
pub struct RateLimitReporter<C: clock::Clock> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Client for control messages to other daemons.
    pub client: sync::Arc<control_client::ControlClient>,
}

impl<C: clock::Clock> RateLimitReporter<C> {
    /// Reports demand every report interval until `stop` is cancelled. Also removes organisations
    /// without recent reports from this daemon's allocator.
    pub async fn run(self, stop: CancellationToken) {
        let reporter = sync::Arc::new(self);
        let interval = || tokio::time::sleep(rate_limit::REPORT_INTERVAL);
        while stop.run_until_cancelled(interval()).await.is_some() {
            reporter.shared.allocator().expire(reporter.shared.now());
            for (allocator, demands) in reporter.reports() {
                let reporter = reporter.clone();
                tokio::spawn(async move { reporter.report(allocator, demands).await });
            }
        }
    }

    /// Groups the demands to report by the address of their allocator; the key is `None` if the
    /// allocator is this daemon.
    fn reports(&self) -> IndexMap<Option<net::SocketAddr>, Vec<rate_limit::Demand>> {
        let now = self.shared.now();
        let demands = self.shared.limiter().take_report(rate_limit::REPORT_INTERVAL, now);
        let membership = self.shared.membership();
        let own = membership.own_record().daemon.clone();
        let live: IndexMap<_, _> = membership
            .live_records(now)
            .map(|record| (record.daemon.clone(), record.control))
            .collect();
        drop(membership);
        let mut reports: IndexMap<Option<net::SocketAddr>, Vec<rate_limit::Demand>> =
            IndexMap::new();
        for demand in demands {
            let allocator = rate_limit::allocator_for(&demand.organisation, live.keys());
            let address = allocator.filter(|&name| *name != own).map(|name| live[name]);
            reports.entry(address).or_default().push(demand);
        }
        reports
    }

    async fn report(&self, allocator: Option<net::SocketAddr>, demands: Vec<rate_limit::Demand>) {
        let reported = self.shared.now();
        let shares = match allocator {
            Some(address) => self.client.report(address, demands).await.unwrap_or_default(),
            None => self.allocate(&demands),
        };
        self.shared.limiter().apply_shares(&shares, reported, self.shared.now());
    }

    /// Allocates shares for demands whose allocator is this daemon.
    fn allocate(&self, demands: &[rate_limit::Demand]) -> Vec<rate_limit::Share> {
        let (policy, now) = (self.shared.policy(), self.shared.now());
        let own = self.shared.membership().own_record().daemon.clone();
        let limited = demands.iter().filter_map(|demand| {
            policy.quota(&demand.organisation).map(|quota| (demand, quota.rate))
        });
        let mut allocator = self.shared.allocator();
        limited.map(|(demand, limit)| allocator.allocate(&own, demand, limit, now)).collect()
    }
}
