package willowdoor.lab.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The addresses of one run: a net 127.x.0.0/16 that no other run uses as long as this one is open.
 * Each party has an address of its own in it, and each ordered pair a face: the address at which
 * the one reaches the other. All ports are below those that the kernel gives to connections, so
 * nothing else comes upon them.
 */
public final class Loopback implements Closeable {

  /** Ports of a party's own address. */
  public static final int CLIENTS = 7_070;

  public static final int OPERATORS = 7_071;
  public static final int PEERS = 7_072;
  public static final int SERVICE = 7_073;

  private static final int CLAIM = 7_099;
  private static final int FACES = 7_100;
  private static final int NETS = 250;
  private static final int PER_BLOCK = 250;

  /** Third bytes from here on are of faces, below of parties. */
  private static final int FIRST_CALLER = 100;

  private static final int MOST_CALLERS = 155;
  private static final int MOST_PARTIES = PER_BLOCK * FIRST_CALLER;

  private final ServerSocket claim;
  private final int net;
  private final Map<String, Integer> parties = new LinkedHashMap<>();
  private final Map<String, Integer> callers = new LinkedHashMap<>();

  private Loopback(ServerSocket claim, int net) {
    this.claim = claim;
    this.net = net;
  }

  /**
   * Takes a net that is free; another run's stays its own until that process ends, however it ends.
   */
  public static Loopback claim() throws IOException {
    int start = (int) (ProcessHandle.current().pid() % NETS);
    IOException last = null;
    for (int i = 0; i < NETS; i++) {
      int net = 2 + (start + i) % NETS;
      ServerSocket claim = new ServerSocket();
      try {
        claim.setReuseAddress(false);
        claim.bind(address(net, 255, 254, CLAIM), 1);
        return new Loopback(claim, net);
      } catch (IOException e) {
        last = e;
        claim.close();
      }
    }
    throw new IOException("no net of loopback addresses is free", last);
  }

  /** A party's own address with one of its ports. */
  public synchronized InetSocketAddress own(String party, int port) {
    int number = number(parties, party, MOST_PARTIES);
    return address(net, number / PER_BLOCK, 1 + number % PER_BLOCK, port);
  }

  /** Where the caller reaches the one that is called, and from where it sees its datagrams come. */
  public synchronized InetSocketAddress face(String caller, String called) {
    int from = number(callers, caller, MOST_CALLERS);
    int to = number(parties, called, MOST_PARTIES);
    return address(net, FIRST_CALLER + from, 1 + to % PER_BLOCK, FACES + to / PER_BLOCK);
  }

  private static int number(Map<String, Integer> numbers, String name, int most) {
    int number = numbers.computeIfAbsent(name, n -> numbers.size());
    if (number >= most) {
      throw new IllegalStateException(
          "a run has no addresses for more than " + most + " parties of a kind");
    }
    return number;
  }

  private static InetSocketAddress address(int second, int third, int fourth, int port) {
    try {
      byte[] ip = {127, (byte) second, (byte) third, (byte) fourth};
      return new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  @Override
  public void close() throws IOException {
    claim.close();
  }
}
