package elmsail.gateway.servers;

import elmsail.gateway.http.Headers;

/**
 * Decides how long an idle connection may be reused, based on the timeout that its server
 * announced. Times in ms on the event loop's clock; owned by that loop.
 */
final class KeepAlive {
  /** Timeout in ms if the server announces none: the shortest one that can be announced. */
  private static final long DEFAULT_TIMEOUT_MS = 1_000;

  /** Maximum time by which a connection expires here before its server closes it. */
  private static final long MAX_EXPIRY_MARGIN_MS = 1_000;

  /** The same margin for short timeouts, as a fraction of the timeout. */
  private static final double EXPIRY_MARGIN_RATIO = 0.4;

  private static final String TIMEOUT = "timeout=";

  private long timeoutMs = DEFAULT_TIMEOUT_MS;
  private long idleSince;

  /** Records the {@code Keep-Alive} header of a response, which is null if there is none. */
  void onResponse(String header) {
    timeoutMs = header == null ? DEFAULT_TIMEOUT_MS : timeoutMs(header);
  }

  /** Records that the connection is idle from now on. */
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
   * The timeout that a {@code Keep-Alive} header announces, in ms; the default if the header has
   * none.
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
