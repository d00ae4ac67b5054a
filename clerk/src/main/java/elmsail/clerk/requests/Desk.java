package elmsail.clerk.requests;

import elmsail.clerk.words.Headers;
import elmsail.clerk.words.Tally;
import elmsail.lots.LotCalls;
import elmsail.timetable.Route;
import elmsail.timetable.Timetable;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Where each whole request of a client goes: to the servers, to the lots, or back with what is wrong. */
public final class Desk {
  private static final String LOTS = "/lots/";
  private static final String ITEMS = "/items/";
  private static final long MOST_WAIT_MS = 5_000;
  /** Where neither the client nor the route tells a time. */
  private static final long MOST_MS = 600_000;

  private final Course course;
  private final LotCalls lots;

  public Desk(Course course, LotCalls lots) {
    this.course = course;
    this.lots = lots;
  }

  /** Takes the request; it is answered once, now or later. */
  public Taken take(Asked asked, Answering client) {
    Timetable now = course.known().timetable();
    String host = asked.headers().get("Host");
    if (host == null || host.isEmpty() || asked.headers().getAll("Host").size() > 1) {
      return own(client, 400, null, Tally.Event.BAD_REQUEST);
    }
    if (now == null) {
      return own(client, 503, asked.headers().get(Headers.REQUEST_ID),
          Tally.Event.REFUSED_NO_CONFIGURATION);
    }
    String path = asked.path();
    if (path.startsWith(LOTS)) {
      return aboutLot(asked, path.substring(LOTS.length()), client);
    }
    if (path.startsWith(ITEMS) && asked.method().equals("GET")) {
      course.tally().count(Tally.Event.LOT_CALL);
      return told(lots.item(path.substring(ITEMS.length()), parameter(asked, "id")), client);
    }
    Route route = now.find(host, path);
    String id = asked.headers().get(Headers.REQUEST_ID);
    if (route == null) {
      return own(client, 404, id, Tally.Event.NO_ROUTE);
    }
    if (id == null || id.isEmpty() || asked.headers().getAll(Headers.REQUEST_ID).size() > 1) {
      return own(client, 400, null, Tally.Event.BAD_REQUEST);
    }
    long endsAt = asked.arrivedMs() + time(asked, route);
    if (route.kind() == Route.Kind.SACK) {
      return handIn(asked, route, id, endsAt, client);
    }
    Forward forward = new Forward(course, route, asked, id, endsAt, client);
    forward.start();
    return forward;
  }

  private static long time(Asked asked, Route route) {
    long most = route.giveUpMs() > 0 ? route.giveUpMs() : MOST_MS;
    return Math.min(most, Headers.number(asked.headers().get(Headers.DEADLINE_MS), most));
  }

  private Taken handIn(Asked asked, Route route, String id, long endsAt, Answering client) {
    if (!asked.method().equals("POST")) {
      return own(client, 405, id, Tally.Event.BAD_REQUEST);
    }
    course.tally().count(Tally.Event.LOT_CALL);
    long left = Math.max(1, endsAt - course.timers().now());
    return told(lots.handIn(route, id, asked.body(), left), client);
  }

  private Taken aboutLot(Asked asked, String lot, Answering client) {
    course.tally().count(Tally.Event.LOT_CALL);
    switch (asked.method()) {
      case "GET" -> {
        long after = Headers.number(parameter(asked, "after"), 0);
        long wait = Math.min(MOST_WAIT_MS, Headers.number(asked.headers().get(Headers.WAIT_MS), 0));
        return told(lots.read(lot, after, wait), client);
      }
      case "DELETE" -> {
        return told(lots.end(lot), client);
      }
      default -> {
        return own(client, 405, null, Tally.Event.BAD_REQUEST);
      }
    }
  }

  private static String parameter(Asked asked, String name) {
    List<String> values = new QueryStringDecoder(asked.uri()).parameters().get(name);
    return values == null || values.isEmpty() ? "" : values.get(0);
  }

  private static Taken told(CompletableFuture<LotCalls.Reply> reply, Answering client) {
    reply.whenComplete((r, fault) -> {
      if (fault == null) {
        Replies.lot(client, r);
      } else {
        client.breakOff(); // nothing is sure
      }
    });
    return Taken.NONE;
  }

  private Taken own(Answering client, int status, String id, Tally.Event why) {
    course.tally().count(why);
    Replies.own(client, status, id, status == 503 ? Replies.starting(course.chance()) : 0);
    return Taken.NONE;
  }
}
