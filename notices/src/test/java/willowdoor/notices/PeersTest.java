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

/** Links between front doors on real sockets. */
class PeersTest {
  private static final PeerMessage.Have BACK = new PeerMessage.Have(new StreamId(1, 1, 1), 3);
  private static final PeerMessage.End THERE = new PeerMessage.End(new StreamId(1, 1, 1), 3);

  private final MultiThreadIoEventLoopGroup loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<Integer, InetSocketAddress> roster = new HashMap<>();
  private final LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();

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
            heard.add(self + " up " + peer);
          }

          @Override
          public void linkDown(int peer) {
            heard.add(self + " down " + peer);
          }

          @Override
          public void message(int peer, PeerMessage message) {
            heard.add(self + " got " + message.getClass().getSimpleName() + " from " + peer);
          }

          @Override
          public void invalidMessage(int peer, String why) {
            heard.add(self + " spoilt " + peer);
          }
        });
  }

  private void hears(String what) throws InterruptedException {
    assertEquals(what, heard.poll(20, TimeUnit.SECONDS));
  }

  private int listens(Peers peers, int port) throws InterruptedException {
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
    roster.put(1, new InetSocketAddress(InetAddress.getLoopbackAddress(), listens(one, 0)));
    int port = listens(two, 0);
    roster.put(2, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    on(one, new Effect.Connect(2));
    hears("1 up 2");
    on(one, new Effect.Send(2, THERE));
    hears("2 got End from 1");
    on(two, new Effect.Send(1, BACK));
    hears("1 got Have from 2");
    loop.next().submit(two::close).sync();
    hears("1 down 2");
    // As after a crash: another process under that number, at the same address.
    Peers anew = peers(2, "f");
    listens(anew, port);
    hears("1 up 2");
    on(one, new Effect.Send(2, THERE));
    hears("2 got End from 1");
    loop.next().submit(one::close).sync();
    loop.next().submit(anew::close).sync();
  }

  @Test
  void rejectsFramesThatNoFrontDoorSends() throws Exception {
    Peers one = peers(1, "f");
    int port = listens(one, 0);
    roster.put(2, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    byte[][] bad = {
      {1, 2, 3},
      PeerCodec.encode(new PeerCodec.Hello("other", 2, 1)),
      PeerCodec.encode(new PeerCodec.Hello("f", 9, 1)),
      PeerCodec.encode(THERE)
    };
    for (byte[] frame : bad) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        socket.setSoTimeout(20_000);
        socket.getInputStream().readAllBytes();
        assertEquals("spoilt", heard.poll(20, TimeUnit.SECONDS).split(" ")[1]);
      }
    }
    loop.next().submit(one::close).sync();
  }
}
