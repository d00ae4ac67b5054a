package elmsail.runtime.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.NettyEventLoop;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Small calls whose connections end, in order or by a reset, at each byte. */
@Timeout(60)
class TruncatedMessageTest {

  private static final long TIMEOUT_MS = 20_000;
  private static final int MAX_BODY_BYTES = 100;
  private static final String LENGTH =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nwhole";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n";
  private static final String UNTIL_END = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nwhole";

  private final NettyEventLoop loop = new NettyEventLoop();
  private final NettyHttpClient client = new NettyHttpClient(loop);

  @AfterEach
  void end() throws Exception {
    loop.shutdown().get();
  }

  /** Asks a server that reads the call, says these bytes, and ends the connection. */
  private CompletableFuture<SimpleHttpResponse> getFromServerThatSends(String bytes, boolean reset)
      throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<SimpleHttpResponse> reply =
          client.get("127.0.0.1:" + server.getLocalPort(), "/", TIMEOUT_MS);
      try (Socket socket = server.accept()) {
        readRequestHead(socket);
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        if (reset) {
          socket.setSoLinger(true, 0);
        }
      }
      return reply;
    }
  }

  private static void readRequestHead(Socket socket) throws IOException {
    int matched = 0;
    while (matched < "\r\n\r\n".length()) {
      matched = socket.getInputStream().read() == "\r\n\r\n".charAt(matched) ? matched + 1 : 0;
    }
  }

  private static ErrorCode codeOf(CompletableFuture<SimpleHttpResponse> reply) {
    return ElmsailException.codeOf(assertThrows(CompletionException.class, reply::join));
  }

  private static String text(SimpleHttpResponse response) {
    return new String(response.body(), StandardCharsets.ISO_8859_1);
  }

  @ParameterizedTest
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void truncatedResponseFails(boolean chunked, boolean reset) throws IOException {
    String response = chunked ? CHUNKED : LENGTH;
    for (int cut = 0; cut < response.length(); cut++) {
      CompletableFuture<SimpleHttpResponse> reply =
          getFromServerThatSends(response.substring(0, cut), reset);
      ErrorCode code = codeOf(reply);
      boolean known = code == ErrorCode.CONNECTION_LOST || code == ErrorCode.MALFORMED;
      assertThat("cut at " + cut + ": " + code, known, is(true));
    }
    if (!reset) {
      assertThat(text(getFromServerThatSends(response, false).join()), is("whole"));
    }
  }

  @Test
  void responseWithoutALengthNeedsAnOrderlyClose() throws IOException {
    assertThat(text(getFromServerThatSends(UNTIL_END, false).join()), is("whole"));
    assertThat(codeOf(getFromServerThatSends(UNTIL_END, true)), is(ErrorCode.CONNECTION_LOST));
  }

  @Test
  void bytesAfterAResponseAreIgnored() throws IOException {
    assertThat(
        text(getFromServerThatSends(LENGTH + LENGTH.replace("whole", "other"), false).join()),
        is("whole"));
  }

  @Test
  void truncatedRequestIsNotHandled() {
    String call = "POST /Timetable.Replace HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nwhole";
    for (int cut = 0; cut <= call.length(); cut++) {
      AtomicInteger calls = new AtomicInteger();
      EmbeddedChannel channel = new EmbeddedChannel();
      HttpServerConnection.initPipeline(
          channel,
          new ManualTimers(),
          given -> {
            calls.incrementAndGet();
            return new CompletableFuture<>();
          },
          MAX_BODY_BYTES);
      channel.pipeline().fireChannelActive();
      channel.writeInbound(
          Unpooled.copiedBuffer(call.substring(0, cut), StandardCharsets.ISO_8859_1));
      channel.finishAndReleaseAll();
      assertThat("cut at " + cut, calls.get(), is(cut < call.length() ? 0 : 1));
    }
  }
}
