package elmsail.gateway;

import elmsail.batch.BatchService;
import elmsail.config.Route;
import elmsail.config.ServerEntry;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A gateway over loopback with two stand-in servers that the test speaks for. */
public final class Rig implements AutoCloseable {
  public final NettyEventLoop loop = new NettyEventLoop();

  /** The loop's, ahead by what the test has passed. */
  public final PassedTimers timers = new PassedTimers(loop);

  public final FakeKnown known = new FakeKnown();
  public final FakeLots jobs = new FakeLots();
  public final Wire.Stall first = new Wire.Stall();
  public final Wire.Stall second = new Wire.Stall();
  public final Gateway gateway;
  private final List<Wire> clients = new ArrayList<>();

  /** Answers calls about jobs with what the test has set. */
  public static final class FakeLots implements BatchService {
    public volatile Reply reply = new Reply(202, new byte[0], 0);
    public volatile String asked = "";

    private CompletableFuture<Reply> response(String what) {
      asked = what;
      return CompletableFuture.completedFuture(reply);
    }

    @Override
    public CompletableFuture<Reply> submit(
        Route route, String jobId, byte[] body, long deadlineMs) {
      return response("handIn " + route.name() + " " + jobId + " " + body.length);
    }

    @Override
    public CompletableFuture<Reply> readResults(String jobId, long after, long waitMs) {
      return response("read " + jobId + " " + after + " " + waitMs);
    }

    @Override
    public CompletableFuture<Reply> readItemBody(String jobId, String itemId) {
      return response("item " + jobId + " " + itemId);
    }

    @Override
    public CompletableFuture<Reply> end(String jobId) {
      return response("end " + jobId);
    }
  }

  public Rig() throws Exception {
    known.route("safe", Route.Kind.SAFE, 2, false);
    known.route("unsafe", Route.Kind.UNSAFE, 2, false);
    known.route("once", Route.Kind.UNSAFE, 1, false);
    known.route("stream", Route.Kind.STREAM, 2, false);
    known.route("resume", Route.Kind.STREAM, 2, true);
    known.route("lots", Route.Kind.BATCH, 2, false);
    known.route("sack", Route.Kind.BATCH, 2, false);
    serve(first);
    Settings settings =
        new Settings(
            "c1",
            "gateway",
            "counter",
            Set.of("counter"),
            "127.0.0.1",
            "z",
            "r",
            Map.of(),
            Map.of("front", "127.0.0.1:0", "ready", "127.0.0.1:0"),
            0,
            0,
            List.of(),
            true,
            true,
            new Settings.Limits(1, 256, 4_000, 100, 0),
            null,
            Set.of(),
            1,
            new Settings.Bounds(
                3_000, 4_000, 5_000, 3_000, 8_000, 200, 2_000, 120, 120_000, 3_000, 1_000, 0.1,
                2_000),
            null);
    gateway =
        onLoop(() -> Gateway.start(settings, loop, timers, known, jobs, ProcessMetrics.strict()))
            .get(5, TimeUnit.SECONDS);
  }

  /** Runs on the loop and waits for it. */
  public <T> T onLoop(Callable<T> what) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            done.complete(what.call());
          } catch (Exception e) {
            done.completeExceptionally(e);
          }
        });
    return done.get(5, TimeUnit.SECONDS);
  }

  /**
   * The list has these, as i-0, i-1... The first one is in the gateway's zone, so it is chosen
   * first.
   */
  public void serve(Wire.Stall... stalls) throws Exception {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < stalls.length; i++) {
      entries.add(
          new ServerEntry("i-" + i, "s", stalls[i].address(), i == 0 ? "z" : "far", 24, false, 0));
    }
    list(entries);
  }

  public void list(List<ServerEntry> entries) throws Exception {
    onLoop(
        () -> {
          known.servers = entries;
          known.changed();
          return null;
        });
  }

  public Wire client() {
    Wire wire = Wire.to(gateway.frontAddress());
    clients.add(wire);
    return wire;
  }

  /** A client that has asked on a route. */
  public Wire request(String route, String id, String... headers) {
    return client().write(requestText(route, id, headers));
  }

  public static String requestText(String route, String id, String... headers) {
    StringBuilder text =
        new StringBuilder(
            "POST /"
                + route
                + "/2f HTTP/1.1\r\nHost: "
                + FakeKnown.HOST
                + "\r\nElmsail-Request-Id: "
                + id
                + "\r\n");
    for (String h : headers) {
      text.append(h).append("\r\n");
    }
    return text + "Content-Length: 4\r\n\r\nbody";
  }

  /** A server's answer with a length. */
  public static String answer(int status, String id, String body, String... headers) {
    StringBuilder text =
        new StringBuilder("HTTP/1.1 " + status + " X\r\nElmsail-Request-Id: " + id + "\r\n");
    for (String h : headers) {
      text.append(h).append("\r\n");
    }
    return text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  public static String good(String id, String body) {
    return answer(200, id, body, "Elmsail-Postmark: stamp-" + id);
  }

  public static String notRun(int status, String id) {
    return answer(status, id, "", "Elmsail-Not-Run: 1");
  }

  /** The head of a stream. */
  public static String streamHead(String id, String stamp) {
    return "HTTP/1.1 200 OK\r\nElmsail-Request-Id: "
        + id
        + "\r\nElmsail-Postmark: "
        + stamp
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  public static String chunk(String data) {
    return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
  }

  public static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  @Override
  public void close() {
    clients.forEach(Wire::close);
    first.close();
    second.close();
    loop.shutdown().awaitUninterruptibly(5, TimeUnit.SECONDS);
  }
}
