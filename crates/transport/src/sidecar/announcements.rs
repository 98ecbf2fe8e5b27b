//! Registration of local backend servers: announcements, heartbeats, departures and expired leases.

use std::net;
use std::sync;
use std::time;

use lynxmast_protocol::announce;
use lynxmast_state::admission;
use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::ids;
use lynxmast_state::member;
use lynxmast_state::policy::service;

use crate::sidecar;
use crate::sidecar::departure_error;
use crate::upstream;
use crate::upstream::lease;

/// Time for which the response to a heartbeat or departure waits for the registry. A backend server waits
/// for at most a second.
const REGISTRY_WAIT_MAX: time::Duration = time::Duration::from_millis(800);

impl<C: clock::Clock> sidecar::Sidecar<C> {
    /// Processes an announcement or heartbeat of a local backend server and renews its lease. Waits a
    /// short time if the backend server may have departed from an earlier process of the daemon.
    ///
    /// # Errors
    ///
    /// Returns the reason if the announcement is rejected.
    pub async fn announce(
        &self,
        announcement: &announce::Announcement,
        sender: net::IpAddr,
    ) -> Result<announce::Lease, String> {
        if announcement.instance.is_some() {
            self.await_history(announcement.incarnation).await?;
        }
        self.register(announcement, sender)
    }

    fn register(
        &self,
        announcement: &announce::Announcement,
        sender: net::IpAddr,
    ) -> Result<announce::Lease, String> {
        if announcement.address.ip() != sender {
            let reason = format!("{} is not the sender's address {sender}", announcement.address);
            return Err(reason);
        }
        if self.is_closing() {
            return Err("this daemon is shutting down".into());
        }
        self.check_departed(announcement)?;
        let policy = self.shared.policy();
        let service = policy
            .service(&announcement.service)
            .ok_or_else(|| format!("the policy has no service '{}' yet", announcement.service))?;
        let lease = lease::Lease {
            incarnation: announcement.incarnation,
            instance: announcement.instance.clone(),
            sequence: announcement.sequence,
            slots: announcement.slots,
            renewed: self.shared.now(),
        };
        self.renew(announcement, lease, service)?;
        let lease_ms = self.lease_duration.as_millis() as u64;
        let heartbeat_ms = self.heartbeat_interval.as_millis() as u64;
        Ok(announce::Lease { lease_ms, heartbeat_ms })
    }

    fn check_departed(&self, announcement: &announce::Announcement) -> Result<(), String> {
        let Some(instance) = &announcement.instance else { return Ok(()) };
        if self.departures.contains(instance, announcement.incarnation) {
            return Err(format!("'{instance}' has announced its departure"));
        }
        if !self.unknown_history(announcement.incarnation).is_zero() {
            return Err(format!("'{instance}' may have departed before this process started"));
        }
        Ok(())
    }

    /// Returns the time for which an incarnation may not be registered, as it may have departed from an
    /// earlier process of the daemon.
    fn unknown_history(&self, incarnation: ids::Incarnation) -> time::Duration {
        let now = self.shared.now();
        self.shared.membership().departures().wait(incarnation, now)
    }

    /// Waits a short time for the departures that earlier processes of the daemon have acknowledged, if
    /// `incarnation` may be among them.
    ///
    /// # Errors
    ///
    /// Returns an error if heartbeats begin to be accepted without that knowledge meanwhile: this one
    /// arrived before.
    async fn await_history(&self, incarnation: ids::Incarnation) -> Result<(), String> {
        let wait = self.unknown_history(incarnation).min(REGISTRY_WAIT_MAX);
        if wait.is_zero() {
            return Ok(());
        }
        self.departures.await_known(wait).await;
        let now = self.shared.now();
        match self.shared.membership().departures().is_history_over(now) {
            true => Err("the heartbeat may have been sent before this process started".into()),
            false => Ok(()),
        }
    }

    /// Waits a short time until the registry has a departure, so that it binds the next process of the
    /// daemon whatever happens to this one and to its peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry does not have it in time; it must not be acknowledged then.
    async fn await_stored(
        &self,
        departure: &member::Departure,
    ) -> Result<(), departure_error::DepartureError> {
        let member::Departure { instance, incarnation } = departure;
        if self.departures.await_stored(instance, *incarnation, REGISTRY_WAIT_MAX).await {
            return Ok(());
        }
        metrics::counter!("lynxmast_departures_unacknowledged_total").increment(1);
        Err(departure_error::DepartureError::NotStored)
    }

