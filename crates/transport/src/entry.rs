//! The entry: accepts callers' requests, picks upstreams, retries and answers.

mod attempt;
mod head;
mod lines;
mod outstanding;
mod retries;

use std::net;
use std::sync;
use std::time;

use hyper::body::Incoming;
use indexmap::IndexSet;
use lynxmast_protocol::header as names;
use lynxmast_protocol::header_scheme;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::outcome;
use lynxmast_state::outlier;
use lynxmast_state::policy::view;
use lynxmast_state::retry;
use lynxmast_state::router;
use lynxmast_state::sampling;
use lynxmast_state::shared_state;
use rand::Rng;

use crate::body;
use crate::gate;
use crate::hop;
use crate::peers;
use crate::replay;
use crate::reply;
use crate::server;

pub use outstanding::Outstanding;

/// Entry of one daemon.
#[derive(Debug)]
pub struct Entry<C: clock::Clock> {
    shared: sync::Arc<shared_state::SharedState<C>>,
    gate: sync::Arc<gate::Gate<C>>,
    peers: peers::Peers,
    own: ids::DaemonName,
    identity: Identity,
    /// Chooses the requests answered well that leave a line.
    successes: sampling::Sampler,
}

/// What an entry says of itself to others.
#[derive(Debug, Clone, Default)]
pub struct Identity {
    /// The fleet's secret.
    pub secret: String,
    /// Service of the backend server beside the daemon; empty if none is set.
    pub service: String,
    /// Headers spoken with callers and backend servers.
    pub dialect: sync::Arc<header_scheme::HeaderScheme>,
}

/// One caller's request while it is being served.
#[derive(Debug)]
struct Job {
    decision: view::Decision,
    policy: ids::PolicyVersion,
    idempotent: bool,
    /// Bytes of the body, 0 if it states none.
    size: u64,
    head: http::request::Parts,
    source: replay::Source,
    arrived: time::Instant,
    deadline: time::Instant,
}

impl Job {
    /// The caller's id of the request, or `-`.
    fn id(&self, dialect: &header_scheme::HeaderScheme) -> &str {
        let id = self.head.headers.get(&dialect.exchange_id).and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }

    /// Tells whether a gate may send the request a second time. A budget that the whole fleet
    /// shares does not know of such sends, so that services with one go without.
    fn may_resend(&self) -> bool {
        self.idempotent && self.decision.service.retry_reserve.is_none()
    }

    /// Tells whether another attempt may follow the next one if that fails.
    fn is_expendable(&self, progress: &Progress) -> bool {
        self.idempotent && progress.attempts + 1 < self.decision.route.attempts
    }

    /// How doubted the next upstream may be; `may_probe` tells whether the retry that a probe is
    /// likely to need can be paid for.
    fn risk(&self, progress: &Progress, may_probe: bool) -> outlier::RiskTolerance {
        match progress.insists {
            true if self.idempotent => outlier::RiskTolerance::Any,
            true => outlier::RiskTolerance::Accept,
            false if may_probe && self.is_expendable(progress) => outlier::RiskTolerance::Probe,
            false => outlier::RiskTolerance::Avoid,
        }
    }

    /// Time until an answer is worth less to the caller; `None` if no objective is stated.
    fn objective_left(&self, now: time::Instant) -> Option<time::Duration> {
        let objective = self.decision.route.objective;
        let until = Some(self.arrived + objective).filter(|_| !objective.is_zero())?;
        Some(until.saturating_duration_since(now))
    }
}

/// What kind of attempt one is.
#[derive(Debug, Clone, Copy)]
struct Nature {
    /// Whether a backend server has been asked before.
    repeat: bool,
    /// How doubted the upstream may be.
    risk: outlier::RiskTolerance,
}

/// What the attempts for one request have come to so far.
#[derive(Debug, Default)]
struct Progress {
    tried: IndexSet<net::SocketAddr>,
    /// Attempts that reached a backend server.
    attempts: u32,
    /// Gates asked.
    asked: u32,
    /// Upstreams that their gates doubted.
    doubtful: Vec<net::SocketAddr>,
    /// Whether gates are asked to run the request at upstreams that they doubt.
    insists: bool,
    /// Whether a further attempt was left out because the retry budget was empty.
    is_over_budget: bool,
    /// The last end without proof that the request was not run.
    doubt: Option<retry::AttemptEnd>,
    /// The last end of an attempt.
    last: Option<retry::AttemptEnd>,
}

impl Progress {
    fn note(&mut self, ended: retry::AttemptEnd) {
        self.last = Some(ended);
        self.attempts += u32::from(ended.reached_upstream());
        if matches!(ended, retry::AttemptEnd::MayHaveRun(_)) {
            self.doubt = Some(ended);
        }
    }

    /// Asks the gates that only doubted their upstreams once more, to run the request there all
    /// the same; `false` if none did or they have been asked already.
    fn insist(&mut self) -> bool {
        if self.insists || self.doubtful.is_empty() {
            return false;
        }
        self.insists = true;
        for address in std::mem::take(&mut self.doubtful) {
            self.tried.swap_remove(&address);
        }
        true
    }
}

