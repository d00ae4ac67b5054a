package elmsail.soak;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A fake model server: each request runs as its {@link ItemScript} prescribes. */
final class FakeModelServer implements AutoCloseable {
  static final int MAX_CONCURRENCY = 4;
  private static final int BACKLOG = 256;
  private static final int IDLE_MS = 30_000;
  private static final String NOT_RUN = "Elmsail-Not-Run: 1\r\n";
  private static final AtomicLong POSTMARKS = new AtomicLong();

  /** One request as it was read. */
  private record Request(String method, String path, Map<String, String> headers, String body) {
    String header(String name) {
      return headers.get(name);
    }
  }

  private final String id;
  private final ServerObserver observer;
  private final ServerSocket listener = new ServerSocket();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();

  FakeModelServer(String id, InetSocketAddress address, ServerObserver observer)
      throws IOException {
    this.id = id;
    this.observer = observer;
    listener.setReuseAddress(true);
    listener.bind(address, BACKLOG);
    daemon(this::accept, id);
  }

  private static void daemon(Runnable work, String name) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        open.add(socket);
        daemon(() -> serve(socket), id + "-connection");
      } catch (IOException e) {
        return; // Closed: the run is over.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(IDLE_MS);
      HttpStream in = new HttpStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = new BufferedOutputStream(socket.getOutputStream());
      for (Request request = read(in); request != null; request = read(in)) {
        if (!respond(request, socket, out)) {
          return;
        }
      }
    } catch (IOException e) {
      // The caller dropped the connection, and its request with it.
    } finally {
      open.remove(socket);
    }
  }

  private static Request read(HttpStream in) throws IOException {
    String line = in.line();
    if (line == null) {
      return null;
    }
    String[] parts = line.split(" ");
    if (parts.length != 3) {
      throw new IOException("not a request: " + line);
    }
    Map<String, String> headers = in.headers();
    String body = new String(in.body(headers, false), StandardCharsets.UTF_8);
    return new Request(parts[0], parts[1], headers, body);
  }

  /** False if the connection is to be closed. */
  private boolean respond(Request request, Socket socket, OutputStream out) throws IOException {
    String path = request.path();
    if (path.equals("/health")) {
      writeResponse(out, 200, "Elmsail-Served-By: " + id + "\r\n" + load(), "");
      return true;
    }
    if (path.equals("/report")) {
      writeResponse(
          out, 200, "", "{\"leg\":\"both\",\"queued\":0,\"in_transit\":" + running.get() + "}");
      return true;
    }
    String requestId = request.header("elmsail-request-id");
    if (requestId == null) {
      writeResponse(out, 400, NOT_RUN, "");
      return true;
    }
    String repeated = "Elmsail-Request-Id: " + requestId + "\r\n";
    String expected = request.header("elmsail-expect-server");
    if (expected != null && !expected.equals(id)) {
      writeResponse(out, 421, repeated + NOT_RUN, "");
      return true;
    }
    if (running.incrementAndGet() > MAX_CONCURRENCY) {
      running.decrementAndGet();
      writeResponse(out, 503, repeated + NOT_RUN + load(), "");
      return true;
    }
    try {
      return run(request, requestId, socket, out);
    } finally {
      running.decrementAndGet();
    }
  }

  private String load() {
    return "Elmsail-Server-Load: " + running.get() + ",0," + MAX_CONCURRENCY + "\r\n";
  }

  private boolean run(Request request, String requestId, Socket socket, OutputStream out)
      throws IOException {
    String after = request.header("last-event-id");
    int first = after == null ? 0 : Integer.parseInt(after) + 1;
    String machine = socket.getInetAddress().getHostAddress();
    String postmark = id + "." + POSTMARKS.incrementAndGet();
    String head =
        "Elmsail-Request-Id: " + requestId + "\r\nElmsail-Postmark: " + postmark + "\r\n" + load();
    ServerObserver.Plan plan =
        observer.onRunStarted(
            new ItemRun(
                requestId,
                machine,
                id,
                request.headers().getOrDefault("host", ""),
                request.path(),
                request.body(),
                first - 1,
                observer.nowMs()),
            postmark);
    if (plan.status() == ServerObserver.DROPPED) {
      return false;
    }
    if (plan.status() != 200) {
      writeResponse(out, plan.status(), head, "");
      return true;
    }
    out.write(
        ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + head
                + "\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    out.flush();
    return events(requestId, first, plan, out);
  }

  private boolean events(String requestId, int first, ServerObserver.Plan plan, OutputStream out)
      throws IOException {
    ItemScript script = plan.script();
    for (int event = first; event < script.events(); event++) {
      SoakClock.pause(script.paceMs());
      observer.onEventSent(requestId, event);
      chunk(out, RequestHistoryChecker.event(requestId, event));
      if (plan.cut() && event == script.cutAfter()) {
        return false;
      }
    }
    observer.onRunFinished(requestId);
    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
    return true;
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
    out.write(bytes);
    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static void writeResponse(OutputStream out, int status, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 " + status + " Status\r\nContent-Length: " + bytes.length + "\r\n" + headers;
    out.write((head + "\r\n").getBytes(StandardCharsets.US_ASCII));
    out.write(bytes);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
