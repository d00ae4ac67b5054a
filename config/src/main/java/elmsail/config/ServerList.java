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

/** The platform's JSON for servers, read and written. Fields not known are passed over. */
public final class ServerList {
  private static final JsonFactory JSON = new JsonFactory();
  private static final String OPEN = "open_for_post";

  private ServerList() {}

  /**
   * One page of the list.
   *
   * @param nextToken of the following page, null on the last
   */
  public record Page(List<ServerEntry> servers, String nextToken) {}

  /** Fails with GARBLED if the page is not whole, or any entry lacks what is needed of it. */
  public static Page page(byte[] bytes) {
    try (JsonParser in = JSON.createParser(bytes)) {
      need(in.nextToken() == JsonToken.START_OBJECT, "the page is no object");
      List<ServerEntry> servers = null;
      String next = null;
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String key = in.currentName();
        JsonToken value = in.nextToken();
        if (key.equals("servers")) {
          need(value == JsonToken.START_ARRAY, "servers is no list");
          servers = entries(in);
        } else if (key.equals("next_token")) {
          need(
              value == JsonToken.VALUE_STRING || value == JsonToken.VALUE_NULL,
              "next_token is no text");
          next = value == JsonToken.VALUE_NULL || in.getText().isEmpty() ? null : in.getText();
        } else {
          in.skipChildren();
        }
      }
      need(
          in.currentToken() == JsonToken.END_OBJECT && in.nextToken() == null,
          "the page is not whole");
      need(servers != null, "the page has no servers");
      return new Page(List.copyOf(servers), next);
    } catch (IOException e) {
      throw new ElmsailException(
          ErrorCode.MALFORMED, "the list of servers is no JSON: " + e.getMessage(), e);
    }
  }

  /** A whole list, as {@code decode} reads it: the same list always gives the same bytes. */
  public static byte[] encode(List<ServerEntry> servers) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 + servers.size() * 160);
    try (JsonGenerator out = JSON.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeArrayFieldStart("servers");
      for (ServerEntry server : servers) {
        out.writeStartObject();
        out.writeStringField("postal_line", server.service());
        out.writeStringField("address", server.address());
        out.writeStringField("zone", server.zone());
        out.writeNumberField("berths", server.berths());
        out.writeStringField("state", server.closing() ? "closing" : OPEN);
        out.writeNumberField("cold_left_ms", server.coldLeftMs());
        out.writeStringField("id", server.id());
        out.writeEndObject();
      }
      out.writeEndArray();
      out.writeEndObject();
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "writing to memory failed", e);
    }
    return bytes.toByteArray();
  }

  /** The list that {@code encode} wrote. Fails with GARBLED. */
  public static List<ServerEntry> decode(byte[] bytes) {
    return page(bytes).servers();
  }

  /**
   * Whether nothing changed that others have to hear: all is the same, in the same order, but for
   * what is left of a start that goes on in both. The end of a start is a change.
   */
  public static boolean sameButForWarming(List<ServerEntry> one, List<ServerEntry> other) {
    if (one.size() != other.size()) {
      return false;
    }
    for (int i = 0; i < one.size(); i++) {
      ServerEntry before = one.get(i);
      ServerEntry after = other.get(i);
      if (before.coldLeftMs() > 0 != after.coldLeftMs() > 0
          || before.closing() != after.closing()
          || before.berths() != after.berths()
          || !before.id().equals(after.id())
          || !before.address().equals(after.address())
          || !before.service().equals(after.service())
          || !before.zone().equals(after.zone())) {
        return false;
      }
    }
    return true;
  }

  private static List<ServerEntry> entries(JsonParser in) throws IOException {
    List<ServerEntry> all = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_OBJECT) {
      all.add(entry(in));
    }
    need(in.currentToken() == JsonToken.END_ARRAY, "an entry is no object");
    return all;
  }

  private static ServerEntry entry(JsonParser in) throws IOException {
    String id = null;
    String service = null;
    String address = null;
    String zone = null;
    String state = null;
    int berths = 0;
    long coldLeftMs = 0;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String key = in.currentName();
      in.nextToken();
      switch (key) {
        case "id" -> id = text(in, key);
        case "postal_line" -> service = text(in, key);
        case "address" -> address = text(in, key);
        case "zone" -> zone = text(in, key);
        case "state" -> state = text(in, key);
        case "berths" -> berths = (int) Math.min(Integer.MAX_VALUE, amount(in, key));
        case "cold_left_ms" -> coldLeftMs = amount(in, key);
        default -> in.skipChildren();
      }
    }
    need(in.currentToken() == JsonToken.END_OBJECT, "an entry is not whole");
    need(id != null && service != null && zone != null && state != null, "an entry lacks a field");
    need(isAddress(address), "an entry has no address");
    return new ServerEntry(id, service, address, zone, berths, !state.equals(OPEN), coldLeftMs);
  }

  private static String text(JsonParser in, String key) throws IOException {
    need(
        in.currentToken() == JsonToken.VALUE_STRING && in.getTextLength() > 0, key + " is no text");
    return in.getText();
  }

  /**
   * A number of at least 0; what is left of a server's start may have been rounded or may be null.
   */
  private static long amount(JsonParser in, String key) throws IOException {
    if (in.currentToken() == JsonToken.VALUE_NULL) {
      return 0;
    }
    need(in.currentToken().isNumeric(), key + " is no number");
    return Math.max(0, (long) Math.ceil(in.getDoubleValue()));
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

  private static void need(boolean holds, String words) {
    if (!holds) {
      throw new ElmsailException(ErrorCode.MALFORMED, "the list of servers: " + words);
    }
  }
}
