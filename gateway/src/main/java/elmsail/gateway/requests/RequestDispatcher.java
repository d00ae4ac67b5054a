package elmsail.gateway.requests;

import elmsail.batch.BatchCalls;
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
  private static final String LOTS = "/lots/";
  private static final String ITEMS = "/items/";
  private static final long MOST_WAIT_MS = 5_000;

  /** Where neither the client nor the route tells a time. */
  private static final long MOST_MS = 600_000;

  private final RequestProgress course;
  private final BatchCalls jobs;

  /** Passes batch calls to {@code jobs} and forwards all others. */
  public RequestDispatcher(RequestProgress course, BatchCalls jobs) {
    this.course = course;
    this.jobs = jobs;
  }

  /** Takes the request; it is answered once, now or later. */
  public RequestHandle take(RequestLine asked, ResponseSink client) {
    RoutingConfig now = course.known().config();
    String host = asked.headers().get("Host");
    if (host == null || host.isEmpty() || asked.headers().getAll("Host").size() > 1) {
      return own(client, 400, null, RequestCounters.Event.BAD_REQUEST);
    }
    if (now == null) {
      return own(
          client,
          503,
          asked.headers().get(Headers.REQUEST_ID),
          RequestCounters.Event.REFUSED_NO_CONFIGURATION);
    }
    String path = asked.path();
    if (path.startsWith(LOTS)) {
      return aboutLot(asked, path.substring(LOTS.length()), client);
    }
    if (path.startsWith(ITEMS) && asked.method().equals("GET")) {
      course.counters().count(RequestCounters.Event.LOT_CALL);
      return response(jobs.item(path.substring(ITEMS.length()), parameter(asked, "id")), client);
    }
    Route route = now.find(host, path);
    String id = asked.headers().get(Headers.REQUEST_ID);
    if (route == null) {
      return own(client, 404, id, RequestCounters.Event.NO_ROUTE);
    }
    if (id == null || id.isEmpty() || asked.headers().getAll(Headers.REQUEST_ID).size() > 1) {
      return own(client, 400, null, RequestCounters.Event.BAD_REQUEST);
    }
    long endsAt = asked.arrivedMs() + time(asked, route);
    if (route.kind() == Route.Kind.SACK) {
      return submit(asked, route, id, endsAt, client);
    }
    RequestForwarder forward = new RequestForwarder(course, route, asked, id, endsAt, client);
    forward.start();
    return forward;
  }

  private static long time(RequestLine asked, Route route) {
    long most = route.giveUpMs() > 0 ? route.giveUpMs() : MOST_MS;
    return Math.min(most, Headers.number(asked.headers().get(Headers.DEADLINE_MS), most));
  }

  private RequestHandle submit(
      RequestLine asked, Route route, String id, long endsAt, ResponseSink client) {
    if (!asked.method().equals("POST")) {
      return own(client, 405, id, RequestCounters.Event.BAD_REQUEST);
    }
    course.counters().count(RequestCounters.Event.LOT_CALL);
    long left = Math.max(1, endsAt - course.timers().now());
    return response(jobs.submit(route, id, asked.body(), left), client);
  }

  private RequestHandle aboutLot(RequestLine asked, String job, ResponseSink client) {
    course.counters().count(RequestCounters.Event.LOT_CALL);
    switch (asked.method()) {
      case "GET" -> {
        long after = Headers.number(parameter(asked, "after"), 0);
        long wait = Math.min(MOST_WAIT_MS, Headers.number(asked.headers().get(Headers.WAIT_MS), 0));
        return response(jobs.read(job, after, wait), client);
      }
      case "DELETE" -> {
        return response(jobs.end(job), client);
      }
      default -> {
        return own(client, 405, null, RequestCounters.Event.BAD_REQUEST);
      }
    }
  }

  private static String parameter(RequestLine asked, String name) {
    List<String> values = new QueryStringDecoder(asked.uri()).parameters().get(name);
    return values == null || values.isEmpty() ? "" : values.get(0);
  }

  private static RequestHandle response(
      CompletableFuture<BatchCalls.Reply> reply, ResponseSink client) {
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

  private RequestHandle own(ResponseSink client, int status, String id, RequestCounters.Event why) {
    course.counters().count(why);
    Replies.own(client, status, id, status == 503 ? Replies.starting(course.chance()) : 0);
    return RequestHandle.NONE;
  }
}
