package elmsail.rpc;

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

  private final World world = new World();
  private final RpcEndpoint a = world.links();
  private final RpcEndpoint b = world.links();

  @AfterEach
  void close() {
    a.close();
    b.close();
    world.close();
  }

  private static OpaqueMessage note(String kind, int bytes) {
    OpaqueMessage note = new OpaqueMessage();
    note.kind = kind;
    note.bytes = new byte[bytes];
    return note;
  }

  private static ErrorCode codeOf(CompletableFuture<?> call) {
    assertThat(call.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, call::join));
  }

  private CompletableFuture<OpaqueMessage> request(String kind) {
    return a.call(b.address(), note(kind, 10), OpaqueMessage.class, 2_000);
  }

  private void echo() {
    b.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
  }

  @Test
  void callIsAnswered() {
    b.on(
        ReadRequest.class,
        request -> {
          VoteResponse response = new VoteResponse();
          response.value = request.key.getBytes();
          return CompletableFuture.completedFuture(response);
        });
    ReadRequest request = new ReadRequest();
    request.key = "lot/5";
    CompletableFuture<VoteResponse> call = a.call(b.address(), request, VoteResponse.class, 500);
    world.turnUntil(call::isDone);
    assertThat(call.join().value, equalTo("lot/5".getBytes()));
  }

  @Test
  void manyCallsShareOneConnectionAndAreAnsweredInAnyOrder() {
    List<CompletableFuture<OpaqueMessage>> held = new ArrayList<>();
    b.on(
        OpaqueMessage.class,
        request -> {
          held.add(new CompletableFuture<>());
          return held.get(held.size() - 1);
        });
    List<CompletableFuture<OpaqueMessage>> calls = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      calls.add(request("n" + i));
    }
    world.turnUntil(() -> held.size() == 100);
    for (int i = 99; i >= 0; i--) {
      held.get(i).complete(note("a" + i, 0));
    }
    for (int i = 0; i < 100; i++) {
      world.turnUntil(calls.get(i)::isDone);
      assertThat(calls.get(i).join().kind, is("a" + i));
    }
    assertThat(a.counts().links, is(1L));
  }

  @Test
  void bigAnswersComeWhole() {
    b.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(note("big", 5 << 20)));
    CompletableFuture<OpaqueMessage> call = request("x");
    world.turnUntil(call::isDone);
    assertThat(call.join().bytes.length, is(5 << 20));
  }

  @Test
  void failedHandlerSendsItsCode() {
    b.on(
        OpaqueMessage.class,
        request -> CompletableFuture.failedFuture(new ElmsailException(ErrorCode.NOT_SEATED, "x")));
    b.on(
        ReadRequest.class,
        request -> {
          throw new IllegalStateException("a fault");
        });
    CompletableFuture<OpaqueMessage> call = request("x");
    CompletableFuture<VoteResponse> faulty =
        a.call(b.address(), new ReadRequest(), VoteResponse.class, 500);
    world.turnUntil(() -> call.isDone() && faulty.isDone());
    assertThat(codeOf(call), is(ErrorCode.NOT_SEATED));
    assertThat(codeOf(faulty), is(ErrorCode.FAULT));
    assertThat(a.counts().failures, is(2L));
  }

  @Test
  void askThatNobodyHandlesIsAFault() {
    CompletableFuture<OpaqueMessage> call = request("x");
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.FAULT));
  }

  @Test
  void answerOfAnotherTypeIsGarbled() {
    b.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(new VoteResponse()));
    CompletableFuture<OpaqueMessage> call = request("x");
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.GARBLED));
  }

  @Test
  void silentHandlerFailsTheCallInTimeAndItsLateAnswerIsDropped() {
    CompletableFuture<OpaqueMessage> held = new CompletableFuture<>();
    b.on(OpaqueMessage.class, request -> held);
    CompletableFuture<OpaqueMessage> call =
        a.call(b.address(), note("x", 1), OpaqueMessage.class, 300);
    world.turnUntil(() -> b.counts().asks == 1);
    world.pass(299);
    assertThat(call.isDone(), is(false));
    world.pass(1);
    assertThat(codeOf(call), is(ErrorCode.SILENT));
    held.complete(note("late", 1));
    world.turnUntil(() -> a.counts().late == 1);
    assertThat(a.counts().answers, is(0L));
  }

  @Test
  void deadPortFailsUnsentAndIsLeftAloneForAWhile() {
    String gone = b.address();
    b.close();
    world.turn();
    CompletableFuture<OpaqueMessage> first = a.call(gone, note("x", 1), OpaqueMessage.class, 5_000);
    world.turnUntil(first::isDone);
    assertThat(codeOf(first), is(ErrorCode.UNSENT));
    assertThat(a.counts().refusedConnects, is(1L));
    CompletableFuture<OpaqueMessage> second =
        a.call(gone, note("x", 1), OpaqueMessage.class, 5_000);
    assertThat(second.isDone(), is(false));
    world.turnUntil(second::isDone);
    assertThat(codeOf(second), is(ErrorCode.UNSENT));
    assertThat(a.counts().refusedConnects, is(1L));
    world.pass(Peer.FIRST_PAUSE);
    CompletableFuture<OpaqueMessage> third = a.call(gone, note("x", 1), OpaqueMessage.class, 5_000);
    world.turnUntil(third::isDone);
    assertThat(a.counts().refusedConnects, is(2L));
    world.pass(Peer.FIRST_PAUSE);
    CompletableFuture<OpaqueMessage> fourth =
        a.call(gone, note("x", 1), OpaqueMessage.class, 5_000);
    world.turnUntil(fourth::isDone);
    assertThat("the pause grows", a.counts().refusedConnects, is(2L));
  }

  @Test
  void whatIsNoAddressIsUnsent() {
    for (String bad : List.of("", "nowhere", "host.example:80", "127.0.0.1:x", "127.0.0.1:70000")) {
      CompletableFuture<OpaqueMessage> call = a.call(bad, note("x", 1), OpaqueMessage.class, 5_000);
      assertThat(call.isDone(), is(false));
      world.turnUntil(call::isDone);
      assertThat(bad, codeOf(call), is(ErrorCode.UNSENT));
    }
  }

  @Test
  void closedPeerBreaksOpenCallsAndTheNextOneConnectsAnew() {
    b.on(OpaqueMessage.class, request -> new CompletableFuture<>());
    CompletableFuture<OpaqueMessage> call = request("x");
    world.turnUntil(() -> b.counts().asks == 1);
    String address = b.address();
    b.close();
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.BROKEN));
    RpcEndpoint again = new RpcEndpoint(world.loop, world.timers, address);
    again.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    CompletableFuture<Void> up = again.listen();
    world.turnUntil(up::isDone);
    up.join();
    world.pass(Peer.LONGEST_PAUSE);
    CompletableFuture<OpaqueMessage> next =
        a.call(address, note("y", 1), OpaqueMessage.class, 2_000);
    world.turnUntil(next::isDone);
    assertThat(next.join().kind, is("y"));
    again.close();
  }

  @Test
  void callsThatWaitForTheConnectionAreBounded() {
    echo();
    List<CompletableFuture<OpaqueMessage>> calls = new ArrayList<>();
    for (int i = 0; i < Peer.MOST_WAITING; i++) {
      calls.add(request("x"));
    }
    CompletableFuture<OpaqueMessage> over = request("over");
    assertThat("never inside the call", over.isDone(), is(false));
    world.turnUntil(over::isDone);
    assertThat(codeOf(over), is(ErrorCode.FULL));
    for (CompletableFuture<OpaqueMessage> call : calls) {
      world.turnUntil(call::isDone);
      assertThat(call.join().kind, is("x"));
    }
  }

  @Test
  void bytesOnTheirWayToAPeerAreBounded() {
    echo();
    CompletableFuture<OpaqueMessage> first = request("x");
    world.turnUntil(first::isDone);
    CompletableFuture<OpaqueMessage> big =
        a.call(b.address(), note("big", 5 << 20), OpaqueMessage.class, 2_000);
    CompletableFuture<OpaqueMessage> over =
        a.call(b.address(), note("over", 5 << 20), OpaqueMessage.class, 2_000);
    CompletableFuture<OpaqueMessage> small =
        a.call(b.address(), note("small", 1 << 20), OpaqueMessage.class, 2_000);
    world.turnUntil(() -> big.isDone() && over.isDone() && small.isDone());
    assertThat(big.join().kind, is("big"));
    assertThat(codeOf(over), is(ErrorCode.FULL));
    assertThat(small.join().kind, is("small"));
  }

  @Test
  void messageThatIsTooLongIsFullAndTheLinkStays() {
    b.on(
        OpaqueMessage.class,
        request -> CompletableFuture.completedFuture(note("x", request.bytes.length << 20)));
    CompletableFuture<OpaqueMessage> sent =
        a.call(b.address(), note("x", 17 << 20), OpaqueMessage.class, 2_000);
    CompletableFuture<OpaqueMessage> answered =
        a.call(b.address(), note("x", 17), OpaqueMessage.class, 2_000);
    CompletableFuture<OpaqueMessage> fine =
        a.call(b.address(), note("x", 2), OpaqueMessage.class, 2_000);
    world.turnUntil(() -> sent.isDone() && answered.isDone() && fine.isDone());
    assertThat(codeOf(sent), is(ErrorCode.FULL));
    assertThat(codeOf(answered), is(ErrorCode.FULL));
    assertThat(fine.join().bytes.length, is(2 << 20));
    assertThat(a.counts().links, is(1L));
  }

  @Test
  void ownCallsAreAnsweredLaterAndShareNothing() {
    List<OpaqueMessage> seen = new ArrayList<>();
    a.on(
        OpaqueMessage.class,
        request -> {
          seen.add(request);
          return CompletableFuture.completedFuture(request);
        });
    OpaqueMessage asked = note("own", 3);
    CompletableFuture<OpaqueMessage> call = a.call(a.address(), asked, OpaqueMessage.class, 100);
    assertThat(call.isDone(), is(false));
    assertThat(seen.size(), is(0));
    world.timers.pass(0);
    assertThat(call.join().kind, is("own"));
    assertThat(seen.get(0), is(not(sameInstance(asked))));
    assertThat(call.join(), is(not(sameInstance(seen.get(0)))));
    assertThat(a.counts().links, is(0L));
  }

  @Test
  void ownCallsFailWithTheCodeOrInTime() {
    CompletableFuture<OpaqueMessage> held = new CompletableFuture<>();
    a.on(
        OpaqueMessage.class,
        request ->
            request.kind.equals("held")
                ? held
                : CompletableFuture.failedFuture(new ElmsailException(ErrorCode.DISK, "x")));
    CompletableFuture<OpaqueMessage> failed =
        a.call(a.address(), note("x", 1), OpaqueMessage.class, 100);
    CompletableFuture<OpaqueMessage> silent =
        a.call(a.address(), note("held", 1), OpaqueMessage.class, 100);
    world.timers.pass(99);
    assertThat(codeOf(failed), is(ErrorCode.DISK));
    assertThat(silent.isDone(), is(false));
    world.timers.pass(1);
    assertThat(codeOf(silent), is(ErrorCode.SILENT));
    held.complete(note("late", 1));
    world.timers.pass(0);
    assertThat(a.counts().late, is(1L));
  }

  @Test
  void closedLinksFailTheirCalls() {
    b.on(OpaqueMessage.class, request -> new CompletableFuture<>());
    CompletableFuture<OpaqueMessage> open = request("open");
    world.turnUntil(() -> b.counts().asks == 1);
    a.close();
    CompletableFuture<OpaqueMessage> after = request("after");
    world.turnUntil(() -> open.isDone() && after.isDone());
    assertThat(codeOf(open), is(ErrorCode.BROKEN));
    assertThat(codeOf(after), is(ErrorCode.UNSENT));
  }

  @Test
  void addressInUseIsToldByTheFuture() {
    RpcEndpoint c = new RpcEndpoint(world.loop, world.timers, b.address());
    CompletableFuture<Void> up = c.listen();
    world.turnUntil(up::isDone);
    assertThat(codeOf(up), is(ErrorCode.BAD_SETTINGS));
  }
}
