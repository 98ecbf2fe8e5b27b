//! Administration interface: read-only JSON, health checks and metrics over HTTP.

use std::net;
use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use hyper::body::Incoming;
use lynxmast_coordination::log_follower;
use lynxmast_protocol::admin as api;
use lynxmast_state::byte_budget;
use lynxmast_state::clock;
use lynxmast_state::load_report;
use lynxmast_state::quota::spender;
use lynxmast_state::shared_state;
use lynxmast_transport::client;
use lynxmast_transport::server;
use lynxmast_transport::sidecar;
use metrics_exporter_prometheus as prometheus;

/// Label of the organisations that are not named in the metrics of quotas; a name cannot be empty.
const OTHER_ORGANISATIONS: &str = "";

/// Administration interface of one daemon.
pub struct Admin<C: clock::Clock> {
    /// State shared by the tasks of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Sidecar of the daemon.
    pub sidecar: sync::Arc<sidecar::Sidecar<C>>,
    /// State of the policy follower.
    pub follower: sync::Arc<log_follower::FollowerState>,
    /// Metrics of the process; `None` if they are not collected.
    pub metrics: Option<prometheus::PrometheusHandle>,
}

impl<C: clock::Clock> Admin<C> {
    fn status(&self) -> api::Status {
        let membership = self.shared.membership();
        let records = membership.all_records().cloned().collect();
        let own = membership.own_record().clone();
        let source_epoch = membership.source_epoch();
        drop(membership);
        api::Status {
            daemon: own.daemon,
            leaving: self.sidecar.is_shutting_down(),
            policy: own.policy,
            organisations: self.shared.policy().organisation_count(),
            log: self.follower.source_reachable.load(atomic::Ordering::Acquire),
            source_epoch,
            held: Some(self.held()),
            upstreams: self.upstreams(),
            members: records,
            domains: self.domains(),
        }
    }

    fn held(&self) -> api::HeldBytes {
        use byte_budget::Kind::{ReadAhead, Replay, Response};
        self.shared.held_bytes.with(|budget| api::HeldBytes {
            limit: budget.limit(),
            replay: budget.held(Replay),
            response: budget.held(Response),
            read_ahead: budget.held(ReadAhead),
        })
    }

    fn domains(&self) -> Vec<api::Domain> {
        let loads = self.shared.domain_loads();
        let policy = self.shared.policy();
        let router = self.shared.router();
        let mut domains = Vec::new();
        for service in policy.services() {
            let plan = router.plan(&service.name);
            for load in loads.get(&load_report::tag(&service.name)).into_iter().flatten() {
                domains.push(api::Domain {
                    service: service.name.clone(),
                    domain: load.domain.clone(),
                    demand: load.demand,
                    capacity: Some(load.capacity()).filter(|_| !load.service_time.is_zero()),
                    slots: load.slots,
                    occupied: load.occupied,
                    age_ms: load.age.as_millis() as u64,
                    round_trip_ms: load.round_trip.as_secs_f64() * 1000.0,
                    receives: plan.map_or(0.0, |plan| plan.fraction_to(&load.domain)),
                });
            }
        }
        domains
    }

    fn upstreams(&self) -> Vec<api::Upstream> {
        let now = self.shared.now();
        let upstreams = self.sidecar.upstreams();
        let states = upstreams.iter().map(|upstream| api::Upstream {
            id: upstream.id.clone(),
            load: upstream.load(now),
            draining: upstream.is_draining(),
            connections: upstream.pool.open_connections(),
        });
        states.collect()
    }

    fn policy(&self) -> Vec<api::Section> {
        self.shared.with_reducer(|reducer| {
            let sections = reducer.document.sections.iter();
            let section = |(team, section): (&lynxmast_state::ids::TeamName, &_)| api::Section {
                team: team.clone(),
                version: reducer.versions.get(team).copied().unwrap_or(0),
                text: toml::to_string(section).unwrap_or_default(),
            };
            sections.map(section).collect()
        })
    }

    fn edit(&self, id: &str) -> api::EditState {
        self.shared.with_reducer(|reducer| api::EditState {
            verdict: reducer.verdicts.get(id).cloned(),
            next: reducer.next,
        })
    }

    /// Returns whether the router knows an upstream of any service; `true` if the policy has no
    /// services.
    fn has_upstreams(&self) -> bool {
        let policy = self.shared.policy();
        let router = self.shared.router();
        let has_candidates = policy.services().any(|service| router.has_candidates(&service.name));
        has_candidates || policy.services().next().is_none()
    }

    /// Returns whether the daemon can serve callers: the policy is current, no shutdown has started
    /// and upstreams are known.
    fn is_ready(&self) -> bool {
        self.shared.is_current() && !self.sidecar.is_shutting_down() && self.has_upstreams()
    }

