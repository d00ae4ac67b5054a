package willowdoor.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.front.Peers.Client;
import willowdoor.front.Peers.Message;
import willowdoor.wire.JsonFields;

/**
 * The gateway with settings as other customers may use them: it starts, serves each class on each
 * plan, answers malformed and unservable requests, shuts down in time, and logs no failure. The
 * code must not be tailored to one customer: classes, plans, limits and times come from the
 * settings.
 */
@Timeout(60)
class SettingsShapesTest {

  private static final String SAFE =
      "{'Name':'look','Repeat':'pure','AimMs':900,'DeadlineMs':3000,"
          + "'Value':1,'Group':'all','RepeatWindowMs':5000}";
  private static final String UNSAFE =
      "{'Name':'sign','Repeat':'side_effect','AimMs':900,'DeadlineMs':3000,"
          + "'Value':5,'Group':'all','RepeatWindowMs':5000}";

  /**
   * The number of warm-up requests, enough for each class on each plan, and a limit for a slow
   * machine.
   */
  private static final int WARM_UP_REQUESTS = 16;

  private static final long WARM_UP_MS = 30_000;

  /** The changes that a shape makes to the configuration of {@link Peers}; null removes a key. */
  private enum Shape {
    ONE_SAFE_CLASS(profiles(SAFE)),
    ONE_CLASS_KEYED_ANYWHERE(profiles(keyed("all", "'RepeatWindowMs':2500,"))),
    ONE_CLASS_KEYED_IN_A_ZONE(profiles(keyed("zone", "'RepeatWindowMs':2500,"))),
    ONE_CLASS_KEYED_IN_A_CELL(profiles(keyed("cell", "'RepeatWindowMs':2500,"))),
    ONE_UNSAFE_CLASS(profiles(UNSAFE)),
    NO_SAFE_CLASS(profiles(UNSAFE, keyed("zone", "'RepeatWindowMs':2500,"))),
    THREE_EFFECTS(profiles(UNSAFE, SAFE, keyed("cell", "'RepeatWindowMs':2500,"))),
    NO_WINDOW(profiles(keyed("all", ""))),
    WINDOW_OF_NOUGHT(profiles(keyed("all", "'RepeatWindowMs':0,"))),
    SHORT_WINDOW(profiles(keyed("all", "'RepeatWindowMs':40,"))),
    STREAMED_CLASS(profiles(SAFE.replace("'Value'", "'Stream':true,'Value'"))),
    STRETCHED_AIM(profiles(SAFE.replace("'Value'", "'AimStretch':2.5,'Value'"))),
    SHORT_DEADLINES(
        profiles(
            SAFE.replace("900", "80").replace("3000", "200"),
            UNSAFE.replace("900", "80").replace("3000", "200"))),
    LONG_DEADLINES(
        profiles(
            SAFE.replace("900", "6000").replace("3000", "15000"),
            UNSAFE.replace("900", "6000").replace("3000", "15000"))),
    NO_AIM_AND_NO_DEADLINE(profiles("{'Name':'look','Repeat':'pure'}")),
    PLAN_WITHOUT_A_RATE(tariffs("{'Name':'free','WorthFactor':1}")),
    PLAN_WITH_AN_OPEN_LIMIT_ALONE(
        tariffs("{'Name':'few','Open':3,'WorthFactor':1,'OverrunCost':1}")),
    PLAN_WITH_BOTH_LIMITS(
        tariffs("{'Name':'both','Refill':400,'PeakUnits':4000,'Open':3,'OverrunCost':1}")),
    PLAN_WITH_A_CEILING(
        tariffs(
            "{'Name':'roof','Refill':400,'PeakUnits':4000,'CeilingRate':800,"
                + "'CeilingBurst':8000,'HardSlack':80,'OverrunCost':1}")),
    MANY_PLANS(
        tariffs(
            "{'Name':'a','Open':3}",
            "{'Name':'b','Refill':400,'PeakUnits':4000}",
            "{'Name':'c','Refill':400,'PeakUnits':4000,'CeilingRate':800,'CeilingBurst':8000,'HardSlack':80}",
            "{'Name':'d','Refill':400,'PeakUnits':4000,'BeyondEarns':0.4,'WorthFactor':2}")),
    NO_ZONES("'settings':{'Dcs':[],'MyZone':null}"),
    ONE_ZONE("'settings':{'Dcs':['a'],'MyZone':'a'}"),
    ALL_SERVERS_IN_ANOTHER_ZONE(
        "'settings':{'Dcs':['a','b'],'MyZone':'b','Prices':{'CrossZone':0.05}}"),
    ALONE("'settings':{'Balancers':1,'SelfIndex':0}"),
    ONE_OF_A_HUNDRED("'settings':{'Balancers':100,'SelfIndex':99}"),
    ONE_ATTEMPT(bounds("'MaxAttempts':1")),
    NO_CANCELLING(bounds("'Cancel':false")),
    SECOND_COPIES(bounds("'MayDuplicate':true")),
    NO_SECOND_COPIES(bounds("'MayDuplicate':false")),
    ADVICE_TO_CLIENTS(bounds("'RetryAfter':true,'MaxRetryAfterMs':400")),
    SHORT_IDLE_TIME(bounds("'ConnIdleMs':300")),
    HASTY_CONNECTS(bounds("'DialTimeoutMs':50")),
    PATIENT_CONNECTS(bounds("'DialTimeoutMs':1000")),
    NO_COUNTER("'counter':null,'settings':{'Extra':{'Counter':false,'CountLimitMs':0}}"),
    COUNTER_NOT_TO_BE_USED("'settings':{'Extra':{'Counter':false}}"),
    HASTY_CALLS("'settings':{'Extra':{'CountLimitMs':10}}"),
    PATIENT_CALLS("'settings':{'Extra':{'CountLimitMs':500}}"),
    UNITS_KNOWN_AHEAD("'settings':{'Extra':{'CostAfter':false,'MaxUnits':1}}"),
    NEVER_COLD("'settings':{'Rules':{'ColdMs':0}}"),
    WARM_FROM_THE_START("'settings':{'Rules':{'ColdFrom':1,'TipMultiple':1,'TipAfterMs':500}}"),
    ASKED_DISCOVERY("'settings':{'Discovery':'ask'}"),
    NOTHING_THAT_MAY_BE_ABSENT(
        "'limits':null,'name':null,'settings':{'Bounds':null,'Rules':null,"
            + "'Balancers':null,'SelfIndex':null,'MyZone':null,'Discovery':null,'Extra':{'MaxUnits':null,"
            + "'CostAfter':null}}"),
    UNKNOWN_KEYS(
        "'later':{'a':[1,{'b':null}]},'settings':{'Later':[[]],'Bounds':{'MaxLater':7},"
            + "'Rules':{'LaterMs':1e9},'Extra':{'Later':'yes'},'Prices':{'Later':-1}}");

