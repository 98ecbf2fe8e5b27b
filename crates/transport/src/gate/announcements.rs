//! What the gate hears from backend servers: announcements, heartbeats, departures, silence.

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

use crate::gate;
use crate::gate::departed;
use crate::upstream;

impl<C: clock::Clock> gate::Gate<C> {
    /// Takes an announcement or heartbeat of a backend server beside this daemon.
    ///
    /// # Errors
    ///
    /// Says why an announcement is refused.
    pub fn announce(
        &self,
        announcement: &announce::Announcement,
        from: net::IpAddr,
    ) -> Result<announce::Lease, String> {
        if announcement.address.ip() != from {
            let reason = format!("{} is not the sender's address {from}", announcement.address);
            return Err(reason);
        }
        if self.is_closing() {
            return Err("this daemon is shutting down".into());
        }
        self.check_departed(announcement)?;
        let view = self.shared.view();
        let service = view
            .service(&announcement.service)
            .ok_or_else(|| format!("the policy has no service '{}' yet", announcement.service))?;
        let lease = upstream::Lease {
            incarnation: announcement.incarnation,
            instance: announcement.instance.clone(),
            sequence: announcement.sequence,
            slots: announcement.slots,
            renewed: self.shared.now(),
        };
        self.renew(announcement, lease, service)?;
        let lease_ms = self.lease.as_millis() as u64;
        let heartbeat_ms = self.heartbeat.as_millis() as u64;
        Ok(announce::Lease { lease_ms, heartbeat_ms })
    }

    fn check_departed(&self, announcement: &announce::Announcement) -> Result<(), String> {
        let Some(instance) = &announcement.instance else { return Ok(()) };
        if self.departed().covers(instance, announcement.incarnation) {
            return Err(format!("'{instance}' has announced its departure"));
        }
        Ok(())
    }

    fn departed(&self) -> sync::MutexGuard<'_, departed::Departed> {
        self.departed.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn renew(
        &self,
        announcement: &announce::Announcement,
        lease: upstream::Lease,
        service: &service::Service,
    ) -> Result<(), String> {
        let address = announcement.address;
        let id = ids::UpstreamId { service: announcement.service.clone(), address };
        let Some(known) = self.find(&id) else {
            let limits = limits(service, lease.slots);
            let clock = self.shared.clock.clone();
            let upstream = upstream::Upstream::new(id.clone(), limits, lease, clock);
            upstream.pool.set_limit(service.connections);
            self.write().insert(id, sync::Arc::new(upstream));
            self.publish();
            return Ok(());
        };
        let old = known.lease();
        if announcement.incarnation < old.incarnation {
            let reason = format!("incarnation {} is newer", old.incarnation);
            return Err(reason);
        }
        if announcement.incarnation == old.incarnation && known.is_draining() {
            return Err("this incarnation has announced its departure".into());
        }
        if announcement.incarnation == old.incarnation && lease.sequence < old.sequence {
            return Err(format!("announcement {} is newer", old.sequence));
        }
        let (incarnation, slots) = (lease.incarnation, lease.slots);
        known.renew(lease);
        if (old.incarnation, old.slots) != (incarnation, slots) {
            known.set_limits(limits(service, slots));
            self.publish();
        }
        Ok(())
    }

    /// Takes a departure: refuses new work at once and tells how much is still in flight.
    ///
    /// # Errors
    ///
    /// Says why a departure is refused.
    pub fn depart(&self, departure: &announce::Departure) -> Result<announce::DrainStatus, String> {
        if let Some(instance) = &departure.instance {
            self.departed().note(instance, departure.incarnation);
        }
        let id = ids::UpstreamId { service: departure.service.clone(), address: departure.address };
        let Some(upstream) = self.find(&id) else {
            return Ok(announce::DrainStatus { in_flight: 0 });
        };
        let incarnation = upstream.lease().incarnation;
        if departure.incarnation != incarnation {
            return Err(format!("incarnation {incarnation} is the one that is serving"));
        }
        if !upstream.is_draining() {
            upstream.drain();
            self.publish();
        }
        let in_flight = upstream.load(self.shared.now()).in_use;
        Ok(announce::DrainStatus { in_flight })
    }

    /// Takes the departure of a named backend server, known or not: whatever started before `now`
    /// under that name takes no new work.
    pub fn depart_instance(&self, instance: &ids::InstanceName, wall: time::SystemTime) {
        let since_epoch = wall.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let until = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let is_meant = |upstream: &sync::Arc<upstream::Upstream<C>>| {
            upstream.lease().instance.as_ref() == Some(instance)
        };
        let known: Vec<_> = self.upstreams().into_iter().filter(is_meant).collect();
        let newest = known.iter().map(|upstream| upstream.lease().incarnation).max();
        self.departed().note(instance, newest.unwrap_or(until));
        let mut is_changed = false;
        for upstream in known.iter().filter(|upstream| !upstream.is_draining()) {
            upstream.drain();
            is_changed = true;
        }
        if is_changed {
            self.publish();
        }
    }

    /// Does what is due: lapsed leases, new limits, waiting requests, idle connections.
    pub fn tick(&self) {
        let now = self.shared.now();
        let view = self.shared.view();
        let mut gone = Vec::new();
        let mut is_changed = false;
        for upstream in self.upstreams() {
            let service = view.service(&upstream.id.service);
            let Some(service) = service.filter(|_| !upstream.has_lapsed(self.lease, now)) else {
                gone.push(upstream);
                continue;
            };
            let limits = limits(service, upstream.lease().slots);
            is_changed |= limits.slots != upstream.limits().slots;
            upstream.set_limits(limits);
            upstream.pool.set_limit(service.connections);
            upstream.pool.expire(now);
            upstream.note_overdue(now);
            upstream.start_ready(now);
        }
        if is_changed {
            self.publish();
        }
        let idle = gone.into_iter().filter(|upstream| {
            upstream.drain();
            upstream.load(now).in_use == 0
        });
        self.remove(idle.map(|upstream| upstream.id.clone()).collect());
        let stuck = self.watch.sweep(now);
        metrics::counter!("lynxmast_slow_readers_total").increment(stuck as u64);
    }

    fn remove(&self, gone: Vec<ids::UpstreamId>) {
        if gone.is_empty() {
            return;
        }
        let mut upstreams = self.write();
        gone.iter().for_each(|id| drop(upstreams.shift_remove(id)));
        drop(upstreams);
        for upstream in gone {
            self.shared.record_event(event::Kind::UpstreamGone { upstream });
        }
        self.publish();
    }

    /// Writes the upstreams into the daemon's own membership record.
    pub(super) fn publish(&self) {
        let records: Vec<member::Upstream> = self.upstreams().iter().map(|u| record(u)).collect();
        let mut members = self.shared.membership();
        let before = members.own().upstreams.clone();
        members.update_own(|own| own.upstreams = records.clone());
        drop(members);
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

fn limits(service: &service::Service, announced: Option<u32>) -> admission::Limits {
    admission::Limits {
        slots: announced.map_or(service.slots, |slots| slots.clamp(1, service.slots)),
        queue: service.queue,
        max_wait: service.max_wait,
        ramp: service.ramp,
    }
}

fn record<C: clock::Clock>(upstream: &upstream::Upstream<C>) -> member::Upstream {
    let lease = upstream.lease();
    member::Upstream {
        id: upstream.id.clone(),
        slots: upstream.limits().slots,
        incarnation: lease.incarnation,
        draining: upstream.is_draining(),
    }
}
