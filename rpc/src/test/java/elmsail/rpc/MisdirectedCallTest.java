package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls to an address at which a process other than the intended one responds. */
class MisdirectedCallTest {

  private final LoopbackFixture world = new LoopbackFixture();
  private final RpcEndpoint caller = world.startEndpoint();

  /** Listens at all addresses and knows itself by another one than it is called at. */
  private final RpcEndpoint other = new RpcEndpoint(world.loop, world.timers, "0.0.0.0:0");

  @AfterEach
  void close() {
    caller.close();
    other.close();
    world.close();
  }

  private String addressOfOther() {
    CompletableFuture<Void> up = other.listen();
    world.runLoopUntil(up::isDone);
    return other.address().replace("0.0.0.0", "127.0.0.1");
  }

  private CompletableFuture<OpaqueMessage> call(String address) {
    return caller.call(address, new OpaqueMessage(), OpaqueMessage.class, 2_000);
  }

  private static ErrorCode codeOf(CompletableFuture<?> call) {
    assertThat(call.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, call::join));
  }

  @Test
  void callThatReachesAnotherProcessFailsAndIsNotRun() {
    AtomicInteger runs = new AtomicInteger();
    other.register(
        OpaqueMessage.class,
        request -> {
          runs.incrementAndGet();
          return CompletableFuture.completedFuture(request);
        });
    CompletableFuture<OpaqueMessage> call = call(addressOfOther());
    world.runLoopUntil(call::isDone);
    assertThat(call.isCompletedExceptionally(), is(true));
    assertThat("run by a process that was not meant", runs.get(), is(0));
  }

  @Test
  void misdirectedCallHasItsOwnErrorAndCountersAndTheNextOneWaits() {
    String address = addressOfOther();
    CompletableFuture<OpaqueMessage> call = call(address);
    world.runLoopUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.MISDIRECTED));
    assertThat(caller.counters().misdirectedConnections, is(1L));
    assertThat(other.counters().misdirectedConnections, is(1L));
    assertThat(other.counters().requestsReceived, is(0L));
    CompletableFuture<OpaqueMessage> soon = call(address);
    world.runLoopUntil(soon::isDone);
    assertThat("no new connection at once", codeOf(soon), is(ErrorCode.NOT_SENT));
    assertThat(caller.counters().connectionsOpened, is(1L));
  }

  @Test
  void othersAreNotAffected() {
    RpcEndpoint third = world.startEndpoint();
    third.register(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    CompletableFuture<OpaqueMessage> wrong = call(addressOfOther());
    CompletableFuture<OpaqueMessage> right = call(third.address());
    world.runLoopUntil(() -> wrong.isDone() && right.isDone());
    right.join();
    assertThat(codeOf(wrong), is(ErrorCode.MISDIRECTED));
    third.close();
  }

  @Test
  void newInstanceAtTheAddressIsNoticed() {
    RpcEndpoint first = world.startEndpoint();
    String address = first.address();
    first.register(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    CompletableFuture<OpaqueMessage> one = call(address);
    world.runLoopUntil(one::isDone);
    one.join();
    first.close();
    world.runLoop();
    RpcEndpoint second = new RpcEndpoint(world.loop, world.timers, address);
    second.register(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    world.runLoopUntil(second.listen()::isDone);
    world.advance(Peer.MAX_BACKOFF_MS);
    CompletableFuture<OpaqueMessage> two = call(address);
    world.runLoopUntil(two::isDone);
    two.join();
    assertThat(caller.counters().newInstances, is(1L));
    second.close();
  }
}
