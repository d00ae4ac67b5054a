package willowdoor.front;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.front.Peers.Client;
import willowdoor.front.Peers.Message;

/** One process replaces another; both use a listening socket that a third process holds. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ReplaceTest {

  /**
   * Holds a listening socket as descriptor 0, then executes the shell, which reads its commands
   * from another descriptor.
   */
  private static final String HOLDER =
      """
      $^F = 19; $| = 1;
      open(my $lines, "<&STDIN") or die;
      socket(my $socket, PF_INET, SOCK_STREAM, 0) or die;
      bind($socket, sockaddr_in(0, INADDR_LOOPBACK)) or die;
      listen($socket, 128) or die;
      print "port ", (sockaddr_in(getsockname($socket)))[0], "\\n";
      open(STDIN, "<&", $socket) or die;
      exec("/bin/sh", "-c", $ARGV[0], "sh", fileno($lines)) or die;
      """;

  /** Starts a gateway process for each configuration path that it reads. */
  private static final String STARTER =
      """
      exec 9<&0
      while read -r config <&$1; do
        GW_CONFIG=$config GW_ACCEPT_FD=0 "$JAVA" -cp "$CLASSES" -Xshare:auto -XX:TieredStopAtLevel=1 \
          -Djava.io.tmpdir="$TMPDIR" willowdoor.front.Main serve <&9 9<&- &
        echo "pid $!"
      done
      wait
      """;

  private final Peers peers = new Peers();
  private final BlockingQueue<String> output = new LinkedBlockingQueue<>();
  private final List<Long> processes = new ArrayList<>();
  private final List<ReservedPort> heldPorts = new ArrayList<>();
  @TempDir private Path folder;
  private Process holder;
  private InetSocketAddress clients;

  @AfterEach
  void close() throws Exception {
    processes.forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly));
    if (holder != null) {
      holder.destroyForcibly().waitFor();
    }
    for (ReservedPort port : heldPorts) {
      port.close();
    }
    peers.close();
  }

  private void hold() throws Exception {
    ProcessBuilder builder = new ProcessBuilder("perl", "-MSocket", "-e", HOLDER, STARTER);
    builder
        .environment()
        .put("JAVA", Path.of(System.getProperty("java.home"), "bin", "java").toString());
    builder.environment().put("CLASSES", System.getProperty("java.class.path"));
    builder.environment().put("TMPDIR", folder.toString());
    holder = builder.redirectErrorStream(true).start();
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(holder.getInputStream(), UTF_8));
    Thread reader = new Thread(() -> lines.lines().forEach(output::add));
    reader.setDaemon(true);
    reader.start();
    clients = new InetSocketAddress(InetAddress.getLoopbackAddress(), (int) await("port "));
  }

  private long await(String start) throws InterruptedException {
    String line = Peers.next(output);
    while (!line.startsWith(start)) {
      line = Peers.next(output);
    }
    return Long.parseLong(line.substring(start.length()));
  }

  private void awaitLog(String part) throws InterruptedException {
    while (!Peers.next(output).contains(part)) {
      Thread.onSpinWait();
    }
  }

  /** Starts a process and waits until it reports ready; returns its management address. */
  private InetSocketAddress launch(String... entries) throws Exception {
    InetSocketAddress operators = begin(peers.config(entries));
    while (!ready(operators)) {
      Thread.onSpinWait();
    }
    return operators;
  }

  private InetSocketAddress begin(String told) throws Exception {
    ReservedPort held = ReservedPort.any();
    heldPorts.add(held);
    int port = held.port();
    Path config = Files.createTempFile(folder, "config", ".json");
    Files.writeString(
        config,
        told.replace("\"settings\"", "\"management\":\"127.0.0.1:" + port + "\",\"settings\"")
            .replace(
                "\"Refill\":400,\"PeakUnits\":4000", "\"Refill\":4000000,\"PeakUnits\":40000000"));
    Writer to = holder.outputWriter();
    to.write(config + "\n");
    to.flush();
    processes.add(await("pid "));
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static boolean ready(InetSocketAddress operators) throws IOException {
    try {
      return call(operators, "GET /api/ready", "") == 200;
    } catch (ConnectException e) {
      return false;
    }
  }

  private static int call(InetSocketAddress operators, String call, String body)
      throws IOException {
    try (Client operator = new Client(operators)) {
      return operator
          .ask(
              call + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
          .status();
    }
  }

  /**
   * Sends requests on one connection for as long as it is kept open, then on the next, until told
   * to stop.
   */
  private Thread client(
      String name, AtomicBoolean enough, AtomicReference<String> wrong, AtomicInteger served) {
    Thread thread =
        new Thread(
            () -> {
              try {
                for (int i = 0; !enough.get(); ) {
                  try (Client client = new Client(clients)) {
                    boolean kept = true;
                    while (kept && !enough.get()) {
                      Message answer = client.ask(Peers.get(name + '-' + i++, 3000));
                      kept = !"close".equals(answer.header("Connection"));
                      served.addAndGet(answer.status() == 200 ? 1 : 0);
                      // Under load, as at startup, a request may be rejected; no request may go
                      // unanswered.
                      if (answer.status() != 200 && answer.status() != 503) {
                        wrong.set(answer.head());
                      }
                    }
                  }
                }
              } catch (IOException e) {
                wrong.set(name + ": " + e);
              }
            });
    thread.start();
    return thread;
  }

  @Test
  void replacementLosesNoRequestAndKeepsOperatorsCalls() throws Exception {
    AtomicInteger banned = new AtomicInteger();
    int port =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  while (true) {
                    Peers.read(in);
                    banned.incrementAndGet();
                    Peers.write(out, Peers.OK);
                  }
                })
            .getLocalPort();
    String[] entries = {
      Peers.entry("s-1", peers.backend.getLocalPort(), "active"),
      Peers.entry("s-2", port, "active"),
      Peers.entry("s-3", port, "active")
    };
    hold();
    InetSocketAddress old = launch(entries);
    assertEquals(200, call(old, "PUT /api/exclude", "{\"host\":\"s-2\"}"));
    AtomicBoolean enough = new AtomicBoolean();
    AtomicReference<String> wrong = new AtomicReference<>();
    AtomicInteger served = new AtomicInteger();
    List<Thread> asking = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      asking.add(client("c" + i, enough, wrong, served));
    }
    InetSocketAddress replacement = launch(entries);
    assertEquals(200, call(replacement, "PUT /api/exclude", "{\"host\":\"s-3\"}"));
    // Both processes log the state in force. Requests in progress by then are answered among the
    // next ones.
    awaitLog("[s-2, s-3]");
    awaitLog("[s-2, s-3]");
    awaitServed(served, 200);
    int before = banned.get();
    awaitServed(served, 200);
    assertEquals(before, banned.get());

    String ending = Long.toString(processes.get(0));
    assertEquals(0, new ProcessBuilder("kill", "-TERM", ending).start().waitFor());
    awaitEnd(old);
    awaitServed(served, 200);
    enough.set(true);
    for (Thread thread : asking) {
      thread.join();
    }
    assertNull(wrong.get());
    assertEquals(before, banned.get());
    assertEquals(200, call(replacement, "PUT /api/include", "{\"host\":\"s-2\"}"));
    assertTrue(Files.readString(folder.resolve("willowdoor-n0.json")).contains("[\"s-3\"]"));
  }

  /**
   * The next process knows no template server before discovery sends one: until then it accepts no
   * connection from the shared socket. The old process serves what it has accepted by its SIGTERM,
   * and the socket stays open.
   */
  @Test
  void nextProcessAcceptsNoClientBeforeItCanServe() throws Exception {
    String entry = Peers.entry("s-1", peers.backend.getLocalPort(), "active");
    hold();
    final InetSocketAddress old = launch(entry);
    CountDownLatch asking = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    int agent =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  Peers.read(in);
                  asking.countDown();
                  await(go);
                  String list = Peers.list(8, true, entry) + "\n";
                  Peers.write(
                      out,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                          + Integer.toHexString(list.length())
                          + "\r\n"
                          + list
                          + "\r\n");
                  in.read();
                })
            .getLocalPort();
    InetSocketAddress replacement =
        begin(
            peers
                .config()
                .replaceFirst(
                    "\"discovery\":\"[^\"]*\"", "\"discovery\":\"127.0.0.1:" + agent + '"'));
    await(asking);
    Client asked = new Client(clients);
    assertEquals(200, asked.ask(Peers.get("a0", 3000)).status());
    Client silent = new Client(clients);
    for (int i = 0; i < 100; i++) {
      try (Client client = new Client(clients)) {
        assertEquals(200, client.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
        assertEquals(200, client.ask(Peers.get("n" + i, 3000)).status());
      }
    }
    assertFalse(ready(replacement));

    go.countDown();
    while (!ready(replacement)) {
      Thread.onSpinWait();
    }
    String ending = Long.toString(processes.get(0));
    assertEquals(0, new ProcessBuilder("kill", "-TERM", ending).start().waitFor());
    assertEquals(200, asked.ask(Peers.get("a1", 3000)).status());
    assertEquals(200, silent.ask(Peers.get("s1", 3000)).status());
    awaitEnd(old);
    try (Client client = new Client(clients)) {
      assertEquals(200, client.ask(Peers.get("last", 3000)).status());
    }
    asked.close();
    silent.close();
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      assertTrue(latch.await(30, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /**
   * Waits until nothing listens at the address: a process that has ended still exists until its
   * parent reaps it. A closing listener resets the connections that it has not accepted, so a
   * connection may be reset right before the first one is refused.
   */
  private static void awaitEnd(InetSocketAddress operators) throws IOException {
    while (true) {
      try {
        new Client(operators).close();
      } catch (ConnectException e) {
        assertTrue(e.getMessage().contains("refused"), e.getMessage());
        return;
      } catch (SocketException e) {
        assertTrue(e.getMessage().startsWith("Connection reset"), e.getMessage());
      }
    }
  }

  private static void awaitServed(AtomicInteger served, int more) {
    int enough = served.get() + more;
    while (served.get() < enough) {
      Thread.onSpinWait();
    }
  }
}
