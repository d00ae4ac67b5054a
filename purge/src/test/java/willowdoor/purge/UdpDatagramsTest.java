package willowdoor.purge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class UdpDatagramsTest {
  /**
   * Three acceptors complete a purge over real sockets; a datagram from an unknown address is
   * dropped and counted.
   */
  @Test
  void completesAPurgeOverSocketsAndDropsUnknownSenders() throws Exception {
    Fleet fleet = new Fleet(List.of(0, 1, 2), List.of(0, 1, 2), Timing.of(300));
    Map<Integer, InetSocketAddress> addresses = new HashMap<>();
    for (int member : fleet.members()) {
      try (DatagramSocket free = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
        addresses.put(member, new InetSocketAddress("127.0.0.1", free.getLocalPort()));
      }
    }
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    Map<Integer, UdpDatagrams> sockets = new HashMap<>();
    long start = System.nanoTime();
    try {
      for (int member : fleet.members()) {
        UdpDatagrams udp = new UdpDatagrams(addresses);
        sockets.put(member, udp);
        PurgeNode<byte[]> node =
            new PurgeNode<>(
                new PurgeNode.Settings(fleet, "test", member, 1_000, 1_000),
                new SecureRandom(),
                () -> (System.nanoTime() - start) / 1_000_000,
                udp,
                answer -> answer.length);
        udp.listen(loop, NioDatagramChannel.class, member, node::onDatagram).sync();
        loop.scheduleAtFixedRate(node::tick, 0, PurgeNode.TICK_MS, TimeUnit.MILLISECONDS);
        if (member == 2) {
          loop.execute(() -> purgeUntilAvailable(node, outcome));
        }
      }
      try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
        stranger.send(new DatagramPacket(new byte[9], 9, addresses.get(0)));
      }
      Outcome.Complete complete =
          assertInstanceOf(Outcome.Complete.class, outcome.get(20, TimeUnit.SECONDS));
      assertEquals(List.of(), complete.ranOut());
      assertEquals(1L, loop.submit(() -> sockets.get(0).unknownSenders()).get());
    } finally {
      loop.submit(() -> sockets.values().forEach(UdpDatagrams::close)).get();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /** Repeats the purge while it is unavailable, because acceptors are silent after their start. */
  private static void purgeUntilAvailable(
      PurgeNode<byte[]> node, CompletableFuture<Outcome> outcome) {
    node.purge(
        PurgeId.of("c", "k"),
        new Scope("c", "/"),
        5_000,
        end -> {
          if (end instanceof Outcome.Unavailable) {
            purgeUntilAvailable(node, outcome);
          } else {
            outcome.complete(end);
          }
        });
  }
}
