//! Turns a caller's request into a call: finds its parent call, applies the rules and builds its
//! context.

use crate::authentication::{CallerIdentity, Credential};
use crate::daemon::{Daemon, lock};
use crate::dialect::{CallHead, ParentRef};
use crate::stopping::too_late;
use crate::{ingress, quotas};
use indigospur_admission::{CallKind, Caution, IngressRequest};
use indigospur_budget::Token;
use indigospur_once::parse_key;
use indigospur_protocol::{
    Call, Context, Customer, Key, Kind, Ran, Refusal, RelayMessage, RequestId, RetryOrder,
    ServiceName, fingerprint, is_idempotent_method,
};
use indigospur_relay::ReceivedRequest;
use indigospur_rules::{CallAttributes, RuleSet, Treatment, Workspace};
use rand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum depth of a call below the one that began its chain.
const MAX_DEPTH: u32 = 32;
/// Customer of a request that names none.
const ANONYMOUS: &str = "anonymous";

/// A call ready to be sent.
pub(crate) struct Prepared {
    pub(crate) message: RelayMessage,
    /// Token of the parent call, during which the backend server made this one.
    pub(crate) parent: Option<Token>,
    /// Name of the rule that matched.
    pub(crate) rule: Option<Arc<str>>,
    /// Number of upstreams on which the call may run, whether or not it is known to have run there.
    pub(crate) max_runs: u32,
    /// Position of the call among those that compete for retries.
    pub(crate) retry_order: RetryOrder,
    /// Name under which the response time is recorded.
    pub(crate) timed_as: Arc<str>,
}

/// What is known of a request, also if it is refused.
#[derive(Debug, Default)]
pub(crate) struct RequestNotes {
    /// Identifier of the request; empty before it is known.
    pub(crate) request_id: RequestId,
    /// Workspace from whose quota the request was taken.
    pub(crate) charged: Option<Arc<Workspace>>,
    /// When the caller stops waiting; `None` before the request is read.
    pub(crate) deadline: Option<Instant>,
    /// Whether the request is counted among those that its caller has sent.
    counted: bool,
}

/// Identity of a request: its identifier, customer and parent call.
struct RequestOrigin {
    request_id: RequestId,
    customer: Customer,
    /// How often the caller has sent the request before.
    attempt: u32,
    /// Token of the parent call, if that runs on this host.
    parent: Option<Token>,
    /// Context that the parent call passes on.
    parent_context: Option<Context>,
    /// Whether the call is nested in another, on this host or elsewhere.
    in_chain: bool,
}

/// Turns a request into a call, and fills in `notes`. A request that is refused here has caused no
/// attempt, so it does not count as sent when its caller sends it again.
pub(crate) fn prepare(
    daemon: &Daemon,
    received: &mut ReceivedRequest,
    notes: &mut RequestNotes,
) -> Result<Prepared, Refusal> {
    let prepared = try_prepare(daemon, received, notes);
    if prepared.is_err() && notes.counted {
        lock(&daemon.request_counts).undo(&notes.request_id);
    }
    prepared
}

