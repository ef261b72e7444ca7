//! A caller's request becomes a call: its context, its treatment by the rules, and its answer.

use crate::daemon::{Daemon, lock};
use crate::dialect::{Above, CallHead};
use crate::{keyed, outbound};
use indigospur_admission::Asking;
use indigospur_budget::Token;
use indigospur_once::check_key;
use indigospur_protocol::{
    Answer, Call, Context, Key, Kind, Outcome, Ran, Refusal, RelayMessage, Reply, RequestId,
    ServiceName, fingerprint, is_safe_method,
};
use indigospur_relay::Received;
use indigospur_rules::{RuleSet, Subject, Treatment};
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Calls above one another at most.
const DEEPEST: u32 = 32;
/// Customer of a call that names none.
const ANONYMOUS: &str = "anonymous";

/// A call of a caller that is under way.
struct OpenCall<'a>(&'a Daemon);

impl<'a> OpenCall<'a> {
    fn new(daemon: &'a Daemon) -> OpenCall<'a> {
        daemon.open_calls.fetch_add(1, Ordering::Relaxed);
        OpenCall(daemon)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a caller's request.
pub(crate) async fn answer(daemon: Arc<Daemon>, mut received: Received) -> Answer {
    let begun = Instant::now();
    let _open = OpenCall::new(&daemon);
    let mut request: RequestId = "".into();
    let outcome = match prepare(&daemon, &mut received, &mut request) {
        Ok(prepared) => carry_out(&daemon, prepared).await,
        Err(refusal) => Outcome::Refused(refusal),
    };
    match outcome {
        Outcome::Answered(answer) => {
            daemon.metrics.answered(begun.elapsed());
            answer
        }
        Outcome::Refused(refusal) => {
            let refusal = daemon.advise(refusal);
            daemon.metrics.refused(refusal.kind);
            log_refusal(&daemon, &refusal, &request, &received, begun.elapsed());
            daemon.dialect.write_refusal(&refusal)
        }
    }
}

fn log_refusal(
    daemon: &Daemon,
    refusal: &Refusal,
    request: &str,
    received: &Received,
    took: Duration,
) {
    log::info!(
        request,
        version = daemon.accepted(),
        kind = refusal.kind.name(),
        ran = refusal.ran.as_str(),
        detail = &*refusal.detail,
        host = &*received.host,
        path = &*received.path,
        took_ms = took.as_millis() as u64,
        retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64);
        "request refused"
    );
}

/// A call ready to be sent.
struct Prepared {
    message: RelayMessage,
    /// Token of the call above, whose backend server makes this one.
    above: Option<Token>,
    /// Name of the rule that decided.
    rule: Option<Arc<str>>,
    /// Upstreams at which it may run.
    attempts: u32,
}

async fn carry_out(daemon: &Arc<Daemon>, prepared: Prepared) -> Outcome {
    let Prepared {
        message,
        above,
        rule,
        attempts,
    } = prepared;
    let lent = message.context.retries;
    let key = message.context.key.clone();
    let reply = match key {
        Some(key) => keyed::send(daemon, message, &key).await,
        None => {
            let bounds = outbound::Bounds {
                avoid: Vec::new(),
                attempts,
            };
            outbound::send(daemon, message, bounds).await
        }
    };
    match above {
        Some(token) => account(daemon, &token, lent, &reply),
        None => learn(daemon, rule.as_ref(), &reply),
    }
    reply.outcome
}

/// Gives what is left of a call inside a chain back to the call above.
fn account(daemon: &Daemon, above: &str, lent: u32, reply: &Reply) {
    let mut ledger = lock(&daemon.ledger);
    ledger.give_back(above, lent, reply.retries_left, reply.retried);
    ledger.worked(above, &reply.work);
    if matches!(&reply.outcome, Outcome::Refused(refusal) if refusal.kind.is_overload()) {
        ledger.shed_below(above);
    }
}

/// Learns what a whole request of a rule takes.
fn learn(daemon: &Daemon, rule: Option<&Arc<str>>, reply: &Reply) {
    if let (Some(rule), Outcome::Answered(_)) = (rule, &reply.outcome) {
        lock(&daemon.entry).learn(rule, &reply.work);
    }
}

/// Makes a call of a request; `known` becomes its identifier, also if it is refused.
fn prepare(
    daemon: &Daemon,
    received: &mut Received,
    known: &mut RequestId,
) -> Result<Prepared, Refusal> {
    let head = daemon.dialect.read_call(received)?;
    if let Some(request) = &head.request {
        *known = request.clone();
    }
    let above = above(daemon, &head.above)?;
    if above.is_none() && !daemon.takes_callers() {
        return Err(Refusal::new(
            Kind::Draining,
            "this daemon is stopping; call another",
        ));
    }
    let rules = daemon.rules();
    let rules =
        rules.ok_or_else(|| Refusal::new(Kind::NotReady, "no rule set is known here yet"))?;
    let inherited = above
        .as_deref()
        .and_then(|token| lock(&daemon.ledger).lend(Instant::now(), token));
    if inherited
        .as_ref()
        .is_some_and(|context| context.depth > DEEPEST)
    {
        let detail = format!("more than {DEEPEST} calls above this one");
        return Err(Refusal::new(Kind::TooDeep, detail));
    }
    let request = request_id(daemon, &head, inherited.as_ref());
    *known = request.clone();
    let customer = match (&inherited, &head.customer) {
        (Some(context), _) => context.customer.clone(),
        (None, Some(customer)) => customer.clone(),
        (None, None) => ANONYMOUS.into(),
    };
    let attempt = match inherited {
        Some(_) => 0,
        None => lock(&daemon.seen).count(Instant::now(), &request),
    };
    let path: Arc<str> = received.path.split('?').next().unwrap_or_default().into();
    let decided = rules.decide(&Subject {
        service: &head.service,
        host: &received.host,
        method: &received.method,
        path: &path,
        customer: &customer,
        above: inherited.as_ref().map(|context| context.class),
        idempotent: is_safe_method(&received.method),
        attempt,
    });
    let rule = decided.rule.map(|index| rules.rules[index].name.clone());
    if rules.closed && rule.is_none() {
        let detail = format!("no rule allows {}{path}", received.host);
        return Err(Refusal::new(Kind::NoRoute, detail));
    }
    let treatment = decided.treatment;
    let inside = above.is_some() || matches!(head.above, Above::Prefix(_));
    if !inside {
        enter(daemon, &request, rule.as_ref(), &treatment)?;
    }
    let service = target(daemon, rule.as_ref(), &treatment, &head)?;
    log_decision(&rules, rule.as_deref(), &service, &path);
    let key = key(&head, &treatment)?;
    let call = Call {
        service,
        method: received.method.clone(),
        path: received.path.clone(),
        headers: std::mem::take(&mut received.headers),
        body: received.body.clone(),
    };
    let mut context = Context {
        rank: treatment.rank(&customer, &request),
        request_id: request,
        customer,
        class: treatment.class,
        share: treatment.share,
        retries: if attempt == 0 { treatment.retries } else { 0 },
        depth: 0,
        remaining: head
            .deadline
            .unwrap_or(treatment.deadline)
            .min(treatment.deadline),
        idempotent: treatment.idempotent,
        waits: treatment.waits,
        key,
        digest: fingerprint(&call),
        epoch: 0,
        home: None,
        attempt,
        crashes: Vec::new(),
        repeated: false,
    };
    if let Some(inherited) = inherited {
        inherit(&mut context, &inherited);
        if daemon.settings.chains_first {
            context.class = inherited.class;
        }
    }
    if inside {
        context.depth = context.depth.max(1);
    }
    Ok(Prepared {
        message: RelayMessage { call, context },
        above,
        rule,
        attempts: treatment.attempts,
    })
}

/// Lets a caller's request in, if the services that it needs have room for it.
fn enter(
    daemon: &Daemon,
    request: &RequestId,
    rule: Option<&Arc<str>>,
    treatment: &Treatment,
) -> Result<(), Refusal> {
    let Some(rule) = rule else { return Ok(()) };
    let asking = Asking {
        rule,
        class: treatment.class,
        objective: treatment.objective,
    };
    let pressures = lock(&daemon.pressures);
    let entered = lock(&daemon.entry).admit(Instant::now(), asking, &pressures);
    drop(pressures);
    entered.map_err(|shed| {
        log::info!(
            request = &**request,
            rule = &**rule,
            class = treatment.class,
            service = &*shed.service,
            level = shed.level,
            age_ms = shed.age.as_millis() as u64,
            share = shed.share;
            "request not let in"
        );
        let detail = format!("{} has no room for it", shed.service);
        Refusal::new(Kind::OverloadedBelow, detail).retry_after(shed.retry_after)
    })
}

/// What a call inside a chain takes over from the call above.
fn inherit(context: &mut Context, above: &Context) {
    context.rank = above.rank;
    context.retries = above.retries;
    context.depth = above.depth;
    context.remaining = context.remaining.min(above.remaining);
    context.repeated = above.repeated;
}

/// The token of the call above, if it runs here.
fn above(daemon: &Daemon, named: &Above) -> Result<Option<Token>, Refusal> {
    let ledger = lock(&daemon.ledger);
    match named {
        Above::Unnamed => Ok(None),
        Above::Token(token) if ledger.knows(token) => Ok(Some(token.clone())),
        Above::Token(_) => Err(Refusal {
            ran: Ran::No,
            ..Refusal::new(
                Kind::Cancelled,
                "the request names a call that does not run here; its caller has gone",
            )
        }),
        Above::Prefix(id) => {
            let ends = id.match_indices('.').map(|(end, _)| end).rev();
            let mut prefixes = ends.map(|end| &id[..end]);
            let found = prefixes.find(|prefix| ledger.knows(prefix));
            daemon.metrics.parent_hint(found.is_some());
            Ok(found.map(Arc::from))
        }
    }
}

/// The identifier of the request: its own, else that of the call above, else a new one.
fn request_id(daemon: &Daemon, head: &CallHead, above: Option<&Context>) -> RequestId {
    let inherits = !matches!(head.above, Above::Prefix(_));
    match (above, &head.request) {
        (Some(context), _) if inherits => context.request_id.clone(),
        (_, Some(request)) => request.clone(),
        (_, None) => daemon.new_token(),
    }
}

/// The service that takes the call: the rule's, else the one that the caller names.
fn target(
    daemon: &Daemon,
    rule: Option<&Arc<str>>,
    treatment: &Treatment,
    head: &CallHead,
) -> Result<ServiceName, Refusal> {
    if let Some(rule) = rule {
        let start = lock(&daemon.rng).random::<f64>();
        if let Some(service) = lock(&daemon.draws).target(rule, treatment, start) {
            return Ok(service);
        }
    }
    if head.service.is_empty() {
        let detail = "neither the request nor a rule names a service";
        return Err(Refusal::new(Kind::UnknownService, detail));
    }
    Ok(head.service.clone())
}

fn log_decision(rules: &RuleSet, rule: Option<&str>, service: &str, path: &str) {
    let rule = rule.unwrap_or("(none)");
    log::trace!(service, path, rule, rules = rules.rules.len(); "treated");
}

/// The key of a call that runs at most once.
fn key(head: &CallHead, treatment: &Treatment) -> Result<Option<Key>, Refusal> {
    let Some(text) = head.key.as_deref().filter(|_| treatment.once) else {
        return Ok(None);
    };
    let checked = check_key(text).map_err(|error| {
        let detail = format!(
            "the key is not accepted ({error:?}); give 1 to 128 printable ASCII characters"
        );
        Refusal::new(Kind::BadKey, detail)
    });
    checked.map(Some)
}
