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
      connectToA();
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
  void frameThatComesBeforeTheHelloClosesTheConnection() throws IOException {
    CompletableFuture<OpaqueMessage> call =
        a.call(address, new OpaqueMessage(), OpaqueMessage.class, 5_000);
    world.turnUntil(this::accepted);
    assertThat(take().kind(), is(Frame.HELLO));
    say(Frame.message(codec, Frame.ANSWER, take().call(), new OpaqueMessage()));
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.BROKEN));
    assertThat(a.counts().garbled, is(1L));
    world.turnUntil(this::closedByA);
  }

  @Test
  void answerOfAnotherProcessIsNotTaken() throws IOException {
    CompletableFuture<OpaqueMessage> call =
        a.call(address, new OpaqueMessage(), OpaqueMessage.class, 5_000);
    world.turnUntil(this::accepted);
    assertThat(take().kind(), is(Frame.HELLO));
    ByteBuf both = Frame.hello(new Hello(Hello.VERSION, "127.0.0.1:1", 1));
    ByteBuf answer = Frame.message(codec, Frame.ANSWER, take().call(), new OpaqueMessage());
    say(Unpooled.wrappedBuffer(both, answer));
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.MISDIRECTED));
    assertThat(a.counts().misdirected, is(1L));
    assertThat(a.counts().answers, is(0L));
    world.turnUntil(this::closedByA);
  }

  @Test
  void answerOfAnotherVersionIsNotTaken() throws IOException {
    CompletableFuture<OpaqueMessage> call =
        a.call(address, new OpaqueMessage(), OpaqueMessage.class, 5_000);
    world.turnUntil(this::accepted);
    say(Frame.hello(new Hello(Hello.VERSION + 1, address, 1)));
    world.turnUntil(call::isDone);
    assertThat(codeOf(call), is(ErrorCode.UNSUPPORTED_VERSION));
    assertThat(a.counts().unsupportedVersions, is(1L));
    world.turnUntil(this::closedByA);
  }

  @Test
  void requestOfAnotherVersionIsNotRun() throws IOException {
    a.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    openSocketToA();
    ByteBuf hello = Frame.hello(new Hello(Hello.VERSION + 1, a.address(), Hello.ANY_INSTANCE));
    ByteBuf request = Frame.message(codec, Frame.ASK, 1, new OpaqueMessage());
    say(Unpooled.wrappedBuffer(hello, request));
    assertThat("it says its own version", take().kind(), is(Frame.HELLO));
    world.turnUntil(this::closedByA);
    assertThat(a.counts().unsupportedVersions, is(1L));
    assertThat(a.counts().asks, is(0L));
  }

  @Test
  void secondAndLateAndForeignAnswersEndNoOtherCall() throws IOException {
    CompletableFuture<OpaqueMessage> first = call(60_000);
    long number = take().call();
    CompletableFuture<OpaqueMessage> second = call(60_000);
    long other = take().call();
    OpaqueMessage answer = new OpaqueMessage();
    answer.kind = "first";
    say(Frame.message(codec, Frame.ANSWER, number, answer));
    say(Frame.message(codec, Frame.ANSWER, number, answer));
    say(Frame.message(codec, Frame.ANSWER, other + 1, answer));
    say(Frame.failure(number, ErrorCode.DISK));
    world.turnUntil(() -> a.counts().late == 3);
    assertThat(first.join().kind, is("first"));
    assertThat(second.isDone(), is(false));
    answer.kind = "second";
    say(Frame.message(codec, Frame.ANSWER, other, answer));
    world.turnUntil(second::isDone);
    assertThat(second.join().kind, is("second"));
  }

  @Test
  void connectionCutAtEveryByteOfAnAnswerBreaksTheCallOrAnswersIt() throws IOException {
    OpaqueMessage answer = new OpaqueMessage();
    answer.kind = "whole";
    int bytes = Frame.message(codec, Frame.ANSWER, 1, answer).readableBytes();
    for (int cut = 0; cut <= bytes; cut++) {
      CompletableFuture<OpaqueMessage> call = call(60_000);
      ByteBuf frame = Frame.message(codec, Frame.ANSWER, take().call(), answer);
      say(frame.readRetainedSlice(cut));
      frame.release();
      peer.close();
      world.turnUntil(call::isDone);
      if (cut < bytes) {
        assertThat("cut at " + cut, codeOf(call), is(ErrorCode.BROKEN));
      } else {
        assertThat(call.join().kind, is("whole"));
      }
      world.pass(Peer.LONGEST_PAUSE);
    }
  }

  @Test
  void requestCutAtEveryByteRunsOnceWholeOrNotAtAll() throws IOException {
    a.on(OpaqueMessage.class, request -> CompletableFuture.completedFuture(request));
    ByteBuf request = Frame.message(codec, Frame.ASK, 1, new OpaqueMessage());
    int bytes = request.readableBytes();
    for (int cut = 0; cut <= bytes; cut++) {
      long before = a.counts().asks;
      connectToA();
      say(request.retainedSlice(0, cut));
      peer.close();
      world.turn();
      assertThat("cut at " + cut, a.counts().asks - before, is(cut < bytes ? 0L : 1L));
    }
    request.release();
  }
}