fn try_prepare(
    daemon: &Daemon,
    received: &mut ReceivedRequest,
    notes: &mut RequestNotes,
) -> Result<Prepared, Refusal> {
    let head = daemon.dialect.read_call(received)?;
    notes.deadline = head.deadline.map(|deadline| received.started + deadline);
    if let Some(request) = &head.request_id {
        notes.request_id = request.clone();
    }
    let parent = find_parent(daemon, &head.parent)?;
    if parent.is_none() && !daemon.accepts_callers() {
        return Err(Refusal::new(
            Kind::Draining,
            "this daemon is stopping; call another",
        ));
    }
    let rules = daemon.rules();
    let rules =
        rules.ok_or_else(|| Refusal::new(Kind::NotReady, "no rule set is known here yet"))?;
    // A parent that is not known here is only a hint, and the calls of backend servers carry no key.
    let may_be_nested = !matches!(head.parent, ParentRef::Absent);
    let has_key = matches!(head.credential, Credential::Key(_));
    let is_nested = parent.is_some() || may_be_nested && !has_key;
    let caller = CallerIdentity::new(&rules.workspaces, head.credential, is_nested);
    let origin = identify(daemon, &head, parent, &caller)?;
    notes.request_id = origin.request_id.clone();
    notes.counted = origin.parent_context.is_none();
    let (rule, treatment) = decide(daemon, &rules, received, &head, &origin)?;
    authorize(
        daemon,
        &origin.request_id,
        rule.as_deref(),
        &caller,
        &treatment,
    )?;
    if !rules.workspaces.is_empty() {
        let name = caller.workspace().map(|workspace| &*workspace.name);
        daemon.dialect.set_workspace(&mut received.headers, name);
    }
    let deadline = received.started + head.deadline.unwrap_or(treatment.deadline);
    notes.deadline = Some(deadline);
    let remaining = remaining_time(&head, &treatment, received.started.elapsed())?;
    let timed_as = rule.clone().unwrap_or_else(|| head.service.clone());
    let kind = CallKind {
        name: &timed_as,
        caution: Caution::new(treatment.idempotent, origin.in_chain),
    };
    if !daemon.ends_in_time(Instant::now(), &daemon.response_times, kind, remaining) {
        return Err(too_late());
    }
    if let Some(workspace) = caller.workspace() {
        quotas::admit(daemon, &origin.request_id, workspace)?;
        notes.charged = Some(workspace.clone());
    }
    if let (false, Some(rule)) = (origin.in_chain, &rule) {
        let now = Instant::now();
        let request = ingress_request(rule, &origin, &treatment, deadline - now);
        ingress::admit(daemon, now, &origin.request_id, request)?;
    }
    let service = choose_service(daemon, rule.as_ref(), &treatment, &head)?;
    log_decision(&rules, rule.as_deref(), &service, &received.path);
    let key = read_key(&head, &treatment)?;
    let call = Call {
        service,
        method: received.method.clone(),
        path: received.path.clone(),
        headers: std::mem::take(&mut received.headers),
        body: received.body.clone(),
    };
    let digest = fingerprint(fingerprint_scope(rule.as_ref(), &treatment, &call), &call);
    let mut context = build_context(daemon, &origin, &treatment, remaining, key, digest);
    if origin.parent_context.is_none() {
        let admission = lock(&daemon.ingress);
        context.retry_order = admission.retry_order(rule.as_deref(), context.class, context.rank);
    }
    let retry_order = match &origin.parent {
        Some(token) => lock(&daemon.ledger).retry_order(token, &context),
        None => context.retry_order,
    };
    Ok(Prepared {
        message: RelayMessage { call, context },
        parent: origin.parent,
        rule,
        max_runs: treatment.attempts,
        retry_order,
        timed_as,
    })
}

/// Determines the identifier, the customer and the parent call of a request.
fn identify(
    daemon: &Daemon,
    head: &CallHead,
    parent: Option<Token>,
    caller: &CallerIdentity,
) -> Result<RequestOrigin, Refusal> {
    let parent_context = parent
        .as_deref()
        .and_then(|token| lock(&daemon.ledger).child_context(Instant::now(), token));
    if parent_context
        .as_ref()
        .is_some_and(|context| context.depth > MAX_DEPTH)
    {
        let detail = format!("more than {MAX_DEPTH} calls above this one");
        return Err(Refusal::new(Kind::TooDeep, detail));
    }
    let request_id = choose_request_id(daemon, head, parent_context.as_ref());
    let customer = match (&parent_context, caller) {
        (Some(context), _) => context.customer.clone(),
        (None, CallerIdentity::Workspace(workspace)) => workspace.name.clone(),
        (None, CallerIdentity::Unchecked) => {
            head.customer.clone().unwrap_or_else(|| ANONYMOUS.into())
        }
        // A customer that only the request names could be the name of a workspace.
        (None, CallerIdentity::Nested | CallerIdentity::Unknown(_)) => ANONYMOUS.into(),
    };
    let attempt = match parent_context {
        Some(_) => 0,
        None => lock(&daemon.request_counts).count(Instant::now(), &request_id),
    };
    Ok(RequestOrigin {
        request_id,
        customer,
        attempt,
        in_chain: parent.is_some() || matches!(head.parent, ParentRef::Prefix(_)),
        parent,
        parent_context,
    })
}

