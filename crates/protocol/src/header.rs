//! Names of HTTP headers, with the sender and the receiver of each.

/// Prefix of all lynxmast headers. Headers with this prefix are removed from the messages of
/// callers and backend servers, except for those documented as set by them.
pub const PREFIX: &str = "lynxmast-";

/// Caller to ingress: key that identifies the organisation.
pub const ORGANISATION_KEY: &str = "lynxmast-key";
/// Caller to ingress: timeout of the caller in milliseconds; shortens the route's deadline.
pub const TIMEOUT_MS: &str = "lynxmast-timeout-ms";
/// Caller to ingress: marks the request as one that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Ingress to caller: `answered`, `not-run` or `may-have-run`.
pub const OUTCOME: &str = "lynxmast-outcome";
/// Ingress to caller: reason for an outcome other than `answered`.
pub const REASON: &str = "lynxmast-reason";

/// Ingress to sidecar: the fleet's shared secret.
pub const FLEET_SECRET: &str = "lynxmast-fleet";
/// Ingress to sidecar: service of the request.
pub const SERVICE: &str = "lynxmast-service";
/// Ingress to sidecar: address of the upstream.
pub const UPSTREAM: &str = "lynxmast-upstream";
/// Ingress to sidecar: organisation that the request is accounted to.
pub const ORGANISATION: &str = "lynxmast-organisation";
/// Ingress to sidecar, sidecar to backend server: microseconds left until the deadline.
pub const TIME_LEFT_US: &str = "lynxmast-left-us";
/// Ingress to sidecar and back: the sender's policy version.
pub const POLICY_VERSION: &str = "lynxmast-policy";

/// Ingress to sidecar: `true` if the sidecar may send the request a second time, on a new
/// connection.
pub const MAY_RESEND: &str = "lynxmast-idempotent";

/// Ingress to sidecar: present if another sidecar was asked for the request before.
pub const REDIRECTED: &str = "lynxmast-redirected";
/// Ingress to sidecar: present if the request has already been sent to a backend server; the value is
/// [`RETRY_NOT_RUN`] if none can have run it.
pub const RETRY: &str = "lynxmast-repeat";
/// Value of [`RETRY`] if no earlier attempt can have run the request.
pub const RETRY_NOT_RUN: &str = "not-run";
/// Ingress to sidecar: probability that the request is a call made by a backend server while serving
/// a retry, from 0 to 1; absent for 0.
pub const RETRY_PROBABILITY: &str = "lynxmast-repeat-probability";
/// Ingress to sidecar: risk tolerance, that is, how strongly the upstream may be suspected of
/// failing. Absent if a suspected upstream is to be avoided.
pub const RISK: &str = "lynxmast-risk";
/// Ingress to sidecar: rank of the route; absent for rank 0, the highest priority.
pub const RANK: &str = "lynxmast-rank";
/// Ingress to sidecar: microseconds left until the route's response-time objective is missed.
pub const OBJECTIVE_US: &str = "lynxmast-objective-us";
/// Ingress to sidecar: present if the request is a call of a request that is running at a backend
/// server.
pub const CALL: &str = "lynxmast-call";

/// Sidecar to ingress: failure probability of the upstream in percent.
pub const FAILURE_PERCENT: &str = "lynxmast-doubt";
/// Sidecar to ingress: present if an error response follows the failure of a call that the
/// backend server itself made.
pub const DEPENDENCY_FAILED: &str = "lynxmast-of-call";
/// Sidecar to ingress: incarnation of the upstream that crashed while it ran the request.
pub const CRASHED: &str = "lynxmast-crashed";
/// Sidecar to ingress: what the limit of the upstream leaves for further requests, in the format of
/// `lynxmast_state::request_limit`.
pub const ROOM: &str = "lynxmast-room";
/// Sidecar to ingress: incarnation of the upstream that has stated that it is about to leave.
pub const LEAVING_INCARNATION: &str = "lynxmast-leaving-incarnation";
/// Sidecar to ingress: number of retries that the budget of the upstream allows.
pub const RETRIES_LEFT: &str = "lynxmast-retries-left";
/// Sidecar to ingress: load of the upstream, in the format of `lynxmast_state::load`.
pub const LOAD: &str = "lynxmast-load";
/// Sidecar to ingress: microseconds from forwarding the request to receiving the response head.
pub const ELAPSED_US: &str = "lynxmast-took-us";

/// Backend server to sidecar: requests per second that it accepts from the whole fleet.
pub const LIMIT: &str = "lynxmast-limit";
/// Backend server to sidecar: `1` if it is about to leave.
pub const LEAVING: &str = "lynxmast-leaving";
/// Sidecar to backend server and back: id of the exchange. The sidecar reuses a connection only
/// if the backend server returns the id, which proves that the response belongs to the request.
pub const EXCHANGE_ID: &str = "lynxmast-exchange";
