//! Reports demand to the keepers of organisations and puts the shares they answer into force.

use std::net;
use std::sync;

use indexmap::IndexMap;
use lynxmast_state::clock;
use lynxmast_state::rate_limit;
use lynxmast_state::shared_state;
use tokio_util::sync::CancellationToken;

use crate::control_client;

/// Reports this entry's demand.
#[derive(Debug)]
pub struct Reporter<C: clock::Clock> {
    /// Shared tables.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Connections to other daemons.
    pub client: sync::Arc<control_client::ControlClient>,
}

impl<C: clock::Clock> Reporter<C> {
    /// Runs until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let reporter = sync::Arc::new(self);
        let pause = || tokio::time::sleep(rate_limit::REPORT_INTERVAL);
        while stop.run_until_cancelled(pause()).await.is_some() {
            reporter.shared.allocator().expire(reporter.shared.now());
            for (keeper, demands) in reporter.reports() {
                let reporter = reporter.clone();
                tokio::spawn(async move { reporter.report(keeper, demands).await });
            }
        }
    }

    /// Groups what is to be reported by keeper; `None` stands for this daemon.
    fn reports(&self) -> IndexMap<Option<net::SocketAddr>, Vec<rate_limit::Demand>> {
        let now = self.shared.now();
        let demands = self.shared.limiter().take_report(rate_limit::REPORT_INTERVAL, now);
        let members = self.shared.membership();
        let own = members.own().daemon.clone();
        let live: IndexMap<_, _> = members
            .live_records(now)
            .map(|record| (record.daemon.clone(), record.control))
            .collect();
        drop(members);
        let mut reports: IndexMap<Option<net::SocketAddr>, Vec<rate_limit::Demand>> =
            IndexMap::new();
        for demand in demands {
            let keeper = rate_limit::allocator_for(&demand.organisation, live.keys());
            let address = keeper.filter(|&name| *name != own).map(|name| live[name]);
            reports.entry(address).or_default().push(demand);
        }
        reports
    }

    async fn report(&self, keeper: Option<net::SocketAddr>, demands: Vec<rate_limit::Demand>) {
        let shares = match keeper {
            Some(address) => self.client.report(address, demands).await.unwrap_or_default(),
            None => self.keep(&demands),
        };
        self.shared.limiter().apply_shares(&shares, self.shared.now());
    }

    fn keep(&self, demands: &[rate_limit::Demand]) -> Vec<rate_limit::Share> {
        let (view, now) = (self.shared.view(), self.shared.now());
        let own = self.shared.membership().own().daemon.clone();
        let limited = demands
            .iter()
            .filter_map(|demand| view.rate(&demand.organisation).map(|limit| (demand, limit)));
        let mut keeper = self.shared.allocator();
        limited.map(|(demand, limit)| keeper.allocate(&own, demand, limit, now)).collect()
    }
}
