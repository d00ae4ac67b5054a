package elmsail.rpc;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.ReadRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Two processes' links over loopback, the clock moved by hand. */
class RpcEndpointTest {

  private final LoopbackFixture world = new LoopbackFixture();
  private final RpcEndpoint a = world.startEndpoint();
  private final RpcEndpoint b = world.startEndpoint();

  @AfterEach
  void close() {
    a.close();
    b.close();
    world.close();
  }

  private static OpaqueMessage message(String kind, int bytes) {
    OpaqueMessage message = new OpaqueMessage();
    message.kind = kind;
    message.bytes = new byte[bytes];
    return message;
  }

  private static ErrorCode codeOf(CompletableFuture<?> call) {
    assertThat(call.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, call::join));
  }

  private CompletableFuture<OpaqueMessage> callB(String kind) {
    return a.call(b.address(), message(kind, 10), OpaqueMessage.class, 2_000);
  }

  private void echo() {
    b.register(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
  }

  @Test
  void callCompletesWithTheHandlersResponse() {
    b.register(
        ReadRequest.class,
        request -> {
          VoteResponse response = new VoteResponse();
          response.value = request.key.getBytes(UTF_8);
          return CompletableFuture.completedFuture(response);
        });
    ReadRequest request = new ReadRequest();
    request.key = "lot/5";
    CompletableFuture<VoteResponse> call = a.call(b.address(), request, VoteResponse.class, 500);
    world.runLoopUntil(call::isDone);
    assertThat(call.join().value, equalTo("lot/5".getBytes(UTF_8)));
  }

  @Test
  void manyCallsShareOneConnectionAndCompleteInAnyOrder() {
    List<CompletableFuture<OpaqueMessage>> held = new ArrayList<>();
    b.register(
        OpaqueMessage.class,
        request -> {
          held.add(new CompletableFuture<>());
          return held.get(held.size() - 1);
        });
    List<CompletableFuture<OpaqueMessage>> calls = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      calls.add(callB("n" + i));
    }
    world.runLoopUntil(() -> held.size() == 100);
    for (int i = 99; i >= 0; i--) {
      held.get(i).complete(message("a" + i, 0));
    }
    for (int i = 0; i < 100; i++) {
      world.runLoopUntil(calls.get(i)::isDone);
      assertThat(calls.get(i).join().kind, is("a" + i));
    }
    assertThat(a.counters().connectionsOpened, is(1L));
  }

  @Test
  void largeResponsesArriveComplete() {
    b.register(
        OpaqueMessage.class, request -> CompletableFuture.completedFuture(message("big", 5 << 20)));
    CompletableFuture<OpaqueMessage> call = callB("x");
    world.runLoopUntil(call::isDone);
    assertThat(call.join().bytes.length, is(5 << 20));
  }

  @Test
  void failedHandlerSendsItsCode() {
    b.register(
        OpaqueMessage.class,
        request ->
            CompletableFuture.failedFuture(new ElmsailException(ErrorCode.NOT_A_VOTER, "x")));
    b.register(
        ReadRequest.class,
        request -> {
          throw new IllegalStateException("a fault");
        });
    CompletableFuture<OpaqueMessage> call = callB("x");
    CompletableFuture<VoteResponse> faulty =
        a.call(b.address(), new ReadRequest(), VoteResponse.class, 500);
    world.runLoopUntil(() -> call.isDone() && faulty.isDone());
    assertThat(codeOf(call), is(ErrorCode.NOT_A_VOTER));
    assertThat(codeOf(faulty), is(ErrorCode.INTERNAL));
    assertThat(a.counters().failures, is(2L));
  }

  @Test
  void requestWithoutAHandlerIsAnInternalError() {
    CompletableFuture<OpaqueMessage> call = callB("x");
    world.runLoopUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.INTERNAL));
  }

  @Test
  void responseOfAnotherTypeIsMalformed() {
    b.register(
        OpaqueMessage.class, request -> CompletableFuture.completedFuture(new VoteResponse()));
    CompletableFuture<OpaqueMessage> call = callB("x");
    world.runLoopUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.MALFORMED));
  }

  @Test
  void slowHandlerTimesOutTheCallAndItsLateResponseIsDropped() {
    CompletableFuture<OpaqueMessage> held = new CompletableFuture<>();
    b.register(OpaqueMessage.class, request -> held);
    CompletableFuture<OpaqueMessage> call =
        a.call(b.address(), message("x", 1), OpaqueMessage.class, 300);
    world.runLoopUntil(() -> b.counters().requestsReceived == 1);
    world.advance(299);
    assertThat(call.isDone(), is(false));
    world.advance(1);
    assertThat(codeOf(call), is(ErrorCode.TIMEOUT));
    held.complete(message("late", 1));
    world.runLoopUntil(() -> a.counters().lateResponses == 1);
    assertThat(a.counters().responses, is(0L));
  }

  @Test
  void closedPortFailsAsNotSentAndIsRetriedWithBackoff() {
    String closedAddress = b.address();
    b.close();
    world.runLoop();
    CompletableFuture<OpaqueMessage> first =
        a.call(closedAddress, message("x", 1), OpaqueMessage.class, 5_000);
    world.runLoopUntil(first::isDone);
    assertThat(codeOf(first), is(ErrorCode.NOT_SENT));
    assertThat(a.counters().failedConnects, is(1L));
    CompletableFuture<OpaqueMessage> second =
        a.call(closedAddress, message("x", 1), OpaqueMessage.class, 5_000);
    assertThat(second.isDone(), is(false));
    world.runLoopUntil(second::isDone);
    assertThat(codeOf(second), is(ErrorCode.NOT_SENT));
    assertThat(a.counters().failedConnects, is(1L));
    world.advance(Peer.INITIAL_BACKOFF_MS);
    CompletableFuture<OpaqueMessage> third =
        a.call(closedAddress, message("x", 1), OpaqueMessage.class, 5_000);
    world.runLoopUntil(third::isDone);
    assertThat(a.counters().failedConnects, is(2L));
    world.advance(Peer.INITIAL_BACKOFF_MS);
    CompletableFuture<OpaqueMessage> fourth =
        a.call(closedAddress, message("x", 1), OpaqueMessage.class, 5_000);
    world.runLoopUntil(fourth::isDone);
    assertThat("the pause grows", a.counters().failedConnects, is(2L));
  }

  @Test
  void invalidAddressFailsAsNotSent() {
    for (String bad : List.of("", "nowhere", "host.example:80", "127.0.0.1:x", "127.0.0.1:70000")) {
      CompletableFuture<OpaqueMessage> call =
          a.call(bad, message("x", 1), OpaqueMessage.class, 5_000);
      assertThat(call.isDone(), is(false));
      world.runLoopUntil(call::isDone);
      assertThat(bad, codeOf(call), is(ErrorCode.NOT_SENT));
    }
  }

  @Test
  void closedPeerFailsOpenCallsAndTheNextCallReconnects() {
    b.register(OpaqueMessage.class, request -> new CompletableFuture<>());
    CompletableFuture<OpaqueMessage> call = callB("x");
    world.runLoopUntil(() -> b.counters().requestsReceived == 1);
    String address = b.address();
    b.close();
    world.runLoopUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.CONNECTION_LOST));
    RpcEndpoint again = new RpcEndpoint(world.loop, world.timers, address);
    again.register(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    CompletableFuture<Void> up = again.listen();
    world.runLoopUntil(up::isDone);
    up.join();
    world.advance(Peer.MAX_BACKOFF_MS);
    CompletableFuture<OpaqueMessage> next =
        a.call(address, message("y", 1), OpaqueMessage.class, 2_000);
    world.runLoopUntil(next::isDone);
    assertThat(next.join().kind, is("y"));
    again.close();
  }

  @Test
  void callsQueuedForAConnectionAreBounded() {
    echo();
    List<CompletableFuture<OpaqueMessage>> calls = new ArrayList<>();
    for (int i = 0; i < Peer.MAX_QUEUED_CALLS; i++) {
      calls.add(callB("x"));
    }
    CompletableFuture<OpaqueMessage> over = callB("over");
    assertThat("never inside the call", over.isDone(), is(false));
    world.runLoopUntil(over::isDone);
    assertThat(codeOf(over), is(ErrorCode.RESOURCE_EXHAUSTED));
    for (CompletableFuture<OpaqueMessage> call : calls) {
      world.runLoopUntil(call::isDone);
      assertThat(call.join().kind, is("x"));
    }
  }

  @Test
  void bytesQueuedForAPeerAreBounded() {
    echo();
    CompletableFuture<OpaqueMessage> first = callB("x");
    world.runLoopUntil(first::isDone);
    CompletableFuture<OpaqueMessage> big =
        a.call(b.address(), message("big", 5 << 20), OpaqueMessage.class, 2_000);
    CompletableFuture<OpaqueMessage> over =
        a.call(b.address(), message("over", 5 << 20), OpaqueMessage.class, 2_000);
    CompletableFuture<OpaqueMessage> small =
        a.call(b.address(), message("small", 1 << 20), OpaqueMessage.class, 2_000);
    world.runLoopUntil(() -> big.isDone() && over.isDone() && small.isDone());
    assertThat(big.join().kind, is("big"));
    assertThat(codeOf(over), is(ErrorCode.RESOURCE_EXHAUSTED));
    assertThat(small.join().kind, is("small"));
  }

  @Test
  void tooLongMessageIsResourceExhaustedAndTheConnectionStays() {
    b.register(
        OpaqueMessage.class,
        request -> CompletableFuture.completedFuture(message("x", request.bytes.length << 20)));
    CompletableFuture<OpaqueMessage> sent =
        a.call(b.address(), message("x", 17 << 20), OpaqueMessage.class, 2_000);
    CompletableFuture<OpaqueMessage> answered =
        a.call(b.address(), message("x", 17), OpaqueMessage.class, 2_000);
    CompletableFuture<OpaqueMessage> fine =
        a.call(b.address(), message("x", 2), OpaqueMessage.class, 2_000);
    world.runLoopUntil(() -> sent.isDone() && answered.isDone() && fine.isDone());
    assertThat(codeOf(sent), is(ErrorCode.RESOURCE_EXHAUSTED));
    assertThat(codeOf(answered), is(ErrorCode.RESOURCE_EXHAUSTED));
    assertThat(fine.join().bytes.length, is(2 << 20));
    assertThat(a.counters().connectionsOpened, is(1L));
  }

  @Test
  void loopbackCallsCompleteLaterAndShareNothing() {
    List<OpaqueMessage> seen = new ArrayList<>();
    a.register(
        OpaqueMessage.class,
        request -> {
          seen.add(request);
          return CompletableFuture.completedFuture(request);
        });
    OpaqueMessage request = message("own", 3);
    CompletableFuture<OpaqueMessage> call = a.call(a.address(), request, OpaqueMessage.class, 100);
    assertThat(call.isDone(), is(false));
    assertThat(seen.size(), is(0));
    world.timers.advance(0);
    assertThat(call.join().kind, is("own"));
    assertThat(seen.get(0), is(not(sameInstance(request))));
    assertThat(call.join(), is(not(sameInstance(seen.get(0)))));
    assertThat(a.counters().connectionsOpened, is(0L));
  }

  @Test
  void loopbackCallsFailWithTheHandlersCodeOrTimeOut() {
    CompletableFuture<OpaqueMessage> held = new CompletableFuture<>();
    a.register(
        OpaqueMessage.class,
        request ->
            request.kind.equals("held")
                ? held
                : CompletableFuture.failedFuture(
                    new ElmsailException(ErrorCode.STORAGE_FAILURE, "x")));
    CompletableFuture<OpaqueMessage> failed =
        a.call(a.address(), message("x", 1), OpaqueMessage.class, 100);
    CompletableFuture<OpaqueMessage> timedOut =
        a.call(a.address(), message("held", 1), OpaqueMessage.class, 100);
    world.timers.advance(99);
    assertThat(codeOf(failed), is(ErrorCode.STORAGE_FAILURE));
    assertThat(timedOut.isDone(), is(false));
    world.timers.advance(1);
    assertThat(codeOf(timedOut), is(ErrorCode.TIMEOUT));
    held.complete(message("late", 1));
    world.timers.advance(0);
    assertThat(a.counters().lateResponses, is(1L));
  }

  @Test
  void closedEndpointFailsItsCalls() {
    b.register(OpaqueMessage.class, request -> new CompletableFuture<>());
    CompletableFuture<OpaqueMessage> open = callB("open");
    world.runLoopUntil(() -> b.counters().requestsReceived == 1);
    a.close();
    CompletableFuture<OpaqueMessage> after = callB("after");
    world.runLoopUntil(() -> open.isDone() && after.isDone());
    assertThat(codeOf(open), is(ErrorCode.CONNECTION_LOST));
    assertThat(codeOf(after), is(ErrorCode.NOT_SENT));
  }

  @Test
  void addressInUseFailsTheListenFuture() {
    RpcEndpoint c = new RpcEndpoint(world.loop, world.timers, b.address());
    CompletableFuture<Void> up = c.listen();
    world.runLoopUntil(up::isDone);
    assertThat(codeOf(up), is(ErrorCode.INVALID_SETTINGS));
  }
}
