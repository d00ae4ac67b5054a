package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.runtime.Counters;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.http.SimpleHttpRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * The replace and read calls over a fake register that commits, fails, loses races or leaves
 * outcomes unknown.
 */
class ConfigChangeHandlerTest {
  private final Counters counters = new Counters();
  private final ManualTimers timers = new ManualTimers();
  private final FakeRegister register = new FakeRegister(timers);
  private final List<Long> committedVersions = new ArrayList<>();
  private final CommittedValue committedConfig =
      new CommittedValue(register, ConfigChangeHandler.KEY, timers, 300);
  private final ConfigChangeHandler replaceHandler =
      new ConfigChangeHandler(
          register,
          ConfigChangeHandler.ChangeKind.REPLACE,
          ConfigChangeHandlerTest::parseChange,
          timers,
          committedConfig,
          committedVersions::add,
          new ControlPlaneCounters(counters));
  private final ReadConfigHandler readHandler = new ReadConfigHandler(register, committedConfig);

  /**
   * Parses a body such as "7 anything", whose leading number is the version; rejects a body that
   * begins with "bad".
   */
  private static ConfigChange parseChange(byte[] bytes) {
    String text = new String(bytes, StandardCharsets.UTF_8);
    if (text.startsWith("bad")) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "routes[0].depot");
    }
    return new ConfigChange.Replacement(Long.parseLong(text.split(" ")[0]), bytes);
  }

  private static SimpleHttpRequest replaceRequest(String baseVersion, String body) {
    Map<String, String> headers =
        baseVersion == null ? Map.of() : Map.of("elmsail-based-on", baseVersion);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return new SimpleHttpRequest("POST", "/Timetable.Replace", Map.of(), headers, bytes);
  }

  private int replace(String baseVersion, String body) {
    return awaitReply(replaceHandler.handle(replaceRequest(baseVersion, body))).status();
  }

  private SimpleHttpResponse awaitReply(CompletableFuture<SimpleHttpResponse> reply) {
    long startedAtMs = timers.now();
    while (!reply.isDone() && timers.now() - startedAtMs < 5_000) {
      timers.advance(1);
    }
    assertThat(reply.isDone(), is(true));
    assertThat(timers.now() - startedAtMs, lessThanOrEqualTo(930L));
    return reply.join();
  }

  private String readConfig() {
    SimpleHttpRequest call =
        new SimpleHttpRequest("GET", "/Timetable.Read", Map.of(), Map.of(), new byte[0]);
    SimpleHttpResponse reply = awaitReply(readHandler.handle(call));
    String body = reply.status() == 200 ? new String(reply.body(), StandardCharsets.UTF_8) : "";
    return reply.status() + " " + body;
  }

  @Test
  void committedChangesAreReadBackAsSent() {
    assertThat(readConfig(), equalTo("404 "));
    assertThat(replace("0", "3 a"), is(200));
    assertThat(replace("3", "7 {\"b\" :  1}"), is(200));
    assertThat(readConfig(), equalTo("200 7 {\"b\" :  1}"));
    assertThat(committedVersions, equalTo(List.of(3L, 7L)));
  }

  @Test
  void changeMustRaiseTheVersionOnTheCurrentBase() {
    assertThat(replace("0", "3 a"), is(200));
    assertThat("base is not the current version", replace("0", "4 b"), is(412));
    assertThat("base is not the current version", replace("2", "4 b"), is(412));
    assertThat("version not above the current one", replace("3", "3 b"), is(400));
    assertThat("version not above the current one", replace("3", "2 b"), is(400));
    assertThat("missing base", replace(null, "4 b"), is(400));
    assertThat("malformed base", replace("3x", "4 b"), is(400));
    assertThat("invalid", replace("3", "bad"), is(400));
    assertThat(readConfig(), equalTo("200 3 a"));
    assertThat(committedVersions, equalTo(List.of(3L)));
  }

  @Test
  void repeatedChangeIsAcknowledgedAgain() {
    assertThat(replace("0", "3 a"), is(200));
    assertThat(replace("0", "3 a"), is(200));
    assertThat(replace("3", "5 b"), is(200));
    assertThat("older committed change", replace("0", "3 a"), is(200));
    assertThat("another change with the same version", replace("0", "3 z"), is(412));
    assertThat(readConfig(), equalTo("200 5 b"));
    assertThat(committedVersions, equalTo(List.of(3L, 5L)));
  }

  @Test
  void sameBodyOnAnotherBaseIsAnotherChange() {
    assertThat(replace("0", "3 a"), is(200));
    assertThat(replace("3", "5 b"), is(200));
    assertThat("another change was committed on base 3", replace("3", "3 a"), is(412));
    assertThat(replace("5", "5 b"), is(400));
    assertThat(replace("2", "5 b"), is(412));
    assertThat(readConfig(), equalTo("200 5 b"));
  }

  @Test
  void outcomeIsUndecidedWhileBaseIsNotCommitted() {
    assertThat("before the first configuration", replace("3", "5 b"), is(503));
    assertThat(replace("0", "3 a"), is(200));
    assertThat(replace("4", "5 b"), is(503));
    assertThat(replace("3", "4 c"), is(200));
    assertThat("base is committed now", replace("4", "5 b"), is(200));
  }

  @Test
  void committedChangeIsAcknowledgedEvenIfInvalidNow() {
    byte[] sent = "bad since a later build".getBytes(StandardCharsets.UTF_8);
    register.concurrentValue =
        ConfigHistory.EMPTY.append(3, sent, ConfigHistory.replacementDigest(0, sent)).encode();
    register.nextOutcomes.add(FakeRegister.Outcome.OVERTAKEN);
    assertThat(replace("0", "2 lost"), is(412));
    assertThat(replace("0", "bad since a later build"), is(200));
    assertThat(replace("0", "bad"), is(412));
    assertThat(replace("3", "bad"), is(400));
  }

  @Test
  void invalidChangeIsNotRejectedWithoutQuorum() {
    register.unreachable = true;
    assertThat(replace("0", "bad"), is(503));
    register.unreachable = false;
    assertThat(replace("0", "bad"), is(400));
  }

  @Test
  void concurrentChangesOnSameBaseHaveOneWinner() {
    assertThat(replace("0", "3 a"), is(200));
    ConfigHistory current = ConfigHistory.decode(register.values.get("timetable").value());
    byte[] sent = "4 other".getBytes(StandardCharsets.UTF_8);
    register.concurrentValue =
        current.append(4, sent, ConfigHistory.replacementDigest(3, sent)).encode();
    register.nextOutcomes.add(FakeRegister.Outcome.OVERTAKEN);
    assertThat(replace("3", "5 mine"), is(412));
    assertThat(readConfig(), equalTo("200 4 other"));
  }

  @Test
  void unknownOutcomeIsResolvedWithinTheCall() {
    register.nextOutcomes.add(FakeRegister.Outcome.UNKNOWN_COMMITTED);
    assertThat(replace("0", "3 a"), is(200));
    register.nextOutcomes.add(FakeRegister.Outcome.UNKNOWN_LOST);
    assertThat(replace("3", "4 b"), is(200));
    assertThat(readConfig(), equalTo("200 4 b"));
  }

  @Test
  void unknownOutcomeReturns504AndTheRepeatReturns200() {
    register.nextOutcomes.addAll(
        List.of(
            FakeRegister.Outcome.UNKNOWN_COMMITTED,
            FakeRegister.Outcome.NOT_REACHED,
            FakeRegister.Outcome.NOT_REACHED,
            FakeRegister.Outcome.NOT_REACHED));
    assertThat(replace("0", "3 a"), is(504));
    register.nextOutcomes.clear();
    assertThat(replace("0", "3 a"), is(200));
    assertThat(readConfig(), equalTo("200 3 a"));
  }

  @Test
  void missingQuorumReturns503AndChangesNothing() {
    register.unreachable = true;
    assertThat(replace("0", "3 a"), is(503));
    assertThat(readConfig(), equalTo("503 "));
    register.unreachable = false;
    assertThat(readConfig(), equalTo("404 "));
  }

  @Test
  void oldestChangesAreForgottenOneByOne() {
    for (int i = 1; i <= ConfigHistory.MAX_CHANGES + 2; i++) {
      assertThat(replace(String.valueOf(i - 1), i + " x"), is(200));
    }
    assertThat("oldest change in the history", replace("2", "3 x"), is(200));
    assertThat("another change on the same base", replace("2", "3 y"), is(412));
    assertThat("committed and dropped from the history", replace("1", "2 x"), is(503));
    assertThat(
        "never committed, but base is dropped from the history", replace("1", "2 y"), is(503));
    ConfigHistory last = ConfigHistory.decode(register.values.get("timetable").value());
    assertThat(last.changeCount(), is(ConfigHistory.MAX_CHANGES));
    assertThat(last.encode().length - last.configBytes().length, lessThanOrEqualTo(9_300));
  }

  /**
   * The voters respond to a read that nothing newer is committed. Before the response arrives, this
   * node commits a change; the read must return the new value.
   */
  @Test
  void readOvertakenByChangeReturnsTheNewerConfig() {
    assertThat(replace("0", "3 a"), is(200));
    register.responseDelayMs = 50;
    SimpleHttpRequest call =
        new SimpleHttpRequest("GET", "/Timetable.Read", Map.of(), Map.of(), new byte[0]);
    CompletableFuture<SimpleHttpResponse> reading = readHandler.handle(call);
    timers.advance(3);
    assertThat(replace("3", "5 b"), is(200));
    assertThat(reading.isDone(), is(false));
    SimpleHttpResponse reply = awaitReply(reading);
    assertThat(reply.status(), is(200));
    assertThat(new String(reply.body(), StandardCharsets.UTF_8), equalTo("5 b"));
  }

  @Test
  void repeatedReadsTransferNoValue() {
    assertThat(replace("0", "3 a"), is(200));
    committedConfig.refresh();
    timers.advance(10);
    int bytes = register.bytesRead;
    int reads = register.reads;
    timers.advance(3_000);
    assertThat(register.reads - reads, is(9));
    assertThat(register.bytesRead, is(bytes));
    assertThat(readConfig(), equalTo("200 3 a"));
    assertThat(register.bytesRead, is(bytes));
  }

  @Test
  void contactIsCurrentOnlyWhileReadsSucceed() {
    committedConfig.refresh();
    assertThat(committedConfig.hasBeenRead(), is(false));
    assertThat(committedConfig.quorumContact().isCurrent(), is(false));
    timers.advance(10);
    assertThat(committedConfig.hasBeenRead(), is(true));
    timers.advance(1_000);
    assertThat(committedConfig.quorumContact().unbrokenMs(), is(1_008L));
    register.unreachable = true;
    timers.advance(2_000);
    assertThat(committedConfig.quorumContact().isCurrent(), is(false));
    assertThat(committedConfig.quorumContact().unbrokenMs(), is(-1L));
  }

  @Test
  void lateReadResponseDoesNotCountAsContact() {
    register.readDelayMs = QuorumContact.MAX_AGE_MS + 1;
    committedConfig.refresh();
    timers.advance(QuorumContact.MAX_AGE_MS + 1);
    assertThat(committedConfig.hasBeenRead(), is(true));
    assertThat(committedConfig.quorumContact().isCurrent(), is(false));
    register.readDelayMs = 2;
    timers.advance(QuorumContact.MAX_AGE_MS + 500);
    assertThat(committedConfig.quorumContact().isCurrent(), is(true));
  }
}
