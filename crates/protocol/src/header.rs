//! Names of HTTP headers, with who sets and who reads each.

/// Prefix of all headers that belong to lynxmast. Callers' and backend servers' headers with this
/// prefix are removed, but for the ones documented as theirs.
pub const PREFIX: &str = "lynxmast-";

/// Caller to entry: the organisation's key.
pub const KEY: &str = "lynxmast-key";
/// Caller to entry: time in milliseconds that the caller waits; shortens the route's deadline.
pub const TIMEOUT_MS: &str = "lynxmast-timeout-ms";
/// Caller to entry: marks the request as one that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Entry to caller: `answered`, `not-run` or `may-have-run`.
pub const OUTCOME: &str = "lynxmast-outcome";
/// Entry to caller: the reason for an outcome that is not an answer.
pub const REASON: &str = "lynxmast-reason";

/// Entry to gate: the fleet's shared secret.
pub const FLEET: &str = "lynxmast-fleet";
/// Entry to gate: service of the request.
pub const SERVICE: &str = "lynxmast-service";
/// Entry to gate: address of the upstream.
pub const UPSTREAM: &str = "lynxmast-upstream";
/// Entry to gate: organisation that the request is counted for.
pub const ORGANISATION: &str = "lynxmast-organisation";
/// Entry to gate, gate to backend server: microseconds left until the deadline.
pub const LEFT_US: &str = "lynxmast-left-us";
/// Entry to gate and back: the sender's policy version.
pub const POLICY: &str = "lynxmast-policy";

/// Entry to gate: `true` if the request may be run more than once.
pub const IDEMPOTENT: &str = "lynxmast-idempotent";

/// Entry to gate: present if a backend server has been asked before for the same request.
pub const REPEAT: &str = "lynxmast-repeat";
/// Entry to gate: how doubted the upstream may be, absent for not at all.
pub const RISK: &str = "lynxmast-risk";
/// Entry to gate: rank of the route, absent for the most urgent.
pub const RANK: &str = "lynxmast-rank";
/// Entry to gate: microseconds until an answer is worth less to the caller.
pub const OBJECTIVE_US: &str = "lynxmast-objective-us";

/// Gate to entry: likelihood in percent that the upstream is failing.
pub const DOUBT: &str = "lynxmast-doubt";
/// Gate to entry: present if an error follows the failure of a call that the backend server made.
pub const OF_CALL: &str = "lynxmast-of-call";
/// Gate to entry: load of the upstream, see `lynxmast_state::load`.
pub const LOAD: &str = "lynxmast-load";
/// Gate to entry: microseconds from hand-over to the answer's head.
pub const TOOK_US: &str = "lynxmast-took-us";

/// Gate to backend server and back: id of the exchange. A backend server that returns it lets
/// the gate use the connection again.
pub const EXCHANGE: &str = "lynxmast-exchange";
