//! TCP streams that are read only once the operating system reports data.
//!
//! A task that waits for several things polls its stream each time it wakes, and mostly finds nothing
//! to read. Under load these reads were two thirds of all reads and the largest group of system calls
//! of a daemon.

use async_io::Async;
use async_std::net::TcpListener;
use futures_lite::io::{AsyncRead, AsyncWrite};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};

/// Reads without a wait after which a task lets others run. A socket on which data arrives faster than it
/// is read never makes its reader wait, and there may be only one executor thread.
const READS_PER_TURN: u32 = 2;

/// A TCP connection. Clones share the socket; only one of them may read.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    socket: Arc<Async<TcpStream>>,
    /// Error with which the connection failed, if a write got it. The operating system reports an error
    /// once: later reads get an end of the stream, as if the peer had closed its side.
    write_failure: Arc<OnceLock<io::ErrorKind>>,
    /// Whether the last read took all data that had arrived, so that the next one waits for the
    /// operating system to report more.
    is_drained: bool,
    /// Reads left until the task lets others run; all of them once it has waited for data.
    reads_left: u32,
}

impl Stream {
    fn new(socket: Async<TcpStream>) -> Stream {
        Stream {
            socket: Arc::new(socket),
            write_failure: Arc::default(),
            is_drained: false,
            reads_left: READS_PER_TURN,
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The connection is refused or can't be opened.
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Stream> {
        Async::<TcpStream>::connect(address).await.map(Stream::new)
    }

    /// Sends small writes at once rather than to wait for more.
    pub(crate) fn set_nodelay(&self) -> io::Result<()> {
        self.socket.get_ref().set_nodelay(true)
    }

    /// Closes the connection in one or both directions, for all clones.
    pub(crate) fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.socket.get_ref().shutdown(how)
    }

    /// Whether the peer has closed its side or the connection has failed, also where unread data comes
    /// before that.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        let mut sockets = [PollFd::new(self, PollFlags::RDHUP)];
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        poll(&mut sockets, Some(&Timespec::default())).is_ok()
            && sockets[0].revents().intersects(closed)
    }

    /// Records why the connection failed. `BrokenPipe` is no failure of it: the peer had closed its side
    /// before it reset the connection, so that all it has sent can be read.
    fn record_write_failure(&self, error: &io::Error) {
        if error.kind() != io::ErrorKind::BrokenPipe {
            self.write_failure.get_or_init(|| error.kind());
        }
    }

    /// Reads what has arrived, without waiting. Zero bytes are read only if the peer has closed its side.
    ///
    /// # Errors
    /// `WouldBlock` if nothing has arrived; else the connection failed.
    pub(crate) fn try_read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = self.socket.get_ref().read(buffer);
        let read = match self.write_failure.get() {
            Some(failure) if matches!(read, Ok(0)) => Err((*failure).into()),
            _ => read,
        };
        self.is_drained = match &read {
            Ok(count) => *count > 0 && *count < buffer.len(),
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        };
        read
    }
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.get_ref().as_fd()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.reads_left == 0 {
            self.reads_left = READS_PER_TURN;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        loop {
            if self.is_drained && self.socket.poll_readable(context)?.is_pending() {
                self.reads_left = READS_PER_TURN;
                return Poll::Pending;
            }
            match self.try_read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => {
                    self.reads_left -= 1;
                    return Poll::Ready(read);
                }
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.socket.get_ref().write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.socket.poll_writable(context))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    self.record_write_failure(&error);
                    return Poll::Ready(Err(error));
                }
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// A listening socket that accepts [`Stream`]s.
#[derive(Debug)]
pub(crate) struct Acceptor {
    socket: Async<std::net::TcpListener>,
}

impl Acceptor {
    pub(crate) fn new(listener: TcpListener) -> io::Result<Acceptor> {
        let listener = std::net::TcpListener::from(OwnedFd::from(listener));
        let socket = Async::new(listener)?;
        Ok(Acceptor { socket })
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    /// It can't be accepted, for example because no file descriptor is free.
    pub(crate) async fn accept(&self) -> io::Result<(Stream, IpAddr)> {
        let (socket, peer) = self.socket.accept().await?;
        Ok((Stream::new(socket), peer.ip()))
    }
}
