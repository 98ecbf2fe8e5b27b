//! Borrows tokens of quotas from their owners, for the requests at this daemon's ingress.

use std::net;
use std::sync;
use std::time;

use indexmap::IndexMap;
use indexmap::IndexSet;
use lynxmast_state::clock;
use lynxmast_state::quota::message;
use lynxmast_state::quota::spender;
use lynxmast_state::shared_state;
use lynxmast_transport::quota_signals;
use rand::seq::IteratorRandom;
use tokio_util::sync::CancellationToken;

use crate::control_client;

/// Sends the asks that are due to the owners of the quotas.
#[derive(Debug)]
pub struct QuotaBorrower<C: clock::Clock> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Client for control messages to other daemons.
    pub client: sync::Arc<control_client::ControlClient>,
    /// Signals of the ingress.
    pub signals: sync::Arc<quota_signals::QuotaSignals>,
    /// Owners to which a message is on its way.
    pub busy: sync::Mutex<IndexSet<net::SocketAddr>>,
    /// Owners that did not respond, with the time until which asks are relayed by other daemons.
    pub unreachable: sync::Mutex<IndexMap<net::SocketAddr, time::Instant>>,
}

/// Time for which asks are relayed after an owner did not respond. The path to it may be cut while
/// other daemons reach it.
const RELAY_TIME: time::Duration = time::Duration::from_secs(3);
/// Interval of the periodic work. The owner detects pauses by it.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(500);

impl<C: clock::Clock> QuotaBorrower<C> {
    /// Sends asks whenever they are due, until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let borrower = sync::Arc::new(self);
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = borrower.signals.ask.notified() => borrower.send_asks(),
                _ = ticks.tick() => borrower.tick(),
            }
        }
    }

    fn tick(&self) {
        let now = self.shared.boot_time();
        self.shared.quota_owner().tick(now);
        let changes = self.shared.spender().changes(now);
        let policy = self.shared.policy().version;
        for change in changes {
            log::info!(
                event = if change.is_limited { "quota-exceeded" } else { "quota-kept" },
                organisation = &*change.organisation,
                rate = change.limit.rate,
                burst = change.limit.burst,
                rejected = change.rejected,
                owner = if change.is_unreachable { "no-response" } else { "responds" },
                policy;
                ""
            );
        }
    }

    /// Sends the asks that are due, one message to each owner. Those of an owner to which a message
    /// is on its way wait for its response.
    fn send_asks(self: &sync::Arc<Self>) {
        let sent = self.shared.boot_time();
        let asks = self.shared.spender().asks(sent);
        if asks.is_empty() {
            return;
        }
        let mut by_owner: IndexMap<Option<net::SocketAddr>, Vec<message::Ask>> = IndexMap::new();
        for ask in asks {
            let now = self.shared.now();
            let owner = self.shared.membership().place(&ask.organisation, now).control;
            by_owner.entry(owner).or_default().push(ask);
        }
        for (owner, mut asks) in by_owner {
            let Some(address) = owner else {
                let grants = self.lend_locally(&asks);
                self.apply(&asks, &grants, sent);
                continue;
            };
            let later = asks.split_off(asks.len().min(message::ASKS_MAX));
            let is_free = self.lock_busy().insert(address);
            self.shared.spender().postpone(if is_free { &later } else { &asks });
            if !is_free {
                self.shared.spender().postpone(&later);
                continue;
            }
            let borrower = self.clone();
            tokio::spawn(async move { borrower.borrow_from(address, asks, sent).await });
        }
    }

    fn lend_locally(&self, asks: &[message::Ask]) -> Vec<message::Grant> {
        let own = self.shared.membership().own_record().daemon.clone();
        asks.chunks(message::ASKS_MAX).flat_map(|asks| self.shared.lend(&own, asks)).collect()
    }

    async fn borrow_from(
        &self,
        owner: net::SocketAddr,
        asks: Vec<message::Ask>,
        sent: time::Instant,
    ) {
        let relay = self.relay_to(owner);
        let response = async {
            match relay {
                Some(relay) => self.client.relay_lend(relay, owner, asks.clone()).await,
                None => self.client.lend(owner, asks.clone()).await,
            }
        };
        // A response after the timeout is dropped, as the ingress may have asked again by then.
        let response = tokio::time::timeout(spender::ASK_TIMEOUT, response).await;
        let is_answered = matches!(response, Ok(Ok(_)));
        let grants = response.ok().and_then(Result::ok).unwrap_or_default();
        let result = if grants.is_empty() { "none" } else { "granted" };
        let path = if relay.is_some() { "relay" } else { "direct" };
        metrics::counter!("lynxmast_quota_asks_total", "result" => result, "path" => path)
            .increment(1);
        if !is_answered {
            let until = self.shared.now() + RELAY_TIME;
            lock(&self.unreachable).insert(relay.unwrap_or(owner), until);
        }
        self.lock_busy().swap_remove(&owner);
        self.apply(&asks, &grants, sent);
    }

    fn apply(&self, asks: &[message::Ask], grants: &[message::Grant], sent: time::Instant) {
        let now = self.shared.boot_time();
        self.shared.spender().apply(asks, grants, sent, now);
        self.signals.granted.notify_waiters();
        // Requests may have arrived, or asks may have been postponed, since the ask was sent.
        self.signals.ask.notify_one();
    }

    /// Returns the control address of a random daemon that is to relay asks to `owner`; `None` if the
    /// owner is asked directly.
    fn relay_to(&self, owner: net::SocketAddr) -> Option<net::SocketAddr> {
        let now = self.shared.now();
        let unreachable: Vec<net::SocketAddr> = {
            let mut unreachable = lock(&self.unreachable);
            unreachable.retain(|_, until| *until > now);
            unreachable.keys().copied().collect()
        };
        if !unreachable.contains(&owner) {
            return None;
        }
        let membership = self.shared.membership();
        let own = membership.own_record().control;
        let addresses = membership.live_records(now).map(|record| record.control);
        let is_usable =
            |address: &net::SocketAddr| *address != own && !unreachable.contains(address);
        addresses.filter(is_usable).choose(&mut rand::rng())
    }

    fn lock_busy(&self) -> sync::MutexGuard<'_, IndexSet<net::SocketAddr>> {
        lock(&self.busy)
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
