//! Backend server that crashes when it runs certain requests, and restarts at its address.

use std::net;
use std::sync;
use std::time;

use tokio::task as tasks;

use crate::backend;
use crate::crashing_requests;

/// Backend server with a supervisor that restarts it; runs until it is dropped.
#[derive(Debug)]
pub struct CrashingBackend {
    /// Address that each start of the server listens on.
    pub address: net::SocketAddr,
    crashes: Times,
    crashing: crashing_requests::CrashingRequests,
    restart: sync::Arc<tokio::sync::Notify>,
    supervisor: tasks::AbortHandle,
}

/// When a backend server crashes, and how.
#[derive(Debug, Clone)]
pub struct CrashPlan {
    /// Requests with this path, or with this body, crash the server that runs them.
    pub trigger: crashing_requests::Trigger,
    /// Fraction of the runs of these requests that crash the server; the others get a response.
    pub rate: f64,
    /// Whether the server stops responding without closing its connections or its port.
    pub is_silent: bool,
    /// Time from a crash to the next start.
    pub downtime: time::Duration,
}

type Times = sync::Arc<sync::Mutex<Vec<time::Instant>>>;

impl CrashingBackend {
    /// Starts a backend server of `service` and keeps it announced to the daemon at
    /// `announce_address`. Call [`crate::fleet::Fleet::await_upstream`] to wait until it is known.
    pub async fn start(
        service: &str,
        behaviour: backend::Behaviour,
        plan: CrashPlan,
        announce_address: net::SocketAddr,
    ) -> Self {
        let crashing = crashing_requests::CrashingRequests::new(plan.trigger.clone(), plan.rate);
        let behaviour = backend::Behaviour { crash_on: Some(crashing.clone()), ..behaviour };
        let first = backend::Backend::start(service, behaviour.clone()).await;
        let address = first.address;
        let crashes = Times::default();
        let restart = sync::Arc::new(tokio::sync::Notify::new());
        let supervisor = Supervisor {
            service: service.to_owned(),
            behaviour,
            plan,
            announce_address,
            crashes: crashes.clone(),
            restart: restart.clone(),
        };
        let supervisor = tokio::spawn(supervisor.run(first)).abort_handle();
        Self { address, crashes, crashing, restart, supervisor }
    }

    /// Returns the time of each crash that a request has caused.
    pub fn crashes(&self) -> Vec<time::Instant> {
        lock(&self.crashes).clone()
    }

    /// Returns the time of each arrival of a request that may crash the server.
    pub fn arrivals(&self) -> Vec<time::Instant> {
        self.crashing.arrivals()
    }

    /// Crashes the server for a reason that has nothing to do with its requests.
    pub fn crash(&self) {
        self.restart.notify_one();
    }
}

impl Drop for CrashingBackend {
    fn drop(&mut self) {
        self.supervisor.abort();
    }
}

struct Supervisor {
    service: String,
    behaviour: backend::Behaviour,
    plan: CrashPlan,
    announce_address: net::SocketAddr,
    crashes: Times,
    restart: sync::Arc<tokio::sync::Notify>,
}

impl Supervisor {
    async fn run(self, first: backend::Backend) {
        let address = first.address;
        let mut backend = first;
        for incarnation in 2.. {
            backend.keep_announcing(self.announce_address);
            tokio::select! {
                () = backend.crashed() => lock(&self.crashes).push(time::Instant::now()),
                () = self.restart.notified() => {}
            }
            if self.plan.is_silent {
                let silent = backend.silence();
                tokio::time::sleep(self.plan.downtime).await;
                drop(silent);
                drop(backend.close_port().await);
            } else {
                let closed = backend.close_port().await;
                tokio::time::sleep(self.plan.downtime).await;
                drop(closed);
            }
            let behaviour = self.behaviour.clone();
            backend =
                backend::Backend::start_at(&self.service, behaviour, address, incarnation).await;
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