    fn renew(
        &self,
        announcement: &announce::Announcement,
        lease: lease::Lease,
        service: &service::Service,
    ) -> Result<(), String> {
        let address = announcement.address;
        let id = ids::UpstreamId { service: announcement.service.clone(), address };
        let Some(existing) = self.find_upstream(&id) else {
            log::info!(
                event = "upstream-registered",
                upstream:% = id,
                incarnation = lease.incarnation,
                slots = lease.slots;
                "local upstream registered"
            );
            let limits = admission_limits(service, lease.slots);
            let clock = self.shared.clock.clone();
            let upstream = upstream::Upstream::new(id.clone(), limits, lease, clock);
            upstream.pool.set_limit(service.connections);
            self.write_upstreams().insert(id, sync::Arc::new(upstream));
            self.publish();
            return Ok(());
        };
        let previous = existing.lease.newest();
        if announcement.incarnation < previous.incarnation {
            let reason =
                format!("a newer incarnation has announced itself ({})", previous.incarnation);
            return Err(reason);
        }
        if announcement.incarnation == previous.incarnation && existing.lease.leaving().is_some() {
            // It stays drained, but lives on until it has run its requests.
            existing.renew(lease);
            return Ok(());
        }
        if announcement.incarnation == previous.incarnation && existing.is_draining() {
            return Err("this incarnation has announced its departure".into());
        }
        if announcement.incarnation == previous.incarnation && lease.sequence < previous.sequence {
            return Err(format!("a newer announcement was received ({})", previous.sequence));
        }
        let (incarnation, slots) = (lease.incarnation, lease.slots);
        existing.renew(lease);
        if (previous.incarnation, previous.slots) != (incarnation, slots) {
            existing.set_limits(admission_limits(service, slots));
            self.publish();
        }
        Ok(())
    }

    /// Processes a departure: drains the upstream at once and returns the number of its requests in
    /// flight, which is 0 if the upstream is unknown. Waits a short time until the departure is stored.
    ///
    /// # Errors
    ///
    /// Returns an error if another incarnation is serving at the address, or if the departure is not
    /// stored in time.
    pub async fn depart(
        &self,
        departure: &announce::Departure,
    ) -> Result<announce::DrainStatus, departure_error::DepartureError> {
        let named = departure
            .instance
            .clone()
            .map(|instance| member::Departure { instance, incarnation: departure.incarnation });
        if let Some(named) = &named {
            self.departures.record(named.clone());
        }
        let drained = self.drain(departure);
        let status = drained.map_err(departure_error::DepartureError::Rejected)?;
        if let Some(named) = &named {
            self.await_stored(named).await?;
        }
        Ok(status)
    }

    fn drain(&self, departure: &announce::Departure) -> Result<announce::DrainStatus, String> {
        let id = ids::UpstreamId { service: departure.service.clone(), address: departure.address };
        let Some(upstream) = self.find_upstream(&id) else {
            return Ok(announce::DrainStatus { in_flight: 0 });
        };
        let incarnation = upstream.lease.newest().incarnation;
        if departure.incarnation != incarnation {
            return Err(format!("departure rejected: the serving incarnation is {incarnation}"));
        }
        if !upstream.is_draining() {
            upstream.drain();
            self.publish();
        }
        let in_flight = upstream.load(self.shared.now()).in_use;
        Ok(announce::DrainStatus { in_flight })
    }

    /// Processes the departure of a named backend server, whether or not it has announced itself. Waits a
    /// short time until the departure is stored.
    ///
    /// No incarnation up to the newest announced one accepts new requests. If none has announced
    /// itself, the limit is `wall_time` in milliseconds since the Unix epoch, so it covers all that
    /// use their start time as incarnation and have started by then.
    ///
    /// # Errors
    ///
    /// Returns an error if the departure is not stored in time. It takes effect at once in any case.
    pub async fn depart_instance(
        &self,
        instance: &ids::InstanceName,
        wall_time: time::SystemTime,
    ) -> Result<(), departure_error::DepartureError> {
        let departure = self.drain_instance(instance, wall_time);
        self.await_stored(&departure).await
    }