    /// Sets the gauges of the requests that are suspected of crashing upstreams.
    fn record_suspects(&self) {
        let (suspected, quarantined) = self.shared.quarantine().counts(self.shared.now());
        metrics::gauge!("lynxmast_suspected_requests").set(suspected as f64);
        metrics::gauge!("lynxmast_quarantined_requests").set(quarantined as f64);
    }

    /// Sets the gauge of the time for which the policy has not been known to be the newest one.
    fn record_confirmation(&self) {
        let age = self.shared.freshness().age(self.shared.boot_time());
        let seconds = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        metrics::gauge!("lynxmast_policy_confirmation_age_seconds").set(seconds);
    }

    /// Sets the gauges of the limits that local upstreams name.
    fn record_limits(&self) {
        for upstream in self.sidecar.upstreams() {
            let limit = upstream.limit().unwrap_or(f64::INFINITY);
            metrics::gauge!("lynxmast_upstream_limit", "upstream" => upstream.id.to_string())
                .set(limit);
        }
    }

    /// Sets the gauges of the bytes that the daemon holds in memory.
    fn record_held_bytes(&self) {
        let budget = self.shared.held_bytes.with(|budget| budget.clone());
        metrics::gauge!("lynxmast_held_bytes_limit").set(budget.limit() as f64);
        for kind in byte_budget::Kind::ALL {
            metrics::gauge!("lynxmast_held_bytes", "kind" => kind.as_str())
                .set(budget.held(kind) as f64);
        }
    }

    /// Sets the gauges of the upstreams that the ingress selects or leaves out.
    fn record_availability(&self) {
        let router = self.shared.router();
        for (service, availability) in router.availability(self.shared.now()) {
            for (state, count) in availability.by_state() {
                metrics::gauge!(
                    "lynxmast_upstreams",
                    "service" => service.to_string(),
                    "state" => state
                )
                .set(count);
            }
        }
    }

    /// Returns status and body of the response to a GET request.
    fn respond(&self, path: &str) -> (http::StatusCode, Bytes) {
        let ok = http::StatusCode::OK;
        if let Some(id) = path.strip_prefix(api::EDITS_PATH) {
            return (ok, client::json(&self.edit(id)));
        }
        match path {
            api::STATUS_PATH => (ok, client::json(&self.status())),
            api::TIMELINE_PATH => (ok, client::json(&self.shared.timeline())),
            api::POLICY_PATH => (ok, client::json(&self.policy())),
            api::METRICS_PATH => {
                self.record_availability();
                self.record_suspects();
                self.record_limits();
                self.record_held_bytes();
                self.record_confirmation();
                metrics::gauge!("lynxmast_quotas_owned")
                    .set(self.shared.quota_owner().len() as f64);
                let text = self.metrics.as_ref().map(prometheus::PrometheusHandle::render);
                let text = text.map(|text| text + &quota_metrics(&self.shared.spender().counts()));
                (ok, Bytes::from(text.unwrap_or_default()))
            }
            api::LIVE_PATH => (ok, Bytes::from_static(b"live\n")),
            api::READY_PATH if self.is_ready() => (ok, Bytes::from_static(b"ready\n")),
            api::READY_PATH => {
                (http::StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n"))
            }
            _ => (http::StatusCode::NOT_FOUND, Bytes::from_static(b"no such path\n")),
        }
    }
}

/// Returns the metrics of quotas in the text format of Prometheus. They are not recorded as other
/// metrics are, as the label of an organisation that is no longer among the busiest would stay.
fn quota_metrics(counts: &[spender::Counts]) -> String {
    let mut text = String::from("# TYPE lynxmast_quota_requests gauge\n");
    for count in counts {
        let name = count.organisation.as_deref().unwrap_or(OTHER_ORGANISATIONS);
        let name = name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
        for (decision, value) in [("admitted", count.admitted), ("rejected", count.rejected)] {
            text += &format!(
                "lynxmast_quota_requests{{organisation=\"{name}\",decision=\"{decision}\"}} {value}\n"
            );
        }
    }
    text
}

impl<C: clock::Clock> server::Handler for Admin<C> {
    type Body = client::FullBody;

    async fn handle(
        &self,
        request: http::Request<Incoming>,
        _: net::SocketAddr,
    ) -> http::Response<client::FullBody> {
        if request.method() != http::Method::GET {
            let text = Bytes::from_static(b"read-only: use GET\n");
            return client::response(http::StatusCode::METHOD_NOT_ALLOWED, text);
        }
        let (status, body) = self.respond(request.uri().path());
        client::response(status, body)
    }
}

#[cfg(test)]
mod tests;
