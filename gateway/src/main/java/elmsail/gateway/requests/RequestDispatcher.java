package elmsail.gateway.requests;

import elmsail.batch.BatchService;
import elmsail.batch.TenantName;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.gateway.http.Headers;
import elmsail.gateway.http.RequestCounters;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Dispatches each complete request to a server or to the batch service, or sends a local reply if
 * the request cannot be dispatched. Owned by the gateway's event loop.
 */
public final class RequestDispatcher {
  private static final String JOBS_PATH = "/lots/";
  private static final String ITEMS_PATH = "/items/";
  private static final long MAX_WAIT_MS = 5_000;

  /** The timeout if neither the client nor the route sets one. */
  private static final long MAX_REQUEST_MS = 600_000;

  private final RequestContext context;
  private final BatchService jobs;

  /**
   * Creates a dispatcher that passes batch calls to {@code jobs} and all other requests to servers.
   */
  public RequestDispatcher(RequestContext context, BatchService jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /** Dispatches a request. Exactly one response is sent, before or after this method returns. */
  public RequestHandle dispatch(ReceivedRequest request, ResponseSink client) {
    RoutingConfig config = context.clusterState().config();
    String host = request.headers().get("Host");
    if (host == null || host.isEmpty() || request.headers().getAll("Host").size() > 1) {
      return sendLocalReply(client, 400, null, RequestCounters.Event.BAD_REQUEST);
    }
    if (config == null) {
      return sendLocalReply(
          client,
          503,
          request.headers().get(Headers.REQUEST_ID),
          RequestCounters.Event.REJECTED_NO_CONFIG);
    }
    String path = request.path();
    boolean readsItem = path.startsWith(ITEMS_PATH) && request.method().equals("GET");
    if (readsItem || path.startsWith(JOBS_PATH)) {
      return handleBatchCall(request, host, readsItem, client);
    }
    Optional<Route> matched = config.match(host, path);
    String id = request.headers().get(Headers.REQUEST_ID);
    if (matched.isEmpty()) {
      return sendLocalReply(client, 404, id, RequestCounters.Event.NO_ROUTE);
    }
    Route route = matched.get();
    if (id == null || id.isEmpty() || request.headers().getAll(Headers.REQUEST_ID).size() > 1) {
      return sendLocalReply(client, 400, null, RequestCounters.Event.BAD_REQUEST);
    }
    Authentication authentication =
        context.authenticator().authenticate(route, request.credentials());
    if (authentication instanceof Authentication.Refused refused) {
      return sendLocalReply(client, refused.reason().status(), id, refused.reason().event());
    }
    long deadlineAt = request.arrivedAt() + timeoutMs(request, route);
    if (route.kind() == Route.Kind.BATCH) {
      return submitJob(request, route, authentication, id, deadlineAt, client);
    }
    int priority = RequestPriority.of(config, authentication, route.priority());
    ClientRequest outgoing =
        new ClientRequest(id, request, authentication, priority, context.timers(), deadlineAt);
    RequestForwarder forwarder = new RequestForwarder(context, route, outgoing, client);
    forwarder.start();
    return forwarder;
  }

  private static long timeoutMs(ReceivedRequest request, Route route) {
    long maxMs = route.timeoutMs() > 0 ? route.timeoutMs() : MAX_REQUEST_MS;
    return Math.min(
        maxMs, Headers.parseNonNegative(request.headers().get(Headers.DEADLINE_MS), maxMs));
  }

  private RequestHandle submitJob(
      ReceivedRequest request,
      Route route,
      Authentication authentication,
      String id,
      long deadlineAt,
      ResponseSink client) {
    if (!request.method().equals("POST")) {
      return sendLocalReply(client, 405, id, RequestCounters.Event.BAD_REQUEST);
    }
    context.counters().count(RequestCounters.Event.BATCH_CALL);
    long remainingMs = Math.max(1, deadlineAt - context.timers().now());
    return relayBatchReply(
        jobs.submit(tenantOf(authentication), route, id, request.body(), remainingMs), client);
  }

  private static TenantName tenantOf(Authentication authentication) {
    return authentication.tenantName().map(TenantName::new).orElse(TenantName.NONE);
  }

  /** Handles a call about a job that was submitted before. The path identifies no route. */
  private RequestHandle handleBatchCall(
      ReceivedRequest request, String host, boolean readsItem, ResponseSink client) {
    Authentication authentication =
        context.authenticator().authenticateBatchCall(host, request.credentials());
    if (authentication instanceof Authentication.Refused refused) {
      String id = request.headers().get(Headers.REQUEST_ID);
      return sendLocalReply(client, refused.reason().status(), id, refused.reason().event());
    }
    TenantName tenant = tenantOf(authentication);
    return readsItem
        ? readItemBody(request, tenant, client)
        : handleJobCall(request, tenant, client);
  }

  private RequestHandle readItemBody(
      ReceivedRequest request, TenantName tenant, ResponseSink client) {
    context.counters().count(RequestCounters.Event.BATCH_CALL);
    String jobId = request.path().substring(ITEMS_PATH.length());
    return relayBatchReply(jobs.readItemBody(tenant, jobId, parameter(request, "id")), client);
  }

  private RequestHandle handleJobCall(
      ReceivedRequest request, TenantName tenant, ResponseSink client) {
    String jobId = request.path().substring(JOBS_PATH.length());
    context.counters().count(RequestCounters.Event.BATCH_CALL);
    switch (request.method()) {
      case "GET" -> {
        long after = Headers.parseNonNegative(parameter(request, "after"), 0);
        long wait =
            Math.min(
                MAX_WAIT_MS, Headers.parseNonNegative(request.headers().get(Headers.WAIT_MS), 0));
        return relayBatchReply(jobs.readResults(tenant, jobId, after, wait), client);
      }
      case "DELETE" -> {
        return relayBatchReply(jobs.cancel(tenant, jobId), client);
      }
      default -> {
        return sendLocalReply(client, 405, null, RequestCounters.Event.BAD_REQUEST);
      }
    }
  }

  private static String parameter(ReceivedRequest request, String name) {
    List<String> values = new QueryStringDecoder(request.uri()).parameters().get(name);
    return values == null || values.isEmpty() ? "" : values.get(0);
  }

  private static RequestHandle relayBatchReply(
      CompletableFuture<BatchService.Reply> reply, ResponseSink client) {
    reply.whenComplete(
        (r, fault) -> {
          if (fault == null) {
            LocalReplies.sendBatchReply(client, r);
          } else {
            client.abort(); // the outcome is unknown
          }
        });
    return RequestHandle.NONE;
  }

  private RequestHandle sendLocalReply(
      ResponseSink client, int status, String id, RequestCounters.Event reason) {
    context.counters().count(reason);
    LocalReplies.send(
        client,
        status,
        id,
        status == 503 ? LocalReplies.startupRetryAfterSeconds(context.random()) : 0);
    return RequestHandle.NONE;
  }
}
