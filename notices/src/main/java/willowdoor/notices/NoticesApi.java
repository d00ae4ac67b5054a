package willowdoor.notices;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;

/** Parses and validates the clients' requests to the notices service. */
public final class NoticesApi {
  public static final String PATH = "/-/notices";
  private static final String MOVE = "?move=";
  private static final long CUSTOMERS = 1L << 33;

  /** A parsed request. */
  public sealed interface Call {}

  /**
   * A request to read notices.
   *
   * @param lastEventId as sent, or null if the reader begins now
   * @param order move order that the reader sent, or null
   */
  public record Read(long customer, String lastEventId, MoveOrder order) implements Call {}

  /**
   * A request of a customer to publish a notice.
   *
   * @param body UTF-8, 1 to 16,384 bytes
   */
  public record Publish(long customer, byte[] body) implements Call {}

  /**
   * A request that is rejected.
   *
   * @param status 4xx
   */
  public record Refused(int status, String text) implements Call {}

  private NoticesApi() {}

  /**
   * Parses a request.
   *
   * @param target path and query, as sent
   * @param headers returns all values of a header by its name in lower case, empty if the header is
   *     absent
   */
  public static Call parse(
      String method, String target, Function<String, List<String>> headers, byte[] body) {
    int query = target.indexOf('?');
    if (!(query < 0 ? target : target.substring(0, query)).equals(PATH)) {
      return new Refused(404, "there is no such call: notices are at " + PATH);
    }
    boolean reads = method.equals("GET");
    if (!reads && !method.equals("POST")) {
      return new Refused(405, "notices are read by GET and published by POST");
    }
    List<String> customers = headers.apply("x-customer");
    if (customers.size() != 1
        || !customers.get(0).matches("[0-9a-f]{16}")
        || Long.parseUnsignedLong(customers.get(0), 16) >>> 33 != 0) {
      return new Refused(400, "X-Customer must be given once, as 16 hex digits below 2^33");
    }
    long customer = Long.parseLong(customers.get(0), 16) % CUSTOMERS;
    String rest = query < 0 ? "" : target.substring(query);
    return reads ? read(customer, rest, headers, body) : publish(customer, rest, headers, body);
  }

  private static Call read(
      long customer, String query, Function<String, List<String>> headers, byte[] body) {
    if (body.length > 0) {
      return new Refused(400, "a GET has no body");
    }
    List<String> accepted = headers.apply("accept");
    if (!accepted.isEmpty()
        && accepted.stream()
            .noneMatch(
                a ->
                    a.contains("text/event-stream") || a.contains("*/*") || a.contains("text/*"))) {
      return new Refused(406, "notices come as text/event-stream");
    }
    List<String> ids = headers.apply("last-event-id");
    if (ids.size() > 1) {
      return new Refused(400, "Last-Event-ID must be given once at most");
    }
    try {
      String id = ids.isEmpty() || ids.get(0).isEmpty() ? null : ids.get(0);
      if (id != null) {
        Position.parse(id);
      }
      if (query.isEmpty()) {
        return new Read(customer, id, null);
      }
      if (!query.startsWith(MOVE)) {
        return new Refused(400, "the only thing a query may hold is move=NUMBER");
      }
      MoveOrder order = MoveOrder.parse(query.substring(MOVE.length()));
      return order.customer() == customer
          ? new Read(customer, id, order)
          : new Refused(400, "the move's number is another customer's");
    } catch (IllegalArgumentException e) {
      return new Refused(400, e.getMessage());
    }
  }

  private static Call publish(
      long customer, String query, Function<String, List<String>> headers, byte[] body) {
    if (!query.isEmpty()) {
      return new Refused(400, "a notice is published without a query");
    }
    List<String> types = headers.apply("content-type");
    if (types.size() > 1
        || types.size() == 1
            && !types
                .get(0)
                .matches("(?i)(text/plain|application/json)" + "( *; *charset=\"?utf-8\"?)?")) {
      return new Refused(415, "a notice is text/plain or application/json in UTF-8");
    }
    if (body.length == 0) {
      return new Refused(400, "a notice must not be empty");
    }
    if (body.length > Limits.MAX_BODY) {
      return new Refused(413, "a notice has at most " + Limits.MAX_BODY + " bytes");
    }
    try {
      StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body));
    } catch (CharacterCodingException e) {
      return new Refused(400, "a notice must be text in UTF-8");
    }
    return new Publish(customer, body);
  }
}
