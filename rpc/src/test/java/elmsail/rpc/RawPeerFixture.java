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
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** An endpoint under test, and a bare socket that plays the other side byte by byte. */
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

  /** The peer reads which process is intended, and identifies itself as that one. */
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

  /** A bare socket opens a connection to {@code a} and names it as the intended process. */
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

  /** The next frame that the peer receives. */
  Frame readFrame() {
    FrameDecoder decoder = new FrameDecoder();
    AtomicReference<Frame> decoded = new AtomicReference<>();
    world.runLoopUntil(
        () -> {
          decoded.set(readUntilFrame(decoder));
          return decoded.get() != null;
        });
    return decoded.get();
  }

  /** Reads byte by byte, so that nothing after the frame is consumed; null if more must arrive. */
  private Frame readUntilFrame(FrameDecoder decoder) {
    ByteBuffer oneByte = ByteBuffer.allocate(1);
    try {
      while (peer.read(oneByte) == 1) {
        oneByte.flip();
        Frame frame = decoder.next(Unpooled.wrappedBuffer(oneByte));
        if (frame != null) {
          return frame;
        }
        oneByte.clear();
      }
      return null;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Sends the bytes to the endpoint and waits until it has read them. */
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
