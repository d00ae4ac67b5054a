package willowdoor.members;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/** All front doors that may be there, as configured: immutable, the same for all members. */
public final class Roster {

  /** Bounds all that is kept of members. */
  static final int MOST = 10_000;

  static final int MOST_NAME = 32;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1," + MOST_NAME + "}");
  private static final String NAMED =
      "a name of 1 to " + MOST_NAME + " letters, digits, '.', '_', '-'";
  private static final Pattern ADDRESS = Pattern.compile("(.+):(\\d{1,5})");

  /**
   * One front door.
   *
   * @param number its number in the fleet, from 0; the roster's order is by it
   * @param host a numeric address
   */
  public record Peer(String name, int number, String host, int port) {}

  private final String fleet;
  private final int version;
  private final List<Peer> peers;
  private final int hash;
  private final Map<String, Integer> places = new HashMap<>();
  private final List<Statement> unheard = new ArrayList<>();

  Roster(String fleet, int version, List<Peer> peers) {
    this.fleet = fleet;
    this.version = version;
    this.peers = peers.stream().sorted(Comparator.comparingInt(Peer::number)).toList();
    CRC32C sum = new CRC32C();
    for (Peer peer : this.peers) {
      places.put(peer.name(), unheard.size());
      unheard.add(Statement.unheard(unheard.size()));
      sum.update((peer.number() + " " + peer.name() + "\n").getBytes(StandardCharsets.UTF_8));
    }
    hash = (int) sum.getValue();
  }

  static Roster read(Fields fields) throws IOException {
    String fleet = fields.text("fleet", NAME, NAMED);
    int version = (int) fields.whole("version", 0, Integer.MAX_VALUE);
    List<Fields> entries = fields.children("peers");
    if (entries.isEmpty() || entries.size() > MOST) {
      throw new IOException(
          fields.path("peers") + " has " + entries.size() + " entries: 1 to " + MOST + " may be");
    }
    List<Peer> peers = new ArrayList<>();
    Set<Object> taken = new HashSet<>();
    for (Fields entry : entries) {
      Peer peer = peer(entry);
      unique(taken, peer.name(), entry, "name");
      unique(taken, peer.number(), entry, "number");
      unique(taken, peer.host() + ':' + peer.port(), entry, "addr");
      peers.add(peer);
    }
    return new Roster(fleet, version, peers);
  }

  private static Peer peer(Fields entry) throws IOException {
    String name = entry.text("name", NAME, NAMED);
    int number = (int) entry.whole("number", 0, 1_000_000);
    String address = entry.text("addr", ADDRESS, "an address and port");
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    boolean numeric = NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
    if (!numeric || port == 0 || port > 65_535) {
      throw new IOException(
          entry.path("addr") + " is not a numeric address and port: '" + address + "'");
    }
    entry.end();
    return new Peer(name, number, host, port);
  }

  private static void unique(Set<Object> taken, Object value, Fields entry, String key)
      throws IOException {
    if (!taken.add(value)) {
      throw new IOException(entry.path(key) + " is there twice: '" + value + "'");
    }
  }

  /** The place of the member that the key names. */
  int place(Fields fields, String key) throws IOException {
    String name = fields.text(key, NAME, NAMED);
    int place = place(name);
    if (place < 0) {
      throw new IOException(fields.path(key) + " is not among the peers: '" + name + "'");
    }
    return place;
  }

  public String fleet() {
    return fleet;
  }

  public int version() {
    return version;
  }

  public int size() {
    return peers.size();
  }

  /** By place, from 0. */
  public Peer peer(int place) {
    return peers.get(place);
  }

  String name(int place) {
    return peers.get(place).name();
  }

  /** Or -1 where the roster has no such name. */
  public int place(String name) {
    return places.getOrDefault(name, -1);
  }

  /** Of names and numbers, not of addresses, which may differ by where one stands. */
  int hash() {
    return hash;
  }

  /** How many are more than half. */
  public int majority() {
    return peers.size() / 2 + 1;
  }

  /** What holds of a member before anything was heard of it. */
  Statement unheard(int place) {
    return unheard.get(place);
  }
}
