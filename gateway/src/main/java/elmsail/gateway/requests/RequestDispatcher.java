package elmsail.gateway.requests;

import elmsail.batch.BatchService;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.gateway.http.Headers;
import elmsail.gateway.http.RequestCounters;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Where each whole request of a client goes: to the servers, to the jobs, or back with what is
 * wrong.
 */
public final class RequestDispatcher {
  private static final String JOBS_PATH = "/lots/";
  private static final String ITEMS_PATH = "/items/";
  private static final long MOST_WAIT_MS = 5_000;

  /** Where neither the client nor the route tells a time. */
  private static final long MOST_MS = 600_000;

  private final RequestProgress context;
  private final BatchService jobs;

  /** Passes batch calls to {@code jobs} and forwards all others. */
  public RequestDispatcher(RequestProgress context, BatchService jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /** Takes the request; it is answered once, now or later. */
  public RequestHandle take(RequestLine request, ResponseSink client) {
    RoutingConfig now = context.known().config();
    String host = request.headers().get("Host");
    if (host == null || host.isEmpty() || request.headers().getAll("Host").size() > 1) {
      return answer(client, 400, null, RequestCounters.Event.BAD_REQUEST);
    }
    if (now == null) {
      return answer(
          client,
          503,
          request.headers().get(Headers.REQUEST_ID),
          RequestCounters.Event.REFUSED_NO_CONFIGURATION);
    }
    String path = request.path();
    if (path.startsWith(JOBS_PATH)) {
      return jobCall(request, path.substring(JOBS_PATH.length()), client);
    }
    if (path.startsWith(ITEMS_PATH) && request.method().equals("GET")) {
      context.counters().count(RequestCounters.Event.LOT_CALL);
      return response(
          jobs.readItemBody(path.substring(ITEMS_PATH.length()), parameter(request, "id")), client);
    }
    Route route = now.match(host, path);
    String id = request.headers().get(Headers.REQUEST_ID);
    if (route == null) {
      return answer(client, 404, id, RequestCounters.Event.NO_ROUTE);
    }
    if (id == null || id.isEmpty() || request.headers().getAll(Headers.REQUEST_ID).size() > 1) {
      return answer(client, 400, null, RequestCounters.Event.BAD_REQUEST);
    }
    long endsAt = request.arrivedMs() + time(request, route);
    if (route.kind() == Route.Kind.BATCH) {
      return submit(request, route, id, endsAt, client);
    }
    RequestForwarder forwarder = new RequestForwarder(context, route, request, id, endsAt, client);
    forwarder.start();
    return forwarder;
  }

  private static long time(RequestLine request, Route route) {
    long most = route.timeoutMs() > 0 ? route.timeoutMs() : MOST_MS;
    return Math.min(most, Headers.number(request.headers().get(Headers.DEADLINE_MS), most));
  }

  private RequestHandle submit(
      RequestLine request, Route route, String id, long endsAt, ResponseSink client) {
    if (!request.method().equals("POST")) {
      return answer(client, 405, id, RequestCounters.Event.BAD_REQUEST);
    }
    context.counters().count(RequestCounters.Event.LOT_CALL);
    long left = Math.max(1, endsAt - context.timers().now());
    return response(jobs.submit(route, id, request.body(), left), client);
  }

  private RequestHandle jobCall(RequestLine request, String job, ResponseSink client) {
    context.counters().count(RequestCounters.Event.LOT_CALL);
    switch (request.method()) {
      case "GET" -> {
        long after = Headers.number(parameter(request, "after"), 0);
        long wait =
            Math.min(MOST_WAIT_MS, Headers.number(request.headers().get(Headers.WAIT_MS), 0));
        return response(jobs.readResults(job, after, wait), client);
      }
      case "DELETE" -> {
        return response(jobs.end(job), client);
      }
      default -> {
        return answer(client, 405, null, RequestCounters.Event.BAD_REQUEST);
      }
    }
  }

  private static String parameter(RequestLine request, String name) {
    List<String> values = new QueryStringDecoder(request.uri()).parameters().get(name);
    return values == null || values.isEmpty() ? "" : values.get(0);
  }

  private static RequestHandle response(
      CompletableFuture<BatchService.Reply> reply, ResponseSink client) {
    reply.whenComplete(
        (r, fault) -> {
          if (fault == null) {
            Replies.job(client, r);
          } else {
            client.breakOff(); // nothing is sure
          }
        });
    return RequestHandle.NONE;
  }

  private RequestHandle answer(
      ResponseSink client, int status, String id, RequestCounters.Event why) {
    context.counters().count(why);
    Replies.own(client, status, id, status == 503 ? Replies.starting(context.chance()) : 0);
    return RequestHandle.NONE;
  }
}
