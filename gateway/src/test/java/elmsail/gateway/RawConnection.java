package elmsail.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One end of a loopback connection that a test reads and writes as raw bytes, with timeouts. */
public final class RawConnection implements AutoCloseable {
  /** The timeout of each wait. An expected event takes much less time unless something hangs. */
  public static final int WAIT_MS = 60_000;

  private final Socket socket;

  private RawConnection(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(WAIT_MS);
    socket.setTcpNoDelay(true);
  }

  /** An HTTP message with its complete body. */
  public record Message(String startLine, Map<String, String> headers, String body) {
    public String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    public int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }
  }

  public static RawConnection connect(String address) {
    try {
      int colon = address.indexOf(':');
      Socket socket = new Socket();
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          WAIT_MS);
      return new RawConnection(socket);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The listening socket of a fake server. */
  public static final class FakeServer implements AutoCloseable {
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;

    private final ServerSocket serverSocket;

    public FakeServer() {
      try {
        serverSocket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    public String address() {
      return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    public RawConnection accept() {
      try {
        serverSocket.setSoTimeout(WAIT_MS);
        return new RawConnection(serverSocket.accept());
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Accepts the next connection and reads one complete request from the connection. */
    public RawConnection acceptRequest() {
      RawConnection server = accept();
      server.readMessage();
      return server;
    }

    /** Limits the receive buffer of the connections that are accepted from now on. */
    public void limitReceiveBuffer() {
      try {
        serverSocket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Accepts a connection that is already pending; returns null if there is none. */
    public RawConnection pollConnection() {
      try {
        serverSocket.setSoTimeout(1);
        return new RawConnection(serverSocket.accept());
      } catch (SocketTimeoutException e) {
        return null;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Whether no connection is pending; a pending connection is accepted and closed. */
    public boolean hasNoConnection() {
      try {
        serverSocket.setSoTimeout(1);
        serverSocket.accept().close();
        return false;
      } catch (SocketTimeoutException e) {
        return true;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    @Override
    public void close() {
      try {
        serverSocket.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  public RawConnection write(String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private int read() {
    try {
      return socket.getInputStream().read();
    } catch (SocketTimeoutException e) {
      throw new UncheckedIOException("no byte received within the read timeout", e);
    } catch (IOException e) {
      return -1; // a reset also ends the connection
    }
  }

  /** Reads the next line without its line end; returns null at the end of the connection. */
  public String readLine() {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = read(); b != '\n'; b = read()) {
      if (b < 0) {
        return null;
      }
      line.write(b);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Reads exactly {@code count} bytes. */
  public String readBytes(int count) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (bytes.size() < count) {
      int b = read();
      if (b < 0) {
        throw new UncheckedIOException(new IOException("connection ended after " + bytes));
      }
      bytes.write(b);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads the head of a message but not its body; returns null at the end of the connection. */
  public Message readHead() {
    String first = readLine();
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Message(first, headers, "");
  }

  /** Reads a complete message; returns null at the end of the connection. */
  public Message readMessage() {
    Message head = readHead();
    if (head == null) {
      return null;
    }
    String length = head.header("Content-Length");
    String body = "";
    if (length != null) {
      body = readBytes(Integer.parseInt(length));
    } else if ("chunked".equals(head.header("Transfer-Encoding"))) {
      StringBuilder all = new StringBuilder();
      for (String chunk = readChunk(); chunk == null || !chunk.isEmpty(); chunk = readChunk()) {
        if (chunk == null) {
          throw new UncheckedIOException(new IOException("connection ended after " + all));
        }
        all.append(chunk);
      }
      body = all.toString();
    }
    return new Message(head.startLine(), head.headers(), body);
  }

  /** Reads the next chunk, which is empty for the last one; null at the end of the connection. */
  public String readChunk() {
    String size = readLine();
    if (size == null) {
      return null;
    }
    String data = readBytes(Integer.parseInt(size.trim(), 16));
    readLine();
    return data;
  }

  /** Reads and counts the bytes up to the peer's close or reset. */
  public long countBytesUntilEnd() {
    long count = 0;
    while (read() >= 0) {
      count++;
    }
    return count;
  }

  /** Waits for a byte or the peer's close; returns true if the peer closed without another byte. */
  public boolean isClosedByPeer() {
    return read() < 0;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Closes the sending direction; the connection can still be read. */
  public void shutdownOutput() {
    try {
      socket.shutdownOutput();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Closes the connection by a TCP reset. */
  public void reset() {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
