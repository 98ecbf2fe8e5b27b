//! Tests of reading ahead and of its bounds.

use std::sync::atomic;
use std::time;

use futures::stream;
use http_body_util::StreamBody;
use lynxmast_state::byte_budget::HeldBytes;
use lynxmast_state::byte_budget::Kind;

use super::*;

const FRAME: usize = 1024;
const LIMIT: usize = 64 * FRAME;

/// Returns a body of `count` frames, which ends with an error if `is_truncated`, and a counter of the
/// frames that were read from it.
fn frames(
    count: usize,
    is_truncated: bool,
) -> (
    impl Body<Data = Bytes, Error = body_error::BodyError> + Send + Unpin + 'static,
    sync::Arc<atomic::AtomicUsize>,
) {
    let read = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counter = read.clone();
    let frames = (0..count).map(move |_| {
        counter.fetch_add(1, atomic::Ordering::SeqCst);
        Ok(body::Frame::data(Bytes::from(vec![7; FRAME])))
    });
    let end = is_truncated.then_some(Err(body_error::BodyError::Truncated));
    (StreamBody::new(stream::iter(frames.chain(end))), read)
}

async fn settle() {
    tokio::time::sleep(time::Duration::from_millis(20)).await;
}

/// Guards against a slow caller that makes the daemon hold more than its share of the budget, and
/// against reading that does not continue once the caller has read.
#[tokio::test]
async fn reading_ahead_stops_at_the_share_of_the_budget_and_continues() {
    let held = HeldBytes::new(LIMIT);
    let (source, read) = frames(100, false);
    let mut body = ReadAheadBody::new(source, held.empty(Kind::ReadAhead));
    settle().await;
    // The frame that does not fit any more has been read and is counted.
    assert_eq!(read.load(atomic::Ordering::SeqCst), LIMIT / FRAME / 8 + 1);
    assert_eq!(held.with(|budget| budget.total()), LIMIT / 8 + FRAME);
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        size += frame.ok().and_then(|frame| frame.into_data().ok()).map_or(0, |data| data.len());
    }
    assert_eq!((size, held.with(|budget| budget.total())), (100 * FRAME, 0));
    drop(body);
}

/// Guards against a truncated response that looks complete after it was read ahead.
#[tokio::test]
async fn an_error_follows_the_frames_read_before_it() {
    let held = HeldBytes::new(LIMIT);
    let (source, _) = frames(3, true);
    let mut body = ReadAheadBody::new(source, held.empty(Kind::ReadAhead));
    settle().await;
    for _ in 0..3 {
        assert!(matches!(body.frame().await, Some(Ok(_))));
    }
    assert!(!body.is_end_stream());
    assert!(matches!(body.frame().await, Some(Err(body_error::BodyError::Truncated))));
}

/// Guards against bytes that stay counted, or a reader that goes on, after the caller has left.
#[tokio::test]
async fn a_dropped_body_releases_what_was_read_ahead() {
    let held = HeldBytes::new(LIMIT);
    let (source, _) = frames(100, false);
    let body = ReadAheadBody::new(source, held.empty(Kind::ReadAhead));
    settle().await;
    drop(body);
    settle().await;
    assert_eq!(held.with(|budget| budget.total()), 0);
}
