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

/** Replace and Read against the register's contract, its failures and its races. */
class ConfigChangeHandlerTest {
  private final Counters figures = new Counters();
  private final ManualTimers timers = new ManualTimers();
  private final FakeRegister register = new FakeRegister(timers);
  private final List<Long> response = new ArrayList<>();
  private final CommittedValue decided =
      new CommittedValue(register, ConfigChangeHandler.KEY, timers, 300);
  private final ConfigChangeHandler replace =
      new ConfigChangeHandler(
          register,
          ConfigChangeHandler.ChangeKind.REPLACE,
          ConfigChangeHandlerTest::reader,
          timers,
          decided,
          response::add,
          new ControlPlaneCounters(figures));
  private final ReadConfigHandler read = new ReadConfigHandler(register, decided);

  /** "7 anything": the edition is the number in front; "bad" is no configuration. */
  private static ConfigChange reader(byte[] bytes) {
    String text = new String(bytes, StandardCharsets.UTF_8);
    if (text.startsWith("bad")) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "routes[0].depot");
    }
    return new ConfigChange.Replacement(Long.parseLong(text.split(" ")[0]), bytes);
  }

  private static SimpleHttpRequest call(String basedOn, String body) {
    Map<String, String> headers = basedOn == null ? Map.of() : Map.of("elmsail-based-on", basedOn);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return new SimpleHttpRequest("POST", "/Timetable.Replace", Map.of(), headers, bytes);
  }

  private int put(String basedOn, String body) {
    return answer(replace.handle(call(basedOn, body))).status();
  }

  private SimpleHttpResponse answer(CompletableFuture<SimpleHttpResponse> reply) {
    long begun = timers.now();
    while (!reply.isDone() && timers.now() - begun < 5_000) {
      timers.advance(1);
    }
    assertThat(reply.isDone(), is(true));
    assertThat(timers.now() - begun, lessThanOrEqualTo(930L));
    return reply.join();
  }

  private String readBack() {
    SimpleHttpRequest call =
        new SimpleHttpRequest("GET", "/Timetable.Read", Map.of(), Map.of(), new byte[0]);
    SimpleHttpResponse reply = answer(read.handle(call));
    String body = reply.status() == 200 ? new String(reply.body(), StandardCharsets.UTF_8) : "";
    return reply.status() + " " + body;
  }

  @Test
  void committedChangesAreReadBackAsSent() {
    assertThat(readBack(), equalTo("404 "));
    assertThat(put("0", "3 a"), is(200));
    assertThat(put("3", "7 {\"b\" :  1}"), is(200));
    assertThat(readBack(), equalTo("200 7 {\"b\" :  1}"));
    assertThat(response, equalTo(List.of(3L, 7L)));
  }

  @Test
  void changeMustRaiseTheVersionOnTheCurrentBase() {
    assertThat(put("0", "3 a"), is(200));
    assertThat("not the current one", put("0", "4 b"), is(412));
    assertThat("not the current one", put("2", "4 b"), is(412));
    assertThat("not higher", put("3", "3 b"), is(400));
    assertThat("not higher", put("3", "2 b"), is(400));
    assertThat("no base", put(null, "4 b"), is(400));
    assertThat("garbled base", put("3x", "4 b"), is(400));
    assertThat("invalid", put("3", "bad"), is(400));
    assertThat(readBack(), equalTo("200 3 a"));
    assertThat(response, equalTo(List.of(3L)));
  }

  @Test
  void repeatedChangeIsAcknowledgedAgain() {
    assertThat(put("0", "3 a"), is(200));
    assertThat(put("0", "3 a"), is(200));
    assertThat(put("3", "5 b"), is(200));
    assertThat("an older one that was taken", put("0", "3 a"), is(200));
    assertThat("another under its number", put("0", "3 z"), is(412));
    assertThat(readBack(), equalTo("200 5 b"));
    assertThat(response, equalTo(List.of(3L, 5L)));
  }

  @Test
  void sameBodyOnAnotherBaseIsAnotherChange() {
    assertThat(put("0", "3 a"), is(200));
    assertThat(put("3", "5 b"), is(200));
    assertThat("a second winner on base 3 would be one too many", put("3", "3 a"), is(412));
    assertThat(put("5", "5 b"), is(400));
    assertThat(put("2", "5 b"), is(412));
    assertThat(readBack(), equalTo("200 5 b"));
  }

  @Test
  void outcomeIsOpenWhileBaseIsNotCommitted() {
    assertThat("before the first", put("3", "5 b"), is(503));
    assertThat(put("0", "3 a"), is(200));
    assertThat(put("4", "5 b"), is(503));
    assertThat(put("3", "4 c"), is(200));
    assertThat("now it is", put("4", "5 b"), is(200));
  }

  @Test
  void committedChangeIsAcknowledgedEvenIfInvalidNow() {
    byte[] sent = "bad since a later build".getBytes(StandardCharsets.UTF_8);
    register.concurrentValue =
        ConfigHistory.EMPTY.append(3, sent, ConfigHistory.replacementDigest(0, sent)).encode();
    register.nextOutcomes.add(FakeRegister.Outcome.OVERTAKEN);
    assertThat(put("0", "2 lost"), is(412));
    assertThat(put("0", "bad since a later build"), is(200));
    assertThat(put("0", "bad"), is(412));
    assertThat(put("3", "bad"), is(400));
  }

  @Test
  void invalidChangeIsNotRejectedWithoutQuorum() {
    register.unreachable = true;
    assertThat(put("0", "bad"), is(503));
    register.unreachable = false;
    assertThat(put("0", "bad"), is(400));
  }

  @Test
  void concurrentChangesOnSameBaseHaveOneWinner() {
    assertThat(put("0", "3 a"), is(200));
    ConfigHistory current = ConfigHistory.decode(register.values.get("timetable").value());
    byte[] sent = "4 other".getBytes(StandardCharsets.UTF_8);
    register.concurrentValue =
        current.append(4, sent, ConfigHistory.replacementDigest(3, sent)).encode();
    register.nextOutcomes.add(FakeRegister.Outcome.OVERTAKEN);
    assertThat(put("3", "5 mine"), is(412));
    assertThat(readBack(), equalTo("200 4 other"));
  }

  @Test
  void unknownOutcomeIsResolvedWithinTheCall() {
    register.nextOutcomes.add(FakeRegister.Outcome.UNKNOWN_COMMITTED);
    assertThat(put("0", "3 a"), is(200));
    register.nextOutcomes.add(FakeRegister.Outcome.UNKNOWN_LOST);
    assertThat(put("3", "4 b"), is(200));
    assertThat(readBack(), equalTo("200 4 b"));
  }

  @Test
  void unresolvedOutcomeIs504AndTheRepeatIs200() {
    register.nextOutcomes.addAll(
        List.of(
            FakeRegister.Outcome.UNKNOWN_COMMITTED,
            FakeRegister.Outcome.NOT_REACHED,
            FakeRegister.Outcome.NOT_REACHED,
            FakeRegister.Outcome.NOT_REACHED));
    assertThat(put("0", "3 a"), is(504));
    register.nextOutcomes.clear();
    assertThat(put("0", "3 a"), is(200));
    assertThat(readBack(), equalTo("200 3 a"));
  }

  @Test
  void noQuorumIs503AndChangesNothing() {
    register.unreachable = true;
    assertThat(put("0", "3 a"), is(503));
    assertThat(readBack(), equalTo("503 "));
    register.unreachable = false;
    assertThat(readBack(), equalTo("404 "));
  }

  @Test
  void oldestChangesAreForgottenOneByOne() {
    for (int i = 1; i <= ConfigHistory.MAX_CHANGES + 2; i++) {
      assertThat(put(String.valueOf(i - 1), i + " x"), is(200));
    }
    assertThat("the oldest remembered", put("2", "3 x"), is(200));
    assertThat("another on its base", put("2", "3 y"), is(412));
    assertThat("taken and forgotten", put("1", "2 x"), is(503));
    assertThat("never taken, but nobody can tell", put("1", "2 y"), is(503));
    ConfigHistory last = ConfigHistory.decode(register.values.get("timetable").value());
    assertThat(last.changeCount(), is(ConfigHistory.MAX_CHANGES));
    assertThat(last.encode().length - last.configBytes().length, lessThanOrEqualTo(9_300));
  }

  /** The voters say that nothing is newer than what was known; then a change is taken here. */
  @Test
  void readOvertakenByChangeReturnsTheNewerConfig() {
    assertThat(put("0", "3 a"), is(200));
    register.responseDelayMs = 50;
    SimpleHttpRequest call =
        new SimpleHttpRequest("GET", "/Timetable.Read", Map.of(), Map.of(), new byte[0]);
    CompletableFuture<SimpleHttpResponse> reading = read.handle(call);
    timers.advance(3);
    assertThat(put("3", "5 b"), is(200));
    assertThat(reading.isDone(), is(false));
    SimpleHttpResponse reply = answer(reading);
    assertThat(reply.status(), is(200));
    assertThat(new String(reply.body(), StandardCharsets.UTF_8), equalTo("5 b"));
  }

  @Test
  void repeatedReadsTransferNoValue() {
    assertThat(put("0", "3 a"), is(200));
    decided.refresh();
    timers.advance(10);
    int bytes = register.bytesRead;
    int reads = register.reads;
    timers.advance(3_000);
    assertThat(register.reads - reads, is(9));
    assertThat(register.bytesRead, is(bytes));
    assertThat(readBack(), equalTo("200 3 a"));
    assertThat(register.bytesRead, is(bytes));
  }

  @Test
  void contactIsCurrentOnlyWhileReadsSucceed() {
    decided.refresh();
    assertThat(decided.hasBeenRead(), is(false));
    assertThat(decided.quorumContact().isCurrent(), is(false));
    timers.advance(10);
    assertThat(decided.hasBeenRead(), is(true));
    timers.advance(1_000);
    assertThat(decided.quorumContact().unbrokenMs(), is(1_008L));
    register.unreachable = true;
    timers.advance(2_000);
    assertThat(decided.quorumContact().isCurrent(), is(false));
    assertThat(decided.quorumContact().unbrokenMs(), is(-1L));
  }

  @Test
  void lateReadResponseProvesNoContact() {
    register.readMs = QuorumContact.MAX_AGE_MS + 1;
    decided.refresh();
    timers.advance(QuorumContact.MAX_AGE_MS + 1);
    assertThat(decided.hasBeenRead(), is(true));
    assertThat(decided.quorumContact().isCurrent(), is(false));
    register.readMs = 2;
    timers.advance(QuorumContact.MAX_AGE_MS + 500);
    assertThat(decided.quorumContact().isCurrent(), is(true));
  }
}
