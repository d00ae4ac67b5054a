package elmsail.gateway.servers;

import elmsail.gateway.http.Headers;

/**
 * For how long an idle connection may be used again, by the timeout that its server announced.
 * Times in ms on the event loop's clock; owned by that loop.
 */
final class KeepAlive {
  /** Without an announcement: the shortest timeout that can be announced, in ms. */
  private static final long DEFAULT_TIMEOUT_MS = 1_000;

  /** A connection expires here so long before its server closes it, at most. */
  private static final long MAX_EXPIRY_MARGIN_MS = 1_000;

  /** The same for short timeouts, as a part of them. */
  private static final double EXPIRY_MARGIN_RATIO = 0.4;

  private static final String TIMEOUT = "timeout=";

  private long timeoutMs = DEFAULT_TIMEOUT_MS;
  private long idleSince;

  /** Takes the {@code Keep-Alive} header of a response, or null if there is none. */
  void onResponse(String header) {
    timeoutMs = header == null ? DEFAULT_TIMEOUT_MS : timeoutMs(header);
  }

  /** The connection is idle from here on. */
  void startIdle(long now) {
    idleSince = now;
  }

  long idleSince() {
    return idleSince;
  }

  /** Whether the server will not close the idle connection soon. */
  boolean isFresh(long now) {
    return now - idleSince
        < timeoutMs - Math.min(MAX_EXPIRY_MARGIN_MS, timeoutMs * EXPIRY_MARGIN_RATIO);
  }

  /**
   * The timeout that a {@code Keep-Alive} header announces, in ms; the default where it has none.
   */
  static long timeoutMs(String header) {
    int at = header.indexOf(TIMEOUT);
    if (at < 0) {
      return DEFAULT_TIMEOUT_MS;
    }
    int from = at + TIMEOUT.length();
    int to = from;
    while (to < header.length() && Character.isDigit(header.charAt(to))) {
      to++;
    }
    return Headers.parseNonNegative(header.substring(from, to), 0) * 1_000;
  }
}
