package elmsail.runtime.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerConnectionTest {

  private static final int MAX_BODY_BYTES = 20;

  private final ManualTimers clock = new ManualTimers();
  private final List<SimpleHttpRequest> requests = new ArrayList<>();
  private final List<CompletableFuture<SimpleHttpResponse>> responses = new ArrayList<>();
  private final EmbeddedChannel channel = new EmbeddedChannel();

  HttpServerConnectionTest() {
    HttpServerConnection.initPipeline(
        channel,
        clock,
        request -> {
          requests.add(request);
          responses.add(new CompletableFuture<>());
          return responses.get(responses.size() - 1);
        },
        MAX_BODY_BYTES);
    channel.pipeline().fireChannelActive();
  }

  @AfterEach
  void end() {
    channel.finishAndReleaseAll();
    assertThat("timers left", clock.pendingTimers(), is(0));
  }

  private void send(String text) {
    channel.writeInbound(
        Unpooled.copiedBuffer(text.replace("|", "\r\n"), StandardCharsets.ISO_8859_1));
  }

  private String sent() {
    StringBuilder all = new StringBuilder();
    for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
      all.append(out.toString(StandardCharsets.ISO_8859_1));
      out.release();
    }
    return all.toString();
  }

  private void respond(int call, String body) {
    responses
        .get(call)
        .complete(
            new SimpleHttpResponse(
                200,
                Map.of("content-type", "text/plain"),
                body.getBytes(StandardCharsets.US_ASCII)));
    channel.runPendingTasks();
  }

  @Test
  void handlerReceivesTheCompleteRequest() {
    send("POST /a%20b?x=1%202&y=&x=9 HTTP/1.1|Host: h|Elmsail-Based-On: 5|Content-Length: 4||bo");
    assertThat(requests, empty());
    send("dy");
    SimpleHttpRequest request = requests.get(0);
    assertThat(request.method(), is("POST"));
    assertThat(request.path(), is("/a%20b"));
    assertThat(request.query(), is(Map.of("x", "1 2", "y", "")));
    assertThat(request.headers().get("elmsail-based-on"), is("5"));
    assertThat(new String(request.body(), StandardCharsets.US_ASCII), is("body"));
  }

  @Test
  void respondsInOrderOnAKeptAliveConnection() {
    send(
        "GET /a HTTP/1.1|Host: h||GET /b HTTP/1.1|Host: h||GET /c HTTP/1.1|Host: h|Connection: close||");
    assertThat("one at a time", requests.size(), is(1));
    respond(0, "A");
    assertThat(
        sent(), is("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 1\r\n\r\nA"));
    assertThat(requests.size(), is(2));
    respond(1, "B");
    respond(2, "C");
    assertThat(sent(), containsString("connection: close\r\n\r\nC"));
    assertThat(channel.isOpen(), is(false));
    assertThat(requests.size(), is(3));
  }

  @Test
  void keepsOrderWhenHandlersCompleteAtOnce() {
    List<String> paths = new ArrayList<>();
    EmbeddedChannel quick = new EmbeddedChannel();
    HttpServerConnection.initPipeline(
        quick,
        clock,
        request -> {
          paths.add(request.path());
          return CompletableFuture.completedFuture(
              new SimpleHttpResponse(200, Map.of(), new byte[0]));
        },
        MAX_BODY_BYTES);
    String rest = " HTTP/1.1\r\n\r\n";
    quick.writeInbound(
        Unpooled.copiedBuffer(
            "GET /1" + rest + "GET /2" + rest + "GET /3" + rest, StandardCharsets.US_ASCII));
    assertThat(paths, contains("/1", "/2", "/3"));
    quick.finishAndReleaseAll();
  }

  @Test
  void failedHandlerGets503AndTheConnectionStaysUsable() {
    send("GET /a HTTP/1.1||");
    responses
        .get(0)
        .completeExceptionally(new ElmsailException(ErrorCode.NO_QUORUM, "no majority"));
    assertThat(sent(), startsWith("HTTP/1.1 503 "));
    assertThat(channel.isOpen(), is(true));
    send("GET /b HTTP/1.1||");
    respond(1, "");
    assertThat(sent(), startsWith("HTTP/1.1 200 "));
  }

  @Test
  void rejectsBodiesAboveTheLimit() {
    send("POST / HTTP/1.1|Content-Length: 21||");
    assertThat(sent(), startsWith("HTTP/1.1 413 "));
    assertThat(channel.isOpen(), is(false));
    assertThat(requests, empty());
  }

  @Test
  void rejectsChunkedBodiesAboveTheLimit() {
    send("POST / HTTP/1.1|Transfer-Encoding: chunked||a|0123456789|a|0123456789|");
    assertThat(sent(), is(""));
    send("1|x|0||");
    assertThat(sent(), startsWith("HTTP/1.1 413 "));
    assertThat(requests, empty());
  }

  @Test
  void acceptsABodyOfExactlyTheLimit() {
    send("POST / HTTP/1.1|Transfer-Encoding: chunked||a|0123456789|a|0123456789|0||");
    assertThat(requests.get(0).body().length, is(MAX_BODY_BYTES));
  }

  @Test
  void rejectsHeadersAboveTheLimit() {
    send("GET / HTTP/1.1|A: " + "a".repeat(HttpServerConnection.MAX_HEADER_BYTES) + "||");
    assertThat(sent(), startsWith("HTTP/1.1 431 "));
    assertThat(channel.isOpen(), is(false));
  }

  @Test
  void rejectsMalformedRequestsAndIgnoresWhatFollows() {
    send(
        "POST / HTTP/1.1|Content-Length: 5|Transfer-Encoding: chunked||0||GET /smuggled HTTP/1.1||");
    assertThat(sent(), startsWith("HTTP/1.1 400 "));
    assertThat(channel.isOpen(), is(false));
    assertThat(requests, empty());
  }

  @Test
  void rejectsAMalformedChunk() {
    send("POST / HTTP/1.1|Transfer-Encoding: chunked||zz|");
    assertThat(sent(), startsWith("HTTP/1.1 400 "));
    assertThat(requests, empty());
  }

  @Test
  void rejectsTwoHostHeaders() {
    send("GET / HTTP/1.1|Host: a|Host: b||");
    assertThat(sent(), startsWith("HTTP/1.1 400 "));
    assertThat(requests, empty());
  }

  @Test
  void rejectsAMalformedEscapeInTheQuery() {
    send("GET /?a=%zz HTTP/1.1||");
    assertThat(sent(), startsWith("HTTP/1.1 400 "));
  }

  @Test
  void sends100ContinueWhenExpected() {
    send("POST / HTTP/1.1|Expect: 100-continue|Content-Length: 2||");
    assertThat(sent(), startsWith("HTTP/1.1 100 "));
    send("ab");
    respond(0, "done");
    assertThat(sent(), startsWith("HTTP/1.1 200 "));
  }

  @Test
  void closesAnIdleConnection() {
    clock.advance(HttpServerConnection.IDLE_TIMEOUT_MS - 1);
    assertThat(channel.isOpen(), is(true));
    clock.advance(1);
    assertThat(channel.isOpen(), is(false));
  }

  @Test
  void closesAConnectionWhoseRequestNeverCompletes() {
    clock.advance(10_000);
    send("POST / HTTP/1.1|Content-Length: 10||");
    for (int i = 0; i < 9; i++) {
      clock.advance(1_600);
      send("x");
    }
    assertThat(channel.isOpen(), is(true));
    clock.advance(1_600);
    assertThat(channel.isOpen(), is(false));
    assertThat(requests, empty());
  }

  @Test
  void keepsAConnectionWhileItsRequestIsHandled() {
    send("GET / HTTP/1.1||");
    clock.advance(3 * HttpServerConnection.IDLE_TIMEOUT_MS);
    respond(0, "late");
    assertThat(sent(), containsString("late"));
    clock.advance(HttpServerConnection.IDLE_TIMEOUT_MS);
    assertThat(channel.isOpen(), is(false));
  }

  @Test
  void dropsAResponseToAClosedConnection() {
    send("GET / HTTP/1.1||GET /behind HTTP/1.1||");
    channel.close();
    respond(0, "late");
    assertThat(sent(), is(""));
    assertThat(requests.size(), is(1));
  }
}