/// The name of the rule that matches the request, if any, and the resulting treatment.
fn decide(
    daemon: &Daemon,
    rules: &RuleSet,
    received: &ReceivedRequest,
    head: &CallHead,
    origin: &RequestOrigin,
) -> Result<(Option<Arc<str>>, Treatment), Refusal> {
    let path = received.path.split('?').next().unwrap_or_default();
    let decision = rules.decide(&CallAttributes {
        service: &head.service,
        host: &received.host,
        method: &received.method,
        path,
        customer: &origin.customer,
        parent_class: origin.parent_context.as_ref().map(|context| context.class),
        idempotent: is_idempotent_method(&received.method),
        attempt: origin.attempt,
    });
    let rule = decision.rule.map(|index| rules.rules[index].name.clone());
    if rules.refuse_unmatched && rule.is_none() {
        // A daemon that is cut off can't tell a wrong path from one that was added meanwhile.
        let kind = match !rules.workspaces.is_empty() && daemon.is_cut_off() {
            true => Kind::NotReady,
            false => Kind::NoRoute,
        };
        let detail = format!("no rule allows {}{path}", received.host);
        return Err(Refusal::new(kind, detail));
    }
    Ok((rule, decision.treatment))
}

/// Refuses a request that needs a known key and has none.
fn authorize(
    daemon: &Daemon,
    request: &RequestId,
    rule: Option<&str>,
    caller: &CallerIdentity,
    treatment: &Treatment,
) -> Result<(), Refusal> {
    caller.authorize(treatment.public).map_err(|error| {
        let rule = rule.unwrap_or("(none)");
        let is_cut_off = daemon.is_cut_off();
        log::info!(
            request = &**request, rule, reason:% = error, is_cut_off;
            "request not authenticated; its rule needs the key of a workspace"
        );
        Refusal::new(error.kind(is_cut_off), error.to_string())
    })
}

/// Time left until the earlier of the caller's deadline and the treatment's, `elapsed` after the
/// request began to arrive.
fn remaining_time(
    head: &CallHead,
    treatment: &Treatment,
    elapsed: Duration,
) -> Result<Duration, Refusal> {
    let requested = head.deadline.unwrap_or(treatment.deadline);
    let left = requested.min(treatment.deadline).saturating_sub(elapsed);
    if left.is_zero() {
        let detail = "the deadline passed before the request was whole";
        return Err(Refusal::new(Kind::DeadlineWaiting, detail));
    }
    Ok(left)
}

/// Builds the context of a call that is certain to be sent, because a nested call borrows retry
/// credit from its parent here.
fn build_context(
    daemon: &Daemon,
    origin: &RequestOrigin,
    treatment: &Treatment,
    remaining: Duration,
    key: Option<Key>,
    digest: u64,
) -> Context {
    let initial_retries = if origin.attempt == 0 {
        treatment.retries
    } else {
        0
    };
    let mut context = Context {
        rank: treatment.rank(&origin.customer, &origin.request_id),
        request_id: origin.request_id.clone(),
        customer: origin.customer.clone(),
        class: treatment.class,
        share: treatment.share,
        retries: initial_retries,
        depth: 0,
        remaining,
        idempotent: treatment.idempotent,
        waits: treatment.waits,
        key,
        digest,
        epoch: 0,
        home: None,
        attempt: origin.attempt,
        crashes: Vec::new(),
        repeated: false,
        retry_order: 0,
        ends_within: None,
    };
    if let (Some(parent_context), Some(token)) = (&origin.parent_context, &origin.parent) {
        context.retries = lock(&daemon.ledger).lend(token);
        inherit(&mut context, parent_context);
        if daemon.settings().chains_first {
            context.class = parent_context.class;
        }
    }
    if origin.in_chain {
        context.depth = context.depth.max(1);
    }
    context
}

