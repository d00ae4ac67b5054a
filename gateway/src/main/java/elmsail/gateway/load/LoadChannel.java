package elmsail.gateway.load;

import elmsail.rpc.MessageCodec;
import elmsail.rpc.messages.LoadReport;
import elmsail.runtime.Addresses;
import elmsail.runtime.Counters;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ListenAddress;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives load reports as UDP datagrams at the port of the internal address. A datagram
 * is dropped and counted if it is not a valid report, or if the report's sender differs from the
 * datagram's source address. So the sender of each accepted report has an address to which a reply
 * can be sent. Owned by the gateway's event loop.
 */
public final class LoadChannel {
  private static final Logger LOG = LoggerFactory.getLogger(LoadChannel.class);
  private static final String MALFORMED = "load_reports_malformed";
  private static final String MISATTRIBUTED = "load_reports_misattributed";
  private static final int MAX_DATAGRAM_BYTES = 8_192;
  private static final int MAX_ADDRESSES = 4_096;

  /**
   * Holds the reports that arrive while this process is paused for a tenth of a second: some
   * hundred reports. The operating system may grant a smaller buffer.
   */
  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

  private final MessageCodec codec = new MessageCodec();
  private final Consumer<LoadReport> onReport;
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private Channel channel;
  private LoadReport lastSent;
  private byte[] lastSentBytes;
  private final Counters.Counter malformed;
  private final Counters.Counter misattributed;
  private boolean closed;

  /**
   * Creates a closed channel; {@link #open} opens it.
   *
   * @param onReport receives each accepted report
   * @param counters counters for dropped datagrams
   */
  public LoadChannel(Consumer<LoadReport> onReport, Counters counters) {
    this.onReport = onReport;
    malformed = counters.counter(MALFORMED);
    misattributed = counters.counter(MISATTRIBUTED);
  }

  /**
   * Binds the address, given as {@code ip:port}. Completes on the loop; fails with {@link
   * elmsail.runtime.AddressUnavailableException} if the address cannot be bound.
   */
  public CompletableFuture<Void> open(EventLoop loop, String address) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .handler(new Receiver());
    return ListenAddress.bind(bootstrap, address).thenAccept(this::onBound);
  }

  private void onBound(Channel bound) {
    if (closed) {
      bound.close();
    } else {
      channel = bound;
    }
  }

  /** Sends a report. The report is lost if the channel is closed or its write buffer is full. */
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

  /** Closes the channel: reports are neither sent nor received any more. */
  public void close() {
    closed = true;
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      LoadReport report;
      try {
        report = codec.fromDatagram(ByteBufUtil.getBytes(packet.content()), LoadReport.class);
      } catch (ElmsailException e) {
        malformed.add(1);
        return;
      }
      if (report.sender.equals(Addresses.format(packet.sender()))) {
        onReport.accept(report);
      } else {
        misattributed.add(1);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // for example "port unreachable" after a peer has exited
      LOG.debug("load report could not be sent or received; it is lost", cause);
    }
  }
}
