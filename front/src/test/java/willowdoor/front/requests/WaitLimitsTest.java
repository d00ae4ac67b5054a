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
 * Every wait of a request ends within its time, with the clock moved by hand and the real module.
 */
class WaitLimitsTest {

  /** What the peers of the front door do with all that is asked of them. */
  private enum Trouble {
    NO_SERVER,
    CONNECTING,
    UNREACHABLE,
    SILENT,
    TURNED_AWAY,
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
  private ModuleDriver driver;

  /** A client that notes how it was answered, and when. */
  private class Heard implements ModuleDriver.Client {
    final double cameAt;
    final List<String> answers = new ArrayList<>();
    double at = Double.NaN;

    Heard(double cameAt) {
      this.cameAt = cameAt;
    }

    private void note(String answer) {
      answers.add(answer);
      at = clock.now();
    }

    @Override
    public double cameAt() {
      return cameAt;
    }

    @Override
    public void served(HttpResponse head, ByteBuf body) {
      note("served");
    }

    @Override
    public void refused(double holdOffMs) {
      note("refused");
    }

    @Override
    public void failed() {
      note("failed");
    }

    @Override
    public void begin(HttpResponse head, Attempt.Carrier from) {
      throw new AssertionError("no answer comes in pieces here");
    }

    @Override
    public void piece(ByteBuf piece) {
      piece.release();
    }

    @Override
    public void finish() {
      note("finished");
    }

    @Override
    public void cut() {
      note("cut");
    }
  }

  private final class Servers implements ModuleDriver.Servers {
    @Override
    public void onRoster(BackendListUpdate news) {
      List.copyOf(started).forEach(a -> a.abandon(Status.UNREACHABLE));
    }

    @Override
    public void cut(long backend) {}

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
      driver = new ModuleDriver(channel.eventLoop(), clock, policy, new Servers(), tally);
      driver.start(this::count, BackendListUpdate.of(JsonFields.child(config, "known")));
    }
  }

  private void count(String name, double amount, double ttlMs) {
    adds.add(name + ' ' + amount);
    if (counterAnswers) {
      channel
          .eventLoop()
          .execute(() -> driver.onCounted(new CounterResult(name, Status.OK, amount, 1)));
    }
  }

  @AfterEach
  void end() {
    channel.close();
  }

  private void pass(double ms) {
    for (double end = clock.now() + ms; clock.now() < end; ) {
      ticker.advanceMillis(1);
      channel.runPendingTasks();
    }
  }

  private Heard take(String id, String type, double timeoutMs, double ageMs) {
    Outgoing message =
        new Outgoing(
            HttpMethod.POST,
            "/" + type,
            new DefaultHttpHeaders(),
            Unpooled.copiedBuffer(new byte[10]),
            true,
            () -> {});
    Heard heard = new Heard(clock.now() - ageMs);
    driver.take(new Asked(id, type, "basic", 42, 2, 2, timeoutMs), message, heard);
    return heard;
  }

