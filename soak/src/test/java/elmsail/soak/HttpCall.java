package elmsail.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Timer;
import java.util.TimerTask;

/** One HTTP call on a new connection. */
final class HttpCall {
  private static final int CONNECT_MS = 1_000;
  private static final Timer DEADLINES = new Timer("http-deadlines", true);

  private final InetSocketAddress address;
  private final String method;
  private final String target;
  private final Map<String, String> headers = new LinkedHashMap<>();
  private byte[] body;

  HttpCall(InetSocketAddress address, String method, String target) {
    this.address = address;
    this.method = method;
    this.target = target;
    headers.put("Connection", "close");
  }

  HttpCall header(String name, String value) {
    headers.put(name, value);
    return this;
  }

  HttpCall body(byte[] bytes) {
    body = bytes;
    headers.put("Content-Length", Integer.toString(bytes.length));
    return this;
  }

  /**
   * Sends the call and returns the complete response.
   *
   * @throws IOException if there is none in time, or it is truncated
   */
  HttpResponse send(long withinMs) throws IOException {
    Socket socket = new Socket();
    TimerTask late =
        new TimerTask() {
          @Override
          public void run() {
            closeQuietly(socket);
          }
        };
    DEADLINES.schedule(late, withinMs);
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.connect(address, (int) Math.min(CONNECT_MS, withinMs));
      OutputStream out = socket.getOutputStream();
      out.write(head());
      if (body != null) {
        out.write(body);
      }
      out.flush();
      return answer(new HttpStream(socket.getInputStream()));
    } catch (NumberFormatException e) {
      throw new IOException("not an answer", e);
    } finally {
      late.cancel();
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is not used any more, closed or not.
    }
  }

  private byte[] head() {
    StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    if (!headers.containsKey("Host")) {
      headers.put("Host", address.getAddress().getHostAddress());
    }
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    return head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
  }

  private static HttpResponse answer(HttpStream in) throws IOException {
    String line = in.line();
    if (line == null) {
      throw new IOException("closed without an answer");
    }
    String[] parts = line.split(" ");
    if (parts.length < 2 || !parts[0].startsWith("HTTP/1.")) {
      throw new IOException("not an answer: " + line);
    }
    Map<String, String> headers = in.headers();
    return new HttpResponse(Integer.parseInt(parts[1]), headers, in.body(headers, true));
  }
}
