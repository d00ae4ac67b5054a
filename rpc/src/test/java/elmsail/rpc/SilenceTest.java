package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Peers that say nothing, or nonsense: a bare socket plays the peer, the clock is moved by hand.
 */
class SilenceTest {

  private final World world = new World();
  private final Codec codec = new Codec();
  private final RpcEndpoint a = world.links();
  private ServerSocketChannel server;
  private String address;
  private SocketChannel peer;
  private final ByteBuffer heard = ByteBuffer.allocate(1 << 16);

  @BeforeEach
  void open() throws IOException {
    server = ServerSocketChannel.open();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
    server.configureBlocking(false);
    address = "127.0.0.1:" + ((InetSocketAddress) server.getLocalAddress()).getPort();
  }

  @AfterEach
  void close() throws IOException {
    if (peer != null) {
      peer.close();
    }
    server.close();
    a.close();
    world.close();
  }

  private CompletableFuture<OpaqueMessage> call(long timeoutMs) {
    CompletableFuture<OpaqueMessage> call =
        a.call(address, new OpaqueMessage(), OpaqueMessage.class, timeoutMs);
    if (peer == null || !peer.isOpen()) {
      world.turnUntil(this::accepted);
    }
    world.turn();
    return call;
  }

  private boolean accepted() {
    try {
      peer = server.accept();
      if (peer != null) {
        peer.configureBlocking(false);
      }
      return peer != null;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** The next frame that came to the peer. */
  private Frame take() {
    FrameReader reader = new FrameReader();
    Frame[] found = new Frame[1];
    ByteBuffer one = ByteBuffer.allocate(1);
    world.turnUntil(
        () -> {
          try {
            one.clear();
            while (found[0] == null && peer.read(one) == 1) {
              one.flip();
              found[0] = reader.next(Unpooled.wrappedBuffer(one));
              one.clear();
            }
          } catch (IOException e) {
            throw new AssertionError(e);
          }
          return found[0] != null;
        });
    return found[0];
  }

  /** Says it, and lets it be heard. */
  private void say(ByteBuf bytes) throws IOException {
    long before = a.counts().bytesIn;
    int many = bytes.readableBytes();
    write(bytes);
    world.turnUntil(() -> a.counts().bytesIn == before + many);
  }

  private void write(ByteBuf bytes) throws IOException {
    ByteBuffer out = bytes.nioBuffer();
    while (out.hasRemaining()) {
      peer.write(out);
    }
    bytes.release();
  }

  private boolean closedByA() {
    try {
      heard.clear();
      return peer.read(heard) < 0;
    } catch (IOException e) {
      return true;
    }
  }

  private static ErrorCode codeOf(CompletableFuture<?> call) {
    assertThat(call.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, call::join));
  }

  @Test
  void silentPeerIsPingedThenItsLinkIsClosedAndItsCallsBreak() {
    CompletableFuture<OpaqueMessage> call = call(10_000);
    assertThat(take().kind(), is(Frame.ASK));
    world.pass(RpcConnection.PING_AFTER + RpcEndpoint.SWEEP_SOON);
    assertThat(take().kind(), is(Frame.PING));
    world.pass(RpcConnection.CLOSE_AFTER - RpcConnection.PING_AFTER - 2 * RpcEndpoint.SWEEP_SOON);
    assertThat(call.isDone(), is(false));
    world.pass(2 * RpcEndpoint.SWEEP_SOON + RpcConnection.LOOK_FOR);
    assertThat(codeOf(call), is(ErrorCode.BROKEN));
    assertThat(a.counts().silentLinks, is(1L));
    world.turnUntil(this::closedByA);
  }

  @Test
  void peerThatAnswersPingsIsWaitedFor() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(60_000);
    long asked = take().call();
    for (int i = 0; i < 10; i++) {
      world.pass(RpcConnection.PING_AFTER + RpcEndpoint.SWEEP_SOON);
      assertThat(take().kind(), is(Frame.PING));
      say(Frame.bare(Frame.PONG, 0));
      assertThat(call.isDone(), is(false));
    }
    say(Frame.message(codec, Frame.ANSWER, asked, new OpaqueMessage()));
    world.turnUntil(call::isDone);
    call.join();
    assertThat(a.counts().silentLinks, is(0L));
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
      world.pass(RpcConnection.CLOSE_AFTER - RpcEndpoint.SWEEP_SOON);
    }
    frame.release();
    world.turnUntil(call::isDone);
    assertThat(call.join().bytes.length, is(400));
    assertThat(a.counts().silentLinks, is(0L));
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
    world.pass(RpcConnection.CLOSE_AFTER + 2 * RpcEndpoint.SWEEP_SOON + RpcConnection.LOOK_FOR);
    assertThat(codeOf(call), is(ErrorCode.BROKEN));
    assertThat(a.counts().silentLinks, is(1L));
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
    assertThat(a.counts().silentLinks, is(0L));
    assertThat(a.counts().silent, is(0L));
  }

  @Test
  void heldUpProcessGivesAnOpenCallsPeerTimeToAnswerAPing() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(60_000);
    take();
    world.timers.jump(8_000);
    world.pass(RpcConnection.LOOK_FOR * 2);
    assertThat(call.isDone(), is(false));
    world.pass(RpcConnection.PING_AFTER + RpcEndpoint.SWEEP_SOON);
    assertThat(take().kind(), is(Frame.PING));
    world.pass(RpcConnection.CLOSE_AFTER + RpcEndpoint.SWEEP_SOON);
    assertThat(codeOf(call), is(ErrorCode.BROKEN));
  }

  @Test
  void heldUpProcessStillFailsWhatWasNotAnswered() {
    CompletableFuture<OpaqueMessage> call = call(3_000);
    world.timers.jump(8_000);
    world.pass(RpcConnection.LOOK_FOR);
    assertThat(codeOf(call), is(ErrorCode.SILENT));
  }

  @Test
  void usedLinkIsPingedForAWhileAndClosedWhenItIsIdle() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(1_000);
    say(Frame.message(codec, Frame.ANSWER, take().call(), new OpaqueMessage()));
    world.turnUntil(call::isDone);
    world.pass(RpcConnection.PING_AFTER + RpcEndpoint.SWEEP_SOON);
    assertThat(take().kind(), is(Frame.PING));
    say(Frame.bare(Frame.PONG, 0));
    world.turn();
    world.pass(RpcConnection.IN_USE_FOR);
    long pings = a.counts().pings;
    world.turnUntil(() -> !closedByA());
    world.pass(RpcConnection.IDLE_FOR - 2 * RpcConnection.IN_USE_FOR);
    assertThat(a.counts().pings, is(pings));
    world.pass(2 * RpcConnection.IN_USE_FOR);
    world.turnUntil(this::closedByA);
  }

  @Test
  void linkUsedAgainAfterARestIsNotSilentAtOnce() throws IOException {
    CompletableFuture<OpaqueMessage> first = call(1_000);
    say(Frame.message(codec, Frame.ANSWER, take().call(), new OpaqueMessage()));
    world.turnUntil(first::isDone);
    long used = world.timers.now();
    while (world.timers.now() - used < RpcConnection.IN_USE_FOR + RpcEndpoint.SWEEP_SOON) {
      long pings = a.counts().pings;
      world.pass(RpcEndpoint.SWEEP_SOON);
      if (a.counts().pings > pings) {
        assertThat(take().kind(), is(Frame.PING));
        say(Frame.bare(Frame.PONG, 0));
      }
    }
    world.pass(20_000);
    CompletableFuture<OpaqueMessage> second = call(5_000);
    world.pass(RpcConnection.CLOSE_AFTER - RpcEndpoint.SWEEP_SOON);
    assertThat(second.isDone(), is(false));
    assertThat(a.counts().silentLinks, is(0L));
    world.pass(3 * RpcEndpoint.SWEEP_SOON);
    assertThat(codeOf(second), is(ErrorCode.BROKEN));
  }

  @Test
  void garbledAnswerClosesTheLinkAndIsCounted() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(5_000);
    take();
    say(Unpooled.copiedBuffer(new byte[Frame.LENGTH_BYTES + Frame.HEAD_BYTES]));
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.BROKEN));
    assertThat(a.counts().garbled, is(1L));
    world.turnUntil(this::closedByA);
  }

  @Test
  void garbledAsksCloseTheirLinkAndOthersGoOn() throws IOException {
    a.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    OpaqueMessage note = new OpaqueMessage();
    ByteBuf unknown = Frame.bare(Frame.ASK, 1);
    ByteBuf bent = Frame.message(codec, Frame.ASK, 1, note);
    bent.setByte(bent.writerIndex() - 1, bent.getByte(bent.writerIndex() - 1) + 1);
    long garbled = 0;
    for (ByteBuf bad : new ByteBuf[] {unknown, bent, Unpooled.copiedBuffer(new byte[64])}) {
      peer =
          SocketChannel.open(
              new InetSocketAddress("127.0.0.1", Integer.parseInt(a.address().substring(10))));
      peer.configureBlocking(false);
      say(bad);
      long expected = ++garbled;
      world.turnUntil(() -> a.counts().garbled == expected);
      world.turnUntil(this::closedByA);
      peer.close();
    }
    RpcEndpoint b = world.links();
    CompletableFuture<OpaqueMessage> call = b.call(a.address(), note, OpaqueMessage.class, 1_000);
    world.turnUntil(call::isDone);
    call.join();
    b.close();
  }

  @Test
  void pingsAreAnsweredAndLeftConnectionsAreClosed() throws IOException {
    peer =
        SocketChannel.open(
            new InetSocketAddress("127.0.0.1", Integer.parseInt(a.address().substring(10))));
    peer.configureBlocking(false);
    say(Frame.bare(Frame.PING, 0));
    assertThat(take().kind(), is(Frame.PONG));
    world.pass(RpcConnection.LEFT_FOR - 1_000);
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
    peer =
        SocketChannel.open(
            new InetSocketAddress("127.0.0.1", Integer.parseInt(a.address().substring(10))));
    for (int i = 0; i < 4; i++) {
      say(Frame.message(codec, Frame.ASK, i, new OpaqueMessage()));
    }
    world.turnUntil(() -> a.counts().asks == 4);
    world.pass(RpcConnection.STUCK_FOR + 2_000);
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
