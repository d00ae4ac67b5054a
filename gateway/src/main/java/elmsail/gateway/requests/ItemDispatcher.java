package elmsail.gateway.requests;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers;
import elmsail.config.Route;
import elmsail.gateway.http.Headers;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.servers.Prompt;
import elmsail.gateway.servers.Server;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runs jobs' items in the places that plain requests leave. */
public final class ItemDispatcher implements ItemServers {
  private static final int PRIORITY = 8;

  private final RequestProgress course;

  /** Sends items by the same servers and counters as plain requests. */
  public ItemDispatcher(RequestProgress course) {
    this.course = course;
  }

  @Override
  public int room(Route route) {
    long now = course.timers().now();
    int sum = 0;
    for (Server s : course.servers().of(route)) {
      sum += s.itemRoom(now);
    }
    return sum;
  }

  @Override
  public Running start(Route route, BatchItem piece, long lastEventId, RunListener heard) {
    long now = course.timers().now();
    List<Server> open = course.servers().of(route);
    Set<Server> full = new HashSet<>();
    for (Server s : open) {
      if (s.itemRoom(now) <= 0) {
        full.add(s);
      }
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    for (Map.Entry<String, String> e : piece.envelope().entrySet()) {
      headers.set(e.getKey(), e.getValue());
    }
    headers.set("Host", route.host());
    Prompt prompt = Prompt.read(headers.get(Headers.PROMPT_PREFIX), headers.get(Headers.TOKENS));
    Server server = course.servers().choose(route, prompt, full);
    if (server == null) {
      return null;
    }
    course.counters().count(RequestCounters.Event.ITEM);
    ClientRequest letter =
        new ClientRequest(
            piece.id(),
            "POST",
            piece.lane(),
            headers,
            piece.contents(),
            PRIORITY,
            true,
            course.timers(),
            Long.MAX_VALUE);
    if (lastEventId >= 0) {
      letter.goOnBehind(lastEventId);
    }
    ItemRun run = new ItemRun(course.timers(), lastEventId, heard);
    run.on(course.servers().start(server, letter, run));
    return run;
  }
}
