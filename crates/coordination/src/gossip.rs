//! Membership gossip: periodic exchanges with random daemons, and immediate ones for departures.

use std::net;
use std::sync;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::membership;
use lynxmast_state::quarantine;
use lynxmast_state::shared_state;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio_util::sync::CancellationToken;

use crate::control_client;
use crate::discovery;

/// Exchanges membership records with other daemons.
#[derive(Debug)]
pub struct Gossip<C: clock::Clock> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Client for control messages to other daemons.
    pub client: sync::Arc<control_client::ControlClient>,
    /// Addresses of daemons to contact in addition to the known members.
    pub seeds: discovery::Seeds,
}

/// Ticks between rounds that carry load reports. With a round per second, reports of 75 daemons in four
/// failure domains were 2.8 s old in the median.
const TICKS_PER_LOAD_ROUND: u32 = 10;
/// Probability that a round also contacts a seed, so that partitioned groups merge again.
const SEED_PROBABILITY: f64 = 0.1;

impl<C: clock::Clock> Gossip<C> {
    /// Runs gossip rounds and increments this daemon's heartbeat counter until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let gossip = sync::Arc::new(self);
        let mut ticks = 0_u32;
        while stop
            .run_until_cancelled(tokio::time::sleep(membership::TICK_INTERVAL))
            .await
            .is_some()
        {
            ticks = ticks.wrapping_add(1);
            gossip.shared.membership().tick(gossip.shared.now());
            if ticks.is_multiple_of(membership::TICKS_PER_HEARTBEAT) {
                gossip.heartbeat();
            }
            if gossip.shared.quarantine().has_pending() {
                gossip.shared.membership().expedite();
            }
            let round = gossip.shared.membership().next_round(ticks);
            if let Some(round) = round {
                gossip.start_round(round);
            } else if ticks.is_multiple_of(TICKS_PER_LOAD_ROUND) {
                let kind = membership::RoundKind::Update;
                gossip.start_round(membership::Round { kind, fanout: 1 });
            }
        }
    }

    /// Increments this daemon's heartbeat counter and expires members whose heartbeats have
    /// stopped.
    fn heartbeat(&self) {
        let now = self.shared.now();
        let mut membership = self.shared.membership();
        membership.heartbeat();
        let changes = membership.expire(now);
        drop(membership);
        apply_changes(&self.shared, changes);
        self.shared.quarantine().expire(now);
    }

    fn start_round(self: &sync::Arc<Self>, round: membership::Round) {
        for partner in self.partners(round) {
            let gossip = self.clone();
            tokio::spawn(async move { gossip.exchange(partner, round.kind).await });
        }
    }

    /// Returns the addresses for one round: random members, and sometimes one seed. A seed is
    /// always added if too few members are known or this daemon has just started.
    fn partners(&self, round: membership::Round) -> Vec<net::SocketAddr> {
        let mut rng = rand::rng();
        let mut partners = self.shared.membership().gossip_targets(round, &mut rng);
        let needs_seed =
            partners.len() < round.fanout || round.kind == membership::RoundKind::Startup;
        if needs_seed || rng.random_bool(SEED_PROBABILITY) {
            let seeds = self.seeds.lock().unwrap_or_else(sync::PoisonError::into_inner);
            partners.extend(seeds.choose(&mut rng));
        }
        partners
    }

    async fn exchange(&self, partner: net::SocketAddr, kind: membership::RoundKind) {
        let mut opening = self.shared.membership().opening_message(kind);
        let started = self.shared.now();
        opening.suspects = self.shared.quarantine().opening_update(started);
        // Urgent and startup rounds are too frequent for reports that change once per second.
        if matches!(kind, membership::RoundKind::Heartbeat | membership::RoundKind::Update) {
            opening.loads = self.shared.load_reports().update(started);
        }
        let Ok(response) = self.client.exchange(partner, opening).await else {
            metrics::counter!("lynxmast_exchanges_failed_total").increment(1);
            return;
        };
        let now = self.shared.now();
        self.record_round_trip(partner, now.saturating_duration_since(started));
        self.shared.load_reports().merge(&response.loads, now);
        let (mut follow_up, changes) = self.shared.membership().apply(&response, now);
        apply_changes(&self.shared, changes);
        merge_suspects(&self.shared, &response.suspects);
        if follow_up.is_empty() {
            return;
        }
        follow_up.suspects = self.shared.quarantine().opening_update(now);
        let Ok(response) = self.client.exchange(partner, follow_up).await else { return };
        let (_, changes) = self.shared.membership().apply(&response, self.shared.now());
        apply_changes(&self.shared, changes);
    }
}

impl<C: clock::Clock> Gossip<C> {
    /// Records the round trip of a control message to a daemon. The first one to it includes the time
    /// to connect, on either side of a domain's border.
    fn record_round_trip(&self, partner: net::SocketAddr, round_trip: time::Duration) {
        let now = self.shared.now();
        let membership = self.shared.membership();
        let domain = membership.all_records().find(|record| record.control == partner);
        let Some(domain) = domain.map(|record| record.domain.clone()) else { return };
        drop(membership);
        self.shared.load_reports().record_round_trip(&domain, round_trip, now);
    }
}

/// Merges requests that another daemon suspects of crashing upstreams, and records in the timeline
/// which ones are quarantined by that.
pub fn merge_suspects<C: clock::Clock>(
    shared: &shared_state::SharedState<C>,
    update: &quarantine::SuspectUpdate,
) {
    let quarantined = shared.quarantine().merge(update, shared.now());
    for fingerprint in quarantined {
        shared.record_event(event::Kind::RequestQuarantined { fingerprint });
    }
}

/// Records membership changes in the timeline and updates the router's serving upstreams.
pub fn apply_changes<C: clock::Clock>(
    shared: &shared_state::SharedState<C>,
    changes: Vec<membership::Change>,
) {
    for change in changes {
        let kind = match change {
            membership::Change::DaemonJoined(daemon) => event::Kind::DaemonJoined { daemon },
            membership::Change::DaemonLeaving(daemon) => event::Kind::DaemonLeaving { daemon },
            membership::Change::DaemonGone(daemon) => event::Kind::DaemonGone { daemon },
            membership::Change::UpstreamServing(upstream) => {
                event::Kind::UpstreamServing { upstream }
            }
            membership::Change::UpstreamDraining(upstream) => {
                event::Kind::UpstreamDraining { upstream }
            }
            membership::Change::UpstreamGone(upstream) => event::Kind::UpstreamGone { upstream },
        };
        shared.record_event(kind);
    }
    shared.sync_router();
}
