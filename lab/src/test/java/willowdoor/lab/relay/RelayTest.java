package willowdoor.lab.relay;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.lab.fleet.Loopback;

/** Faults between two small peers: a calls b, and both send each other datagrams. */
@Timeout(30)
class RelayTest {

  private static final Pair THERE = new Pair("a", "b");

  private final Relay relay = new Relay(5);
  private Loopback net;
  private ServerSocket server;
  private DatagramSocket a;
  private DatagramSocket b;

  @BeforeEach
  void open() throws IOException {
    net = Loopback.claim();
    InetSocketAddress own = net.own("b", Loopback.CLIENTS);
    server = new ServerSocket();
    server.bind(own);
    relay.stream("a", "b", net.face("a", "b"), own);
    a = new DatagramSocket(net.own("a", Loopback.PEERS));
    b = new DatagramSocket(net.own("b", Loopback.PEERS));
    b.setSoTimeout(10_000);
    relay.datagrams(
        "a",
        net.own("a", Loopback.PEERS),
        net.face("a", "b"),
        "b",
        net.own("b", Loopback.PEERS),
        net.face("b", "a"));
  }

  @AfterEach
  void close() throws IOException {
    relay.close();
    server.close();
    a.close();
    b.close();
    net.close();
  }

  private void faults(Pair pair, UnaryOperator<Faults> change) throws IOException {
    relay.change(List.of(pair), change);
  }

  private Socket call() throws IOException {
    InetSocketAddress face = net.face("a", "b");
    Socket socket = new Socket(face.getAddress(), face.getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String read(Socket socket, int bytes) throws IOException {
    return new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.US_ASCII);
  }

  private void say(String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    a.send(new DatagramPacket(bytes, bytes.length, net.face("a", "b")));
  }

  private String hear() throws IOException {
    DatagramPacket packet = new DatagramPacket(new byte[2_000], 2_000);
    b.receive(packet);
    assertEquals(net.face("b", "a"), packet.getSocketAddress(), "b knows a by its face");
    return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.US_ASCII);
  }

  private void awaitSent(long datagrams) {
    await()
        .pollInterval(Duration.ofMillis(2))
        .pollDelay(Duration.ZERO)
        .until(() -> relay.sent().get("a").datagrams() == datagrams);
  }

  @Test
  void passesBytesAndEndsOnBothWays() throws IOException {
    try (Socket caller = call();
        Socket called = server.accept()) {
      write(caller, "question");
      caller.shutdownOutput();
      assertEquals("question", read(called, 100), "up to the end");
      write(called, "answer");
      called.shutdownOutput();
      assertEquals("answer", read(caller, 100));
    }
    assertEquals(8, relay.sent().get("a").streamBytes());
    assertEquals(6, relay.sent().get("b").streamBytes());
  }

  @Test
  void delaysWithoutLosingTheOrder() throws IOException {
    faults(THERE, f -> f.delay(80, 60));
    try (Socket caller = call();
        Socket called = server.accept()) {
      long begin = System.nanoTime();
      for (char c = 'a'; c <= 'z'; c++) {
        write(caller, String.valueOf(c));
      }
      assertEquals("abcdefghijklmnopqrstuvwxyz", read(called, 26));
      assertTrue(System.nanoTime() - begin >= Duration.ofMillis(80).toNanos());
    }
  }

  @Test
  void limitsTheRate() throws IOException {
    faults(THERE, f -> f.rate(500_000));
    try (Socket caller = call();
        Socket called = server.accept()) {
      long begin = System.nanoTime();
      write(caller, "x".repeat(100_000));
      assertEquals(100_000, read(called, 100_000).length());
      assertTrue(System.nanoTime() - begin >= Duration.ofMillis(150).toNanos());
    }
  }

  @Test
  void cutOneWayIsSilentThereAndGoesOnWhenHealed() throws IOException {
    try (Socket caller = call();
        Socket called = server.accept()) {
      faults(THERE, f -> f.cut(true));
      write(caller, "held");
      write(called, "heard");
      assertEquals("heard", read(caller, 5), "the other way goes on");
      await().during(Duration.ofMillis(150)).until(() -> called.getInputStream().available() == 0);
      faults(THERE, f -> f.cut(false));
      assertEquals("held", read(called, 4), "the connection was never closed");
    }
  }

  @Test
  void aConnectionOpenedInACutIsSilentUntilItIsHealed() throws IOException {
    faults(THERE.back(), f -> f.cut(true));
    try (Socket caller = call()) {
      write(caller, "early");
      server.setSoTimeout(150);
      assertThrows(IOException.class, server::accept);
      server.setSoTimeout(10_000);
      faults(THERE.back(), f -> f.cut(false));
      try (Socket called = server.accept()) {
        assertEquals("early", read(called, 5));
      }
    }
  }

  @Test
  void breaksAfterSoManyBytes() throws IOException {
    faults(THERE, f -> f.breakAfter(10));
    try (Socket caller = call();
        Socket called = server.accept()) {
      write(caller, "0123456789abcdef");
      called.setSoTimeout(10_000);
      byte[] got = new byte[20];
      int size = called.getInputStream().read(got);
      assertEquals("0123456789", new String(got, 0, size, StandardCharsets.US_ASCII));
      assertThrows(
          SocketException.class, () -> caller.getInputStream().read(), "reset, not closed");
    }
  }

