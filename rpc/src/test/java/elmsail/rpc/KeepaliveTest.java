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
class KeepaliveTest extends RawPeerFixture {

  @Test
  void silentPeerIsPingedThenItsConnectionIsClosedAndItsCallsFail() {
    CompletableFuture<OpaqueMessage> call = call(10_000);
    assertThat(readFrame().kind(), is(Frame.REQUEST));
    world.advance(KeepaliveMonitor.KEEPALIVE_TIME_MS + ConnectionSweeper.BUSY_INTERVAL_MS);
    assertThat(readFrame().kind(), is(Frame.PING));
    world.advance(
        KeepaliveMonitor.KEEPALIVE_TIMEOUT_MS
            - KeepaliveMonitor.KEEPALIVE_TIME_MS
            - 2 * ConnectionSweeper.BUSY_INTERVAL_MS);
    assertThat(call.isDone(), is(false));
    world.advance(2 * ConnectionSweeper.BUSY_INTERVAL_MS + KeepaliveMonitor.RECHECK_DELAY_MS);
    assertThat(codeOf(call), is(ErrorCode.CONNECTION_LOST));
    assertThat(a.counters().keepaliveTimeouts, is(1L));
    world.runLoopUntil(this::closedByA);
  }

  @Test
  void peerThatAnswersPingsKeepsItsConnection() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(60_000);
    long callId = readFrame().callId();
    for (int i = 0; i < 10; i++) {
      world.advance(KeepaliveMonitor.KEEPALIVE_TIME_MS + ConnectionSweeper.BUSY_INTERVAL_MS);
      assertThat(readFrame().kind(), is(Frame.PING));
      send(Frame.withoutPayload(Frame.PONG, 0));
      assertThat(call.isDone(), is(false));
    }
    send(Frame.message(codec, Frame.RESPONSE, callId, new OpaqueMessage()));
    world.runLoopUntil(call::isDone);
    call.join();
    assertThat(a.counters().keepaliveTimeouts, is(0L));
  }

  @Test
  void bytesOfAnIncompleteFrameCountAsActivity() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(60_000);
    long callId = readFrame().callId();
    OpaqueMessage response = new OpaqueMessage();
    response.bytes = new byte[400];
    ByteBuf frame = Frame.message(codec, Frame.RESPONSE, callId, response);
    while (frame.isReadable()) {
      send(frame.readRetainedSlice(Math.min(20, frame.readableBytes())));
      world.runLoop();
      world.advance(KeepaliveMonitor.KEEPALIVE_TIMEOUT_MS - ConnectionSweeper.BUSY_INTERVAL_MS);
    }
    frame.release();
    world.runLoopUntil(call::isDone);
    assertThat(call.join().bytes.length, is(400));
    assertThat(a.counters().keepaliveTimeouts, is(0L));
  }

  @Test
  void peerThatReadsALongRequestSlowlyKeepsItsConnectionUntilItStops() throws IOException {
    server.setOption(StandardSocketOptions.SO_RCVBUF, 128 << 10);
    OpaqueMessage request = new OpaqueMessage();
    request.bytes = new byte[7 << 20];
    CompletableFuture<OpaqueMessage> call = a.call(address, request, OpaqueMessage.class, 60_000);
    world.runLoopUntil(this::accepted);
    ByteBuffer part = ByteBuffer.allocate(400 << 10);
    for (int i = 0; i < 8; i++) {
      part.clear();
      world.runLoopUntil(
          () -> {
            try {
              peer.read(part);
            } catch (IOException e) {
              throw new AssertionError(e);
            }
            return !part.hasRemaining();
          });
      world.advance(500);
      assertThat("after part " + i, call.isDone(), is(false));
    }
    world.advance(
        KeepaliveMonitor.KEEPALIVE_TIMEOUT_MS
            + 2 * ConnectionSweeper.BUSY_INTERVAL_MS
            + KeepaliveMonitor.RECHECK_DELAY_MS);
    assertThat(codeOf(call), is(ErrorCode.CONNECTION_LOST));
    assertThat(a.counters().keepaliveTimeouts, is(1L));
  }

  @Test
  void stalledProcessReadsItsSocketsBeforeItFailsCalls() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(3_000);
    long callId = readFrame().callId();
    write(Frame.message(codec, Frame.RESPONSE, callId, new OpaqueMessage()));
    world.timers.advanceRunningLate(8_000);
    assertThat("stale timers judge nothing", call.isDone(), is(false));
    world.runLoopUntil(call::isDone);
    call.join();
    assertThat(a.counters().keepaliveTimeouts, is(0L));
    assertThat(a.counters().timeouts, is(0L));
  }

  @Test
  void stalledProcessGivesThePeerTimeToAnswerAPing() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(60_000);
    readFrame();
    world.timers.advanceRunningLate(8_000);
    world.advance(KeepaliveMonitor.RECHECK_DELAY_MS * 2);
    assertThat(call.isDone(), is(false));
    world.advance(KeepaliveMonitor.KEEPALIVE_TIME_MS + ConnectionSweeper.BUSY_INTERVAL_MS);
    assertThat(readFrame().kind(), is(Frame.PING));
    world.advance(KeepaliveMonitor.KEEPALIVE_TIMEOUT_MS + ConnectionSweeper.BUSY_INTERVAL_MS);
    assertThat(codeOf(call), is(ErrorCode.CONNECTION_LOST));
  }

  @Test
  void stalledProcessStillFailsUnansweredCalls() {
    CompletableFuture<OpaqueMessage> call = call(3_000);
    world.timers.advanceRunningLate(8_000);
    world.advance(KeepaliveMonitor.RECHECK_DELAY_MS);
    assertThat(codeOf(call), is(ErrorCode.TIMEOUT));
  }

  @Test
  void usedConnectionIsPingedForAWhileAndClosedWhenIdle() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(1_000);
    send(Frame.message(codec, Frame.RESPONSE, readFrame().callId(), new OpaqueMessage()));
    world.runLoopUntil(call::isDone);
    world.advance(KeepaliveMonitor.KEEPALIVE_TIME_MS + ConnectionSweeper.BUSY_INTERVAL_MS);
    assertThat(readFrame().kind(), is(Frame.PING));
    send(Frame.withoutPayload(Frame.PONG, 0));
    world.runLoop();
    world.advance(KeepaliveMonitor.RECENT_USE_MS);
    long pings = a.counters().pings;
    world.runLoopUntil(() -> !closedByA());
    world.advance(KeepaliveMonitor.IDLE_TIMEOUT_MS - 2 * KeepaliveMonitor.RECENT_USE_MS);
    assertThat(a.counters().pings, is(pings));
    world.advance(2 * KeepaliveMonitor.RECENT_USE_MS);
    world.runLoopUntil(this::closedByA);
  }

  @Test
  void connectionUsedAgainAfterAPauseDoesNotTimeOutAtOnce() throws IOException {
    CompletableFuture<OpaqueMessage> first = call(1_000);
    send(Frame.message(codec, Frame.RESPONSE, readFrame().callId(), new OpaqueMessage()));
    world.runLoopUntil(first::isDone);
    long used = world.timers.now();
    while (world.timers.now() - used
        < KeepaliveMonitor.RECENT_USE_MS + ConnectionSweeper.BUSY_INTERVAL_MS) {
      long pings = a.counters().pings;
      world.advance(ConnectionSweeper.BUSY_INTERVAL_MS);
      if (a.counters().pings > pings) {
        assertThat(readFrame().kind(), is(Frame.PING));
        send(Frame.withoutPayload(Frame.PONG, 0));
      }
    }
    world.advance(20_000);
    CompletableFuture<OpaqueMessage> second = call(5_000);
    world.advance(KeepaliveMonitor.KEEPALIVE_TIMEOUT_MS - ConnectionSweeper.BUSY_INTERVAL_MS);
    assertThat(second.isDone(), is(false));
    assertThat(a.counters().keepaliveTimeouts, is(0L));
    world.advance(3 * ConnectionSweeper.BUSY_INTERVAL_MS);
    assertThat(codeOf(second), is(ErrorCode.CONNECTION_LOST));
  }

  @Test
  void pingsAreAnsweredAndAbandonedConnectionsAreClosed() throws IOException {
    connectToA();
    send(Frame.withoutPayload(Frame.PING, 0));
    assertThat(readFrame().kind(), is(Frame.PONG));
    world.advance(KeepaliveMonitor.ACCEPTED_IDLE_TIMEOUT_MS - 1_000);
    assertThat(closedByA(), is(false));
    world.advance(2_000);
    world.runLoopUntil(this::closedByA);
  }

  @Test
  void clientThatDoesNotReadIsClosedAfterAWhile() throws IOException {
    a.register(
        OpaqueMessage.class,
        request -> {
          OpaqueMessage response = new OpaqueMessage();
          response.bytes = new byte[6 << 20];
          return CompletableFuture.completedFuture(response);
        });
    connectToA();
    for (int i = 0; i < 4; i++) {
      send(Frame.message(codec, Frame.REQUEST, i, new OpaqueMessage()));
    }
    world.runLoopUntil(() -> a.counters().requestsReceived == 4);
    world.advance(KeepaliveMonitor.WRITE_STALL_TIMEOUT_MS + 2_000);
    peer.configureBlocking(false);
    world.runLoopUntil(
        () -> {
          readBuffer.clear();
          try {
            return peer.read(readBuffer) < 0;
          } catch (IOException e) {
            return true;
          }
        });
  }

  @Test
  void connectAttemptTimesOut() throws IOException {
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
    world.runLoop();
    world.advance(Connector.CONNECT_TIMEOUT_MS - 10);
    assertThat(call.isDone(), is(false));
    world.advance(10);
    world.runLoopUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.NOT_SENT));
    assertThat(a.counters().failedConnects, is(1L));
    for (SocketChannel other : others) {
      other.close();
    }
  }
}
