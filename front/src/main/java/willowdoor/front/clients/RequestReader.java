package willowdoor.front.clients;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import willowdoor.front.requests.Headers;
import willowdoor.front.requests.ParsedRequest;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.RetrySafety;
import willowdoor.policy.GatewayApi.Settings;

/**
 * Parses a client's message into a request for the policy. Throws an exception with the reason if
 * the message is not a valid request.
 */
public final class RequestReader {

  private static final int MAX_ID_LENGTH = 128;

  /** The longest time that a request may take if its class has no deadline. */
  private static final double MAX_TIMEOUT_MS = 3_600_000;

  /** Reports a message that is not a valid request of this protocol. */
  static final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;

    BadRequestException(String reason) {
      super(reason, null, false, false);
    }
  }

  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, ?> plans;
  private final int gateways;

  public RequestReader(Settings settings) {
    settings.classes().forEach(c -> classes.put(c.name(), c));
    Map<String, Object> named = new HashMap<>();
    settings.plans().forEach(p -> named.put(p.name(), p));
    plans = named;
    gateways = settings.gateways();
  }

  ParsedRequest read(HttpRequest message, String uri) throws BadRequestException {
    HttpHeaders headers = message.headers();
    String id = text(headers, Headers.REQUEST_ID);
    if (id.length() > MAX_ID_LENGTH) {
      throw new BadRequestException("Request-Id is too long");
    }
    RequestClass type = classes.get(text(headers, Headers.REQUEST_CLASS));
    if (type == null || !type.name().equals(firstSegment(uri))) {
      throw new BadRequestException("unknown class");
    }
    boolean safe = type.retrySafety() == RetrySafety.SAFE;
    if (!message.method().equals(safe ? HttpMethod.GET : HttpMethod.POST)) {
      throw new BadRequestException("method does not fit the class");
    }
    if (type.retrySafety() == RetrySafety.KEYED) {
      text(headers, Headers.IDEMPOTENCY_KEY);
    }
    String plan = text(headers, Headers.PLAN);
    if (!plans.containsKey(plan)) {
      throw new BadRequestException("unknown plan");
    }
    double timeout = timeout(headers, type);
    long customer = number(text(headers, Headers.CUSTOMER), 16, Headers.CUSTOMER);
    return quota(text(headers, Headers.QUOTA), id, type.name(), plan, customer, timeout);
  }

  /**
   * The time that the client allows for the request, capped at the longest time that a client of
   * the class allows over all its tries.
   */
  private static double timeout(HttpHeaders headers, RequestClass type) throws BadRequestException {
    Iterator<String> values = headers.valueStringIterator(Headers.TIMEOUT_MS);
    String text = values.hasNext() ? values.next() : "";
    if (values.hasNext()) {
      throw new BadRequestException("Request-Timeout-Ms is given twice");
    }
    double timeout = 0;
    for (int i = 0; i < text.length(); i++) {
      int digit = text.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        throw new BadRequestException("Request-Timeout-Ms is not a whole number");
      }
      timeout = Math.min(MAX_TIMEOUT_MS, 10 * timeout + digit);
    }
    if (timeout == 0) {
      throw new BadRequestException("Request-Timeout-Ms is missing or nought");
    }
    return type.deadlineMs() > 0 ? Math.min(type.deadlineMs(), timeout) : timeout;
  }

  /** Parses the quota field, {@code units=2,spread=3,first=1}. */
  private ParsedRequest quota(
      String field, String id, String type, String plan, long customer, double timeoutMs)
      throws BadRequestException {
    long units = 0;
    long spread = gateways;
    for (String part : field.split(",")) {
      int equals = part.indexOf('=');
      String name = equals < 0 ? "" : part.substring(0, equals).trim();
      String value = part.substring(equals + 1).trim();
      switch (name) {
        case "units" -> units = number(value, 10, Headers.QUOTA);
        case "spread" -> spread = number(value, 10, Headers.QUOTA);
        default -> {}
      }
    }
    if (units <= 0 || spread <= 0) {
      throw new BadRequestException("X-Quota is broken");
    }
    return new ParsedRequest(
        id, type, plan, customer, (int) Math.min(spread, gateways), units, timeoutMs);
  }

  /**
   * The target in origin form, as a server receives it. Clients may include the host in the target,
   * as they do in requests to a proxy.
   */
  static String originForm(String target) {
    String scheme = "http://";
    if (!target.regionMatches(true, 0, scheme, 0, scheme.length())) {
      return target;
    }
    int path = scheme.length();
    while (path < target.length() && "/?#".indexOf(target.charAt(path)) < 0) {
      path++;
    }
    String rest = target.substring(path);
    return rest.startsWith("/") ? rest : '/' + rest;
  }

  private static String firstSegment(String uri) throws BadRequestException {
    for (int i = 0; i < uri.length(); i++) {
      if (uri.charAt(i) <= ' ' || uri.charAt(i) > '~') {
        throw new BadRequestException("path is not plain ASCII");
      }
    }
    int end = 1;
    while (end < uri.length() && "/?#".indexOf(uri.charAt(end)) < 0) {
      end++;
    }
    return uri.startsWith("/") ? uri.substring(1, end) : "";
  }

  private static String text(HttpHeaders headers, CharSequence name) throws BadRequestException {
    String value = headers.get(name);
    if (value == null || value.isEmpty()) {
      throw new BadRequestException(name + " is missing");
    }
    return value;
  }

  private static long number(String text, int radix, CharSequence name) throws BadRequestException {
    try {
      long value = text.length() > 16 ? -1 : Long.parseLong(text, radix);
      if (value >= 0 && text.charAt(0) != '+') {
        return value;
      }
    } catch (NumberFormatException e) {
      // Falls through to the common message for everything that is not a number.
    }
    throw new BadRequestException(name + " is not a number");
  }
}