/// Longest pause before another attempt that follows a second failure.
const PAUSE_MAX: time::Duration = time::Duration::from_millis(25);
/// Gates asked for one request at most.
const ASKED_MAX: u32 = 16;

impl<C: clock::Clock> Entry<C> {
    /// Returns the entry of a daemon with its own `gate`.
    pub fn new(
        shared: sync::Arc<shared_state::SharedState<C>>,
        gate: sync::Arc<gate::Gate<C>>,
        identity: Identity,
    ) -> Self {
        let own = shared.membership().own().daemon.clone();
        let peers = peers::Peers::default();
        let successes = sampling::Sampler::new(lines::SUCCESSES_LEFT_OUT);
        Self { shared, gate, peers, own, identity, successes }
    }

    /// Serves one caller's request; every outcome is an HTTP answer.
    pub async fn serve_caller(
        &self,
        request: http::Request<Incoming>,
    ) -> http::Response<body::AnswerBody<C>> {
        let job = match self.accept(request) {
            Ok(job) => job,
            Err(refusal) => {
                log::info!(event = "request", reason = refusal.as_str(); "not accepted");
                lines::count("", outcome::Outcome::NotRun(refusal));
                return reply::to_caller(outcome::Outcome::NotRun(refusal), &self.identity.dialect);
            }
        };
        let service = job.decision.service.name.clone();
        let mut progress = Progress::default();
        let served = self.serve(&job, &mut progress).await;
        self.log_end(&job, &progress, &served);
        self.measure(&job, &served);
        match served {
            Ok(mut response) => {
                let answered = outcome::Outcome::Answered;
                lines::count(&service, answered);
                let word = http::HeaderValue::from_static(answered.as_str());
                response.headers_mut().insert(names::OUTCOME, word);
                response
            }
            Err(ended) => {
                lines::count(&service, ended.outcome());
                reply::to_caller(ended.outcome(), &self.identity.dialect)
            }
        }
    }

    /// Does what is due: closes connections to gates that are no longer known.
    pub fn tick(&self) {
        let gates: Vec<_> =
            self.shared.membership().all_records().map(|record| record.sidecar).collect();
        self.peers.retain(&gates);
    }

    /// Decides what a request is and whether it is let in.
    fn accept(&self, request: http::Request<Incoming>) -> Result<Job, outcome::Refusal> {
        let now = self.shared.now();
        let (mut head, incoming) = request.into_parts();
        let dialect = &self.identity.dialect;
        let asked = head::Asked::read(&head, dialect)?;
        if !self.shared.is_current() {
            return Err(outcome::Refusal::NoPolicy);
        }
        let view = self.shared.view();
        let key = asked.key.as_deref();
        let decision = view.decide(&asked.host, &asked.path, head.method.as_str(), key)?;
        let size = body_length(&head.headers).unwrap_or(0);
        if size > view.limits.body_size {
            return Err(outcome::Refusal::BodyTooLarge);
        }
        self.check_rate(&decision, now)?;
        let wait =
            asked.timeout.map_or(decision.route.deadline, |t| t.min(decision.route.deadline));
        let idempotent =
            decision.route.idempotent && !head.headers.contains_key(names::IDEMPOTENCY_KEY);
        dialect.sanitise(&mut head.headers, &self.identity.service);
        hop::strip_own_headers(&mut head.headers);
        hop::strip_hop_headers(&mut head.headers);
        head::normalise(&mut head, &asked);
        let source = replay::Source::new(incoming, decision.service.stall);
        let policy = view.version;
        let (arrived, deadline) = (now, now + wait);
        Ok(Job { decision, policy, idempotent, size, head, source, arrived, deadline })
    }

    fn check_rate(
        &self,
        decision: &view::Decision,
        now: time::Instant,
    ) -> Result<(), outcome::Refusal> {
        let Some(limit) = decision.rate else { return Ok(()) };
        let daemons = self.shared.membership().live_records(now).count();
        let admitted = self.shared.limiter().admit(&decision.organisation, limit, daemons, now);
        admitted.then_some(()).ok_or(outcome::Refusal::RateLimited)
    }

    /// Serves a request to its final outcome. A server error is replaced if another
    /// attempt gets a better one, and is the outcome otherwise.
    async fn serve(
        &self,
        job: &Job,
        progress: &mut Progress,
    ) -> Result<http::Response<body::AnswerBody<C>>, retry::AttemptEnd> {
        let service = &job.decision.service;
        self.deposit(service);
        let mut shed = None;
        let outcome = self.attempts(job, progress, &mut shed).await;
        outcome.or_else(|ended| shed.ok_or(ended))
    }

