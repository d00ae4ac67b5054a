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
class SimNetworkTest {

  private static final String A = "10.0.0.1:7";
  private static final String B = "10.0.0.2:7";

  private final ManualTimers timers = new ManualTimers();
  private final SimNetwork net = new SimNetwork(5, timers);
  private SimNode a;
  private SimNode b;
  private final List<OpaqueMessage> received = new ArrayList<>();

  @BeforeEach
  void start() {
    net.delay(2, 2);
    a = net.startNode(A);
    b = net.startNode(B);
    echo(b);
  }

  private void echo(SimNode node) {
    node.requestHandlers()
        .register(
            OpaqueMessage.class,
            request -> {
              received.add(request);
              return CompletableFuture.completedFuture(request);
            });
  }

  private static OpaqueMessage message(String kind) {
    OpaqueMessage message = new OpaqueMessage();
    message.kind = kind;
    return message;
  }

  private CompletableFuture<OpaqueMessage> request() {
    return a.rpcClient().call(B, message("x"), OpaqueMessage.class, 1_000);
  }

  private static ErrorCode codeOf(CompletableFuture<?> call) {
    assertThat(call.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, call::join));
  }

  @Test
  void callTakesTheDelayOfBothDirectionsAndSharesNothing() {
    net.delay(B, A, 5, 5);
    OpaqueMessage request = message("x");
    CompletableFuture<OpaqueMessage> call =
        a.rpcClient().call(B, request, OpaqueMessage.class, 1_000);
    timers.advance(6);
    assertThat(received.size(), is(1));
    assertThat(call.isDone(), is(false));
    timers.advance(1);
    assertThat(call.join().kind, is("x"));
    assertThat(received.get(0), is(not(sameInstance(request))));
    assertThat(call.join(), is(not(sameInstance(received.get(0)))));
  }

  @Test
  void failedHandlerFailsTheCallWithItsCode() {
    b.requestHandlers()
        .register(
            OpaqueMessage.class,
            request ->
                CompletableFuture.failedFuture(new ElmsailException(ErrorCode.NOT_A_VOTER, "x")));
    CompletableFuture<OpaqueMessage> call = request();
    timers.advance(4);
    assertThat(codeOf(call), is(ErrorCode.NOT_A_VOTER));
  }

  @Test
  void handlerFaultsAreKeptForTheTest() {
    IllegalStateException fault = new IllegalStateException("a fault");
    b.requestHandlers()
        .register(
            OpaqueMessage.class,
            request -> {
              throw fault;
            });
    CompletableFuture<OpaqueMessage> call = request();
    timers.advance(4);
    assertThat(codeOf(call), is(ErrorCode.INTERNAL));
    assertThat(net.handlerFaults(), contains(fault));
  }

  @Test
  void cutIsDirectedAndTimesCallsOut() {
    net.cut(B, A);
    CompletableFuture<OpaqueMessage> call = request();
    timers.advance(999);
    assertThat("the request arrives", received.size(), is(1));
    assertThat(call.isDone(), is(false));
    timers.advance(1);
    assertThat(codeOf(call), is(ErrorCode.TIMEOUT));
    net.heal(B, A);
    net.cut(A, B);
    CompletableFuture<OpaqueMessage> next = request();
    timers.advance(1_000);
    assertThat(codeOf(next), is(ErrorCode.TIMEOUT));
    assertThat(received.size(), is(1));
    net.healAll();
    CompletableFuture<OpaqueMessage> last = request();
    timers.advance(4);
    assertThat(last.join().kind, is("x"));
  }

  @Test
  void cutDropsMessagesInFlight() {
    request();
    timers.advance(1);
    net.isolate(A);
    timers.advance(10);
    assertThat(received, is(empty()));
    assertThat(net.messagesLost(), is(1L));
  }

  @Test
  void resetFailsCallsAtOnceAndTheRequestMayArrive() {
    CompletableFuture<OpaqueMessage> open = request();
    net.resetCalls(A, B);
    assertThat(open.isDone(), is(false));
    timers.advance(0);
    assertThat(codeOf(open), is(ErrorCode.CONNECTION_LOST));
    for (int i = 0; i < 40; i++) {
      CompletableFuture<OpaqueMessage> call = request();
      timers.advance(0);
      assertThat(codeOf(call), is(ErrorCode.CONNECTION_LOST));
    }
    timers.advance(10);
    assertThat(received.size(), is(greaterThan(5)));
    assertThat(received.size(), is(lessThan(36)));
  }

  @Test
  void breakOnceFailsOpenCallsOnly() {
    CompletableFuture<OpaqueMessage> open = request();
    net.breakOpenCallsOnce(A, B);
    CompletableFuture<OpaqueMessage> next = request();
    timers.advance(4);
    assertThat(codeOf(open), is(ErrorCode.CONNECTION_LOST));
    assertThat(next.join().kind, is("x"));
  }

  @Test
  void refusedCallsAreNotSentAndNothingArrives() {
    net.refuseCalls(A, B);
    CompletableFuture<OpaqueMessage> call = request();
    assertThat(call.isDone(), is(false));
    timers.advance(0);
    assertThat(codeOf(call), is(ErrorCode.NOT_SENT));
    timers.advance(100);
    assertThat(received, is(empty()));
  }

  @Test
  void callToAnUnknownAddressIsNotSent() {
    CompletableFuture<OpaqueMessage> call =
        a.rpcClient().call("10.0.0.9:7", message("x"), OpaqueMessage.class, 1_000);
    timers.advance(2);
    assertThat(codeOf(call), is(ErrorCode.NOT_SENT));
  }

  @Test
  void lossDropsItsShareOfMessages() {
    net.loss(0.5);
    int answered = 0;
    for (int i = 0; i < 400; i++) {
      CompletableFuture<OpaqueMessage> call = request();
      timers.advance(1_000);
      if (call.isCompletedExceptionally()) {
        assertThat(codeOf(call), is(ErrorCode.TIMEOUT));
      } else {
        answered++;
      }
    }
    assertThat(answered, is(greaterThan(60)));
    assertThat(answered, is(lessThan(140)));
    assertThat(received.size(), is(greaterThan(answered)));
  }

  @Test
  void killedProcessWithResetsFailsItsCallers() {
    b.requestHandlers().register(OpaqueMessage.class, request -> new CompletableFuture<>());
    CompletableFuture<OpaqueMessage> open = request();
    timers.advance(5);
    net.kill(B, true);
    timers.advance(0);
    assertThat(codeOf(open), is(ErrorCode.CONNECTION_LOST));
    CompletableFuture<OpaqueMessage> next = request();
    timers.advance(2);
    assertThat(codeOf(next), is(ErrorCode.NOT_SENT));
  }

  @Test
  void poweredOffMachineTimesCallsOut() {
    CompletableFuture<OpaqueMessage> open = request();
    timers.advance(1);
    net.kill(B, false);
    timers.advance(500);
    assertThat(open.isDone(), is(false));
    CompletableFuture<OpaqueMessage> next = request();
    timers.advance(500);
    assertThat(codeOf(open), is(ErrorCode.TIMEOUT));
    timers.advance(SimNetwork.CONNECT_TIMEOUT_MS - 500);
    assertThat(codeOf(next), is(ErrorCode.NOT_SENT));
    assertThat(received, is(empty()));
  }

  @Test
  void nothingOfAKilledProcessRuns() {
    List<String> ran = new ArrayList<>();
    b.timers().schedule(10, () -> ran.add("timer"));
    a.requestHandlers().register(OpaqueMessage.class, request -> new CompletableFuture<>());
    CompletableFuture<OpaqueMessage> own =
        b.rpcClient().call(A, message("x"), OpaqueMessage.class, 50);
    own.whenComplete((response, thrown) -> ran.add("call"));
    CompletableFuture<OpaqueMessage> held = new CompletableFuture<>();
    b.requestHandlers().register(OpaqueMessage.class, request -> held);
    CompletableFuture<OpaqueMessage> call = request();
    timers.advance(5);
    net.kill(B, false);
    held.complete(message("late"));
    b.timers().execute(() -> ran.add("soon"));
    timers.advance(900);
    assertThat(ran, is(empty()));
    assertThat(call.isDone(), is(false));
    assertThat(b.rpcClient().call(A, message("x"), OpaqueMessage.class, 5).isDone(), is(false));
    timers.advance(100);
    assertThat(codeOf(call), is(ErrorCode.TIMEOUT));
  }

  @Test
  void newProcessAtTheAddressDoesNotReceiveOldMessages() {
    CompletableFuture<OpaqueMessage> call = request();
    timers.advance(1);
    SimNode again = net.startNode(B);
    echo(again);
    assertThat(b.isAlive(), is(false));
    timers.advance(1_000);
    assertThat(call.isCompletedExceptionally(), is(true));
    assertThat(received, is(empty()));
    CompletableFuture<OpaqueMessage> next = request();
    timers.advance(4);
    assertThat(next.join().kind, is("x"));
  }

  @Test
  void thawedProcessRunsDeferredMessagesBeforeTimers() {
    List<String> ran = new ArrayList<>();
    b.requestHandlers()
        .register(
            OpaqueMessage.class,
            request -> {
              ran.add("message");
              return CompletableFuture.completedFuture(request);
            });
    Timers.Timer cancelled = b.timers().schedule(3, () -> ran.add("cancelled"));
    b.timers().schedule(1, () -> ran.add("first"));
    b.timers().schedule(50, () -> ran.add("second"));
    net.freeze(B);
    CompletableFuture<OpaqueMessage> call = request();
    timers.advance(1_000);
    assertThat(codeOf(call), is(ErrorCode.TIMEOUT));
    assertThat(ran, is(empty()));
    cancelled.cancel();
    net.thaw(B);
    timers.advance(10);
    assertThat(ran, contains("message", "first", "second"));
  }

  @Test
  void thawedCallerReceivesTheResponseBeforeItsStaleTimer() {
    CompletableFuture<OpaqueMessage> call = request();
    timers.advance(1);
    net.freeze(A);
    timers.advance(5_000);
    assertThat(call.isDone(), is(false));
    net.thaw(A);
    timers.advance(0);
    assertThat(call.join().kind, is("x"));
  }

  @Test
  void loopbackCallsBypassTheNetwork() {
    echo(a);
    net.loss(1);
    CompletableFuture<OpaqueMessage> call =
        a.rpcClient().call(A, message("own"), OpaqueMessage.class, 10);
    assertThat(call.isDone(), is(false));
    timers.advance(0);
    assertThat(call.join().kind, is("own"));
  }

  @Test
  void equalSeedsGiveEqualRunsAndOthersDiffer() {
    assertThat(run(1), is(run(1)));
    assertThat(run(2), is(run(2)));
    assertThat(run(1), is(not(run(2))));
  }

  private static List<String> run(long seed) {
    ManualTimers timers = new ManualTimers();
    SimNetwork net = new SimNetwork(seed, timers);
    net.delay(1, 30);
    net.loss(0.2);
    List<String> log = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      net.startNode("n" + i)
          .requestHandlers()
          .register(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    }
    for (int i = 0; i < 60; i++) {
      String to = "n" + i % 3;
      String name = "call " + i;
      net.nodeAt("n" + (i + 1) % 3)
          .rpcClient()
          .call(to, message(name), OpaqueMessage.class, 200)
          .whenComplete(
              (response, thrown) ->
                  log.add(timers.now() + name + (response == null ? "failed" : "responded")));
      timers.advance(3);
      if (i == 30) {
        net.kill("n1");
        net.startNode("n1");
      }
    }
    timers.advance(1_000);
    log.add("digest " + net.digest());
    return log;
  }
}