/// The scope of a call's fingerprint: the rule where it splits its calls among several services, so that
/// a request is the same one at each of them.
fn fingerprint_scope<'a>(
    rule: Option<&'a Arc<str>>,
    treatment: &Treatment,
    call: &'a Call,
) -> &'a str {
    match rule {
        Some(rule) if treatment.targets.len() > 1 => rule,
        _ => &call.service,
    }
}

/// What decides on the admission of a request that begins a chain of calls.
fn ingress_request<'a>(
    rule: &'a Arc<str>,
    origin: &RequestOrigin,
    treatment: &Treatment,
    remaining: Duration,
) -> IngressRequest<'a> {
    IngressRequest {
        rule,
        class: treatment.class,
        rule_class: treatment.rule_class,
        rank: treatment.rank(&origin.customer, &origin.request_id),
        remaining,
        idempotent: treatment.idempotent,
    }
}

/// Copies to a nested call what it takes over from its parent.
fn inherit(context: &mut Context, parent: &Context) {
    context.rank = parent.rank;
    context.depth = parent.depth;
    context.remaining = context.remaining.min(parent.remaining);
    context.repeated = parent.repeated;
    context.retry_order = parent.retry_order;
}

/// The token of the parent call, if that runs on this host.
fn find_parent(daemon: &Daemon, parent_ref: &ParentRef) -> Result<Option<Token>, Refusal> {
    let ledger = lock(&daemon.ledger);
    match parent_ref {
        ParentRef::Absent => Ok(None),
        ParentRef::Token(token) if ledger.contains(token) => Ok(Some(token.clone())),
        ParentRef::Token(_) => Err(Refusal {
            ran: Ran::No,
            ..Refusal::new(
                Kind::Cancelled,
                "the request names a call that does not run here; its caller has gone",
            )
        }),
        ParentRef::Prefix(id) => {
            let ends = id.match_indices('.').map(|(end, _)| end).rev();
            let mut prefixes = ends.map(|end| &id[..end]);
            let found = prefixes.find(|prefix| ledger.contains(prefix));
            daemon.metrics.count_parent_hint(found.is_some());
            Ok(found.map(Arc::from))
        }
    }
}

/// The identifier of the request: the parent call's, else its own, else a new one. A request whose
/// parent was only recognised by prefix keeps its own.
fn choose_request_id(daemon: &Daemon, head: &CallHead, parent: Option<&Context>) -> RequestId {
    let inherits = !matches!(head.parent, ParentRef::Prefix(_));
    match (parent, &head.request_id) {
        (Some(context), _) if inherits => context.request_id.clone(),
        (_, Some(request)) => request.clone(),
        (_, None) => daemon.new_token(),
    }
}

/// The service to call: a target of the rule, else the service that the caller names.
fn choose_service(
    daemon: &Daemon,
    rule: Option<&Arc<str>>,
    treatment: &Treatment,
    head: &CallHead,
) -> Result<ServiceName, Refusal> {
    if let Some(rule) = rule {
        let first_draw = || lock(&daemon.rng).random::<f64>();
        if let Some(service) = lock(&daemon.traffic_split).target(rule, treatment, first_draw) {
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

/// Checks the idempotency key of a call; `None` if the call has none or its rule does not ask for
/// at-most-once execution.
fn read_key(head: &CallHead, treatment: &Treatment) -> Result<Option<Key>, Refusal> {
    let Some(text) = head.key.as_deref().filter(|_| treatment.at_most_once) else {
        return Ok(None);
    };
    let key = parse_key(text).map_err(|error| {
        let detail = format!(
            "the key is not accepted ({error:?}); give 1 to 128 printable ASCII characters"
        );
        Refusal::new(Kind::BadKey, detail)
    });
    key.map(Some)
}