    /// Makes attempts until one is answered or another makes no sense.
    async fn attempts(
        &self,
        job: &Job,
        progress: &mut Progress,
        shed: &mut Option<http::Response<body::AnswerBody<C>>>,
    ) -> Result<http::Response<body::AnswerBody<C>>, retry::AttemptEnd> {
        let service = &job.decision.service;
        loop {
            let first = match self.pick(job, progress) {
                Ok(first) => first,
                // Every upstream has been tried: what the last one said is the answer, at once.
                Err(refusal) => {
                    if progress.insist() {
                        continue;
                    }
                    let refused = progress.last.unwrap_or(retry::AttemptEnd::NotRun(refusal));
                    return Err(progress.doubt.unwrap_or(refused));
                }
            };
            let (address, gate) = (first.candidate.id.address, first.candidate.sidecar);
            let started = self.shared.now();
            let answer = self.attempt(job, first, progress).await;
            self.log_attempt(job, address, gate, started, &answer);
            let ended = match answer {
                Ok(response) if self.may_replace(job, &response, progress) => {
                    *shed = Some(response);
                    progress.note(retry::AttemptEnd::MayHaveRun(outcome::Failure::Shed));
                    continue;
                }
                Ok(response) => return Ok(response),
                Err(ended) => ended,
            };
            progress.note(ended);
            if ended == retry::AttemptEnd::NotRun(outcome::Refusal::Suspected) {
                progress.doubtful.push(address);
            }
            if !self.wants_retry(job, ended, progress.attempts, progress) {
                // A refusal at the end proves nothing about an earlier attempt.
                return Err(progress.doubt.unwrap_or(ended));
            }
            metrics::counter!("lynxmast_retries_total", "service" => service.name.to_string())
                .increment(1);
            if progress.attempts > 1 && ended.reached_upstream() {
                let pause = rand::rng().random_range(time::Duration::ZERO..PAUSE_MAX);
                tokio::time::sleep(pause).await;
            }
        }
    }

    /// Makes one attempt, and a second in parallel when the first is unusually slow and the
    /// request may be run twice.
    async fn attempt(
        &self,
        job: &Job,
        first: Outstanding<C>,
        progress: &mut Progress,
    ) -> Result<http::Response<body::AnswerBody<C>>, retry::AttemptEnd> {
        let risk = job.risk(progress, self.may_probe(job));
        let nature = Nature { repeat: progress.attempts > 0, risk };
        let mut running = std::pin::pin!(self.try_upstream(job, first, nature));
        let Some(patience) = self.hedge_after(job) else { return running.await };
        if let Ok(done) = tokio::time::timeout(patience, &mut running).await {
            return done;
        }
        let Some(second) = self.pick_hedge(job, progress) else { return running.await };
        metrics::counter!("lynxmast_hedges_total").increment(1);
        let hedge = std::pin::pin!(self.try_upstream(job, second, nature));
        match futures::future::select(running, hedge).await {
            futures::future::Either::Left((Ok(response), _))
            | futures::future::Either::Right((Ok(response), _)) => Ok(response),
            futures::future::Either::Left((Err(ended), hedge)) => either(ended, hedge.await),
            futures::future::Either::Right((Err(ended), first)) => either(ended, first.await),
        }
    }

    fn pick(&self, job: &Job, progress: &mut Progress) -> Result<Outstanding<C>, outcome::Refusal> {
        if progress.asked >= ASKED_MAX {
            return Err(outcome::Refusal::NoUpstream);
        }
        let tried: Vec<_> = progress.tried.iter().copied().collect();
        let want = router::Criteria {
            service: &job.decision.service.name,
            floor: job.decision.service.floor,
            floor_share: job.decision.service.floor_share,
            retryable: job.is_expendable(progress) && self.may_probe(job),
            body_size: job.size,
            tried: &tried,
            now: self.shared.now(),
        };
        let mut router = self.shared.router();
        let mut picked = router.pick(&want, &mut rand::rng());
        let lost = retry::AttemptEnd::MayHaveRun(outcome::Failure::ConnectionLost);
        if picked.is_none() && progress.last == Some(lost) {
            // The connection was lost, not the upstream: a new one may reach it again.
            let again = router::Criteria { tried: &[], ..want };
            picked = router.pick(&again, &mut rand::rng());
        }
        drop(router);
        let candidate = picked.ok_or(outcome::Refusal::NoUpstream)?;
        progress.tried.insert(candidate.id.address);
        progress.asked += 1;
        Ok(Outstanding::new(self.shared.clone(), candidate))
    }
}

/// Returns the answer of the other attempt, or the end that says the least about the request.
fn either<T>(
    ended: retry::AttemptEnd,
    other: Result<T, retry::AttemptEnd>,
) -> Result<T, retry::AttemptEnd> {
    other.map_err(|second| match second {
        retry::AttemptEnd::MayHaveRun(_) => second,
        retry::AttemptEnd::NotRun(_) => ended,
    })
}

/// Reads the length that a request states for its body.
fn body_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(http::header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

impl<C: clock::Clock> server::Handler for Entry<C> {
    type Body = body::AnswerBody<C>;

    /// A connection may stay idle for as long as the policy says, and the time for a head counts
    /// from the end of the request before.
    fn limits(&self) -> server::Limits {
        let view = self.shared.view();
        let limits = &view.limits;
        let head_time = limits.head_time.max(limits.idle_time);
        server::Limits { head_size: limits.head_size, head_time }
    }

    async fn handle(
        &self,
        request: http::Request<Incoming>,
        _: net::SocketAddr,
    ) -> http::Response<Self::Body> {
        self.serve_caller(request).await
    }
}
