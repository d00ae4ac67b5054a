package willowdoor.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import willowdoor.discovery.Entry.State;
import willowdoor.wire.Address;
import willowdoor.wire.JsonFields;

/**
 * Reads and writes the list in discovery's JSON format. Reading is strict: the error names the
 * missing or invalid field.
 */
final class ListJson {

  private static final JsonFactory JSON =
      JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
  private static final int MOST_ENTRIES = 10_000;
  private static final int MOST_TEXT = 128;
  private static final long MOST_LEASE_MS = 24 * 3_600_000;

  /** An invalid message, with the reason. */
  static final class BadList extends Exception {
    private static final long serialVersionUID = 1;

    BadList(String reason) {
      super(reason);
    }
  }

  /** A complete list or a change of a list, with the version that results. */
  record Message(long version, boolean full, List<Entry> servers) {}

  private ListJson() {}

  /** Writes a message. Leases are internal to the service and are written only to its own log. */
  static byte[] write(Message message, boolean leases) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      json.writeNumberField("version", message.version());
      json.writeBooleanField("full", message.full());
      json.writeArrayFieldStart("servers");
      for (Entry e : message.servers()) {
        write(json, e, leases);
      }
      json.writeEndArray();
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void write(JsonGenerator json, Entry e, boolean leases) throws IOException {
    json.writeStartObject();
    json.writeStringField("id", e.id());
    json.writeStringField("addr", e.addr());
    json.writeStringField("zone", e.zone());
    json.writeStringField("kind", e.kind());
    json.writeNumberField("cell", e.cell());
    json.writeStringField("state", e.state().name().toLowerCase(Locale.ROOT));
    json.writeNumberField("weight", e.weight());
    json.writeNumberField("started_ms", e.startedMs());
    if (leases && e.leaseMs() > 0) {
      json.writeNumberField("lease_ms", e.leaseMs());
    }
    json.writeEndObject();
  }

  /** Reads a whole message. */
  static Message read(byte[] bytes) throws BadList {
    Map<String, Object> fields = object(bytes);
    if (!(fields.get("version") instanceof Long version) || version < 0) {
      throw new BadList("version is not a whole number");
    }
    if (!(fields.get("full") instanceof Boolean full)) {
      throw new BadList("full is not true or false");
    }
    return new Message(version, full, servers(fields));
  }

  /** Reads the servers of a registration. */
  static List<Entry> readServers(byte[] bytes) throws BadList {
    return servers(object(bytes));
  }

  private static Map<String, Object> object(byte[] bytes) throws BadList {
    try (JsonParser in = JSON.createParser(bytes)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new BadList("message is not a JSON object");
      }
      Map<String, Object> fields = JsonFields.object(in);
      if (in.nextToken() != null) {
        throw new BadList("content follows the JSON object");
      }
      return fields;
    } catch (IOException e) {
      throw new BadList(
          "message is not valid JSON: "
              + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
  }

  private static List<Entry> servers(Map<String, Object> fields) throws BadList {
    if (!(fields.get("servers") instanceof Collection<?> items)) {
      throw new BadList("servers is not a list");
    }
    if (items.size() > MOST_ENTRIES) {
      throw new BadList("servers has more entries than " + MOST_ENTRIES);
    }
    List<Entry> entries = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (Object item : items) {
      String where = "servers[" + entries.size() + "]";
      if (!(item instanceof Map<?, ?> server)) {
        throw new BadList(where + " is not an object");
      }
      Entry e = entry(server, where + '.');
      if (!ids.add(e.id())) {
        throw new BadList(where + ".id is not unique: " + e.id());
      }
      entries.add(e);
    }
    return entries;
  }

  private static Entry entry(Map<?, ?> server, String where) throws BadList {
    String id = text(server, where, "id", null);
    String addr = text(server, where, "addr", null);
    InetSocketAddress address = Address.parse(addr);
    if (address == null || address.getPort() == 0) {
      throw new BadList(where + "addr is not a numeric address and port: " + addr);
    }
    String word = text(server, where, "state", "active");
    State state = null;
    for (State s : State.values()) {
      state = s.name().toLowerCase(Locale.ROOT).equals(word) ? s : state;
    }
    if (state == null) {
      throw new BadList(where + "state is unknown: " + word);
    }
    Object weight = server.get("weight") == null ? Double.valueOf(1) : server.get("weight");
    if (!(weight instanceof Number n) || !(n.doubleValue() > 0 && n.doubleValue() <= 1e6)) {
      throw new BadList(where + "weight is not a number above 0");
    }
    return new Entry(
        id,
        addr,
        text(server, where, "zone", ""),
        text(server, where, "kind", ""),
        (int) whole(server, where, "cell", Integer.MAX_VALUE),
        state,
        n.doubleValue(),
        whole(server, where, "started_ms", Long.MAX_VALUE),
        whole(server, where, "lease_ms", MOST_LEASE_MS));
  }

  /**
   * Returns a printable text of limited length without spaces. The field is required if the default
   * is null.
   */
  private static String text(Map<?, ?> server, String where, String name, String absent)
      throws BadList {
    Object found = server.get(name) == null ? absent : server.get(name);
    if (!(found instanceof String text)
        || absent == null && text.isEmpty()
        || text.length() > MOST_TEXT
        || !text.chars().allMatch(c -> c > ' ' && c < 127)) {
      throw new BadList(where + name + " is not a short word");
    }
    return text;
  }

  private static long whole(Map<?, ?> server, String where, String name, long most) throws BadList {
    Object found = server.get(name) == null ? Long.valueOf(0) : server.get(name);
    if (!(found instanceof Long n) || n < 0 || n > most) {
      throw new BadList(where + name + " is not a whole number from 0 to " + most);
    }
    return n;
  }
}
