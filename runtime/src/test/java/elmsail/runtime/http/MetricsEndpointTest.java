package elmsail.runtime.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.PrometheusText;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class MetricsEndpointTest {
  private static final int MAX_BODY_BYTES = 16;

  private final ManualTimers clock = new ManualTimers();
  private final Counters counters = new Counters();
  private final MetricsEndpoint endpoint = new MetricsEndpoint(counters, clock);

  private SimpleHttpResponse call(String method, String path) {
    return endpoint
        .handle(new SimpleHttpRequest(method, path, Map.of(), Map.of(), new byte[0]))
        .getNow(null);
  }

  private String text() {
    return new String(call("GET", "/metrics").body(), StandardCharsets.US_ASCII);
  }

  @Test
  void respondsWithTheMetrics() {
    counters.counter("calls").add(2);
    SimpleHttpResponse response = call("GET", "/metrics");
    assertThat(response.status(), is(200));
    assertThat(response.headers().get("Content-Type"), is(PrometheusText.CONTENT_TYPE));
    assertThat(
        text(),
        is(
            "# TYPE elmsail_metrics_requests counter\nelmsail_metrics_requests 1\n"
                + "# TYPE elmsail_calls counter\nelmsail_calls 2\n"));
  }

  @Test
  void formatsOnceASecondAtMost() {
    counters.counter("calls").add(1);
    text();
    counters.counter("calls").add(1);
    clock.advance(MetricsEndpoint.CACHE_MS - 1);
    assertThat(text(), containsString("elmsail_calls 1\n"));
    clock.advance(1);
    assertThat(text(), containsString("elmsail_calls 2\n"));
  }

  @Test
  void rejectsOtherMethodsAndPaths() {
    SimpleHttpResponse posted = call("POST", "/metrics");
    assertThat(posted.status(), is(405));
    assertThat(posted.headers(), is(Map.of("Allow", "GET")));
    assertThat(call("GET", "/metric").status(), is(404));
    assertThat(call("GET", "/metrics/").status(), is(404));
  }

  @Test
  void respondsOverASocket() throws Exception {
    NettyEventLoop loop = new NettyEventLoop();
    try {
      counters.counter("calls").add(7);
      HttpServer server =
          HttpServer.listen(
                  loop, "127.0.0.1:0", new MetricsEndpoint(counters, loop), MAX_BODY_BYTES)
              .get(5, TimeUnit.SECONDS);
      URI uri = URI.create("http://" + server.address() + MetricsEndpoint.PATH);
      HttpClient client = HttpClient.newHttpClient();
      HttpResponse<String> response =
          client.send(
              HttpRequest.newBuilder(uri).GET().build(), HttpResponse.BodyHandlers.ofString());
      assertThat(response.statusCode(), is(200));
      assertThat(
          response.headers().firstValue("content-type").get(), is(PrometheusText.CONTENT_TYPE));
      assertThat(
          response.body(), containsString("# TYPE elmsail_calls counter\nelmsail_calls 7\n"));
      HttpResponse<String> refused =
          client.send(
              HttpRequest.newBuilder(uri)
                  .POST(HttpRequest.BodyPublishers.ofString("x".repeat(MAX_BODY_BYTES + 1)))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      assertThat(refused.statusCode(), is(413));
      loop.execute(server::close);
    } finally {
      loop.shutdown().awaitUninterruptibly(5_000);
    }
  }
}