  @Test
  void resetsWhatIsOpenAndRefusesForWhoeverIsDown() throws IOException {
    try (Socket caller = call();
        Socket called = server.accept()) {
      called.setSoTimeout(10_000);
      relay.reset(List.of(THERE));
      assertThrows(SocketException.class, () -> caller.getInputStream().read());
      assertThrows(SocketException.class, () -> called.getInputStream().read());
    }
    relay.refuse("b", caller -> true, true);
    assertThrows(ConnectException.class, this::call);
    relay.refuse("b", caller -> caller.equals("c"), false);
    assertThrows(ConnectException.class, this::call);
    relay.refuse("b", caller -> caller.equals("a"), false);
    try (Socket caller = call();
        Socket called = server.accept()) {
      write(called, "back");
      assertEquals("back", read(caller, 4));
    }
  }

  @Test
  void tellsWhatNeverGotToTheOther() throws IOException {
    server.close();
    try (Socket caller = call()) {
      assertThrows(SocketException.class, () -> caller.getInputStream().read());
      assertTrue(relay.unreached(caller.getLocalSocketAddress()));
      assertFalse(relay.unreached(caller.getLocalSocketAddress()), "asked for once");
    }
  }

  @Test
  void cutDatagramsAreLost() throws IOException {
    faults(THERE, f -> f.cut(true));
    say("lost");
    awaitSent(1);
    faults(THERE, f -> f.cut(false).drop(1));
    say("dropped");
    awaitSent(2);
    faults(THERE, f -> f.drop(0));
    say("there");
    assertEquals("there", hear());
  }

  @Test
  void duplicatesAndReorders() throws IOException {
    faults(THERE, f -> f.duplicate(1));
    say("1");
    assertEquals("1", hear());
    assertEquals("1", hear());
    faults(THERE, f -> f.duplicate(0).reorder(1));
    say("2");
    say("3");
    assertEquals("3", hear());
    assertEquals("2", hear());
    say("4");
    assertEquals("4", hear(), "goes on even if none comes behind");
  }

  @Test
  void garblesAndKeepsTheFirstForAReplay() throws IOException {
    faults(THERE, f -> f.garble(1));
    say("something");
    String garbled = hear();
    assertEquals(9, garbled.length());
    assertFalse(garbled.equals("something"));
    for (byte[] first : relay.first(THERE)) {
      faults(THERE, f -> f.garble(0));
      relay.forge(THERE, first);
    }
    assertEquals("something", hear(), "as it was sent");
  }

  @Test
  void datagramsAreDelayed() throws IOException {
    faults(THERE, f -> f.delay(100, 0));
    long begin = System.nanoTime();
    say("late");
    assertEquals("late", hear());
    assertTrue(System.nanoTime() - begin >= Duration.ofMillis(100).toNanos());
  }

  @Test
  void aStrangersDatagramGoesNowhereAndAForgedOneComesFromTheFace() throws IOException {
    try (DatagramSocket stranger = new DatagramSocket(net.own("c", Loopback.PEERS))) {
      stranger.send(new DatagramPacket(new byte[3], 3, net.face("a", "b")));
    }
    await().until(() -> relay.strangers() == 1);
    byte[] forged = "forged".getBytes(StandardCharsets.US_ASCII);
    relay.forge(THERE, forged);
    assertArrayEquals(forged, hear().getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void drawsHangOnTheSeedAndThePairAlone() throws IOException {
    faults(THERE, f -> f.drop(0.5));
    String first = through(relay, net, a, b);
    try (Relay again = new Relay(5);
        Loopback other = Loopback.claim();
        DatagramSocket from = new DatagramSocket(other.own("a", Loopback.PEERS));
        DatagramSocket to = new DatagramSocket(other.own("b", Loopback.PEERS))) {
      to.setSoTimeout(10_000);
      again.datagrams(
          "a",
          other.own("a", Loopback.PEERS),
          other.face("a", "b"),
          "b",
          other.own("b", Loopback.PEERS),
          other.face("b", "a"));
      again.change(List.of(THERE), f -> f.drop(0.5));
      assertEquals(first, through(again, other, from, to));
    }
    assertTrue(first.length() > 10 && first.length() < 80, first);
  }

  /** Which of 40 datagrams come through. */
  private static String through(Relay relay, Loopback net, DatagramSocket from, DatagramSocket to)
      throws IOException {
    for (int i = 0; i < 40; i++) {
      from.send(new DatagramPacket(new byte[] {(byte) i}, 1, net.face("a", "b")));
      long sent = i + 1L;
      await()
          .pollInterval(Duration.ofMillis(2))
          .pollDelay(Duration.ZERO)
          .until(() -> relay.sent().get("a").datagrams() == sent);
    }
    relay.change(List.of(THERE), f -> f.drop(0));
    relay.forge(THERE, new byte[] {40});
    StringBuilder came = new StringBuilder();
    DatagramPacket packet = new DatagramPacket(new byte[1], 1);
    for (to.receive(packet); packet.getData()[0] != 40; to.receive(packet)) {
      came.append(packet.getData()[0]).append(' ');
    }
    return came.toString();
  }
}
