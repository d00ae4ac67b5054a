package willowdoor.front.loop;

import java.io.IOException;

/**
 * How the descriptors that the process may hold are dealt out. Without a bound of its own each side
 * could take all: then no client is accepted, no backend is reached, and no lost connection comes
 * back. Clients hold a third of all for their requests at most, and each of those needs one
 * connection to a backend.
 */
public record Descriptors(int clients, int refused, int backends) {

  /** For the operators' address: its callers, one that is about to be turned away, its own. */
  public static final int OPERATORS = 16;

  /**
   * The Java runtime's files and pollers, the listener, and the connections to the counter and to
   * discovery, which are there twice for a moment when their addresses change; and the operators'
   * share.
   */
  private static final int RESERVED = 48 + OPERATORS;

  /** Connections over the clients' bound that are still told so. */
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
