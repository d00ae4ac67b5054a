package willowdoor.purge;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * UDP datagrams between the addresses of a roster, on one event loop. All methods are called on
 * this loop, except the constructor and {@link #listen}.
 */
public final class UdpDatagrams implements Datagrams, AutoCloseable {
  private final Map<Integer, InetSocketAddress> addresses;
  private final Map<InetSocketAddress, Integer> members = new HashMap<>();
  private Channel channel;
  private long unknownSenders;
  private long unsent;

  /** {@code addresses}: the resolved addresses by member. */
  public UdpDatagrams(Map<Integer, InetSocketAddress> addresses) {
    this.addresses = Map.copyOf(addresses);
    addresses.forEach((member, address) -> members.put(address, member));
  }

  /**
   * Listens at the member's own address; {@code receiver} gets the sender's number and the bytes,
   * on the loop.
   */
  public ChannelFuture listen(
      EventLoop loop,
      Class<? extends DatagramChannel> type,
      int self,
      BiConsumer<Integer, byte[]> receiver) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(type)
            .handler(
                new SimpleChannelInboundHandler<DatagramPacket>() {
                  @Override
                  protected void channelRead0(
                      ChannelHandlerContext context, DatagramPacket packet) {
                    Integer member = members.get(packet.sender());
                    if (member == null) {
                      unknownSenders++;
                    } else {
                      receiver.accept(member, ByteBufUtil.getBytes(packet.content()));
                    }
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    // The kernel reports a closed destination port here, which is equivalent to a
                    // lost datagram.
                    unsent++;
                  }
                });
    ChannelFuture bound = bootstrap.bind(addresses.get(self));
    channel = bound.channel();
    return bound;
  }

  @Override
  public void send(int member, byte[] datagram) {
    InetSocketAddress to = addresses.get(member);
    if (to == null || channel == null || !channel.isWritable()) {
      unsent++;
      return;
    }
    channel.writeAndFlush(
        new DatagramPacket(Unpooled.wrappedBuffer(datagram), to), channel.voidPromise());
  }

  /** The number of datagrams from addresses that are not in the roster; these are dropped. */
  public long unknownSenders() {
    return unknownSenders;
  }

  /** The number of datagrams that could not be passed to the kernel. */
  public long unsent() {
    return unsent;
  }

  @Override
  public void close() {
    if (channel != null) {
      channel.close();
    }
  }
}
