package willowdoor.front.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.front.Peers;
import willowdoor.front.discovery.BackendListUpdate;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.EventCounters;
import willowdoor.policy.GatewayApi.CounterResult;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.QuotaPolicy;
import willowdoor.wire.JsonFields;
import willowdoor.wire.WireSettings;

/**
 * Every wait of a request ends within the request's time. The test uses the real policy and
 * advances the clock itself.
 */
class RequestDeadlineTest {

  /** How the peers of the front door fail. */
  private enum Fault {
    NO_SERVER,
    CONNECTING,
    UNREACHABLE,
    SILENT,
    REJECTED,
    FAILING
  }

  private final MockTicker ticker = Ticker.newMockTicker();
  private final Clock clock = new Clock(Instant.ofEpochSecond(1_800_000_000), ticker::nanoTime);
  private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(ticker).build();
  private final List<String> adds = new ArrayList<>();
  private final List<Attempt> started = new ArrayList<>();
  private Consumer<Attempt> server = a -> {};
  private boolean counterAnswers = true;
  private final EventCounters tally = new EventCounters();
  private QuotaPolicy policy;
  private PolicyDriver driver;

  /** A client that records its answers and the time of the last one. */
  private class RecordingClient implements PolicyDriver.Client {
    final double arrivedAt;
    final List<String> answers = new ArrayList<>();
    double answeredAt = Double.NaN;

    RecordingClient(double arrivedAt) {
      this.arrivedAt = arrivedAt;
    }

    private void record(String answer) {
      answers.add(answer);
      answeredAt = clock.now();
    }

    @Override
    public double arrivedAt() {
      return arrivedAt;
    }

    @Override
    public void sendResponse(HttpResponse head, ByteBuf body) {
      record("served");
    }

    @Override
    public void sendRefusal(double retryAfterMs) {
      record("refused");
    }

    @Override
    public void sendFailure() {
      record("failed");
    }

    @Override
    public void beginResponse(HttpResponse head, Attempt.Connection connection) {
      throw new AssertionError("no streamed response is expected");
    }

    @Override
    public void sendPiece(ByteBuf piece) {
      piece.release();
    }

    @Override
    public void finishResponse() {
      record("finished");
    }

    @Override
    public void abortResponse() {
      record("cut");
    }
  }

  private final class RecordingBackends implements PolicyDriver.Backends {
    @Override
    public void onRoster(BackendListUpdate news) {
      List.copyOf(started).forEach(a -> a.abandon(Status.UNREACHABLE));
    }

    @Override
    public void cancelUnsent(long backend) {}

    @Override
    public void start(long backend, Attempt attempt) {
      started.add(attempt);
      server.accept(attempt);
    }
  }

  @BeforeEach
  void begin() throws Exception {
    begin(4);
  }

  private void begin(int servers) throws Exception {
    String[] entries = new String[servers];
    for (int i = 0; i < servers; i++) {
      entries[i] = Peers.entry("s-" + i, 7000 + i, "active");
    }
    try (Peers peers = new Peers()) {
      Map<String, Object> config =
          Peers.fields(
              peers
                  .config(entries)
                  .replace(
                      "\"Profiles\":[",
                      "\"Profiles\":[{\"Name\":\"seal\",\"Repeat\":\"side_effect\","
                          + "\"AimMs\":1500,\"DeadlineMs\":4000,"
                          + "\"Value\":5},"));
      policy = new QuotaPolicy(WireSettings.read(JsonFields.child(config, "settings")), 7);
      driver = new PolicyDriver(channel.eventLoop(), clock, policy, new RecordingBackends(), tally);
      driver.start(this::count, BackendListUpdate.of(JsonFields.child(config, "known")));
    }
  }

  private void count(String name, double amount, double ttlMs) {
    adds.add(name + ' ' + amount);
    if (counterAnswers) {
      channel
          .eventLoop()
          .execute(() -> driver.onCounterResult(new CounterResult(name, Status.OK, amount, 1)));
    }
  }

  @AfterEach
  void end() {
    channel.close();
  }

  private void advance(double ms) {
    for (double end = clock.now() + ms; clock.now() < end; ) {
      ticker.advanceMillis(1);
      channel.runPendingTasks();
    }
  }

