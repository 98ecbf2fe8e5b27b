//! Publishes restores of the policy source from older copies to the fleet and to operators.

use std::sync;

use lynxmast_state::clock;
use lynxmast_state::event;
use lynxmast_state::ids;
use lynxmast_state::shared_state;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Watches the epoch of the policy source.
#[derive(Debug)]
pub struct RestoreMonitor<C: clock::Clock> {
    /// State shared by all parts of the daemon.
    pub shared: sync::Arc<shared_state::SharedState<C>>,
    /// Newest epoch seen in responses of the source; `None` before the first.
    pub epochs: watch::Receiver<Option<ids::SourceEpoch>>,
}

impl<C: clock::Clock> RestoreMonitor<C> {
    /// Publishes each new epoch until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut known = None;
        loop {
            let newest = *self.epochs.borrow_and_update();
            if let Some(epoch) = newest {
                self.shared.membership().advance_source_epoch(epoch);
                metrics::gauge!("lynxmast_source_epoch").set(epoch as f64);
            }
            if let (Some(from), Some(to)) = (known, newest) {
                self.shared.record_event(event::Kind::SourceRestored { from, to });
            }
            known = newest;
            match stop.run_until_cancelled(self.epochs.changed()).await {
                Some(Ok(())) => {}
                // The source is gone, as the daemon stops.
                Some(Err(_)) | None => return,
            }
        }
    }
}
