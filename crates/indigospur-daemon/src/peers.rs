//! Client of the gRPC service of other daemons.

use crate::daemon::Daemon;
use crate::deadline::{Deadline, Moment};
use futures_lite::future::or;
use indigospur_members::Message;
use indigospur_once::HandOver;
use indigospur_protocol::wire::peer;
use indigospur_protocol::{Kind, Refusal, RelayMessage, Reply};
use indigospur_quota::{QuotaGrant, QuotaReport};
use indigospur_relay::{Channel, Link, LinkError, runtime};
use indigospur_routing::AttemptResult;
use prost::Message as _;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of connections on which a call is sent to one upstream.
const MAX_TRANSMISSIONS: usize = 3;

type PeerClient = peer::peer_client::PeerClient<Channel>;

/// Time within which another daemon must answer a control message.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which the home of a quota must answer a report. A later answer has no effect.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(500);

/// Relays a call to the upstream at `address`. If its connection fails or goes silent before the other
/// daemon has received the call, the call is sent again on a new one.
pub(crate) async fn relay(
    daemon: &Daemon,
    address: &Arc<str>,
    message: &RelayMessage,
) -> Result<Reply, LinkError> {
    let deadline = Deadline::after(Moment::now(), message.context.remaining);
    for _ in 0..MAX_TRANSMISSIONS {
        let link = daemon.links.get(address).await?;
        let now = Instant::now();
        let mut request = peer::RelayRequest::from(message);
        request.sender = daemon.process();
        // The number is higher than the one that the connection was introduced with.
        request.transmission = daemon.links.next_transmission();
        if let Some(context) = &mut request.context {
            let remaining = deadline.remaining(Moment::now());
            context.remaining_micros = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
        }
        match transmit(daemon, address, &link, now, request).await {
            Some(reply) => return decode_reply(message, reply?),
            None => {
                log::info!(request = &*message.context.request_id, address = &**address; "the connection failed before the other daemon received the call; sending it again");
            }
        }
    }
    Err(LinkError::Connect)
}

/// Sends a call on `link` and waits for its reply. Returns `None` if the connection failed or went
/// silent, and the other daemon has not received the call and will not run it.
async fn transmit(
    daemon: &Daemon,
    address: &Arc<str>,
    link: &Link,
    now: Instant,
    request: peer::RelayRequest,
) -> Option<Result<peer::RelayReply, LinkError>> {
    let number = request.transmission;
    let mut reply = Box::pin(async { link.handle_reply(link.client().relay(request).await) });
    let silence = async {
        link.silence(now).await;
        None
    };
    match or(async { Some((&mut reply).await) }, silence).await {
        Some(Err(error)) if may_have_run(error) => {
            match Box::pin(revoke(daemon, address, link, number)).await {
                true => None,
                false => Some(Err(error)),
            }
        }
        Some(outcome) => Some(outcome),
        None => {
            let revoked = async {
                if !Box::pin(revoke(daemon, address, link, number)).await {
                    std::future::pending::<()>().await;
                }
                None
            };
            or(revoked, async { Some(reply.await) }).await
        }
    }
}

fn may_have_run(error: LinkError) -> bool {
    matches!(error, LinkError::Lost | LinkError::Mute)
}

/// Revokes a transmission that was sent on `link`, by way of a new connection to the same process.
/// Returns whether the call has not run there and will not.
async fn revoke(daemon: &Daemon, address: &Arc<str>, link: &Link, number: u64) -> bool {
    let request = peer::RevokeRequest {
        sender: daemon.process(),
        transmission: number,
    };
    let exchange = with_timeout(async {
        let new = daemon.links.get(address).await?;
        if !new.is_same_process(link) {
            return Ok(false);
        }
        let reply = new.handle_reply(new.client().revoke(request).await)?;
        Ok(reply.revoked)
    });
    exchange.await.unwrap_or(false)
}

/// Sends a claim to the key's home at `address`.
pub(crate) async fn claim(
    daemon: &Daemon,
    address: &Arc<str>,
    message: &RelayMessage,
) -> Result<Reply, LinkError> {
    let link = daemon.links.get(address).await?;
    let received = link.client().claim(peer::RelayRequest::from(message)).await;
    decode_reply(message, link.handle_reply(received)?)
}

