package elmsail.gateway.requests;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers;
import elmsail.config.Route;
import elmsail.gateway.http.Headers;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.servers.Prompt;
import elmsail.gateway.servers.SelectionMode;
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
  private final ItemFailures failures = new ItemFailures();

  /** Sends items by the same servers and counters as plain requests. */
  public ItemDispatcher(RequestProgress course) {
    this.course = course;
  }

  @Override
  public int availableCapacity(Route route) {
    long now = course.timers().now();
    int sum = 0;
    for (Server s : course.servers().of(route)) {
      sum += s.itemRoom(now);
    }
    return sum;
  }

  @Override
  public RunHandle start(Route route, BatchItem piece, long lastEventId, RunListener heard) {
    long now = course.timers().now();
    List<Server> open = course.servers().of(route);
    Set<Server> excluded = serversThatFailed(piece.id(), open);
    for (Server s : open) {
      if (s.itemRoom(now) <= 0) {
        excluded.add(s);
      }
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    for (Map.Entry<String, String> e : piece.headers().entrySet()) {
      headers.set(e.getKey(), e.getValue());
    }
    headers.set("Host", route.host());
    Prompt prompt = Prompt.read(headers.get(Headers.PROMPT_PREFIX), headers.get(Headers.TOKENS));
    boolean mayProbe = route.maxAttempts() > 1 && !failures.any(piece.id());
    Server server =
        course
            .servers()
            .choose(
                route,
                prompt,
                excluded,
                mayProbe ? SelectionMode.PROBE_ALLOWED : SelectionMode.SINGLE);
    if (server == null || !mayProbe && course.servers().avoided(server)) {
      return null;
    }
    course.counters().count(RequestCounters.Event.ITEM);
    ClientRequest letter =
        new ClientRequest(
            piece.id(),
            "POST",
            piece.path(),
            headers,
            piece.body(),
            PRIORITY,
            true,
            course.timers(),
            Long.MAX_VALUE);
    if (lastEventId >= 0) {
      letter.goOnBehind(lastEventId);
    }
    ItemRun run =
        new ItemRun(
            course.timers(), lastEventId, new FailureRecorder(piece.id(), server.id(), heard));
    run.on(course.servers().start(server, letter, run));
    return run;
  }

  /** The servers that failed the item, as long as there are others that can be chosen. */
  private Set<Server> serversThatFailed(String itemId, List<Server> open) {
    Set<Server> failed = new HashSet<>();
    boolean others = false;
    for (Server server : open) {
      if (failures.failed(itemId, server.id())) {
        failed.add(server);
      } else {
        others |= course.servers().available(server);
      }
    }
    return others ? failed : new HashSet<>();
  }

  /** Keeps which server failed the item, and passes all on. */
  private final class FailureRecorder implements RunListener {
    private final String itemId;
    private final String serverId;
    private final RunListener listener;

    FailureRecorder(String itemId, String serverId, RunListener listener) {
      this.itemId = itemId;
      this.serverId = serverId;
      this.listener = listener;
    }

    @Override
    public void onEvent(long id, byte[] data) {
      listener.onEvent(id, data);
    }

    @Override
    public void onEnded(RunOutcome how) {
      switch (how) {
        case FAILED -> failures.add(itemId, serverId);
        case WHOLE, NEVER -> failures.remove(itemId);
        default -> {}
      }
      listener.onEnded(how);
    }
  }
}