  private RecordingClient submit(String id, String type, double timeoutMs, double ageMs) {
    OutgoingRequest message =
        new OutgoingRequest(
            HttpMethod.POST,
            "/" + type,
            new DefaultHttpHeaders(),
            Unpooled.copiedBuffer(new byte[10]),
            true,
            () -> {});
    RecordingClient recordingClient = new RecordingClient(clock.now() - ageMs);
    driver.submit(
        new ParsedRequest(id, type, "basic", 42, 2, 2, timeoutMs), message, recordingClient);
    return recordingClient;
  }

  private void setFault(Fault fault) throws Exception {
    switch (fault) {
      case NO_SERVER -> begin(0);
      case UNREACHABLE ->
          server = a -> channel.eventLoop().execute(() -> a.end(Status.UNREACHABLE, null, null));
      case SILENT -> server = a -> a.written(true);
      case REJECTED -> server = a -> answer(a, Status.REJECTED);
      case FAILING -> server = a -> answer(a, Status.ERROR);
      default -> {}
    }
  }

  private void answer(Attempt attempt, Status status) {
    attempt.written(true);
    channel.eventLoop().execute(() -> attempt.end(status, null, null));
  }

  @ParameterizedTest
  @EnumSource
  void eachRequestIsAnsweredOnceWithinItsTime(Fault fault) throws Exception {
    setFault(fault);
    for (boolean counted : new boolean[] {true, false}) {
      counterAnswers = counted;
      for (String type : new String[] {"quote", "buy", "seal"}) {
        for (int timeout : new int[] {1, 20, 60, 300, 1_000, 4_000}) {
          for (int age : new int[] {0, 50, 400}) {
            started.clear();
            String description = fault + " " + type + " " + timeout + " " + age + " " + counted;
            RecordingClient client = submit(description, type, timeout, age);
            double endsAt = client.arrivedAt + timeout;
            advance(timeout + 20);
            assertEquals(1, client.answers.size(), description + " " + client.answers);
            assertTrue(
                client.answeredAt <= Math.max(endsAt, client.arrivedAt + age),
                description + " " + client.answeredAt);
            assertFalse(client.answers.contains("served"), description);
            boolean written = started.stream().anyMatch(Attempt::written);
            boolean mayHaveRun = written && fault != Fault.REJECTED;
            assertFalse(
                mayHaveRun && type.equals("seal") && client.answers.contains("refused"),
                description);
            assertTrue(started.stream().allMatch(a -> a.deadlineMs() <= endsAt), description);
            assertTrue(started.isEmpty() || age < timeout, description);
            advance(4_000);
            assertEquals(0, driver.requestCount(), description);
            assertEquals(0, driver.heldBytes(), description);
          }
        }
      }
    }
  }

  /** The log shows at which stage requests were when their time ran out. */
  @ParameterizedTest
  @CsvSource({
    "SILENT, true, 300, 290, ARRIVAL",
    "NO_SERVER, false, 80, 0, COUNTER",
    "NO_SERVER, true, 300, 0, HELD",
    "CONNECTING, true, 300, 0, CONNECT",
    "SILENT, true, 300, 0, ANSWER"
  })
  void stageAtWhichTimeRanOutIsCounted(
      Fault fault, boolean counted, int timeout, int age, String stage) throws Exception {
    setFault(fault);
    counterAnswers = counted;
    assertFalse(policy.summarizeStats().contains("expired " + stage));
    submit("r1", "seal", timeout, age);
    advance(timeout);
    assertTrue(policy.summarizeStats().endsWith("expired " + stage + "=1"));
    assertTrue(policy.summarizeStats().endsWith("expired"));
  }

  @Test
  void timeLeftWhenAttemptsBeganIsCounted() throws Exception {
    setFault(Fault.SILENT);
    for (int age : new int[] {0, 100, 300, 600, 600}) {
      submit("r" + age + started.size(), "quote", 1_000, age);
      channel.runPendingTasks();
    }
    assertEquals("now began_with_75%=2 began_with_50%=1 began_with_25%=2", tally.formatLine("now"));
    assertEquals("then", tally.formatLine("then"));
  }

