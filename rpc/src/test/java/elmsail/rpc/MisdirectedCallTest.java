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

/** Calls to an address at which another process answers than the one that was meant. */
class MisdirectedCallTest {

  private final World world = new World();
  private final RpcEndpoint caller = world.links();

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
    world.turnUntil(up::isDone);
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
    other.on(
        OpaqueMessage.class,
        request -> {
          runs.incrementAndGet();
          return CompletableFuture.completedFuture(request);
        });
    CompletableFuture<OpaqueMessage> call = call(addressOfOther());
    world.turnUntil(call::isDone);
    assertThat(call.isCompletedExceptionally(), is(true));
    assertThat("run by a process that was not meant", runs.get(), is(0));
  }

  @Test
  void misdirectedCallHasItsOwnErrorAndCountersAndTheNextOneWaits() {
    String address = addressOfOther();
    CompletableFuture<OpaqueMessage> call = call(address);
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.MISDIRECTED));
    assertThat(caller.counts().misdirected, is(1L));
    assertThat(other.counts().misdirected, is(1L));
    assertThat(other.counts().asks, is(0L));
    CompletableFuture<OpaqueMessage> soon = call(address);
    world.turnUntil(soon::isDone);
    assertThat("no new connection at once", codeOf(soon), is(ErrorCode.UNSENT));
    assertThat(caller.counts().links, is(1L));
  }

  @Test
  void othersAreNotAffected() {
    RpcEndpoint third = world.links();
    third.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    CompletableFuture<OpaqueMessage> wrong = call(addressOfOther());
    CompletableFuture<OpaqueMessage> right = call(third.address());
    world.turnUntil(() -> wrong.isDone() && right.isDone());
    right.join();
    assertThat(codeOf(wrong), is(ErrorCode.MISDIRECTED));
    third.close();
  }

  @Test
  void newInstanceAtTheAddressIsNoticed() {
    RpcEndpoint first = world.links();
    String address = first.address();
    first.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    CompletableFuture<OpaqueMessage> one = call(address);
    world.turnUntil(one::isDone);
    one.join();
    first.close();
    world.turn();
    RpcEndpoint second = new RpcEndpoint(world.loop, world.timers, address);
    second.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    world.turnUntil(second.listen()::isDone);
    world.pass(Peer.LONGEST_PAUSE);
    CompletableFuture<OpaqueMessage> two = call(address);
    world.turnUntil(two::isDone);
    two.join();
    assertThat(caller.counts().newInstances, is(1L));
    second.close();
  }
}
