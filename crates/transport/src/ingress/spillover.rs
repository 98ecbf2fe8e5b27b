//! Load report of this daemon, and the plans of the requests that leave the failure domain.

use std::sync;
use std::time;

use indexmap::IndexMap;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::load_report;
use lynxmast_state::spillover;

use crate::ingress;

/// When the plans were last updated, and what was last logged about them.
#[derive(Debug, Default)]
pub struct PlanUpdates(sync::Mutex<State>);

#[derive(Debug, Default)]
struct State {
    updated: Option<time::Instant>,
    /// Fraction of the requests of each service that left the domain when it was last logged.
    logged: IndexMap<ids::ServiceName, f64>,
}

/// Time between updates.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Change of the fraction that leaves from which it is logged, apart from the first and last request.
const LOGGED_CHANGE_MIN: f64 = 0.2;

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Renews the load report and updates the plans, once per second.
    pub(super) fn update_plans(&self) {
        let now = self.shared.now();
        let mut state = self.spillover.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let elapsed = state.updated.map(|last| now.saturating_duration_since(last));
        if elapsed.is_some_and(|elapsed| elapsed < UPDATE_INTERVAL) {
            return;
        }
        state.updated = Some(now);
        let demands = self.shared.demands();
        self.renew_report(&demands, now);
        let own_domain = self.shared.membership().own_record().domain.clone();
        let loads = self.shared.domain_loads();
        for (service, demand) in demands {
            let loads = loads.get(&load_report::tag(&service)).map_or(&[][..], Vec::as_slice);
            let elapsed = elapsed.unwrap_or(UPDATE_INTERVAL);
            let leaving = self.shared.router().change_plan(&service, |plan| {
                plan.update(&own_domain, loads, &demand.classes, elapsed);
                plan.targets().iter().map(|(_, fraction)| fraction).sum::<f64>()
            });
            state.log_change(&service, &own_domain, leaving.unwrap_or(0.0), loads);
        }
    }

    fn renew_report(
        &self,
        demands: &[(ids::ServiceName, spillover::CallerDemand)],
        now: time::Instant,
    ) {
        let mut services: IndexMap<ids::ServiceName, load_report::ServiceLoad> = IndexMap::new();
        for (service, demand) in demands {
            let load = entry(&mut services, service);
            load.demand = (demand.rate * 10.0).round() as u16;
        }
        for upstream in self.sidecar.upstreams() {
            let observed = upstream.load(now);
            let load = entry(&mut services, &upstream.id.service);
            load.in_use = load.in_use.saturating_add(bounded(observed.in_use));
            load.queued = load.queued.saturating_add(bounded(observed.queued));
            if upstream.is_draining() {
                continue;
            }
            load.slots = load.slots.saturating_add(bounded(observed.slots));
            load.upstreams = load.upstreams.saturating_add(1);
            if let Some(service_time) = upstream.service_time() {
                let millis = u16::try_from(service_time.as_millis()).unwrap_or(u16::MAX).max(1);
                // The slowest of a VM's upstreams of a service.
                load.service_time = load.service_time.max(millis);
            }
        }
        let wall = self.shared.clock.wall().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let services = services.into_values().collect();
        let mut load_reports = self.shared.load_reports();
        load_reports.set_own(&self.own_daemon, wall.as_secs() as u32, services, now);
    }
}

impl State {
    fn log_change(
        &mut self,
        service: &ids::ServiceName,
        own_domain: &str,
        leaving: f64,
        loads: &[spillover::DomainLoad],
    ) {
        metrics::gauge!("lynxmast_leaving_fraction", "service" => service.to_string()).set(leaving);
        let logged = self.logged.get(service).copied().unwrap_or(0.0);
        let has_turned = (leaving > 0.0) != (logged > 0.0);
        if !has_turned && (leaving - logged).abs() < LOGGED_CHANGE_MIN {
            return;
        }
        self.logged.insert(service.clone(), leaving);
        let own = loads.iter().find(|load| &*load.domain == own_domain);
        log::info!(
            event = "spillover",
            service = &**service,
            domain = own_domain,
            leaving,
            demand = own.map(|load| load.demand),
            capacity = own.map(spillover::DomainLoad::capacity),
            age_ms = own.map(|load| load.age.as_millis() as u64);
            "part of the requests that leaves the failure domain changed"
        );
    }
}

fn entry<'a>(
    services: &'a mut IndexMap<ids::ServiceName, load_report::ServiceLoad>,
    service: &ids::ServiceName,
) -> &'a mut load_report::ServiceLoad {
    let new =
        || load_report::ServiceLoad { service: load_report::tag(service), ..Default::default() };
    services.entry(service.clone()).or_insert_with(new)
}

fn bounded(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
