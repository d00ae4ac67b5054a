package willowdoor.notices;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the links between front doors over real sockets. */
class PeersTest {
  private static final PeerMessage.Have REPLY = new PeerMessage.Have(new StreamId(1, 1, 1), 3);
  private static final PeerMessage.End MESSAGE = new PeerMessage.End(new StreamId(1, 1, 1), 3);

  private final MultiThreadIoEventLoopGroup loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<Integer, InetSocketAddress> roster = new HashMap<>();
  private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();

  private Peers peers(int self, String fleet) {
    PeerCodec.Hello hello = new PeerCodec.Hello(fleet, self, 1);
    return new Peers(
        loop.next(),
        NioSocketChannel.class,
        hello,
        roster,
        () -> 0.5,
        new Peers.Listener() {
          @Override
          public void linkUp(int peer) {
            events.add(self + " up " + peer);
          }

          @Override
          public void linkDown(int peer) {
            events.add(self + " down " + peer);
          }

          @Override
          public void message(int peer, PeerMessage message) {
            events.add(self + " got " + message.getClass().getSimpleName() + " from " + peer);
          }

          @Override
          public void invalidMessage(int peer, String why) {
            events.add(self + " invalid " + peer);
          }
        });
  }

  private void expectEvent(String what) throws InterruptedException {
    assertEquals(what, events.poll(20, TimeUnit.SECONDS));
  }

  private int listen(Peers peers, int port) throws InterruptedException {
    return peers.listen(
        NioServerSocketChannel.class,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }

  private void on(Peers peers, Effect effect) {
    loop.next().execute(() -> peers.apply(effect));
  }

  @AfterEach
  void end() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void deliversMessagesBothWaysAndReconnects() throws Exception {
    Peers one = peers(1, "f");
    Peers two = peers(2, "f");
    roster.put(1, new InetSocketAddress(InetAddress.getLoopbackAddress(), listen(one, 0)));
    int port = listen(two, 0);
    roster.put(2, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    on(one, new Effect.Connect(2));
    expectEvent("1 up 2");
    on(one, new Effect.Send(2, MESSAGE));
    expectEvent("2 got End from 1");
    on(two, new Effect.Send(1, REPLY));
    expectEvent("1 got Have from 2");
    loop.next().submit(two::close).sync();
    expectEvent("1 down 2");
    // Simulates a restart after a crash: another process under the same number, at the same
    // address.
    Peers restarted = peers(2, "f");
    listen(restarted, port);
    expectEvent("1 up 2");
    on(one, new Effect.Send(2, MESSAGE));
    expectEvent("2 got End from 1");
    loop.next().submit(one::close).sync();
    loop.next().submit(restarted::close).sync();
  }

  @Test
  void rejectsFramesThatNoFrontDoorSends() throws Exception {
    Peers one = peers(1, "f");
    int port = listen(one, 0);
    roster.put(2, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    byte[][] invalidFrames = {
      {1, 2, 3},
      PeerCodec.encode(new PeerCodec.Hello("other", 2, 1)),
      PeerCodec.encode(new PeerCodec.Hello("f", 9, 1)),
      PeerCodec.encode(MESSAGE)
    };
    for (byte[] frame : invalidFrames) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        socket.setSoTimeout(20_000);
        socket.getInputStream().readAllBytes();
        assertEquals("invalid", events.poll(20, TimeUnit.SECONDS).split(" ")[1]);
      }
    }
    loop.next().submit(one::close).sync();
  }
}