  /** The time of a request whose body exceeds the kept prefix begins when the last byte arrives. */
  @Test
  void timeOfALargeBodyBeginsWithItsLastByte() {
    OutgoingRequest message =
        new OutgoingRequest(
            HttpMethod.POST,
            "/buy",
            new DefaultHttpHeaders(),
            Unpooled.copiedBuffer(new byte[10]),
            false,
            () -> {});
    RecordingClient client =
        new RecordingClient(clock.now()) {
          @Override
          public double arrivedAt() {
            return clock.now() - 100;
          }
        };
    driver.submit(new ParsedRequest("r1", "buy", "basic", 42, 2, 2, 1_000), message, client);
    channel.runPendingTasks();
    started.get(0).onBeyondPrefix();
    advance(10_000);
    assertEquals(List.of(), client.answers);
    double lastByte = clock.now() - 100;
    started.get(0).written(true);
    started.get(0).onLastPiece();
    advance(800);
    assertEquals(List.of(), client.answers);
    advance(200);
    assertEquals(List.of("failed"), client.answers);
    assertTrue(client.answeredAt <= lastByte + 1_000);
  }

  /** The end of the process bounds pending and later requests, and extends no deadline. */
  @ParameterizedTest
  @CsvSource({"4000, 494", "300, 294"})
  void endOfTheProcessEndsEveryWait(double timeout, double answeredBy) throws Exception {
    setFault(Fault.SILENT);
    RecordingClient before = submit("r1", "seal", timeout, 0);
    driver.shutDownWithin(500);
    RecordingClient after = submit("r2", "seal", timeout, 0);
    double shutDownAt = clock.now();
    advance(510);
    assertTrue(started.get(1).deadlineMs() <= shutDownAt + 500);
    for (RecordingClient client : List.of(before, after)) {
      assertEquals(List.of("failed"), client.answers);
      assertTrue(
          client.answeredAt <= shutDownAt + answeredBy,
          "answered after " + (client.answeredAt - shutDownAt));
    }
  }

  /**
   * After a client disconnects, no attempt begins for it. The response to an attempt that was sent
   * still completes the accounting.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void disconnectEndsAttemptsThatHaveNotReachedAServer(boolean reached) {
    for (int i = 0; i < 200; i++) {
      started.clear();
      RecordingClient client = submit("r" + i, "quote", 2_000, 0);
      channel.runPendingTasks();
      started.get(0).written(reached);
      driver.onClientDisconnected("r" + i);
      assertEquals(!reached, started.get(0).ended());
      assertEquals(0, driver.heldBytes());
      assertEquals(reached ? 1 : 0, driver.requestCount());
      started
          .get(0)
          .end(
              Status.OK,
              new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK),
              null);
      assertEquals(0, driver.requestCount());
      assertEquals(List.of(), client.answers);
    }
  }

  /**
   * A result of the counter that arrives after its request has ended is used: the amount that it
   * added is subtracted from the next call.
   */
  @Test
  void counterResultAfterTheRequestsEndIsAccounted() {
    counterAnswers = false;
    submit("r1", "quote", 2_000, 0);
    driver.onClientDisconnected("r1");
    driver.onCounterResult(new CounterResult(adds.get(0).split(" ")[0], Status.OK, 2, 30));
    counterAnswers = true;
    submit("r2", "quote", 2_000, 0);
    assertTrue(adds.get(0).endsWith(" 2.0"), adds.toString());
    assertTrue(adds.get(1).endsWith(" 0.0"), adds.toString());
  }

  /**
   * A request whose attempt is ended by a list is not sent to another server that the same list
   * drains.
   */
  @Test
  void attemptEndedByADrainIsNotSentToADrainedServer() throws Exception {
    begin(2);
    RecordingClient client = submit("r1", "quote", 2_000, 0);
    channel.runPendingTasks();
    String news = Peers.list(8, true, Peers.entry("s-9", 7009, "leaving"));
    driver.onRoster(BackendListUpdate.parse(news.getBytes(StandardCharsets.UTF_8), clock.now()));
    assertEquals(1, started.size());
    advance(2_000);
    assertEquals(1, started.size());
    assertEquals(List.of("refused"), client.answers);
  }

  /**
   * The clock follows the monotonic time only. The test advances that by hand, and it is far from
   * the wall clock's time.
   */
  @Test
  void wallClockHasNoEffect() {
    double before = clock.now();
    advance(5_000);
    assertEquals(5_000, clock.now() - before, 1e-3);
  }
}
