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
 * Sends and receives load reports as UDP datagrams at the port of the internal address. If the port
 * cannot be bound nothing is exchanged, and this gateway goes by its own load. Owned by the
 * gateway's event loop.
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

  /** Passes each received report on; opened by {@link #open}. */
  public LoadChannel(Consumer<LoadReport> onReport) {
    this.onReport = onReport;
  }

  /** Binds the address; a failure is logged. */
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

  /** Sends a report. It is lost if the channel is closed or its buffer is full. */
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

  /** How many received datagrams were no reports. */
  public long malformedCount() {
    return malformedCount;
  }

  /** Sends and receives nothing more. */
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
      LOG.debug("load report", cause); // such as "port unreachable" from a peer that has ended
    }
  }
}
