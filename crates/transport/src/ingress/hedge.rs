//! Outcome of an attempt and its hedge, which run at the same time.

use std::future::Future;
use std::pin;

use futures::future::Either;
use lynxmast_state::retry;

/// Result of an attempt; a response may still be an error.
type AttemptResult<T> = Result<T, retry::AttemptEnd>;

/// Outcome of an attempt and its hedge.
#[derive(Debug, PartialEq)]
pub(super) struct Outcome<T> {
    /// Result to use.
    pub result: AttemptResult<T>,
    /// End of the hedge; `None` if it has a response or has not ended.
    pub hedge_end: Option<retry::AttemptEnd>,
}

/// Waits for the first result of which `is_success` holds. While there is only an error, the other
/// attempt goes on: ending it would waste its work and leave a retry to do it again.
pub(super) async fn first_success<T>(
    primary: impl Future<Output = AttemptResult<T>>,
    hedge: impl Future<Output = AttemptResult<T>>,
    is_success: impl Fn(&T) -> bool,
) -> Outcome<T> {
    let succeeded = |result: &AttemptResult<T>| result.as_ref().is_ok_and(&is_success);
    let (primary, hedge) = (pin::pin!(primary), pin::pin!(hedge));
    let (primary, hedge) = match futures::future::select(primary, hedge).await {
        Either::Left((result, _)) | Either::Right((result, _)) if succeeded(&result) => {
            return Outcome { result, hedge_end: None };
        }
        Either::Left((primary, hedge)) => (primary, hedge.await),
        Either::Right((hedge, primary)) => (primary.await, hedge),
    };
    let hedge_end = hedge.as_ref().err().copied();
    let prefers_hedge = match (&primary, &hedge) {
        (Ok(_), _) => !succeeded(&primary) && succeeded(&hedge),
        (Err(_), Ok(_)) => true,
        (Err(retry::AttemptEnd::MayHaveRun(_)), Err(_)) => false,
        // If any of them may have run the request, the caller must not be told that it was not run.
        (Err(retry::AttemptEnd::NotRun(_)), Err(end)) => {
            matches!(end, retry::AttemptEnd::MayHaveRun(_))
        }
    };
    Outcome { result: if prefers_hedge { hedge } else { primary }, hedge_end }
}

#[cfg(test)]
mod tests;
