package willowdoor.purge;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * Reads requests for {@code POST /-/purge} and {@code GET /-/purge/ID} into plain values, and
 * writes outcomes as responses. A request that is not valid yields a response that states what is
 * wrong with the request.
 */
public final class PurgeApi {
  public static final String PATH = "/-/purge";
  public static final int MAX_BODY_BYTES = 4_096;
  private static final int MAX_KEY_LENGTH = 128;
  private static final long MAX_TIMEOUT_MS = 60_000;
  private static final JsonFactory JSON =
      JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

  /** The call that a request makes, or the error response to the request. */
  public sealed interface Call {}

  public record PurgeCall(PurgeId id, Scope scope, long timeoutMs) implements Call {}

  public record StatusCall(PurgeId id, String customer, long timeoutMs) implements Call {}

  /** A complete response; the body is JSON in UTF-8. */
  public record Response(int status, Map<String, String> headers, byte[] body) implements Call {}

  private static final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;
    final int status;

    InvalidRequestException(int status, String message) {
      super(message, null, false, false);
      this.status = status;
    }
  }

  private PurgeApi() {}

  /** Whether this API handles a path. */
  public static boolean handles(String path) {
    return path.equals(PATH) || path.startsWith(PATH + "/");
  }

  /**
   * Reads a request.
   *
   * @param path the path without the query
   * @param header returns a header's value for its name in lower case, or null
   * @param body up to {@value #MAX_BODY_BYTES} bytes are accepted; of a longer body at least one
   *     byte more must be passed, so that the body is rejected
   */
  public static Call read(String method, String path, UnaryOperator<String> header, byte[] body) {
    try {
      return path.equals(PATH) ? readPurge(method, header, body) : readStatus(method, path, header);
    } catch (InvalidRequestException e) {
      return error(
          e.status,
          e.getMessage(),
          e.status == 405 ? Map.of("Allow", path.equals(PATH) ? "POST" : "GET") : Map.of());
    }
  }

  private static Call readPurge(String method, UnaryOperator<String> header, byte[] body)
      throws InvalidRequestException {
    require(
        method.equals("POST"),
        405,
        "a purge is called for with POST; ask how one goes with GET " + PATH + "/ID");
    String customer = customer(header);
    long timeoutMs = timeoutMs(header);
    String key = header.apply("idempotency-key");
    require(
        key != null && Scope.isVisibleAscii(key, MAX_KEY_LENGTH),
        400,
        "Idempotency-Key must name this purge: 1 to "
            + MAX_KEY_LENGTH
            + " visible characters, new for each purge");
    require(body.length <= MAX_BODY_BYTES, 413, "the body is over " + MAX_BODY_BYTES + " bytes");
    return new PurgeCall(PurgeId.of(customer, key), new Scope(customer, prefix(body)), timeoutMs);
  }

  private static Call readStatus(String method, String path, UnaryOperator<String> header)
      throws InvalidRequestException {
    PurgeId id =
        path.startsWith(PATH + "/") ? PurgeId.parse(path.substring(PATH.length() + 1)) : null;
    require(id != null, 404, "a purge is named by 32 hex digits: " + PATH + "/ID");
    require(method.equals("GET"), 405, "ask how a purge goes with GET");
    return new StatusCall(id, customer(header), timeoutMs(header));
  }

  private static String customer(UnaryOperator<String> header) throws InvalidRequestException {
    String customer = header.apply("x-customer");
    require(
        customer != null && customer.matches("[0-9a-f]{16}"),
        400,
        "X-Customer must be 16 hex digits");
    return customer;
  }

  private static long timeoutMs(UnaryOperator<String> header) throws InvalidRequestException {
    String timeout = header.apply("request-timeout-ms");
    require(
        timeout != null && timeout.matches("0*[1-9][0-9]{0,8}"),
        400,
        "Request-Timeout-Ms must be a whole number above nought");
    return Math.min(Long.parseLong(timeout), MAX_TIMEOUT_MS);
  }

  /**
   * Accepts {@code {"all":true}} or {@code {"prefix":"/preview/"}} only, so that a mistake in the
   * body never purges everything.
   */
  private static String prefix(byte[] body) throws InvalidRequestException {
    String form = "the body must be {\"all\":true} or {\"prefix\":\"/...\"}";
    String prefix;
    try (JsonParser parser = JSON.createParser(body)) {
      require(
          parser.nextToken() == JsonToken.START_OBJECT
              && parser.nextToken() == JsonToken.FIELD_NAME,
          400,
          form);
      String name = parser.currentName();
      JsonToken value = parser.nextToken();
      require(
          name.equals("all") && value == JsonToken.VALUE_TRUE
              || name.equals("prefix") && value == JsonToken.VALUE_STRING,
          400,
          form);
      prefix = name.equals("all") ? "/" : parser.getText();
      require(parser.nextToken() == JsonToken.END_OBJECT && parser.nextToken() == null, 400, form);
    } catch (IOException e) {
      throw new InvalidRequestException(400, form);
    }
    require(
        Scope.isVisibleAscii(prefix, Scope.MAX_PREFIX) && prefix.charAt(0) == '/',
        400,
        "the prefix must begin with / and have up to "
            + Scope.MAX_PREFIX
            + " visible ASCII characters");
    require(
        Targets.isCacheable(prefix),
        400,
        "no answer is kept of paths with %, \\ or #, or with empty, . or .. parts: it purges nothing");
    return prefix;
  }

  private static void require(boolean valid, int status, String message)
      throws InvalidRequestException {
    if (!valid) {
      throw new InvalidRequestException(status, message);
    }
  }

  public static Response response(Outcome outcome) {
    if (outcome instanceof Outcome.Complete complete) {
      return json(
          200,
          Map.of(),
          out -> {
            out.writeStringField("id", complete.id().toString());
            out.writeStringField("state", "complete");
            out.writeNumberField("confirmed", complete.confirmed());
            out.writeArrayFieldStart("ran_out");
            for (int member : complete.ranOut()) {
              out.writeNumber(member);
            }
            out.writeEndArray();
          });
    }
    if (outcome instanceof Outcome.Pending pending) {
      return json(
          202,
          Map.of("Location", PATH + "/" + pending.id()),
          out -> {
            out.writeStringField("id", pending.id().toString());
            out.writeStringField("state", "pending");
          });
    }
    if (outcome instanceof Outcome.Unavailable unavailable) {
      return error(
          503,
          unavailable.reason() == Outcome.FailureReason.BUSY
              ? "nothing is promised: too many purges are out; try again with the same key"
              : "nothing is promised: too few keepers answered; try again with the same key",
          Map.of("Retry-After", "1"));
    }
    if (outcome instanceof Outcome.Rejected rejected) {
      return rejected.reason() == Outcome.FailureReason.KEY_USED
          ? error(409, "this Idempotency-Key was used for another purge", Map.of())
          : error(429, "too many purges of this customer are waiting", Map.of("Retry-After", "1"));
    }
    return error(404, "no purge of this customer has this id, or it is forgotten", Map.of());
  }

  private interface BodyWriter {
    void write(JsonGenerator out) throws IOException;
  }

  private static Response error(int status, String message, Map<String, String> headers) {
    return json(status, headers, out -> out.writeStringField("error", message));
  }

  private static Response json(int status, Map<String, String> headers, BodyWriter body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = JSON.createGenerator(bytes)) {
      out.writeStartObject();
      body.write(out);
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Map<String, String> all = new TreeMap<>(headers);
    all.put("Content-Type", "application/json; charset=" + StandardCharsets.UTF_8);
    return new Response(status, all, bytes.toByteArray());
  }
}
