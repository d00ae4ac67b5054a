package elmsail.runtime.http;

import elmsail.runtime.Counters;
import elmsail.runtime.MonotonicClock;
import elmsail.runtime.PrometheusText;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * {@code GET /metrics}: the metrics of the process as text. The text is cached for a second, so
 * that frequent requests cost little; its size is bounded by {@link PrometheusText}.
 */
public final class MetricsEndpoint implements HttpHandler {

  /** The path of the endpoint. */
  public static final String PATH = "/metrics";

  static final long CACHE_MS = 1_000;

  private static final byte[] EMPTY_BODY = {};

  private final Counters counters;
  private final MonotonicClock clock;
  private final Counters.Counter requests;
  private byte[] cachedText;
  private long cachedAt;

  /** Serves these metrics; confined to their event loop. */
  public MetricsEndpoint(Counters counters, MonotonicClock clock) {
    this.counters = counters;
    this.clock = clock;
    requests = counters.counter("metrics_requests");
  }

  @Override
  public CompletableFuture<SimpleHttpResponse> handle(SimpleHttpRequest request) {
    return CompletableFuture.completedFuture(respond(request));
  }

  private SimpleHttpResponse respond(SimpleHttpRequest request) {
    if (!PATH.equals(request.path())) {
      return new SimpleHttpResponse(404, Map.of(), EMPTY_BODY);
    }
    if (!"GET".equals(request.method())) {
      return new SimpleHttpResponse(405, Map.of("Allow", "GET"), EMPTY_BODY);
    }
    requests.add(1);
    return new SimpleHttpResponse(
        200, Map.of("Content-Type", PrometheusText.CONTENT_TYPE), cachedText());
  }

  private byte[] cachedText() {
    long now = clock.now();
    if (cachedText == null || now - cachedAt >= CACHE_MS) {
      cachedText = PrometheusText.format(counters).getBytes(StandardCharsets.US_ASCII);
      cachedAt = now;
    }
    return cachedText;
  }
}
