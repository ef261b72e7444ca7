//! The gRPC service that other daemons call: relayed calls, claims, gossip, log records, key
//! hand-over, reports on quotas.

use crate::daemon::{Daemon, lock};
use crate::{control, inbound, keyed, quotas};
use indigospur_members::Message;
use indigospur_once::HandOver;
use indigospur_protocol::wire::peer;
use indigospur_protocol::{Kind, Refusal, RelayMessage, Reply, WireError};
use indigospur_quota::QuotaReport;
use indigospur_relay::runtime;
use prost::Message as _;
use std::sync::Arc;
use std::time::Instant;
use tonic::{Request, Response, Status};

/// Implements the service of `peer.proto`.
#[derive(Debug)]
pub(crate) struct PeerService(pub(crate) Arc<Daemon>);

fn invalid(error: WireError) -> Status {
    Status::invalid_argument(error.to_string())
}

/// The newest configuration of the source, if its version is above `from`; else no record.
fn newest_after(daemon: &Daemon, from: u64) -> peer::FetchReply {
    let newest = lock(&daemon.newest);
    let body = newest.body().filter(|_| newest.version() > from);
    let records = body.map(|body| peer::LogRecord {
        offset: newest.version(),
        body: body.to_vec(),
        age_millis: 0,
    });
    peer::FetchReply {
        records: records.into_iter().collect(),
        gap: false,
        process: daemon.process(),
    }
}

/// Refuses a transmission that arrives after its sender revoked it; the sender has sent the call again
/// and does not read this reply.
fn refuse_revoked(daemon: &Daemon, request: &peer::RelayRequest) -> Result<(), Status> {
    let (sender, number) = (request.sender, request.transmission);
    if number == 0 || lock(&daemon.transmissions).arrive(Instant::now(), sender, number) {
        return Ok(());
    }
    log::info!(sender, transmission = number; "a call arrived after its sender had revoked it; it does not run");
    Err(Status::aborted("the call was revoked"))
}

#[tonic::async_trait]
impl peer::peer_server::Peer for PeerService {
    async fn relay(
        &self,
        request: Request<peer::RelayRequest>,
    ) -> Result<Response<peer::RelayReply>, Status> {
        let request = request.into_inner();
        refuse_revoked(&self.0, &request)?;
        let message = RelayMessage::try_from(request).map_err(invalid)?;
        let request_id = message.context.request_id.clone();
        let reply = if message.context.key.is_some() {
            let daemon = self.0.clone();
            runtime::spawn(async move { inbound::serve(&daemon, message).await }).await
        } else {
            inbound::serve(&self.0, message).await
        };
        Ok(Response::new(peer::RelayReply::new(&request_id, reply)))
    }

    async fn revoke(
        &self,
        request: Request<peer::RevokeRequest>,
    ) -> Result<Response<peer::RevokeReply>, Status> {
        let peer::RevokeRequest {
            sender,
            transmission,
        } = request.into_inner();
        let revoked = lock(&self.0.transmissions).revoke(Instant::now(), sender, transmission);
        Ok(Response::new(peer::RevokeReply { revoked }))
    }

    async fn claim(
        &self,
        request: Request<peer::RelayRequest>,
    ) -> Result<Response<peer::RelayReply>, Status> {
        let message = RelayMessage::try_from(request.into_inner()).map_err(invalid)?;
        let request_id = message.context.request_id.clone();
        let reply = match message.context.key.clone() {
            Some(key) => keyed::claim_as_home(&self.0, message, &key).await,
            None => Reply::refused(
                Refusal::new(Kind::BadKey, "a claim without a key"),
                message.context.retries,
            ),
        };
        Ok(Response::new(peer::RelayReply::new(&request_id, reply)))
    }

    async fn gossip(
        &self,
        request: Request<peer::GossipMessage>,
    ) -> Result<Response<peer::GossipMessage>, Status> {
        let metrics = &self.0.metrics;
        let request = request.into_inner();
        metrics.count_control_bytes(request.encoded_len());
        let message = Message::try_from(request).map_err(invalid)?;
        let answer = peer::GossipMessage::from(control::answer_gossip(&self.0, message));
        metrics.count_control_bytes(answer.encoded_len());
        Ok(Response::new(answer))
    }

    async fn fetch(
        &self,
        request: Request<peer::FetchRequest>,
    ) -> Result<Response<peer::FetchReply>, Status> {
        let now = Instant::now();
        let peer::FetchRequest {
            from,
            sender,
            transmission,
        } = request.into_inner();
        if sender != 0 {
            lock(&self.0.transmissions).register(sender, transmission);
        }
        if self.0.source.is_some() {
            return Ok(Response::new(newest_after(&self.0, from)));
        }
        let (records, gap) = {
            let follower = lock(&self.0.follower);
            (follower.records(from), follower.has_gap())
        };
        let records = records.iter().map(|fetched| peer::LogRecord {
            offset: fetched.offset,
            body: fetched.body.to_vec(),
            age_millis: now
                .saturating_duration_since(fetched.appended_at)
                .as_millis() as u64,
        });
        Ok(Response::new(peer::FetchReply {
            records: records.collect(),
            gap,
            process: self.0.process(),
        }))
    }

    async fn hand_over(
        &self,
        request: Request<peer::HandOverRequest>,
    ) -> Result<Response<peer::HandOverReply>, Status> {
        let request = request.into_inner();
        let service = request.service.clone();
        let hand_over = HandOver::try_from(request).map_err(invalid)?;
        let accepted = control::accept_hand_over(&self.0, &service, hand_over);
        Ok(Response::new(peer::HandOverReply { accepted }))
    }

    async fn quota(
        &self,
        request: Request<peer::QuotaReport>,
    ) -> Result<Response<peer::QuotaGrant>, Status> {
        let metrics = &self.0.metrics;
        let request = request.into_inner();
        metrics.count_control_bytes(request.encoded_len());
        let report = QuotaReport::try_from(request).map_err(invalid)?;
        let grant = peer::QuotaGrant::from(&quotas::answer_report(&self.0, report));
        metrics.count_control_bytes(grant.encoded_len());
        Ok(Response::new(grant))
    }
}
