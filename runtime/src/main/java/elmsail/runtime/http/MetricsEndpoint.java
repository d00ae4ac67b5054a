package elmsail.runtime.http;

import elmsail.runtime.Counters;
import elmsail.runtime.MetricsText;
import elmsail.runtime.SteadyClock;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * {@code GET /metrics}: the figures of the process as text. What was written is answered again for
 * a second, so that however often it is asked for, it costs next to nothing; the size is bounded by
 * {@link MetricsText}.
 */
public final class MetricsEndpoint implements HttpHandler {

  /** Where it is found. */
  public static final String PATH = "/metrics";

  static final long KEPT_MS = 1_000;

  private static final byte[] NOTHING = {};

  private final Counters counters;
  private final SteadyClock clock;
  private final Counters.Counter requests;
  private byte[] text;
  private long writtenAt;

  /** Tells these figures; used on their loop alone. */
  public MetricsEndpoint(Counters counters, SteadyClock clock) {
    this.counters = counters;
    this.clock = clock;
    requests = counters.of("metrics_requests");
  }

  @Override
  public CompletableFuture<HttpReply> handle(HttpCall call) {
    return CompletableFuture.completedFuture(reply(call));
  }

  private HttpReply reply(HttpCall call) {
    if (!PATH.equals(call.path())) {
      return new HttpReply(404, Map.of(), NOTHING);
    }
    if (!"GET".equals(call.method())) {
      return new HttpReply(405, Map.of("Allow", "GET"), NOTHING);
    }
    requests.add(1);
    return new HttpReply(200, Map.of("Content-Type", MetricsText.CONTENT_TYPE), text());
  }

  private byte[] text() {
    long now = clock.now();
    if (text == null || now - writtenAt >= KEPT_MS) {
      text = MetricsText.of(counters).getBytes(StandardCharsets.US_ASCII);
      writtenAt = now;
    }
    return text;
  }
}