/// Decodes the reply; one that belongs to another request is a protocol error.
fn decode_reply(message: &RelayMessage, reply: peer::RelayReply) -> Result<Reply, LinkError> {
    let reply = reply.into_reply(&message.context.request_id);
    reply.map_err(|_| LinkError::Protocol)
}

/// Bounds a control exchange by [`CONTROL_TIMEOUT`], after which it fails with [`LinkError::Mute`].
async fn with_timeout<T>(
    exchange: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let result = runtime::timeout(CONTROL_TIMEOUT, exchange).await;
    result.unwrap_or(Err(LinkError::Mute))
}

/// Exchanges gossip with the daemon at `address`.
pub(crate) async fn gossip(
    daemon: &Daemon,
    address: &Arc<str>,
    message: Message,
) -> Result<Message, LinkError> {
    with_timeout(async {
        let message = peer::GossipMessage::from(message);
        daemon.metrics.count_control_bytes(message.encoded_len());
        let call = |mut client: PeerClient| {
            let message = message.clone();
            async move { client.gossip(message).await }
        };
        let answer = daemon.links.call_repeatable(address, call).await?;
        daemon.metrics.count_control_bytes(answer.encoded_len());
        Message::try_from(answer).map_err(|_| LinkError::Protocol)
    })
    .await
}

/// Reports counts of requests to the home of their workspaces' quotas at `address`.
pub(crate) async fn report_quota(
    daemon: &Daemon,
    address: &Arc<str>,
    report: &QuotaReport,
) -> Result<QuotaGrant, LinkError> {
    let message = peer::QuotaReport::from(report);
    daemon.metrics.count_control_bytes(message.encoded_len());
    let call = |mut client: PeerClient| {
        let message = message.clone();
        async move { client.quota(message).await }
    };
    let exchange = async {
        let grant = daemon.links.call_repeatable(address, call).await?;
        daemon.metrics.count_control_bytes(grant.encoded_len());
        QuotaGrant::try_from(grant).map_err(|_| LinkError::Protocol)
    };
    let result = runtime::timeout(QUOTA_TIMEOUT, exchange).await;
    result.unwrap_or(Err(LinkError::Mute))
}

/// Fetches the accepted log records from offset `from` on.
pub(crate) async fn fetch(
    daemon: &Daemon,
    address: &Arc<str>,
    from: u64,
) -> Result<peer::FetchReply, LinkError> {
    with_timeout(async {
        let request = peer::FetchRequest {
            from,
            ..peer::FetchRequest::default()
        };
        let call = |mut client: PeerClient| async move { client.fetch(request).await };
        daemon.links.call_repeatable(address, call).await
    })
    .await
}

/// Sends the records of keys whose home or executors have changed; returns whether the daemon at
/// `address` accepted them.
pub(crate) async fn hand_over(
    daemon: &Daemon,
    address: &Arc<str>,
    service: &str,
    hand_over: &HandOver,
) -> Result<bool, LinkError> {
    with_timeout(async {
        let link = daemon.links.get(address).await?;
        let received = link.client().hand_over(hand_over.to_wire(service)).await;
        link.handle_reply(received).map(|reply| reply.accepted)
    })
    .await
}

/// Translates a link failure. A connection that has worked before it broke does not count as a
/// failure of the host; one that never worked does. The lent retry credit comes back only where it
/// is certain that nothing was sent.
pub(crate) fn link_failure(error: LinkError, lent: u32) -> (AttemptResult, Reply) {
    let (attempt, kind, detail) = match error {
        LinkError::Connect => (
            AttemptResult::Failed,
            Kind::ConnectFailed,
            "the upstream's daemon takes no connection",
        ),
        LinkError::Mute => (
            AttemptResult::Failed,
            Kind::LinkLost,
            "the upstream's daemon gives no sign of life",
        ),
        LinkError::Lost => (
            AttemptResult::Abandoned,
            Kind::LinkLost,
            "the connection to the upstream's daemon broke",
        ),
        LinkError::Busy => (
            AttemptResult::Replied,
            Kind::Overloaded,
            "the upstream's daemon has no memory for the message",
        ),
        LinkError::Protocol => (
            AttemptResult::Failed,
            Kind::Internal,
            "the upstream's daemon does not understand",
        ),
    };
    let is_unsent = matches!(error, LinkError::Connect | LinkError::Busy);
    let credit_left = if is_unsent { lent } else { 0 };
    (
        attempt,
        Reply::refused(Refusal::new(kind, detail), credit_left),
    )
}
