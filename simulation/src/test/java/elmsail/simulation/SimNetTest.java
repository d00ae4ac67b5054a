package elmsail.simulation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The simulated network does to messages, timers and processes what it says, alike for one seed.
 */
class SimNetTest {

  private static final String A = "10.0.0.1:7";
  private static final String B = "10.0.0.2:7";

  private final ManualTimers timers = new ManualTimers();
  private final SimNet net = new SimNet(5, timers);
  private Node a;
  private Node b;
  private final List<OpaqueMessage> received = new ArrayList<>();

  @BeforeEach
  void start() {
    net.delay(2, 2);
    a = net.node(A);
    b = net.node(B);
    echo(b);
  }

  private void echo(Node node) {
    node.answering()
        .on(
            OpaqueMessage.class,
            request -> {
              received.add(request);
              return CompletableFuture.completedFuture(request);
            });
  }

  private static OpaqueMessage note(String kind) {
    OpaqueMessage note = new OpaqueMessage();
    note.kind = kind;
    return note;
  }

  private CompletableFuture<OpaqueMessage> request() {
    return a.caller().call(B, note("x"), OpaqueMessage.class, 1_000);
  }

  private static ErrorCode codeOf(CompletableFuture<?> call) {
    assertThat(call.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, call::join));
  }

  @Test
  void callTakesTheDelayOfBothWaysAndSharesNothing() {
    net.delay(B, A, 5, 5);
    OpaqueMessage asked = note("x");
    CompletableFuture<OpaqueMessage> call = a.caller().call(B, asked, OpaqueMessage.class, 1_000);
    timers.pass(6);
    assertThat(received.size(), is(1));
    assertThat(call.isDone(), is(false));
    timers.pass(1);
    assertThat(call.join().kind, is("x"));
    assertThat(received.get(0), is(not(sameInstance(asked))));
    assertThat(call.join(), is(not(sameInstance(received.get(0)))));
  }

  @Test
  void failedHandlerFailsTheCallWithItsCode() {
    b.answering()
        .on(
            OpaqueMessage.class,
            request ->
                CompletableFuture.failedFuture(new ElmsailException(ErrorCode.NOT_SEATED, "x")));
    CompletableFuture<OpaqueMessage> call = request();
    timers.pass(4);
    assertThat(codeOf(call), is(ErrorCode.NOT_SEATED));
  }

  @Test
  void faultsOfHandlersAreKeptForTheTest() {
    IllegalStateException fault = new IllegalStateException("a fault");
    b.answering()
        .on(
            OpaqueMessage.class,
            request -> {
              throw fault;
            });
    CompletableFuture<OpaqueMessage> call = request();
    timers.pass(4);
    assertThat(codeOf(call), is(ErrorCode.FAULT));
    assertThat(net.faults(), contains(fault));
  }

  @Test
  void cutWayIsSilentAndTheOtherWayIsNot() {
    net.cut(B, A);
    CompletableFuture<OpaqueMessage> call = request();
    timers.pass(999);
    assertThat("the ask gets there", received.size(), is(1));
    assertThat(call.isDone(), is(false));
    timers.pass(1);
    assertThat(codeOf(call), is(ErrorCode.SILENT));
    net.heal(B, A);
    net.cut(A, B);
    CompletableFuture<OpaqueMessage> next = request();
    timers.pass(1_000);
    assertThat(codeOf(next), is(ErrorCode.SILENT));
    assertThat(received.size(), is(1));
    net.healAll();
    CompletableFuture<OpaqueMessage> last = request();
    timers.pass(4);
    assertThat(last.join().kind, is("x"));
  }

  @Test
  void cutTakesWhatIsUnderWay() {
    request();
    timers.pass(1);
    net.isolate(A);
    timers.pass(10);
    assertThat(received, is(empty()));
    assertThat(net.lost(), is(1L));
  }

  @Test
  void resetBreaksAtOnceAndTheAskMayArrive() {
    CompletableFuture<OpaqueMessage> open = request();
    net.reset(A, B);
    assertThat(open.isDone(), is(false));
    timers.pass(0);
    assertThat(codeOf(open), is(ErrorCode.BROKEN));
    for (int i = 0; i < 40; i++) {
      CompletableFuture<OpaqueMessage> call = request();
      timers.pass(0);
      assertThat(codeOf(call), is(ErrorCode.BROKEN));
    }
    timers.pass(10);
    assertThat(received.size(), is(greaterThan(5)));
    assertThat(received.size(), is(lessThan(36)));
  }

  @Test
  void brokenOnceIsSoundAfterwards() {
    CompletableFuture<OpaqueMessage> open = request();
    net.breakOnce(A, B);
    CompletableFuture<OpaqueMessage> next = request();
    timers.pass(4);
    assertThat(codeOf(open), is(ErrorCode.BROKEN));
    assertThat(next.join().kind, is("x"));
  }

  @Test
  void refusedIsUnsentAtOnceAndNothingArrives() {
    net.refuse(A, B);
    CompletableFuture<OpaqueMessage> call = request();
    assertThat(call.isDone(), is(false));
    timers.pass(0);
    assertThat(codeOf(call), is(ErrorCode.UNSENT));
    timers.pass(100);
    assertThat(received, is(empty()));
  }

  @Test
  void callToNobodyIsUnsent() {
    CompletableFuture<OpaqueMessage> call =
        a.caller().call("10.0.0.9:7", note("x"), OpaqueMessage.class, 1_000);
    timers.pass(2);
    assertThat(codeOf(call), is(ErrorCode.UNSENT));
  }

  @Test
  void lossTakesItsPart() {
    net.loss(0.5);
    int answered = 0;
    for (int i = 0; i < 400; i++) {
      CompletableFuture<OpaqueMessage> call = request();
      timers.pass(1_000);
      if (call.isCompletedExceptionally()) {
        assertThat(codeOf(call), is(ErrorCode.SILENT));
      } else {
        answered++;
      }
    }
    assertThat(answered, is(greaterThan(60)));
    assertThat(answered, is(lessThan(140)));
    assertThat(received.size(), is(greaterThan(answered)));
  }

  @Test
  void killedProcessWithAWordBreaksItsCallers() {
    b.answering().on(OpaqueMessage.class, request -> new CompletableFuture<>());
    CompletableFuture<OpaqueMessage> open = request();
    timers.pass(5);
    net.kill(B, true);
    timers.pass(0);
    assertThat(codeOf(open), is(ErrorCode.BROKEN));
    CompletableFuture<OpaqueMessage> next = request();
    timers.pass(2);
    assertThat(codeOf(next), is(ErrorCode.UNSENT));
  }

  @Test
  void machineWithoutPowerIsSilent() {
    CompletableFuture<OpaqueMessage> open = request();
    timers.pass(1);
    net.kill(B, false);
    timers.pass(500);
    assertThat(open.isDone(), is(false));
    CompletableFuture<OpaqueMessage> next = request();
    timers.pass(500);
    assertThat(codeOf(open), is(ErrorCode.SILENT));
    timers.pass(SimNet.CONNECT_WITHIN - 500);
    assertThat(codeOf(next), is(ErrorCode.UNSENT));
    assertThat(received, is(empty()));
  }

  @Test
  void nothingOfADeadProcessRuns() {
    List<String> ran = new ArrayList<>();
    b.timers().after(10, () -> ran.add("timer"));
    a.answering().on(OpaqueMessage.class, request -> new CompletableFuture<>());
    CompletableFuture<OpaqueMessage> own = b.caller().call(A, note("x"), OpaqueMessage.class, 50);
    own.whenComplete((response, thrown) -> ran.add("call"));
    CompletableFuture<OpaqueMessage> held = new CompletableFuture<>();
    b.answering().on(OpaqueMessage.class, request -> held);
    CompletableFuture<OpaqueMessage> call = request();
    timers.pass(5);
    net.kill(B, false);
    held.complete(note("late"));
    b.timers().soon(() -> ran.add("soon"));
    timers.pass(900);
    assertThat(ran, is(empty()));
    assertThat(call.isDone(), is(false));
    assertThat(b.caller().call(A, note("x"), OpaqueMessage.class, 5).isDone(), is(false));
    timers.pass(100);
    assertThat(codeOf(call), is(ErrorCode.SILENT));
  }

  @Test
  void newProcessAtTheAddressDoesNotGetTheOldOnesMessages() {
    CompletableFuture<OpaqueMessage> call = request();
    timers.pass(1);
    Node again = net.node(B);
    echo(again);
    assertThat(b.alive(), is(false));
    timers.pass(1_000);
    assertThat(call.isCompletedExceptionally(), is(true));
    assertThat(received, is(empty()));
    CompletableFuture<OpaqueMessage> next = request();
    timers.pass(4);
    assertThat(next.join().kind, is("x"));
  }

  @Test
  void frozenProcessRunsWhatWasHeldMessagesFirst() {
    List<String> ran = new ArrayList<>();
    b.answering()
        .on(
            OpaqueMessage.class,
            request -> {
              ran.add("message");
              return CompletableFuture.completedFuture(request);
            });
    Timers.Timer cancelled = b.timers().after(3, () -> ran.add("cancelled"));
    b.timers().after(1, () -> ran.add("first"));
    b.timers().after(50, () -> ran.add("second"));
    net.freeze(B);
    CompletableFuture<OpaqueMessage> call = request();
    timers.pass(1_000);
    assertThat(codeOf(call), is(ErrorCode.SILENT));
    assertThat(ran, is(empty()));
    cancelled.cancel();
    net.thaw(B);
    timers.pass(10);
    assertThat(ran, contains("message", "first", "second"));
  }

  @Test
  void frozenCallerFindsTheAnswerBeforeItsStaleTimer() {
    CompletableFuture<OpaqueMessage> call = request();
    timers.pass(1);
    net.freeze(A);
    timers.pass(5_000);
    assertThat(call.isDone(), is(false));
    net.thaw(A);
    timers.pass(0);
    assertThat(call.join().kind, is("x"));
  }

  @Test
  void ownCallsGoThroughNoNetwork() {
    echo(a);
    net.loss(1);
    CompletableFuture<OpaqueMessage> call =
        a.caller().call(A, note("own"), OpaqueMessage.class, 10);
    assertThat(call.isDone(), is(false));
    timers.pass(0);
    assertThat(call.join().kind, is("own"));
  }

  @Test
  void equalSeedsGoAlikeAndOthersDoNot() {
    assertThat(run(1), is(run(1)));
    assertThat(run(2), is(run(2)));
    assertThat(run(1), is(not(run(2))));
  }

  private static List<String> run(long seed) {
    ManualTimers timers = new ManualTimers();
    SimNet net = new SimNet(seed, timers);
    net.delay(1, 30);
    net.loss(0.2);
    List<String> log = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      net.node("n" + i)
          .answering()
          .on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    }
    for (int i = 0; i < 60; i++) {
      String to = "n" + i % 3;
      String name = "call " + i;
      net.at("n" + (i + 1) % 3)
          .caller()
          .call(to, note(name), OpaqueMessage.class, 200)
          .whenComplete(
              (response, thrown) ->
                  log.add(timers.now() + name + (response == null ? "failed" : "told")));
      timers.pass(3);
      if (i == 30) {
        net.kill("n1");
        net.node("n1");
      }
    }
    timers.pass(1_000);
    log.add("digest " + net.digest());
    return log;
  }
}
