package willowdoor.front.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.wire.Address;
import willowdoor.wire.JsonFields;

/**
 * One message from discovery: the entries for the policy module, and the address of each backend as
 * reachable from this machine.
 */
public record BackendListUpdate(
    long version, boolean full, List<BackendEntry> entries, Map<Long, SocketAddress> addresses) {

  private static final JsonFactory JSON = new JsonFactory();
  private static final int MAX_BACKENDS = 10_000;

  /** Tolerance for clock differences between machines. */
  private static final double MAX_CLOCK_SKEW_MS = 60_000;

  /**
   * Parses a message from discovery.
   *
   * @param now Unix time in milliseconds: a backend cannot have started much later than this
   * @throws IOException if any part of the message violates the protocol; then the whole message is
   *     rejected
   */
  public static BackendListUpdate parse(byte[] line, double now) throws IOException {
    try (JsonParser in = JSON.createParser(line)) {
      in.nextToken();
      Map<String, Object> message = JsonFields.object(in);
      if (!(message.get("version") instanceof Long version)
          || version < 0
          || !(message.get("servers") instanceof List)) {
        throw new IOException("message without a version or a list of servers");
      }
      if (!(message.getOrDefault("full", false) instanceof Boolean)) {
        throw new IOException("message whose full field is neither true nor false");
      }
      BackendListUpdate update = of(message);
      for (BackendEntry e : update.entries) {
        if (e.startedMs() > now + MAX_CLOCK_SKEW_MS) {
          throw new IOException("backend whose start time is in the future");
        }
      }
      return update;
    }
  }

  public static BackendListUpdate of(Map<String, Object> message) throws IOException {
    List<Map<String, Object>> servers = JsonFields.children(message, "servers");
    if (servers.size() > MAX_BACKENDS) {
      throw new IOException("a list of " + servers.size() + " backends");
    }
    if (message.get("servers") instanceof List<?> all && all.size() > servers.size()) {
      throw new IOException("list of backends contains an item that is not an object");
    }
    List<BackendEntry> entries = new ArrayList<>();
    Map<Long, SocketAddress> places = new HashMap<>();
    for (Map<String, Object> s : servers) {
      BackendEntry entry = entry(s);
      InetSocketAddress address = Address.parse(JsonFields.text(s, "addr"));
      if (address != null) {
        places.put(entry.id(), address);
      } else if (entry.phase() == Phase.SERVING) {
        throw new IOException("backend without an address: " + s.get("id"));
      }
      entries.add(entry);
    }
    return new BackendListUpdate(
        (long) JsonFields.number(message, "version"),
        Boolean.TRUE.equals(message.get("full")),
        entries,
        places);
  }

  private static BackendEntry entry(Map<String, Object> fields) throws IOException {
    String id = JsonFields.text(fields, "id");
    if (id.isEmpty()) {
      throw new IOException("backend without an id");
    }
    Phase phase =
        switch (JsonFields.text(fields, "state")) {
          case "active" -> Phase.SERVING;
          case "left" -> Phase.REMOVED;
          default -> Phase.DRAINING;
        };
    double weight = amount(fields, "weight", 1);
    if (weight < 0) {
      throw new IOException("backend with a negative weight: " + id);
    }
    return new BackendEntry(
        hashId(id),
        JsonFields.text(fields, "zone"),
        (int) amount(fields, "cell", 0),
        phase,
        weight,
        amount(fields, "started_ms", 0));
  }

  private static double amount(Map<String, Object> fields, String name, double absent)
      throws IOException {
    Object value = fields.get(name);
    double amount = JsonFields.number(fields, name, absent);
    if (value != null && !(value instanceof Number) || !Double.isFinite(amount)) {
      throw new IOException("backend with an invalid " + name + ": " + value);
    }
    return amount;
  }

  /**
   * Maps a backend's name to the number that the policy module uses: FNV-1a, the same at every
   * gateway process.
   */
  public static long hashId(String id) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : id.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ b & 0xff) * 0x100000001b3L;
    }
    return hash >>> 1;
  }
}
