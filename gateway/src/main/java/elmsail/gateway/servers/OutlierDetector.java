package elmsail.gateway.servers;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Ejects servers of one service that answer with errors, but never more than half of them, so that
 * the rest is not overloaded.
 */
final class OutlierDetector {
  /** One of so many servers may be ejected. */
  private static final int SERVERS_PER_EJECTION = 2;

  /** Those with the fewest errors come back first, of these the one that was ejected first. */
  private static final Comparator<ErrorBackoff> LEAST_SUSPECT =
      Comparator.comparingInt(ErrorBackoff::consecutiveErrors)
          .thenComparingLong(ErrorBackoff::ejectedAt);

  private final Set<ErrorBackoff> servers = new LinkedHashSet<>();

  /** Adds a server of the service. */
  ErrorBackoff add() {
    ErrorBackoff server = new ErrorBackoff();
    servers.add(server);
    return server;
  }

  /** The server is not listed any more. */
  void remove(ErrorBackoff server) {
    servers.remove(server);
    keepWithinLimit();
  }

  /** The server answered with an error: whether it is ejected by this. */
  boolean errored(ErrorBackoff server, long now) {
    if (!server.errored(now)) {
      return false;
    }
    keepWithinLimit();
    return server.ejected();
  }

  private void keepWithinLimit() {
    List<ErrorBackoff> ejected = servers.stream().filter(ErrorBackoff::ejected).toList();
    int excess = ejected.size() - servers.size() / SERVERS_PER_EJECTION;
    ejected.stream()
        .sorted(LEAST_SUSPECT)
        .limit(Math.max(0, excess))
        .forEach(ErrorBackoff::release);
  }
}
