package elmsail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The platform's JSON format of server lists. Unknown fields are ignored. Stateless. */
public final class ServerListCodec {
  private static final JsonFactory JSON = new JsonFactory();
  private static final String ACCEPTING_STATE = "open_for_post";

  private ServerListCodec() {}

  /**
   * One page of the list.
   *
   * @param nextToken the token of the next page; null on the last
   */
  public record Page(List<ServerEntry> servers, String nextToken) {}

  /**
   * Decodes a page of the platform's list.
   *
   * @throws ElmsailException MALFORMED if the JSON is not complete, or an entry lacks a required
   *     field
   */
  public static Page decodePage(byte[] bytes) {
    try (JsonParser parser = JSON.createParser(bytes)) {
      require(parser.nextToken() == JsonToken.START_OBJECT, "page: expected an object");
      List<ServerEntry> servers = null;
      String nextToken = null;
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String key = parser.currentName();
        JsonToken value = parser.nextToken();
        if (key.equals("servers")) {
          require(value == JsonToken.START_ARRAY, "servers: expected a list");
          servers = readServers(parser);
        } else if (key.equals("next_token")) {
          require(
              value == JsonToken.VALUE_STRING || value == JsonToken.VALUE_NULL,
              "next_token: expected a string");
          nextToken =
              value == JsonToken.VALUE_NULL || parser.getText().isEmpty() ? null : parser.getText();
        } else {
          parser.skipChildren();
        }
      }
      require(
          parser.currentToken() == JsonToken.END_OBJECT && parser.nextToken() == null,
          "page: truncated, or followed by further content");
      require(servers != null, "servers: missing");
      return new Page(List.copyOf(servers), nextToken);
    } catch (IOException e) {
      throw new ElmsailException(
          ErrorCode.MALFORMED, "server list: invalid JSON: " + e.getMessage(), e);
    }
  }

  /** Encodes a complete list; equal lists always give the same bytes. */
  public static byte[] encode(List<ServerEntry> servers) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 + servers.size() * 160);
    try (JsonGenerator generator = JSON.createGenerator(bytes)) {
      generator.writeStartObject();
      generator.writeArrayFieldStart("servers");
      for (ServerEntry server : servers) {
        generator.writeStartObject();
        generator.writeStringField("postal_line", server.service());
        generator.writeStringField("address", server.address());
        generator.writeStringField("zone", server.zone());
        generator.writeNumberField("berths", server.maxConcurrency());
        generator.writeStringField("state", server.draining() ? "closing" : ACCEPTING_STATE);
        generator.writeNumberField("cold_left_ms", server.warmUpRemainingMs());
        generator.writeStringField("id", server.id());
        generator.writeEndObject();
      }
      generator.writeEndArray();
      generator.writeEndObject();
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "writing to memory failed", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a complete list that was encoded with {@link #encode}.
   *
   * @throws ElmsailException MALFORMED if the bytes are not a valid list
   */
  public static List<ServerEntry> decode(byte[] bytes) {
    return decodePage(bytes).servers();
  }

  /**
   * Whether two lists are equal except for the remaining warm-up times of servers that are warming
   * up in both. A list without other differences need not be published; the end of a warm-up counts
   * as a change.
   */
  public static boolean equalsExceptWarmUp(List<ServerEntry> before, List<ServerEntry> after) {
    if (before.size() != after.size()) {
      return false;
    }
    for (int i = 0; i < before.size(); i++) {
      ServerEntry previous = before.get(i);
      ServerEntry current = after.get(i);
      if (previous.warmUpRemainingMs() > 0 != current.warmUpRemainingMs() > 0
          || previous.draining() != current.draining()
          || previous.maxConcurrency() != current.maxConcurrency()
          || !previous.id().equals(current.id())
          || !previous.address().equals(current.address())
          || !previous.service().equals(current.service())
          || !previous.zone().equals(current.zone())) {
        return false;
      }
    }
    return true;
  }

  private static List<ServerEntry> readServers(JsonParser parser) throws IOException {
    List<ServerEntry> servers = new ArrayList<>();
    while (parser.nextToken() == JsonToken.START_OBJECT) {
      servers.add(readServer(parser));
    }
    require(parser.currentToken() == JsonToken.END_ARRAY, "servers: expected objects");
    return servers;
  }

  private static ServerEntry readServer(JsonParser parser) throws IOException {
    String id = null;
    String service = null;
    String address = null;
    String zone = null;
    String state = null;
    int maxConcurrency = 0;
    long warmUpRemainingMs = 0;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      parser.nextToken();
      switch (key) {
        case "id" -> id = readString(parser, key);
        case "postal_line" -> service = readString(parser, key);
        case "address" -> address = readString(parser, key);
        case "zone" -> zone = readString(parser, key);
        case "state" -> state = readString(parser, key);
        case "berths" ->
            maxConcurrency = (int) Math.min(Integer.MAX_VALUE, readNonNegative(parser, key));
        case "cold_left_ms" -> warmUpRemainingMs = readNonNegative(parser, key);
        default -> parser.skipChildren();
      }
    }
    require(parser.currentToken() == JsonToken.END_OBJECT, "server: truncated");
    require(
        id != null && service != null && zone != null && state != null,
        "server: id, postal_line, zone or state is missing");
    require(isAddress(address), "server: address is missing or is not ip:port");
    return new ServerEntry(
        id,
        service,
        address,
        zone,
        maxConcurrency,
        !state.equals(ACCEPTING_STATE),
        warmUpRemainingMs);
  }

  private static String readString(JsonParser parser, String key) throws IOException {
    require(
        parser.currentToken() == JsonToken.VALUE_STRING && parser.getTextLength() > 0,
        key + ": expected a string that is not empty");
    return parser.getText();
  }

  /** A number, rounded up to an integer of at least 0; null counts as 0. */
  private static long readNonNegative(JsonParser parser, String key) throws IOException {
    if (parser.currentToken() == JsonToken.VALUE_NULL) {
      return 0;
    }
    require(parser.currentToken().isNumeric(), key + ": expected a number");
    return Math.max(0, (long) Math.ceil(parser.getDoubleValue()));
  }

  private static boolean isAddress(String address) {
    int colon = address == null ? -1 : address.lastIndexOf(':');
    if (colon < 1 || colon == address.length() - 1 || address.length() - colon > 6) {
      return false;
    }
    int port = 0;
    for (int i = colon + 1; i < address.length(); i++) {
      char digit = address.charAt(i);
      if (digit < '0' || digit > '9') {
        return false;
      }
      port = port * 10 + digit - '0';
    }
    return port > 0 && port < 65_536;
  }

  private static void require(boolean condition, String reason) {
    if (!condition) {
      throw new ElmsailException(ErrorCode.MALFORMED, "server list: " + reason);
    }
  }
}
