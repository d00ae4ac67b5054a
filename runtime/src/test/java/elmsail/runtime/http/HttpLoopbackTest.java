package elmsail.runtime.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.NettyEventLoop;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.function.Executable;

@Timeout(30)
class HttpLoopbackTest {

  private static final InetAddress HERE = InetAddress.getLoopbackAddress();
  private static final long TIMEOUT_MS = 20_000;

  private final NettyEventLoop loop = new NettyEventLoop();
  private final NettyHttpClient client = new NettyHttpClient(loop);

  @AfterEach
  void end() throws Exception {
    loop.shutdown().get();
  }

  private HttpServer serve() {
    return HttpServer.listen(
            loop,
            "127.0.0.1:0",
            request ->
                CompletableFuture.completedFuture(
                    new SimpleHttpResponse(
                        200,
                        Map.of("X-Path", request.path()),
                        request.query().toString().getBytes(StandardCharsets.UTF_8))),
            100)
        .join();
  }

  private ErrorCode failure(String address, long limitMs) {
    CompletionException failed =
        assertThrows(CompletionException.class, () -> client.get(address, "/", limitMs).join());
    return ElmsailException.codeOf(failed);
  }

  @Test
  void clientReceivesTheServersResponse() {
    SimpleHttpResponse response =
        client.get(serve().address(), "/servers?zone=a%20b", TIMEOUT_MS).join();
    assertThat(response.status(), is(200));
    assertThat(response.headers().get("x-path"), is("/servers"));
    assertThat(new String(response.body(), StandardCharsets.UTF_8), is("{zone=a b}"));
  }

  @Test
  void serverReceivesThePostedHeadersAndBody() {
    List<SimpleHttpRequest> received = new ArrayList<>();
    HttpServer server =
        HttpServer.listen(
                loop,
                "127.0.0.1:0",
                request -> {
                  received.add(request);
                  return CompletableFuture.completedFuture(
                      new SimpleHttpResponse(409, Map.of(), new byte[0]));
                },
                100)
            .join();
    byte[] body = "{\"window_no\":7}".getBytes(StandardCharsets.UTF_8);
    SimpleHttpResponse response =
        client
            .post(server.address(), "/usage", Map.of("Elmsail-Fence", "12"), body, TIMEOUT_MS)
            .join();
    assertThat(response.status(), is(409));
    SimpleHttpRequest request = received.get(0);
    assertThat(request.method(), is("POST"));
    assertThat(request.path(), is("/usage"));
    assertThat(request.headers().get("elmsail-fence"), is("12"));
    assertThat(request.headers().get("content-length"), is("15"));
    assertThat(request.body(), is(body));
  }

  @Test
  void emptyPostSaysItsLength() {
    HttpServer server = serve();
    assertThat(
        client.post(server.address(), "/p", Map.of(), new byte[0], TIMEOUT_MS).join().status(),
        is(200));
    assertThat(
        HttpClientRequest.post("/p", Map.of(), new byte[0]).formatHead("h"),
        is("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
    assertThat(
        HttpClientRequest.get("/p").formatHead("h"),
        is("GET /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
  }

  @Test
  void requestsThatWouldBreakTheirFramingAreRefused() {
    assertInvalid(() -> HttpClientRequest.get("/a b"));
    assertInvalid(() -> HttpClientRequest.get("/a\r\nX: y"));
    assertInvalid(() -> HttpClientRequest.post("/", Map.of("X\r\nY", "1"), new byte[0]));
    assertInvalid(() -> HttpClientRequest.post("/", Map.of("X", "1\r\nY: 2"), new byte[0]));
    assertInvalid(() -> HttpClientRequest.post("/", Map.of("X:", "1"), new byte[0]));
  }

  private static void assertInvalid(Executable makesRequest) {
    ElmsailException refused = assertThrows(ElmsailException.class, makesRequest);
    assertThat(refused.code(), is(ErrorCode.INVALID_ARGUMENT));
  }

  @Test
  void listenFailsOnAnAddressInUse() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, HERE)) {
      CompletionException failed =
          assertThrows(
              CompletionException.class,
              () ->
                  HttpServer.listen(loop, "127.0.0.1:" + taken.getLocalPort(), request -> null, 1)
                      .join());
      assertThat(ElmsailException.codeOf(failed), is(ErrorCode.INVALID_SETTINGS));
    }
  }

  @Test
  void closesConnectionsAboveTheLimit() throws Exception {
    HttpServer serving = serve();
    int port = Integer.parseInt(serving.address().split(":")[1]);
    List<Socket> open = new ArrayList<>();
    try {
      for (int i = 0; i < HttpServer.MAX_CONNECTIONS; i++) {
        open.add(new Socket(HERE, port));
      }
      // The last of them has been taken on once it is answered.
      Socket last = open.get(open.size() - 1);
      last.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertThat(last.getInputStream().read(), is((int) 'H'));
      try (Socket extra = new Socket(HERE, port)) {
        assertThat(extra.getInputStream().read(), is(-1));
      }
    } finally {
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  @Test
  void refusedConnectionFailsAsNotSent() throws Exception {
    int free;
    try (ServerSocket socket = new ServerSocket(0, 1, HERE)) {
      free = socket.getLocalPort();
    }
    assertThat(failure("127.0.0.1:" + free, TIMEOUT_MS), is(ErrorCode.NOT_SENT));
  }

  @Test
  void timeoutConnectionLossAndMalformedResponseHaveTheirCodes() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, HERE)) {
      String address = "127.0.0.1:" + server.getLocalPort();
      assertThat(failure(address, 100), is(ErrorCode.TIMEOUT));
      server.accept().close();
      assertThat(
          answered(server, address, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal"),
          is(ErrorCode.CONNECTION_LOST));
      assertThat(answered(server, address, ""), is(ErrorCode.CONNECTION_LOST));
      assertThat(answered(server, address, "rubbish\r\n\r\n"), is(ErrorCode.MALFORMED));
      assertThat(
          answered(
              server,
              address,
              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx"),
          is(ErrorCode.MALFORMED));
    }
  }

  private ErrorCode answered(ServerSocket server, String address, String bytes) throws Exception {
    CompletableFuture<SimpleHttpResponse> reply = client.get(address, "/", TIMEOUT_MS);
    try (Socket socket = server.accept()) {
      InputStream in = socket.getInputStream();
      StringBuilder request = new StringBuilder();
      while (request.indexOf("\r\n\r\n") < 0) {
        request.append((char) in.read());
      }
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }
    return ElmsailException.codeOf(assertThrows(CompletionException.class, reply::join));
  }
}
