package elmsail.gateway.load;

import elmsail.rpc.MessageCodec;
import elmsail.rpc.messages.LoadReport;
import elmsail.runtime.Addresses;
import elmsail.runtime.ElmsailException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Load reports as datagrams, at the port of the inner address. Where the port cannot be had nothing
 * is sent or heard, and each gateway goes by its own sight. All on the loop.
 */
public final class LoadChannel {
  private static final Logger LOG = LoggerFactory.getLogger(LoadChannel.class);
  private static final int MAX_DATAGRAM_BYTES = 8_192;
  private static final int MAX_ADDRESSES = 4_096;

  private final MessageCodec codec = new MessageCodec();
  private final Consumer<LoadReport> onReport;
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private Channel channel;
  private LoadReport lastSent;
  private byte[] lastSentBytes;
  private long malformedCount;

  /** Opened by {@link #open}; each report that comes goes to {@code heard}. */
  public LoadChannel(Consumer<LoadReport> onReport) {
    this.onReport = onReport;
  }

  /** Binds; a failure is logged. */
  public void open(EventLoop loop, String address) {
    ChannelFuture bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(new Receiver())
            .bind(Addresses.parse(address));
    bound.addListener(
        (ChannelFuture done) -> {
          if (done.isSuccess()) {
            channel = done.channel();
          } else {
            LOG.warn("no load reports: {} cannot be bound", address, done.cause());
          }
        });
  }

  /** Sends a report; it is lost where the channel is not open or takes no more for now. */
  public void send(String to, LoadReport report) {
    if (channel == null || !channel.isWritable()) {
      return;
    }
    if (addresses.size() > MAX_ADDRESSES) {
      addresses.clear();
    }
    InetSocketAddress address = addresses.computeIfAbsent(to, Addresses::parse);
    if (report != lastSent) {
      lastSent = report;
      lastSentBytes = codec.toDatagram(report);
    }
    channel.writeAndFlush(
        new DatagramPacket(Unpooled.wrappedBuffer(lastSentBytes), address), channel.voidPromise());
  }

  /** Datagrams that were no reports. */
  public long malformedCount() {
    return malformedCount;
  }

  /** Neither sends nor hears any more. */
  public void close() {
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      try {
        onReport.accept(
            codec.fromDatagram(ByteBufUtil.getBytes(packet.content()), LoadReport.class));
      } catch (ElmsailException e) {
        malformedCount++;
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("load report", cause); // such as an answer that nobody listens at a peer's port
    }
  }
}
