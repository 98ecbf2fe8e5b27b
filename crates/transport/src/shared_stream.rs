//! TCP stream whose end can be noticed while nobody reads it, and whose peer can tell an end in order from
//! any other.

use std::io;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net as tcp;

/// TCP stream of one connection. One task reads and writes; others may use its handles.
#[derive(Debug)]
pub struct SharedStream(sync::Arc<State>);

/// Handle of a stream, which decides how it ends and notices that the peer has ended it.
#[derive(Debug, Clone)]
pub struct StreamHandle(sync::Arc<State>);

#[derive(Debug)]
struct State {
    stream: tcp::TcpStream,
    /// Whether dropping the stream resets it.
    is_reset: atomic::AtomicBool,
}

/// Time between checks for the end of a stream that has unread data.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

impl SharedStream {
    /// Wraps a stream.
    pub fn new(stream: tcp::TcpStream) -> Self {
        Self(sync::Arc::new(State { stream, is_reset: Default::default() }))
    }

    /// Returns a handle of the stream.
    pub fn handle(&self) -> StreamHandle {
        StreamHandle(self.0.clone())
    }

    /// Writes with `write` as soon as the stream takes more.
    fn poll_write_with(
        &self,
        cx: &mut task::Context<'_>,
        write: impl Fn(&tcp::TcpStream) -> io::Result<usize>,
    ) -> task::Poll<io::Result<usize>> {
        loop {
            std::task::ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return task::Poll::Ready(result),
            }
        }
    }
}

impl StreamHandle {
    /// Makes every end of the stream a reset, unless it is shut down in order first. This holds for the
    /// end of the process as well, as the kernel then closes the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not take the option.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_transport::shared_stream;
    /// use tokio::io::AsyncReadExt;
    /// use tokio::net::{TcpListener, TcpStream};
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// let listener = TcpListener::bind("127.0.0.1:0").await?;
    /// let mut caller = TcpStream::connect(listener.local_addr()?).await?;
    /// let stream = shared_stream::SharedStream::new(listener.accept().await?.0);
    /// stream.handle().reset_unless_shut_down()?;
    /// drop(stream);
    /// assert!(caller.read_u8().await.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
    /// # Ok(())
    /// # }
    /// ```
    pub fn reset_unless_shut_down(&self) -> io::Result<()> {
        self.0.is_reset.store(true, atomic::Ordering::Release);
        self.0.stream.set_zero_linger()
    }

    /// Waits until the peer has closed the connection or its writing half, also if data from before is
    /// still unread.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_transport::shared_stream;
    /// use tokio::io::AsyncWriteExt;
    /// use tokio::net::{TcpListener, TcpStream};
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// let listener = TcpListener::bind("127.0.0.1:0").await?;
    /// let mut caller = TcpStream::connect(listener.local_addr()?).await?;
    /// let stream = shared_stream::SharedStream::new(listener.accept().await?.0);
    /// caller.write_all(b"nobody reads this").await?;
    /// drop(caller);
    /// stream.handle().ended().await;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn ended(&self) {
        loop {
            match self.0.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => {}
                Ok(_) | Err(_) => return,
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        target: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        loop {
            std::task::ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(target.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    return task::Poll::Ready(result.map(|length| target.advance(length)));
                }
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(bytes))
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let stream = socket2::SockRef::from(&self.0.stream);
        if self.0.is_reset.swap(false, atomic::Ordering::AcqRel) {
            stream.set_linger(None)?;
        }
        task::Poll::Ready(stream.shutdown(net::Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(buffers))
    }
}

#[cfg(test)]
mod tests;
