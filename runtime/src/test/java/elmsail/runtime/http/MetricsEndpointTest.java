package elmsail.runtime.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.MetricsText;
import elmsail.runtime.NettyLoop;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class MetricsEndpointTest {
  private static final int MOST_BODY = 16;

  private final ManualTimers clock = new ManualTimers();
  private final Counters counters = new Counters();
  private final MetricsEndpoint endpoint = new MetricsEndpoint(counters, clock);

  private HttpReply call(String method, String path) {
    return endpoint
        .handle(new HttpCall(method, path, Map.of(), Map.of(), new byte[0]))
        .getNow(null);
  }

  private String text() {
    return new String(call("GET", "/metrics").body(), StandardCharsets.US_ASCII);
  }

  @Test
  void tellsTheFigures() {
    counters.of("calls").add(2);
    HttpReply reply = call("GET", "/metrics");
    assertThat(reply.status(), is(200));
    assertThat(reply.headers().get("Content-Type"), is(MetricsText.CONTENT_TYPE));
    assertThat(
        text(),
        is(
            "# TYPE elmsail_metrics_requests counter\nelmsail_metrics_requests 1\n"
                + "# TYPE elmsail_calls counter\nelmsail_calls 2\n"));
  }

  @Test
  void writesThemOnceASecondAtMost() {
    counters.of("calls").add(1);
    text();
    counters.of("calls").add(1);
    clock.pass(MetricsEndpoint.KEPT_MS - 1);
    assertThat(text(), containsString("elmsail_calls 1\n"));
    clock.pass(1);
    assertThat(text(), containsString("elmsail_calls 2\n"));
  }

  @Test
  void onlyGetsAndItsOwnPath() {
    HttpReply posted = call("POST", "/metrics");
    assertThat(posted.status(), is(405));
    assertThat(posted.headers(), is(Map.of("Allow", "GET")));
    assertThat(call("GET", "/metric").status(), is(404));
    assertThat(call("GET", "/metrics/").status(), is(404));
  }

  @Test
  void answersOverASocket() throws Exception {
    NettyLoop loop = new NettyLoop();
    try {
      counters.of("calls").add(7);
      HttpServer server =
          HttpServer.listen(loop, "127.0.0.1:0", new MetricsEndpoint(counters, loop), MOST_BODY)
              .get(5, TimeUnit.SECONDS);
      URI uri = URI.create("http://" + server.address() + MetricsEndpoint.PATH);
      HttpClient client = HttpClient.newHttpClient();
      HttpResponse<String> answer =
          client.send(
              HttpRequest.newBuilder(uri).GET().build(), HttpResponse.BodyHandlers.ofString());
      assertThat(answer.statusCode(), is(200));
      assertThat(answer.headers().firstValue("content-type").get(), is(MetricsText.CONTENT_TYPE));
      assertThat(answer.body(), containsString("# TYPE elmsail_calls counter\nelmsail_calls 7\n"));
      HttpResponse<String> refused =
          client.send(
              HttpRequest.newBuilder(uri)
                  .POST(HttpRequest.BodyPublishers.ofString("x".repeat(MOST_BODY + 1)))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      assertThat(refused.statusCode(), is(413));
      loop.soon(server::close);
    } finally {
      loop.stop().awaitUninterruptibly(5_000);
    }
  }
}
