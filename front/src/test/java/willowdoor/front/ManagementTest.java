package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.front.Peers.Client;
import willowdoor.front.Peers.Message;

/** The management calls of operators. */
@Timeout(30)
class ManagementTest {

  private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

  private final Peers peers = new Peers();
  @TempDir private Path folder;

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private void start(String... entries) throws Exception {
    peers.start(
        peers
            .config(entries)
            .replace("\"settings\"", "\"management\":\"127.0.0.1:0\",\"settings\""));
  }

  private void start() throws Exception {
    start(Peers.entry("s-1", peers.backend.getLocalPort(), "active"));
  }

  private int call(String call) throws IOException {
    return call(call, "");
  }

  private int call(String call, String body) throws IOException {
    try (Client operator = peers.operator()) {
      Message answer =
          operator.ask(
              call
                  + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                  + body.length()
                  + "\r\n\r\n"
                  + body);
      assertTrue(operator.ended());
      return answer.status();
    }
  }

  @Test
  void isReadyOnceABackendIsKnown() throws Exception {
    start(new String[0]);
    assertEquals(503, call("GET /api/ready"));
    Peers.next(peers.watches);
    peers.tell(
        Peers.list(8, true, Peers.entry("s-1", peers.backend.getLocalPort(), "active")) + "\n");
    while (call("GET /api/ready") != 200) {
      Thread.onSpinWait();
    }
  }

  @Test
  void invalidCallIsRejected() throws Exception {
    start();
    assertEquals(404, call("GET /api/other"));
    assertEquals(404, call("GET /up"));
    assertEquals(405, call("PUT /api/ready"));
    assertEquals(405, call("GET /api/evacuate"));
    assertEquals(405, call("POST /api/rejoin"));
    try (Client operator = peers.operator()) {
      assertEquals(400, operator.ask("no http at all\r\n\r\n").status());
    }
    assertEquals(200, peers.client().ask(UP).status());
  }

  @Test
  void unnamedOrUnknownTemplateServerIsRejected() throws Exception {
    start();
    assertEquals(404, call("PUT /api/exclude", "{\"host\":\"s-9\"}"));
    assertEquals(404, call("PUT /api/include", "{\"host\":\"s-9\"}"));
    for (String bad :
        new String[] {
          "",
          "s-1",
          "{}",
          "{\"host\":1}",
          "{\"host\":\"s-1\"",
          "[]",
          "{\"host\":\"s-1\",\"host\":\"s-1\"}",
          "{\"host\":\"s-1\",\"x\":1}",
          "{\"host\":\"s-1\"}}"
        }) {
      assertEquals(400, call("PUT /api/exclude", bad), bad);
    }
    assertEquals(405, call("POST /api/exclude", "{\"host\":\"s-1\"}"));
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
  }

  /**
   * An exclusion applies to persistent connections and to one that is being opened, and is removed
   * by one call.
   */
  @Test
  void excludedTemplateServerReceivesNoNewRequest() throws Exception {
    AtomicInteger other = new AtomicInteger();
    int port =
        peers
            .listen(
                50,
                (in, out, socket) -> {
                  while (true) {
                    Peers.read(in);
                    other.incrementAndGet();
                    Peers.write(out, Peers.OK);
                  }
                })
            .getLocalPort();
    start(
        Peers.entry("s-1", peers.backend.getLocalPort(), "active"),
        Peers.entry("s-2", port, "active"));
    Client client = peers.client();
    for (int i = 0; peers.atBackend.isEmpty() || other.get() == 0; i++) {
      assertEquals(200, client.ask(Peers.get("a" + i, 3000)).status());
    }
    assertEquals(200, call("PUT /api/exclude", "{\"host\":\"s-1\"}"));
    assertEquals(200, call("PUT /api/exclude", "{\"host\":\"s-1\"}"));
    peers.atBackend.clear();
    Peers.next(peers.watches);
    peers.tell(
        Peers.list(
                8,
                true,
                Peers.entry("s-1", peers.backend.getLocalPort(), "active"),
                Peers.entry("s-2", port, "active"))
            + "\n");
    for (int i = 0; i < 40; i++) {
      assertEquals(200, client.ask(Peers.get("b" + i, 3000)).status());
    }
    assertTrue(peers.atBackend.isEmpty());
    assertEquals(200, call("PUT /api/include", "{\"host\":\"s-1\"}"));
    for (int i = 0; peers.atBackend.isEmpty(); i++) {
      assertEquals(200, client.ask(Peers.get("c" + i, 3000)).status());
    }
  }

  /**
   * Two processes share the operators' requests; a process that starts later applies them at
   * startup.
   */
  @Test
  void operatorCallToOneProcessAppliesToTheOther() throws Exception {
    Path file = folder.resolve("operators.json");
    String config =
        peers
            .config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"))
            .replace("\"settings\"", "\"management\":\"127.0.0.1:0\",\"settings\"");
    peers.start(config, file);
    Client ofFirst = peers.client();
    assertEquals(200, call("PUT /api/evacuate"));
    peers.start(config, file);
    assertEquals(503, peers.client().ask(UP).status());
    assertEquals(200, call("GET /api/ready"));
    assertEquals(200, call("PUT /api/rejoin"));
    Message answer = ofFirst.ask(UP);
    assertTrue(answer.status() == 200 || "close".equals(answer.header("Connection")));
    assertEquals(200, peers.client().ask(UP).status());
  }

  /**
   * Silent connections and those with an incomplete call do not block other callers; the oldest are
   * closed.
   */
  @Test
  void connectionsWithoutACompleteCallAreClosedForOthers() throws Exception {
    start();
    List<Client> silent = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      silent.add(peers.operator());
      silent.get(i).send(i % 2 == 0 ? "" : "PUT /api/evacuate HT");
      assertEquals(200, call("GET /api/ready"));
    }
    assertTrue(silent.get(0).ended());
  }

  /**
   * During a drain the gateway reports that it accepts no more clients, still serves those that
   * connect, and closes idle connections.
   */
  @Test
  void drainsAndRejoins() throws Exception {
    start();
    Client idle = peers.client();
    assertEquals(200, idle.ask(Peers.get("r0", 3000)).status());
    Client reading = peers.client();
    String request = Peers.get("r1", 3000);
    reading.send(request.substring(0, 60));
    Client silent = peers.client();
    assertEquals(200, call("PUT /api/evacuate"));
    assertEquals(200, call("PUT /api/evacuate"));
    assertEquals(503, peers.client().ask(UP).status());
    assertEquals(200, call("GET /api/ready"));
    Message late = peers.client().ask(Peers.get("r2", 3000));
    assertEquals(200, late.status());
    assertEquals("close", late.header("Connection"));
    assertTrue(idle.ended());
    assertTrue(silent.ended());
    assertEquals(200, reading.ask(request.substring(60)).status());
    assertTrue(reading.ended());
    assertEquals(200, call("PUT /api/rejoin"));
    assertEquals(200, call("PUT /api/rejoin"));
    Client after = peers.client();
    assertEquals(200, after.ask(UP).status());
    assertEquals(200, after.ask(Peers.get("r3", 3000)).status());
    assertEquals(200, after.ask(Peers.get("r4", 3000)).status());
  }

  /** Without a management address in the configuration there is no management listener. */
  @Test
  void noManagementWithoutAnAddress() throws Exception {
    FrontDoor door = peers.start();
    assertNull(door.managementAddress());
    assertEquals(200, peers.client().ask(UP).status());
  }
}