  private void set(Trouble trouble) throws Exception {
    switch (trouble) {
      case NO_SERVER -> begin(0);
      case UNREACHABLE ->
          server = a -> channel.eventLoop().execute(() -> a.end(Status.UNREACHABLE, null, null));
      case SILENT -> server = a -> a.written(true);
      case TURNED_AWAY -> server = a -> answer(a, Status.REJECTED);
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
  void eachRequestIsAnsweredOnceWithinItsTime(Trouble trouble) throws Exception {
    set(trouble);
    for (boolean counted : new boolean[] {true, false}) {
      counterAnswers = counted;
      for (String type : new String[] {"quote", "buy", "seal"}) {
        for (int timeout : new int[] {1, 20, 60, 300, 1_000, 4_000}) {
          for (int age : new int[] {0, 50, 400}) {
            started.clear();
            String what = trouble + " " + type + " " + timeout + " " + age + " " + counted;
            Heard client = take(what, type, timeout, age);
            double endsAt = client.cameAt + timeout;
            pass(timeout + 20);
            assertEquals(1, client.answers.size(), what + " " + client.answers);
            assertTrue(client.at <= Math.max(endsAt, client.cameAt + age), what + " " + client.at);
            assertFalse(client.answers.contains("served"), what);
            boolean written = started.stream().anyMatch(Attempt::written);
            boolean mayHaveRun = written && trouble != Trouble.TURNED_AWAY;
            assertFalse(
                mayHaveRun && type.equals("seal") && client.answers.contains("refused"), what);
            assertTrue(started.stream().allMatch(a -> a.endsAt() <= endsAt), what);
            assertTrue(started.isEmpty() || age < timeout, what);
            pass(4_000);
            assertEquals(0, driver.held(), what);
            assertEquals(0, driver.heldBytes(), what);
          }
        }
      }
    }
  }

  /** The log tells where requests were as their time ran out. */
  @ParameterizedTest
  @CsvSource({
    "SILENT, true, 300, 290, ARRIVAL",
    "NO_SERVER, false, 80, 0, COUNTER",
    "NO_SERVER, true, 300, 0, HELD",
    "CONNECTING, true, 300, 0, CONNECT",
    "SILENT, true, 300, 0, ANSWER"
  })
  void theStageAtWhichTimeRanOutIsCounted(
      Trouble trouble, boolean counted, int timeout, int age, String stage) throws Exception {
    set(trouble);
    counterAnswers = counted;
    assertFalse(policy.summarizeStats().contains("expired " + stage));
    take("r1", "seal", timeout, age);
    pass(timeout);
    assertTrue(policy.summarizeStats().endsWith("expired " + stage + "=1"));
    assertTrue(policy.summarizeStats().endsWith("expired"));
  }

  @Test
  void howMuchTimeWasLeftAsAttemptsBeganIsCounted() throws Exception {
    set(Trouble.SILENT);
    for (int age : new int[] {0, 100, 300, 600, 600}) {
      take("r" + age + started.size(), "quote", 1_000, age);
      channel.runPendingTasks();
    }
    assertEquals("now began_with_75%=2 began_with_50%=1 began_with_25%=2", tally.formatLine("now"));
    assertEquals("then", tally.formatLine("then"));
  }

  /** A body beyond what is kept has no end while it comes; its time begins with its last byte. */
  @Test
  void theTimeOfALargeBodyBeginsWithItsLastByte() {
    Outgoing message =
        new Outgoing(
            HttpMethod.POST,
            "/buy",
            new DefaultHttpHeaders(),
            Unpooled.copiedBuffer(new byte[10]),
            false,
            () -> {});
    Heard client =
        new Heard(clock.now()) {
          @Override
          public double cameAt() {
            return clock.now() - 100;
          }
        };
    driver.take(new Asked("r1", "buy", "basic", 42, 2, 2, 1_000), message, client);
    channel.runPendingTasks();
    started.get(0).onSpent();
    pass(10_000);
    assertEquals(List.of(), client.answers);
    double lastByte = clock.now() - 100;
    started.get(0).written(true);
    started.get(0).onSent();
    pass(800);
    assertEquals(List.of(), client.answers);
    pass(200);
    assertEquals(List.of("failed"), client.answers);
    assertTrue(client.at <= lastByte + 1_000);
  }

  /** The process's end bounds what is under way and what still comes, and extends nothing. */
  @ParameterizedTest
  @CsvSource({"4000, 494", "300, 294"})
  void theEndOfTheProcessEndsEveryWait(double timeout, double answeredBy) throws Exception {
    set(Trouble.SILENT);
    Heard before = take("r1", "seal", timeout, 0);
    driver.endWithin(500);
    Heard after = take("r2", "seal", timeout, 0);
    double told = clock.now();
    pass(510);
    assertTrue(started.get(1).endsAt() <= told + 500);
    for (Heard client : List.of(before, after)) {
      assertEquals(List.of("failed"), client.answers);
      assertTrue(client.at <= told + answeredBy, "answered after " + (client.at - told));
    }
  }

  /**
   * Where a client leaves, nothing is begun for it any more; its answer still settles the count.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aClientThatLeavesEndsWhatHasNotReachedAServer(boolean reached) {
    for (int i = 0; i < 200; i++) {
      started.clear();
      Heard client = take("r" + i, "quote", 2_000, 0);
      channel.runPendingTasks();
      started.get(0).written(reached);
      driver.clientLeft("r" + i);
      assertEquals(!reached, started.get(0).ended());
      assertEquals(0, driver.heldBytes());
      assertEquals(reached ? 1 : 0, driver.held());
      started
          .get(0)
          .end(
              Status.OK,
              new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK),
              null);
      assertEquals(0, driver.held());
      assertEquals(List.of(), client.answers);
    }
  }

  /**
   * A count that is told after its request's end is known: what it added is taken off with the next
   * call.
   */
  @Test
  void anAnswerOfTheCounterAfterTheEndKeepsTheBooks() {
    counterAnswers = false;
    take("r1", "quote", 2_000, 0);
    driver.clientLeft("r1");
    driver.onCounted(new CounterResult(adds.get(0).split(" ")[0], Status.OK, 2, 30));
    counterAnswers = true;
    take("r2", "quote", 2_000, 0);
    assertTrue(adds.get(0).endsWith(" 2.0"), adds.toString());
    assertTrue(adds.get(1).endsWith(" 0.0"), adds.toString());
  }

  /** What the list ends is not sent to another server that the same list drains. */
  @Test
  void whatADrainEndsIsNotSentThereAgain() throws Exception {
    begin(2);
    Heard client = take("r1", "quote", 2_000, 0);
    channel.runPendingTasks();
    String news = Peers.list(8, true, Peers.entry("s-9", 7009, "leaving"));
    driver.onRoster(BackendListUpdate.parse(news.getBytes(StandardCharsets.UTF_8), clock.now()));
    assertEquals(1, started.size());
    pass(2_000);
    assertEquals(1, started.size());
    assertEquals(List.of("refused"), client.answers);
  }

  /**
   * Only the monotonic clock moves it: here that runs by hand, and far from the wall clock's time.
   */
  @Test
  void theWallClockMovesNothing() {
    double before = clock.now();
    pass(5_000);
    assertEquals(5_000, clock.now() - before, 1e-3);
  }
}
