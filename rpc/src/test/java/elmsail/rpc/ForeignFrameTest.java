package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ErrorCode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Peers that say what they should not: each costs its own connection, and nothing else. */
class ForeignFrameTest extends RawPeerFixture {

  @Test
  void malformedResponseClosesTheConnectionAndIsCounted() throws IOException {
    CompletableFuture<OpaqueMessage> call = call(5_000);
    readFrame();
    send(Unpooled.copiedBuffer(new byte[Frame.LENGTH_BYTES + Frame.HEADER_BYTES]));
    world.runLoopUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.CONNECTION_LOST));
    assertThat(a.counters().malformedConnections, is(1L));
    world.runLoopUntil(this::closedByA);
  }

  @Test
  void malformedRequestsCloseTheirConnectionAndOthersGoOn() throws IOException {
    a.register(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    OpaqueMessage message = new OpaqueMessage();
    ByteBuf unknown = Frame.withoutPayload(Frame.REQUEST, 1);
    ByteBuf corrupt = Frame.message(codec, Frame.REQUEST, 1, message);
    corrupt.setByte(corrupt.writerIndex() - 1, corrupt.getByte(corrupt.writerIndex() - 1) + 1);
    long malformed = 0;
    for (ByteBuf bad : new ByteBuf[] {unknown, corrupt, Unpooled.copiedBuffer(new byte[64])}) {
      connectToA();
      send(bad);
      long expected = ++malformed;
      world.runLoopUntil(() -> a.counters().malformedConnections == expected);
      world.runLoopUntil(this::closedByA);
      peer.close();
    }
    RpcEndpoint b = world.startEndpoint();
    CompletableFuture<OpaqueMessage> call =
        b.call(a.address(), message, OpaqueMessage.class, 1_000);
    world.runLoopUntil(call::isDone);
    call.join();
    b.close();
  }

  @Test
  void frameThatComesBeforeTheHelloClosesTheConnection() throws IOException {
    CompletableFuture<OpaqueMessage> call =
        a.call(address, new OpaqueMessage(), OpaqueMessage.class, 5_000);
    world.runLoopUntil(this::accepted);
    assertThat(readFrame().kind(), is(Frame.HELLO));
    send(Frame.message(codec, Frame.RESPONSE, readFrame().callId(), new OpaqueMessage()));
    world.runLoopUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.CONNECTION_LOST));
    assertThat(a.counters().malformedConnections, is(1L));
    world.runLoopUntil(this::closedByA);
  }

  @Test
  void responseOfAnotherProcessIsRejected() throws IOException {
    CompletableFuture<OpaqueMessage> call =
        a.call(address, new OpaqueMessage(), OpaqueMessage.class, 5_000);
    world.runLoopUntil(this::accepted);
    assertThat(readFrame().kind(), is(Frame.HELLO));
    ByteBuf both = Frame.hello(new HandshakeHello(HandshakeHello.VERSION, "127.0.0.1:1", 1));
    ByteBuf response =
        Frame.message(codec, Frame.RESPONSE, readFrame().callId(), new OpaqueMessage());
    send(Unpooled.wrappedBuffer(both, response));
    world.runLoopUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.MISDIRECTED));
    assertThat(a.counters().misdirectedConnections, is(1L));
    assertThat(a.counters().responses, is(0L));
    world.runLoopUntil(this::closedByA);
  }

  @Test
  void responseOfAnotherProtocolVersionIsRejected() throws IOException {
    CompletableFuture<OpaqueMessage> call =
        a.call(address, new OpaqueMessage(), OpaqueMessage.class, 5_000);
    world.runLoopUntil(this::accepted);
    send(Frame.hello(new HandshakeHello(HandshakeHello.VERSION + 1, address, 1)));
    world.runLoopUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.UNSUPPORTED_VERSION));
    assertThat(a.counters().unsupportedVersions, is(1L));
    world.runLoopUntil(this::closedByA);
  }

  @Test
  void requestOfAnotherProtocolVersionIsNotRun() throws IOException {
    a.register(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    openSocketToA();
    ByteBuf hello =
        Frame.hello(
            new HandshakeHello(
                HandshakeHello.VERSION + 1, a.address(), HandshakeHello.ANY_INSTANCE));
    ByteBuf request = Frame.message(codec, Frame.REQUEST, 1, new OpaqueMessage());
    send(Unpooled.wrappedBuffer(hello, request));
    assertThat("it says its own version", readFrame().kind(), is(Frame.HELLO));
    world.runLoopUntil(this::closedByA);
    assertThat(a.counters().unsupportedVersions, is(1L));
    assertThat(a.counters().requestsReceived, is(0L));
  }

  @Test
  void duplicateLateAndForeignResponsesCompleteNoOtherCall() throws IOException {
    CompletableFuture<OpaqueMessage> first = call(60_000);
    long number = readFrame().callId();
    CompletableFuture<OpaqueMessage> second = call(60_000);
    long other = readFrame().callId();
    OpaqueMessage response = new OpaqueMessage();
    response.kind = "first";
    send(Frame.message(codec, Frame.RESPONSE, number, response));
    send(Frame.message(codec, Frame.RESPONSE, number, response));
    send(Frame.message(codec, Frame.RESPONSE, other + 1, response));
    send(Frame.failure(number, ErrorCode.STORAGE_FAILURE));
    world.runLoopUntil(() -> a.counters().lateResponses == 3);
    assertThat(first.join().kind, is("first"));
    assertThat(second.isDone(), is(false));
    response.kind = "second";
    send(Frame.message(codec, Frame.RESPONSE, other, response));
    world.runLoopUntil(second::isDone);
    assertThat(second.join().kind, is("second"));
  }

  @Test
  void connectionClosedAtEachByteOfAResponseFailsOrCompletesTheCall() throws IOException {
    OpaqueMessage response = new OpaqueMessage();
    response.kind = "whole";
    int bytes = Frame.message(codec, Frame.RESPONSE, 1, response).readableBytes();
    for (int cut = 0; cut <= bytes; cut++) {
      CompletableFuture<OpaqueMessage> call = call(60_000);
      ByteBuf frame = Frame.message(codec, Frame.RESPONSE, readFrame().callId(), response);
      send(frame.readRetainedSlice(cut));
      frame.release();
      peer.close();
      world.runLoopUntil(call::isDone);
      if (cut < bytes) {
        assertThat("cut at " + cut, codeOf(call), is(ErrorCode.CONNECTION_LOST));
      } else {
        assertThat(call.join().kind, is("whole"));
      }
      world.advance(Peer.MAX_BACKOFF_MS);
    }
  }

  @Test
  void requestTruncatedAtEachByteRunsOnceOrNotAtAll() throws IOException {
    a.register(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    ByteBuf request = Frame.message(codec, Frame.REQUEST, 1, new OpaqueMessage());
    int bytes = request.readableBytes();
    for (int cut = 0; cut <= bytes; cut++) {
      long before = a.counters().requestsReceived;
      connectToA();
      send(request.retainedSlice(0, cut));
      peer.close();
      world.runLoop();
      assertThat(
          "cut at " + cut, a.counters().requestsReceived - before, is(cut < bytes ? 0L : 1L));
    }
    request.release();
  }
}
