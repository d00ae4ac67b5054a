package elmsail.runtime.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.NettyLoop;
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

@Timeout(30)
class HttpLoopbackTest {

  private static final InetAddress HERE = InetAddress.getLoopbackAddress();
  private static final long LIMIT_MS = 20_000;

  private final NettyLoop loop = new NettyLoop();
  private final NettyHttpClient client = new NettyHttpClient(loop);

  @AfterEach
  void end() throws Exception {
    loop.stop().get();
  }

  private HttpServer serve() {
    return HttpServer.listen(
            loop,
            "127.0.0.1:0",
            call ->
                CompletableFuture.completedFuture(
                    new HttpReply(
                        200,
                        Map.of("X-Path", call.path()),
                        call.query().toString().getBytes(StandardCharsets.UTF_8))),
            100)
        .join();
  }

  private ErrorCode failure(String address, long limitMs) {
    CompletionException failed =
        assertThrows(CompletionException.class, () -> client.get(address, "/", limitMs).join());
    return ElmsailException.codeOf(failed);
  }

  @Test
  void asksWhatIsServed() {
    HttpReply reply = client.get(serve().address(), "/servers?zone=a%20b", LIMIT_MS).join();
    assertThat(reply.status(), is(200));
    assertThat(reply.headers().get("x-path"), is("/servers"));
    assertThat(new String(reply.body(), StandardCharsets.UTF_8), is("{zone=a b}"));
  }

  @Test
  void failsToListenWhereSomeoneDoes() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, HERE)) {
      CompletionException failed =
          assertThrows(
              CompletionException.class,
              () ->
                  HttpServer.listen(loop, "127.0.0.1:" + taken.getLocalPort(), call -> null, 1)
                      .join());
      assertThat(ElmsailException.codeOf(failed), is(ErrorCode.BAD_SETTINGS));
    }
  }

  @Test
  void closesConnectionsThatAreTooMany() throws Exception {
    HttpServer serving = serve();
    int port = Integer.parseInt(serving.address().split(":")[1]);
    List<Socket> open = new ArrayList<>();
    try {
      for (int i = 0; i < HttpServer.MOST_CONNECTIONS; i++) {
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
  void tellsACallThatWasNotSent() throws Exception {
    int free;
    try (ServerSocket socket = new ServerSocket(0, 1, HERE)) {
      free = socket.getLocalPort();
    }
    assertThat(failure("127.0.0.1:" + free, LIMIT_MS), is(ErrorCode.UNSENT));
  }

  @Test
  void tellsSilenceAndABreakAndBytesThatAreNoAnswer() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, HERE)) {
      String address = "127.0.0.1:" + server.getLocalPort();
      assertThat(failure(address, 100), is(ErrorCode.SILENT));
      server.accept().close();
      assertThat(
          answered(server, address, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal"),
          is(ErrorCode.BROKEN));
      assertThat(answered(server, address, ""), is(ErrorCode.BROKEN));
      assertThat(answered(server, address, "rubbish\r\n\r\n"), is(ErrorCode.GARBLED));
      assertThat(
          answered(
              server,
              address,
              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx"),
          is(ErrorCode.GARBLED));
    }
  }

  private ErrorCode answered(ServerSocket server, String address, String bytes) throws Exception {
    CompletableFuture<HttpReply> reply = client.get(address, "/", LIMIT_MS);
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