    private final String change;

    Shape(String change) {
      this.change = "{" + change + "}";
    }

    private static String profiles(String... classes) {
      return "'settings':{'Profiles':[" + String.join(",", classes) + "]}";
    }

    private static String keyed(String group, String window) {
      return "{'Name':'book','Repeat':'token','AimMs':900,'DeadlineMs':3000,'Value':4,"
          + window
          + "'Group':'"
          + group
          + "'}";
    }

    private static String tariffs(String... plans) {
      return "'settings':{'Tariffs':[" + String.join(",", plans) + "]}";
    }

    private static String bounds(String limits) {
      return "'settings':{'Bounds':{" + limits + "}}";
    }
  }

  private final Peers peers = new Peers();
  private volatile boolean away;

  /** The requests that reached the template server. */
  private final List<Message> atServer = new CopyOnWriteArrayList<>();

  private final List<Closeable> serverSide = new CopyOnWriteArrayList<>();
  private final ServerSocket server =
      peers.listen(
          50,
          (in, out, socket) -> {
            serverSide.add(socket);
            // A thread blocked in accept or read while its socket is closed may still receive data
            // that arrived before.
            while (!away) {
              atServer.add(Peers.read(in));
              Peers.write(out, Peers.OK);
            }
            socket.close();
          });
  private final List<String> failures = new CopyOnWriteArrayList<>();
  private final Handler log =
      new Handler() {
        @Override
        public void publish(LogRecord line) {
          if (line.getLevel().intValue() >= Level.WARNING.intValue()) {
            failures.add(line.getLoggerName() + ": " + line.getMessage() + " " + line.getThrown());
          }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };
  private Map<String, Object> settings;
  private final List<FrontDoor> doors = new ArrayList<>();

  /** The gateway started last. */
  private FrontDoor door;

  private int asked;
  @TempDir private Path folder;

  @BeforeEach
  void listen() {
    Logger.getLogger("").addHandler(log);
  }

  @AfterEach
  void close() throws Exception {
    Logger.getLogger("").removeHandler(log);
    doors.forEach(FrontDoor::stop);
    for (Closeable c : serverSide) {
      c.close();
    }
    peers.close();
  }

  private Config config(Shape shape) throws IOException {
    String started =
        "\"started_ms\":" + (shape == Shape.NEVER_COLD ? System.currentTimeMillis() - 500 : 0);
    Map<String, Object> all =
        Peers.fields(
            peers
                .config(Peers.entry("s-1", server.getLocalPort(), "active"))
                .replace("\"started_ms\":0", started));
    assertTrue(
        change(all, Peers.fields(shape.change.replace('\'', '"'))), "the shape changes nothing");
    settings = JsonFields.child(all, "settings");
    return Config.of(all);
  }

  /** Applies the changes; returns whether any value differs from before. */
  @SuppressWarnings("unchecked")
  private static boolean change(Map<String, Object> fields, Map<String, Object> by) {
    boolean changed = false;
    for (Map.Entry<String, Object> e : by.entrySet()) {
      Object before = fields.get(e.getKey());
      if (before instanceof Map<?, ?> m && e.getValue() instanceof Map<?, ?> inner) {
        changed |= change((Map<String, Object>) m, (Map<String, Object>) inner);
      } else if (e.getValue() == null) {
        changed |= fields.remove(e.getKey()) != null;
      } else {
        changed |= !e.getValue().equals(fields.put(e.getKey(), e.getValue()));
      }
    }
    return changed;
  }

  @ParameterizedTest
  @EnumSource
  void requestsAreServedAccordingToTheSettings(Shape shape) throws Exception {
    start(shape);
    try (Client client = new Client((InetSocketAddress) door.address())) {
      assertEquals(200, client.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
      for (Map<String, Object> type : JsonFields.children(settings, "Profiles")) {
        for (Map<String, Object> plan : JsonFields.children(settings, "Tariffs")) {
          isServed(client, type, JsonFields.text(plan, "Name"));
          isMalformed(client, "m" + asked++, type, JsonFields.text(plan, "Name"));
        }
      }
      serverIsAway(client);
    }
    assertEquals(List.of(), failures);
  }

  /**
   * All shapes shut down concurrently, as each waits for its clients; none of the clients sends
   * another request.
   */
  @Test
  void eachGatewayShutsDown() throws Exception {
    List<Client> idle = new ArrayList<>();
    List<Thread> ends = new ArrayList<>();
    for (Shape shape : Shape.values()) {
      start(shape);
      Client client = new Client((InetSocketAddress) door.address());
      serverSide.add(client);
      Map<String, Object> type = JsonFields.children(settings, "Profiles").get(0);
      isServed(
          client, type, JsonFields.text(JsonFields.children(settings, "Tariffs").get(0), "Name"));
      idle.add(client);
      ends.add(new Thread(door::shutDown, shape.name()));
    }
    ends.forEach(Thread::start);
    for (Shape shape : Shape.values()) {
      assertTrue(idle.get(shape.ordinal()).ended(), shape.name());
      ends.get(shape.ordinal()).join(TimeUnit.SECONDS.toMillis(10));
      assertFalse(ends.get(shape.ordinal()).isAlive(), shape.name());
      assertTrue(
          doors.get(shape.ordinal()).loop().awaitTermination(10, TimeUnit.SECONDS), shape.name());
    }
    assertEquals(List.of(), failures);
  }

  private void start(Shape shape) throws Exception {
    door = FrontDoor.start(config(shape), null, folder.resolve(shape.name()));
    doors.add(door);
    while (!door.ready()) {
      Thread.onSpinWait();
    }
  }

  /** Retries after a rejection, which is not an error, for as long as the test may take. */
  private void isServed(Client client, Map<String, Object> type, String plan) throws Exception {
    String id;
    Message answer;
    do {
      id = "r" + asked++;
      answer = client.ask(request(type, plan, id));
      assertTrue(List.of(200, 429, 502, 503).contains(answer.status()), answer.head());
    } while (answer.status() != 200);
    assertEquals("fine", answer.text());
    List<Message> attempts = sent(id);
    Message sent = attempts.get(0);
    String effect = JsonFields.text(type, "Repeat");
    assertEquals(
        (effect.equals("pure") ? "GET /" : "POST /") + type.get("Name") + "/7?a=1 HTTP/1.1",
        sent.firstLine());
    assertTrue(attempts.size() == 1 || !effect.equals("side_effect"), "sent again");
    assertEquals(effect.equals("token") ? "key-" + id : null, sent.header("Idempotency-Key"));
    assertEquals(effect.equals("pure") ? "" : "sealed", sent.text());
    double deadline = JsonFields.number(type, "DeadlineMs", 20_000);
    assertTrue(Integer.parseInt(sent.header("Request-Timeout-Ms")) <= deadline, sent.head());
  }

  private static String request(Map<String, Object> type, String plan, String id) {
    String effect = JsonFields.text(type, "Repeat");
    boolean safe = effect.equals("pure");
    return (safe ? "GET /" : "POST /")
        + type.get("Name")
        + "/7?a=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: "
        + id
        + "\r\nRequest-Class: "
        + type.get("Name")
        + "\r\nX-Plan: "
        + plan
        + "\r\nX-Customer: 00000000b4d65521\r\nRequest-Timeout-Ms: 20000\r\n"
        + "X-Quota: units=1,spread=1,first=0\r\n"
        + (effect.equals("token") ? "Idempotency-Key: key-" + id + "\r\n" : "")
        + (safe ? "\r\n" : "Content-Length: 6\r\n\r\nsealed");
  }

  private List<Message> sent(String id) {
    return atServer.stream().filter(m -> id.equals(m.header("Request-Id"))).toList();
  }

  private void isMalformed(Client client, String id, Map<String, Object> type, String plan)
      throws Exception {
    String good = request(type, plan, id);
    String method = good.substring(0, good.indexOf(' '));
    for (String bad :
        new String[] {
          good.replace("Request-Class: ", "Request-Class: not-"),
          good.replace("X-Plan: ", "X-Plan: not-"),
          good.replace("units=1", "units=0"),
          good.replaceFirst(method, method.equals("GET") ? "POST" : "GET"),
          good.replaceFirst("Idempotency-Key: [^\r]*", "Idempotency-Key:")
        }) {
      if (!bad.equals(good)) {
        assertEquals(400, client.ask(bad).status(), bad);
      }
    }
    assertEquals(List.of(), sent(id));
  }

  /** Each request is answered, and none with success. */
  private void serverIsAway(Client client) throws Exception {
    away = true;
    server.close();
    for (Closeable c : new ArrayList<>(serverSide)) {
      c.close();
    }
    for (Map<String, Object> type : JsonFields.children(settings, "Profiles")) {
      Map<String, Object> plan = JsonFields.children(settings, "Tariffs").get(0);
      String request =
          request(type, JsonFields.text(plan, "Name"), "a" + asked++)
              .replace("Ms: 20000", "Ms: 200");
      int status = client.ask(request).status();
      assertTrue(List.of(429, 502, 503).contains(status), "answered " + status);
    }
  }

  /** The warm-up inside the process works with the settings as well. */
  @ParameterizedTest
  @EnumSource
  void warmUpServesAllItsRequests(Shape shape) throws Exception {
    Config config = config(shape);
    assertEquals(WARM_UP_REQUESTS, FrontDoor.warmUp(config, WARM_UP_REQUESTS, WARM_UP_MS));
    assertEquals(List.of(), failures);
    assertTrue(atServer.isEmpty() && peers.atCounter.isEmpty() && peers.watches.isEmpty());
  }
}
