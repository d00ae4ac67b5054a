package willowdoor.front.loop;

import java.io.IOException;

/**
 * Divides the process's file descriptors between clients and backends. Without a limit of its own,
 * each side could use all descriptors: then no client is accepted, no backend is reached, and no
 * lost connection is reopened. Client requests hold at most a third of all descriptors, and each
 * such request needs one connection to a backend.
 */
public record Descriptors(int clients, int refused, int backends) {

  /**
   * For the management address: its callers, one connection about to be rejected, and the
   * descriptors of its own event loop and listener.
   */
  public static final int OPERATORS = 16;

  /**
   * The Java runtime's files and pollers, the listener, the connections to the counter and to
   * discovery, which exist twice for a moment when their addresses change, and the management
   * address's share.
   */
  private static final int RESERVED = 48 + OPERATORS;

  /** Connections beyond the client limit that still receive a rejection response. */
  private static final int REFUSED = 16;

  private static final int MIN_SOCKETS = 96;

  public static Descriptors of(int sockets) throws IOException {
    if (sockets < MIN_SOCKETS) {
      throw new IOException("limits.sockets is under " + MIN_SOCKETS + ": " + sockets);
    }
    int left = sockets - RESERVED - REFUSED;
    return new Descriptors(left / 2, REFUSED, left / 2);
  }
}
