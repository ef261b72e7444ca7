//! Client of the gRPC service of other daemons.

use crate::daemon::Daemon;
use indigospur_members::Message;
use indigospur_once::HandOver;
use indigospur_protocol::wire::peer;
use indigospur_protocol::{RelayMessage, Reply};
use indigospur_relay::{Channel, LinkError, runtime};
use prost::Message as _;
use std::sync::Arc;
use std::time::Duration;

type PeerClient = peer::peer_client::PeerClient<Channel>;

/// Time within which another daemon must answer a control message.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Relays a call to the upstream at `address`.
pub(crate) async fn relay(
    daemon: &Daemon,
    address: &Arc<str>,
    message: &RelayMessage,
) -> Result<Reply, LinkError> {
    let link = daemon.links.get(address).await?;
    let received = link.client().relay(peer::RelayRequest::from(message)).await;
    decode_reply(message, link.handle_reply(received)?)
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

/// Fetches the accepted log records from offset `from` on.
pub(crate) async fn fetch(
    daemon: &Daemon,
    address: &Arc<str>,
    from: u64,
) -> Result<peer::FetchReply, LinkError> {
    with_timeout(async {
        let call =
            |mut client: PeerClient| async move { client.fetch(peer::FetchRequest { from }).await };
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
