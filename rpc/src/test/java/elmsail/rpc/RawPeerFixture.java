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
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A process under test, and a bare socket that plays the other side byte by byte. */
abstract class RawPeerFixture {

  final LoopbackFixture world = new LoopbackFixture();
  final MessageCodec codec = new MessageCodec();
  final RpcEndpoint a = world.startEndpoint();
  ServerSocketChannel server;
  String address;
  SocketChannel peer;
  final ByteBuffer readBuffer = ByteBuffer.allocate(1 << 16);

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

  CompletableFuture<OpaqueMessage> call(long timeoutMs) {
    CompletableFuture<OpaqueMessage> call =
        a.call(address, new OpaqueMessage(), OpaqueMessage.class, timeoutMs);
    if (peer == null || !peer.isOpen()) {
      world.runLoopUntil(this::accepted);
      completeHandshakeAsPeer();
    }
    world.runLoop();
    return call;
  }

  /** The peer hears which process is meant, and says that it is that one. */
  void completeHandshakeAsPeer() {
    Frame hello = readFrame();
    assertThat(hello.kind(), is(Frame.HELLO));
    assertThat(HandshakeHello.fromPayload(hello.payload()).address(), is(address));
    try {
      send(Frame.hello(new HandshakeHello(HandshakeHello.VERSION, address, 1)));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** A bare socket opens a connection to {@code a} and names it as the process that it means. */
  void connectToA() throws IOException {
    openSocketToA();
    send(
        Frame.hello(
            new HandshakeHello(HandshakeHello.VERSION, a.address(), HandshakeHello.ANY_INSTANCE)));
    Frame hello = readFrame();
    assertThat(hello.kind(), is(Frame.HELLO));
    assertThat(
        HandshakeHello.fromPayload(hello.payload()),
        is(new HandshakeHello(HandshakeHello.VERSION, a.address(), a.instanceId())));
  }

  boolean accepted() {
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

  void openSocketToA() throws IOException {
    peer =
        SocketChannel.open(
            new InetSocketAddress("127.0.0.1", Integer.parseInt(a.address().substring(10))));
    peer.configureBlocking(false);
  }

  /** The next frame that came to the peer. */
  Frame readFrame() {
    FrameDecoder reader = new FrameDecoder();
    Frame[] found = new Frame[1];
    ByteBuffer one = ByteBuffer.allocate(1);
    world.runLoopUntil(
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
  void send(ByteBuf bytes) throws IOException {
    long before = a.counters().bytesReceived;
    int many = bytes.readableBytes();
    write(bytes);
    world.runLoopUntil(() -> a.counters().bytesReceived == before + many);
  }

  void write(ByteBuf bytes) throws IOException {
    ByteBuffer out = bytes.nioBuffer();
    while (out.hasRemaining()) {
      peer.write(out);
    }
    bytes.release();
  }

  boolean closedByA() {
    try {
      readBuffer.clear();
      return peer.read(readBuffer) < 0;
    } catch (IOException e) {
      return true;
    }
  }

  static ErrorCode codeOf(CompletableFuture<?> call) {
    assertThat(call.isCompletedExceptionally(), is(true));
    return ElmsailException.codeOf(assertThrows(CompletionException.class, call::join));
  }
}
