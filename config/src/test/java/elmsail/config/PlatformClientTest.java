package elmsail.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.sameInstance;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.http.HttpClient;
import elmsail.runtime.http.SimpleHttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class PlatformClientTest {
  private final ManualTimers timers = new ManualTimers();
  private final List<String> requestedPaths = new ArrayList<>();
  private final List<CompletableFuture<SimpleHttpResponse>> pendingReplies = new ArrayList<>();
  private final HttpClient httpClient =
      (address, request, timeoutMs) -> {
        assertThat(address, equalTo("10.200.0.79:8169"));
        assertThat(timeoutMs, equalTo(700L));
        requestedPaths.add(request.pathAndQuery());
        pendingReplies.add(new CompletableFuture<>());
        return pendingReplies.get(pendingReplies.size() - 1);
      };
  private final PlatformClient platformClient =
      new PlatformClient(httpClient, "10.200.0.79:8169", timers);

  private void reply(int status, String body) {
    pendingReplies
        .get(pendingReplies.size() - 1)
        .complete(new SimpleHttpResponse(status, Map.of(), SampleConfigs.bytes(body)));
  }

  private static String page(String next, String... ids) {
    StringBuilder all = new StringBuilder();
    for (String id : ids) {
      all.append(all.length() == 0 ? "" : ",")
          .append("{\"id\":\"")
          .append(id)
          .append(
              "\",\"postal_line\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
                  + "\"state\":\"open_for_post\"}");
    }
    return "{\"servers\":["
        + all
        + "],\"next_token\":"
        + (next == null ? "null" : "\"" + next + "\"")
        + "}";
  }

  private static List<String> idsOf(CompletableFuture<List<ServerEntry>> fetched) {
    List<String> ids = new ArrayList<>();
    for (ServerEntry server : fetched.join()) {
      ids.add(server.id());
    }
    return ids;
  }

  private static ErrorCode errorCodeOf(CompletableFuture<List<ServerEntry>> failed) {
    try {
      failed.join();
    } catch (CompletionException e) {
      return ElmsailException.codeOf(e);
    }
    throw new AssertionError("the fetch did not fail");
  }

  @Test
  void followsPageTokensToTheLastPage() {
    CompletableFuture<List<ServerEntry>> all = platformClient.fetch();
    timers.advance(100);
    reply(200, page("p 50&=", "i-1", "i-2"));
    timers.advance(100);
    reply(200, page("", "i-3", "i-1"));
    assertThat(requestedPaths, contains("/servers", "/servers?page_token=p+50%26%3D"));
    assertThat(idsOf(all), contains("i-1", "i-2", "i-3"));
    assertThat(platformClient.fetchedAtMs(), equalTo(1_000L));
    assertThat(platformClient.lastPageCount(), equalTo(2));
  }

  @Test
  void concurrentFetchesShareOneRequest() {
    CompletableFuture<List<ServerEntry>> first = platformClient.fetch();
    assertThat(platformClient.fetch(), sameInstance(first));
    assertThat(requestedPaths, hasSize(1));
    reply(200, page(null));
    assertThat(idsOf(first), hasSize(0));
    platformClient.fetch();
    assertThat(requestedPaths, hasSize(2));
  }

  @Test
  void failsWithResourceExhaustedOn429() {
    CompletableFuture<List<ServerEntry>> all = platformClient.fetch();
    reply(200, page("p", "i-1"));
    reply(429, "");
    assertThat(errorCodeOf(all), equalTo(ErrorCode.RESOURCE_EXHAUSTED));
    CompletableFuture<List<ServerEntry>> again = platformClient.fetch();
    reply(200, page(null, "i-2"));
    assertThat(idsOf(again), contains("i-2"));
  }

  @Test
  void failsOnOtherStatusesTruncatedPagesAndTimeouts() {
    CompletableFuture<List<ServerEntry>> all = platformClient.fetch();
    reply(500, page(null));
    assertThat(errorCodeOf(all), equalTo(ErrorCode.MALFORMED));
    all = platformClient.fetch();
    reply(200, "{\"servers\":[");
    assertThat(errorCodeOf(all), equalTo(ErrorCode.MALFORMED));
    all = platformClient.fetch();
    pendingReplies
        .get(2)
        .completeExceptionally(new ElmsailException(ErrorCode.TIMEOUT, "no response"));
    assertThat(errorCodeOf(all), equalTo(ErrorCode.TIMEOUT));
  }

  @Test
  void failsOnMoreThanTheMaximumOfPages() {
    CompletableFuture<List<ServerEntry>> all = platformClient.fetch();
    for (int i = 0; i < 500; i++) {
      assertThat(all.isDone(), equalTo(false));
      reply(200, page("p", "i-" + i));
    }
    assertThat(errorCodeOf(all), equalTo(ErrorCode.MALFORMED));
    assertThat(requestedPaths, hasSize(500));
  }
}
