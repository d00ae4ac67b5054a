package willowdoor.front.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.LoopGroup;
import willowdoor.front.loop.PollTimes;
import willowdoor.front.loop.Transport;

/**
 * Tests input that is read before the pipeline requests it, on both transports. The last handler
 * requests nothing on its own.
 */
@Timeout(30)
class ReadAheadTest {

  private static final Transport NIO =
      new Transport(
          NioIoHandler.newFactory(), NioSocketChannel.class, NioServerSocketChannel.class, true);

  private final PollTimes polls = new PollTimes(0);
  private final CountDownLatch ended = new CountDownLatch(1);
  private final StringBuilder received = new StringBuilder();
  private volatile boolean insideBody;
  private final AtomicInteger bufferedBytes = new AtomicInteger();
  private volatile int maxBuffered;
  private volatile Channel accepted;
  private ReadAhead input;
  private EventLoopGroup group;
  private Socket client;

  private void start(Transport transport) throws Exception {
    group = new LoopGroup(transport.ioHandler(), new Clock(), polls);
    InetSocketAddress address =
        (InetSocketAddress)
            transport
                .server(group)
                .channel(transport.serverSocket())
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(
                    new ChannelInitializer<Channel>() {
                      @Override
                      protected void initChannel(Channel channel) {
                        input =
                            new ReadAhead(
                                polls,
                                new ArrivalTime(polls),
                                () -> insideBody,
                                ReadAheadTest.this::count);
                        channel.pipeline().addLast(input, new RecordingHandler());
                        accepted = channel;
                      }
                    })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel()
                .localAddress();
    client = new Socket(address.getAddress(), address.getPort());
  }

  private void count(int bytes) {
    maxBuffered = Math.max(maxBuffered, bufferedBytes.addAndGet(bytes));
  }

  /** Requests input once, at the beginning. */
  private final class RecordingHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.read();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      received.append(bytes.toString(StandardCharsets.US_ASCII));
      bytes.release();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      ended.countDown();
    }
  }

  @AfterEach
  void close() throws Exception {
    client.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
  }

  private void send(int bytes) throws Exception {
    client.getOutputStream().write(new byte[bytes]);
  }

  @ParameterizedTest
  @CsvSource({
    "false, 0",
    "false, 3000",
    "false, 4000000",
    "true, 0",
    "true, 3000",
    "true, 4000000"
  })
  void closeIsDetectedAfterUnrequestedInput(boolean best, int bytes) throws Exception {
    start(best ? Transport.BEST : NIO);
    send(10);
    send(bytes);
    client.close();
    assertTrue(ended.await(10, TimeUnit.SECONDS));
    assertTrue(maxBuffered <= ReadAhead.MAX_BUFFERED_BYTES);
    assertEquals(0, bufferedBytes.get());
  }

  /** The rest of the body is not read; epoll reports the close all the same. */
  @Test
  void closeIsDetectedBehindAnUnrequestedBody() throws Exception {
    insideBody = true;
    start(Transport.BEST);
    send(50_000);
    client.close();
    assertTrue(ended.await(10, TimeUnit.SECONDS));
    assertEquals(0, maxBuffered);
  }

  /** Buffered input is forwarded in order, whenever it is requested. */
  @Test
  void bufferedInputIsForwardedInOrder() throws Exception {
    start(Transport.BEST);
    client.getOutputStream().write("first,".getBytes(StandardCharsets.US_ASCII));
    while (!group.next().submit(() -> received.length() == 6).sync().getNow()) {
      Thread.onSpinWait();
    }
    client.getOutputStream().write("second,third".getBytes(StandardCharsets.US_ASCII));
    while (!group.next().submit(input::hasBuffered).sync().getNow()) {
      Thread.onSpinWait();
    }
    group.next().submit(() -> accepted.read()).sync();
    while (group.next().submit(() -> received.length() < 18).sync().getNow()) {
      group.next().submit(() -> accepted.read()).sync();
    }
    assertEquals("first,second,third", received.toString());
    assertEquals(0, bufferedBytes.get());
  }
}
