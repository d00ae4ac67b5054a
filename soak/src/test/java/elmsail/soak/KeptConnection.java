package elmsail.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A client's connection that is used for request after request, until the other side closes it; the
 * next request then opens a new one. Owned by one thread.
 */
final class KeptConnection implements AutoCloseable {
  private static final int CONNECT_MS = 1_000;

  private final InetSocketAddress address;
  private Socket socket;
  private HttpStream in;

  KeptConnection(InetSocketAddress address) {
    this.address = address;
  }

  /**
   * Sends a request with an empty body and returns the complete response.
   *
   * @throws IOException if there is none in time; the connection is then closed
   */
  HttpResponse post(String target, Map<String, String> headers, int withinMs) throws IOException {
    return post(target, headers, new byte[0], withinMs);
  }

  /**
   * Sends a request and returns the complete response.
   *
   * @throws IOException if there is none in time; the connection is then closed
   */
  HttpResponse post(String target, Map<String, String> headers, byte[] body, int withinMs)
      throws IOException {
    try {
      open();
      socket.setSoTimeout(withinMs);
      StringBuilder head = new StringBuilder("POST " + target + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Length: " + body.length + "\r\n\r\n");
      socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(body);
      HttpResponse response = read();
      if ("close".equalsIgnoreCase(response.header("Connection"))) {
        close();
      }
      return response;
    } catch (IOException | NumberFormatException e) {
      close();
      throw new IOException("no response", e);
    }
  }

  private void open() throws IOException {
    if (socket == null) {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(address, CONNECT_MS);
      in = new HttpStream(new BufferedInputStream(socket.getInputStream()));
    }
  }

  private HttpResponse read() throws IOException {
    String line = in.line();
    if (line == null || !line.startsWith("HTTP/1.")) {
      throw new IOException("not a response: " + line);
    }
    Map<String, String> headers = in.headers();
    return new HttpResponse(Integer.parseInt(line.split(" ")[1]), headers, in.body(headers, true));
  }

  @Override
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // The socket is not used any more, closed or not.
      }
      socket = null;
    }
  }
}
