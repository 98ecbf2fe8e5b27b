//! Reports the demand of organisations to their allocators and applies the rate-limit shares that
//! the allocators return.

use std::net;
use std::sync;

use indexmap::IndexMap;
use lynxmast_state::clock;
use lynxmast_state::tables;
use lynxmast_state::usage;
use tokio_util::sync::CancellationToken;

use crate::control_client;

/// Reports the demand at this daemon's ingress.
#[derive(Debug)]
pub struct RateLimitReporter<C: clock::Clock> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<tables::Tables<C>>,
    /// Client for control messages to other daemons.
    pub client: sync::Arc<control_client::ControlClient>,
}

impl<C: clock::Clock> RateLimitReporter<C> {
    /// Reports demand periodically until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let reporter = sync::Arc::new(self);
        let interval = || tokio::time::sleep(usage::REPORT_EVERY);
        while stop.run_until_cancelled(interval()).await.is_some() {
            reporter.shared.keeper().expire(reporter.shared.now());
            for (allocator, demands) in reporter.reports() {
                let reporter = reporter.clone();
                tokio::spawn(async move { reporter.report(allocator, demands).await });
            }
        }
    }

    /// Groups the demands to report by the address of their allocator; the key is `None` if the
    /// allocator is this daemon.
    fn reports(&self) -> IndexMap<Option<net::SocketAddr>, Vec<usage::Demand>> {
        let now = self.shared.now();
        let demands = self.shared.usage().report(usage::REPORT_EVERY, now);
        let members = self.shared.members();
        let own = members.own().daemon.clone();
        let live: IndexMap<_, _> =
            members.live(now).map(|record| (record.daemon.clone(), record.control)).collect();
        drop(members);
        let mut reports: IndexMap<Option<net::SocketAddr>, Vec<usage::Demand>> = IndexMap::new();
        for demand in demands {
            let allocator = usage::keeper_of(&demand.organisation, live.keys());
            let address = allocator.filter(|&name| *name != own).map(|name| live[name]);
            reports.entry(address).or_default().push(demand);
        }
        reports
    }

    async fn report(&self, allocator: Option<net::SocketAddr>, demands: Vec<usage::Demand>) {
        let shares = match allocator {
            Some(address) => self.client.report(address, demands).await.unwrap_or_default(),
            None => self.allocate(&demands),
        };
        self.shared.usage().grant(&shares, self.shared.now());
    }

    /// Allocates shares for demands whose allocator is this daemon.
    fn allocate(&self, demands: &[usage::Demand]) -> Vec<usage::Share> {
        let (view, now) = (self.shared.view(), self.shared.now());
        let own = self.shared.members().own().daemon.clone();
        let limited = demands
            .iter()
            .filter_map(|demand| view.rate(&demand.organisation).map(|limit| (demand, limit)));
        let mut allocator = self.shared.keeper();
        limited.map(|(demand, limit)| allocator.share(&own, demand, limit, now)).collect()
    }
}
