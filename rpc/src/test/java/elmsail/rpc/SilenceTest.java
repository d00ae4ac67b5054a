package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Peers that say nothing: a bare socket plays the peer, the clock is moved by hand. */
class SilenceTest extends RawPeerFixture {

  @Test
  void silentPeerIsPingedThenItsLinkIsClosedAndItsCallsBreak() {
    CompletableFuture<OpaqueMessage> call = call(10_000);
    assertThat(take().kind(), is(Frame.ASK));
    world.pass(Liveness.PING_AFTER + ConnectionSweeper.SWEEP_SOON);
    assertThat(take().kind(), is(Frame.PING));
    world.pass(Liveness.CLOSE_AFTER - Liveness.PING_AFTER - 2 * ConnectionSweeper.SWEEP_SOON);
    assertThat(call.isDone(), is(false));
    world.pass(2 * ConnectionSweeper.SWEEP_SOON + Liveness.LOOK_FOR);
    assertThat(codeOf(call), is(ErrorCode.BROKEN));
    assertThat(a.counts().silentConnections, is(1L));
    world.turnUntil(this::closedByA);
  }

  @Test
  void peerThatAnswersPingsIsWaitedFor() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(60_000);
    long asked = take().call();
    for (int i = 0; i < 10; i++) {
      world.pass(Liveness.PING_AFTER + ConnectionSweeper.SWEEP_SOON);
      assertThat(take().kind(), is(Frame.PING));
      say(Frame.bare(Frame.PONG, 0));
      assertThat(call.isDone(), is(false));
    }
    say(Frame.message(codec, Frame.ANSWER, asked, new OpaqueMessage()));
    world.turnUntil(call::isDone);
    call.join();
    assertThat(a.counts().silentConnections, is(0L));
  }

  @Test
  void bytesOfAnUnfinishedFrameAreHeard() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(60_000);
    long asked = take().call();
    OpaqueMessage answer = new OpaqueMessage();
    answer.bytes = new byte[400];
    ByteBuf frame = Frame.message(codec, Frame.ANSWER, asked, answer);
    while (frame.isReadable()) {
      say(frame.readRetainedSlice(Math.min(20, frame.readableBytes())));
      world.turn();
      world.pass(Liveness.CLOSE_AFTER - ConnectionSweeper.SWEEP_SOON);
    }
    frame.release();
    world.turnUntil(call::isDone);
    assertThat(call.join().bytes.length, is(400));
    assertThat(a.counts().silentConnections, is(0L));
  }

  @Test
  void peerThatTakesALongAskSlowlyIsWaitedForUntilItStops() throws IOException {
    server.setOption(StandardSocketOptions.SO_RCVBUF, 128 << 10);
    OpaqueMessage request = new OpaqueMessage();
    request.bytes = new byte[7 << 20];
    CompletableFuture<OpaqueMessage> call = a.call(address, request, OpaqueMessage.class, 60_000);
    world.turnUntil(this::accepted);
    ByteBuffer part = ByteBuffer.allocate(400 << 10);
    for (int i = 0; i < 8; i++) {
      part.clear();
      world.turnUntil(
          () -> {
            try {
              peer.read(part);
            } catch (IOException e) {
              throw new AssertionError(e);
            }
            return !part.hasRemaining();
          });
      world.pass(500);
      assertThat("after part " + i, call.isDone(), is(false));
    }
    world.pass(Liveness.CLOSE_AFTER + 2 * ConnectionSweeper.SWEEP_SOON + Liveness.LOOK_FOR);
    assertThat(codeOf(call), is(ErrorCode.BROKEN));
    assertThat(a.counts().silentConnections, is(1L));
  }

  @Test
  void processThatWasHeldUpLooksAtItsSocketsFirst() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(3_000);
    long asked = take().call();
    write(Frame.message(codec, Frame.ANSWER, asked, new OpaqueMessage()));
    world.timers.jump(8_000);
    assertThat("stale timers judge nothing", call.isDone(), is(false));
    world.turnUntil(call::isDone);
    call.join();
    assertThat(a.counts().silentConnections, is(0L));
    assertThat(a.counts().silent, is(0L));
  }

  @Test
  void heldUpProcessGivesAnOpenCallsPeerTimeToAnswerAPing() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(60_000);
    take();
    world.timers.jump(8_000);
    world.pass(Liveness.LOOK_FOR * 2);
    assertThat(call.isDone(), is(false));
    world.pass(Liveness.PING_AFTER + ConnectionSweeper.SWEEP_SOON);
    assertThat(take().kind(), is(Frame.PING));
    world.pass(Liveness.CLOSE_AFTER + ConnectionSweeper.SWEEP_SOON);
    assertThat(codeOf(call), is(ErrorCode.BROKEN));
  }

  @Test
  void heldUpProcessStillFailsWhatWasNotAnswered() {
    CompletableFuture<OpaqueMessage> call = call(3_000);
    world.timers.jump(8_000);
    world.pass(Liveness.LOOK_FOR);
    assertThat(codeOf(call), is(ErrorCode.SILENT));
  }

  @Test
  void usedLinkIsPingedForAWhileAndClosedWhenItIsIdle() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(1_000);
    say(Frame.message(codec, Frame.ANSWER, take().call(), new OpaqueMessage()));
    world.turnUntil(call::isDone);
    world.pass(Liveness.PING_AFTER + ConnectionSweeper.SWEEP_SOON);
    assertThat(take().kind(), is(Frame.PING));
    say(Frame.bare(Frame.PONG, 0));
    world.turn();
    world.pass(Liveness.IN_USE_FOR);
    long pings = a.counts().pings;
    world.turnUntil(() -> !closedByA());
    world.pass(Liveness.IDLE_FOR - 2 * Liveness.IN_USE_FOR);
    assertThat(a.counts().pings, is(pings));
    world.pass(2 * Liveness.IN_USE_FOR);
    world.turnUntil(this::closedByA);
  }

  @Test
  void linkUsedAgainAfterARestIsNotSilentAtOnce() throws IOException {
    CompletableFuture<OpaqueMessage> first = call(1_000);
    say(Frame.message(codec, Frame.ANSWER, take().call(), new OpaqueMessage()));
    world.turnUntil(first::isDone);
    long used = world.timers.now();
    while (world.timers.now() - used < Liveness.IN_USE_FOR + ConnectionSweeper.SWEEP_SOON) {
      long pings = a.counts().pings;
      world.pass(ConnectionSweeper.SWEEP_SOON);
      if (a.counts().pings > pings) {
        assertThat(take().kind(), is(Frame.PING));
        say(Frame.bare(Frame.PONG, 0));
      }
    }
    world.pass(20_000);
    CompletableFuture<OpaqueMessage> second = call(5_000);
    world.pass(Liveness.CLOSE_AFTER - ConnectionSweeper.SWEEP_SOON);
    assertThat(second.isDone(), is(false));
    assertThat(a.counts().silentConnections, is(0L));
    world.pass(3 * ConnectionSweeper.SWEEP_SOON);
    assertThat(codeOf(second), is(ErrorCode.BROKEN));
  }

  @Test
  void pingsAreAnsweredAndLeftConnectionsAreClosed() throws IOException {
    connectToA();
    say(Frame.bare(Frame.PING, 0));
    assertThat(take().kind(), is(Frame.PONG));
    world.pass(Liveness.LEFT_FOR - 1_000);
    assertThat(closedByA(), is(false));
    world.pass(2_000);
    world.turnUntil(this::closedByA);
  }

  @Test
  void askerThatDoesNotReadIsClosedAfterAWhile() throws IOException {
    a.on(
        OpaqueMessage.class,
        request -> {
          OpaqueMessage answer = new OpaqueMessage();
          answer.bytes = new byte[6 << 20];
          return CompletableFuture.completedFuture(answer);
        });
    connectToA();
    for (int i = 0; i < 4; i++) {
      say(Frame.message(codec, Frame.ASK, i, new OpaqueMessage()));
    }
    world.turnUntil(() -> a.counts().asks == 4);
    world.pass(Liveness.STUCK_FOR + 2_000);
    peer.configureBlocking(false);
    world.turnUntil(
        () -> {
          heard.clear();
          try {
            return peer.read(heard) < 0;
          } catch (IOException e) {
            return true;
          }
        });
  }

  @Test
  void connectionThatDoesNotComeAboutIsGivenUp() throws IOException {
    List<SocketChannel> others = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      // A full queue of new connections drops the opening packet.
      SocketChannel other = SocketChannel.open();
      other.configureBlocking(false);
      other.connect(server.getLocalAddress());
      others.add(other);
    }
    CompletableFuture<OpaqueMessage> call =
        a.call(address, new OpaqueMessage(), OpaqueMessage.class, 30_000);
    world.turn();
    world.pass(Connector.CONNECT_WITHIN - 10);
    assertThat(call.isDone(), is(false));
    world.pass(10);
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.UNSENT));
    assertThat(a.counts().refusedConnects, is(1L));
    for (SocketChannel other : others) {
      other.close();
    }
  }
}
