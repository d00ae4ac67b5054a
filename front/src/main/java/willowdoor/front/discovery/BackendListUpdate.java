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
 * One message of discovery: the entries for the module, and where each backend listens, seen from
 * here.
 */
public record BackendListUpdate(
    long version, boolean full, List<BackendEntry> entries, Map<Long, SocketAddress> addresses) {

  private static final JsonFactory JSON = new JsonFactory();
  private static final int MAX_BACKENDS = 10_000;

  /** Every machine reads the same clock, and each a little differently. */
  private static final double MAX_CLOCK_SKEW_MS = 60_000;

  /**
   * Reads what discovery has told.
   *
   * @param now Unix time in milliseconds: a backend cannot have started much later than that
   * @throws IOException where it is not as the protocol has it in any part: then none of it is to
   *     be believed
   */
  public static BackendListUpdate parse(byte[] line, double now) throws IOException {
    try (JsonParser in = JSON.createParser(line)) {
      in.nextToken();
      Map<String, Object> message = JsonFields.object(in);
      if (!(message.get("version") instanceof Long version)
          || version < 0
          || !(message.get("servers") instanceof List)) {
        throw new IOException("a message without a version or a list of servers");
      }
      if (!(message.getOrDefault("full", false) instanceof Boolean)) {
        throw new IOException("a message that may be the whole list or not");
      }
      BackendListUpdate update = of(message);
      for (BackendEntry e : update.entries) {
        if (e.startedMs() > now + MAX_CLOCK_SKEW_MS) {
          throw new IOException("a backend that is yet to start");
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
      throw new IOException("a list of backends with what is none");
    }
    List<BackendEntry> entries = new ArrayList<>();
    Map<Long, SocketAddress> places = new HashMap<>();
    for (Map<String, Object> s : servers) {
      BackendEntry entry = entry(s);
      InetSocketAddress address = Address.parse(JsonFields.text(s, "addr"));
      if (address != null) {
        places.put(entry.id(), address);
      } else if (entry.phase() == Phase.SERVING) {
        throw new IOException("a backend without an address: " + s.get("id"));
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
      throw new IOException("a backend without an id");
    }
    Phase phase =
        switch (JsonFields.text(fields, "state")) {
          case "active" -> Phase.SERVING;
          case "left" -> Phase.REMOVED;
          default -> Phase.DRAINING;
        };
    double weight = amount(fields, "weight", 1);
    if (weight < 0) {
      throw new IOException("a backend with a weight below nothing: " + id);
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
      throw new IOException("a backend with a " + name + " of " + value);
    }
    return amount;
  }

  /**
   * A backend's name as the number that the module knows it by: FNV-1a, alike at every front door.
   */
  public static long hashId(String id) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : id.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ b & 0xff) * 0x100000001b3L;
    }
    return hash >>> 1;
  }
}
