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

/** The configured front doors of the fleet: immutable, the same for all members. */
public final class Roster {

  /** Maximum number of members; limits the memory for the state of members. */
  static final int MAX_MEMBERS = 10_000;

  static final int MAX_NAME_LENGTH = 32;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1," + MAX_NAME_LENGTH + "}");
  private static final String NAME_RULE =
      "a name of 1 to " + MAX_NAME_LENGTH + " letters, digits, '.', '_', '-'";
  private static final Pattern ADDRESS = Pattern.compile("(.+):(\\d{1,5})");

  /**
   * One front door.
   *
   * @param number the number in the fleet, from 0; peers are ordered by number
   * @param host a numeric address
   */
  public record Peer(String name, int number, String host, int port) {}

  private final String fleet;
  private final int version;
  private final List<Peer> peers;
  private final int hash;
  private final Map<String, Integer> indexByName = new HashMap<>();
  private final List<Statement> initialStatements = new ArrayList<>();

  Roster(String fleet, int version, List<Peer> peers) {
    this.fleet = fleet;
    this.version = version;
    this.peers = peers.stream().sorted(Comparator.comparingInt(Peer::number)).toList();
    CRC32C sum = new CRC32C();
    for (Peer peer : this.peers) {
      indexByName.put(peer.name(), initialStatements.size());
      initialStatements.add(Statement.initial(initialStatements.size()));
      sum.update((peer.number() + " " + peer.name() + "\n").getBytes(StandardCharsets.UTF_8));
    }
    hash = (int) sum.getValue();
  }

  static Roster read(ConfigObject fields) throws IOException {
    String fleet = fields.text("fleet", NAME, NAME_RULE);
    int version = (int) fields.integer("version", 0, Integer.MAX_VALUE);
    List<ConfigObject> entries = fields.children("peers");
    if (entries.isEmpty() || entries.size() > MAX_MEMBERS) {
      throw new IOException(
          fields.path("peers")
              + " has "
              + entries.size()
              + " entries: 1 to "
              + MAX_MEMBERS
              + " are allowed");
    }
    List<Peer> peers = new ArrayList<>();
    Set<Object> seen = new HashSet<>();
    for (ConfigObject entry : entries) {
      Peer peer = peer(entry);
      requireUnique(seen, peer.name(), entry, "name");
      requireUnique(seen, peer.number(), entry, "number");
      requireUnique(seen, peer.host() + ':' + peer.port(), entry, "addr");
      peers.add(peer);
    }
    return new Roster(fleet, version, peers);
  }

  private static Peer peer(ConfigObject entry) throws IOException {
    String name = entry.text("name", NAME, NAME_RULE);
    int number = (int) entry.integer("number", 0, 1_000_000);
    String address = entry.text("addr", ADDRESS, "an address and port");
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    boolean numeric = NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
    if (!numeric || port == 0 || port > 65_535) {
      throw new IOException(
          entry.path("addr") + " is not a numeric address and port: '" + address + "'");
    }
    entry.requireAllKeysRead();
    return new Peer(name, number, host, port);
  }

  private static void requireUnique(Set<Object> seen, Object value, ConfigObject entry, String key)
      throws IOException {
    if (!seen.add(value)) {
      throw new IOException(entry.path(key) + " is a duplicate: '" + value + "'");
    }
  }

  /** The index of the member whose name the key contains. */
  int indexOf(ConfigObject fields, String key) throws IOException {
    String name = fields.text(key, NAME, NAME_RULE);
    int index = indexOf(name);
    if (index < 0) {
      throw new IOException(fields.path(key) + " is not among the peers: '" + name + "'");
    }
    return index;
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

  /** The peer with the index, from 0. */
  public Peer peer(int index) {
    return peers.get(index);
  }

  String name(int index) {
    return peers.get(index).name();
  }

  /** The index of the peer with the name; -1 if there is none. */
  public int indexOf(String name) {
    return indexByName.getOrDefault(name, -1);
  }

  /** Hash of names and numbers. Addresses are excluded: they may differ between networks. */
  int hash() {
    return hash;
  }

  /** The smallest number of members that is more than half. */
  public int majority() {
    return peers.size() / 2 + 1;
  }

  /** The statement about a member before any was received. */
  Statement initialStatement(int index) {
    return initialStatements.get(index);
  }
}