    fn drain_instance(
        &self,
        instance: &ids::InstanceName,
        wall_time: time::SystemTime,
    ) -> member::Departure {
        let since_epoch = wall_time.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let now_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let is_named = |upstream: &sync::Arc<upstream::Upstream<C>>| {
            upstream.lease.newest().instance.as_ref() == Some(instance)
        };
        let existing: Vec<_> = self.upstreams().into_iter().filter(is_named).collect();
        let newest = existing.iter().map(|upstream| upstream.lease.newest().incarnation).max();
        let incarnation = newest.unwrap_or(now_ms);
        let departure = member::Departure { instance: instance.clone(), incarnation };
        self.departures.record(departure.clone());
        let mut is_changed = false;
        for upstream in existing.iter().filter(|upstream| !upstream.is_draining()) {
            upstream.drain();
            is_changed = true;
        }
        if is_changed {
            self.publish();
        }
        departure
    }

    /// Does periodic work: drains and removes upstreams whose lease has expired or whose service is
    /// no longer in the policy, applies changed limits, counts overdue requests as failed, admits
    /// waiting requests, closes expired idle connections and abandons stalled exchanges.
    pub fn tick(&self) {
        let now = self.shared.now();
        self.departures.expire();
        let policy = self.shared.policy();
        let mut obsolete = Vec::new();
        let mut is_changed = false;
        for upstream in self.upstreams() {
            let service = policy.service(&upstream.id.service);
            let Some(service) =
                service.filter(|_| !upstream.lease.is_expired(self.lease_duration, now))
            else {
                obsolete.push(upstream);
                continue;
            };
            let lease = upstream.lease.newest();
            // The departure was recorded by an earlier process, and learned after the announcement.
            let departed =
                |name: &ids::InstanceName| self.departures.contains(name, lease.incarnation);
            if !upstream.is_draining() && lease.instance.as_ref().is_some_and(departed) {
                upstream.drain();
                is_changed = true;
            }
            let limits = admission_limits(service, lease.slots);
            is_changed |= limits.slots != upstream.limits().slots;
            upstream.set_limits(limits);
            upstream.pool.set_limit(service.connections);
            upstream.pool.close_expired(now);
            upstream.fail_overdue_requests(now);
            upstream.admit_waiting(now);
        }
        if is_changed {
            self.publish();
        }
        let removable = obsolete.into_iter().filter(|upstream| {
            upstream.drain();
            upstream.load(now).in_use == 0
        });
        self.remove_upstreams(removable.map(|upstream| upstream.id.clone()).collect());
        let stalled = self.stall_monitor.sweep(now);
        metrics::counter!("lynxmast_slow_readers_total").increment(stalled as u64);
    }

    fn remove_upstreams(&self, ids: Vec<ids::UpstreamId>) {
        if ids.is_empty() {
            return;
        }
        let mut upstreams = self.write_upstreams();
        ids.iter().for_each(|id| drop(upstreams.shift_remove(id)));
        drop(upstreams);
        for upstream in ids {
            self.shared.record_event(event::Kind::UpstreamGone { upstream });
        }
        self.publish();
    }

    /// Publishes the upstreams in the daemon's own membership record.
    pub(super) fn publish(&self) {
        let records: Vec<member::Upstream> =
            self.upstreams().iter().map(|u| membership_record(u)).collect();
        let mut membership = self.shared.membership();
        let before = membership.own_record().upstreams.clone();
        membership.update_own_record(|own| own.upstreams = records.clone());
        drop(membership);
        for record in records.iter().filter(|record| !before.contains(record)) {
            let upstream = record.id.clone();
            self.shared.record_event(if record.draining {
                event::Kind::UpstreamDraining { upstream }
            } else {
                event::Kind::UpstreamServing { upstream }
            });
        }
        self.shared.sync_router();
    }
}

fn admission_limits(service: &service::Service, announced: Option<u32>) -> admission::Limits {
    admission::Limits {
        slots: announced.map_or(service.slots, |slots| slots.clamp(1, service.slots)),
        queue: service.queue,
        max_wait: service.max_wait,
        ramp: service.ramp,
    }
}

fn membership_record<C: clock::Clock>(upstream: &upstream::Upstream<C>) -> member::Upstream {
    let lease = upstream.lease.newest();
    member::Upstream {
        id: upstream.id.clone(),
        slots: upstream.limits().slots,
        incarnation: lease.incarnation,
        draining: upstream.is_draining(),
    }
}
