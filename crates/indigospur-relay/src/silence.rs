//! Bounds the time until a connection that has gone silent is closed. Something on its path may have
//! lost track of it: nothing is received on it any more, not even a reset, while new connections work.

use crate::stream::Stream;
use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;

/// When a connection counts as silent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilenceLimit {
    /// Time without received data after which TCP keep-alive probes are sent.
    idle: Duration,
    /// Time between two probes.
    probe_interval: Duration,
    /// Unacknowledged probes after which the connection fails. Linux goes by `unacknowledged` instead.
    probes: u32,
    /// Time for which probes and sent data may stay unacknowledged, or the peer's receive window
    /// closed, before the connection fails.
    unacknowledged: Duration,
}

/// Limit for connections that carry one request, such as a long poll of the configuration source.
/// Tolerates the loss of two probes in a row.
pub(crate) const REQUEST: SilenceLimit = SilenceLimit {
    idle: Duration::from_secs(1),
    probe_interval: Duration::from_secs(1),
    probes: 3,
    unacknowledged: Duration::from_secs(4),
};
/// Limit for connections to the backend server on this host, on whose path no packet is lost.
pub(crate) const BACKEND: SilenceLimit = SilenceLimit {
    idle: Duration::from_secs(1),
    probe_interval: Duration::from_secs(1),
    probes: 1,
    unacknowledged: Duration::from_secs(2),
};
/// The same while a long request is sent. A backend server that reads slowly closes its receive window,
/// which can't be told from silence.
pub(crate) const BACKEND_SLOW_READER: SilenceLimit = SilenceLimit {
    unacknowledged: Duration::from_secs(30),
    ..BACKEND
};
/// Limit for connections of callers, which may read slowly.
pub(crate) const CALLER: SilenceLimit = SilenceLimit {
    idle: Duration::from_secs(10),
    probe_interval: Duration::from_secs(5),
    probes: 4,
    unacknowledged: Duration::from_secs(30),
};

impl SilenceLimit {
    /// Has the operating system fail the connection once it is silent for this long. Without the
    /// support of the operating system, only the timeouts of requests apply.
    pub(crate) fn apply(self, stream: &Stream) {
        let keep_alive = TcpKeepalive::new()
            .with_time(self.idle)
            .with_interval(self.probe_interval)
            .with_retries(self.probes);
        let socket = SockRef::from(stream);
        let applied = socket
            .set_tcp_keepalive(&keep_alive)
            .and_then(|()| socket.set_tcp_user_timeout(Some(self.unacknowledged)));
        if let Err(error) = applied {
            log::debug!(error:display; "failed to set TCP keep-alive; silence is noticed by request timeouts only");
        }
    }
}
