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
  private static final Comparator<ErrorBackoff> FEWEST_ERRORS_FIRST =
      Comparator.comparingInt(ErrorBackoff::consecutiveErrors)
          .thenComparingLong(ErrorBackoff::ejectedAt);

  private final Set<ErrorBackoff> servers = new LinkedHashSet<>();

  /** Adds a server of the service. */
  ErrorBackoff addServer() {
    ErrorBackoff server = new ErrorBackoff();
    servers.add(server);
    return server;
  }

  /** The server is not listed any more. */
  void removeServer(ErrorBackoff server) {
    servers.remove(server);
    enforceEjectionLimit();
  }

  /** The server answered with an error: whether it is ejected by this. */
  boolean recordError(ErrorBackoff server, long now) {
    if (!server.recordError(now)) {
      return false;
    }
    enforceEjectionLimit();
    return server.isEjected();
  }

  private void enforceEjectionLimit() {
    List<ErrorBackoff> ejected = servers.stream().filter(ErrorBackoff::isEjected).toList();
    int excess = ejected.size() - servers.size() / SERVERS_PER_EJECTION;
    ejected.stream()
        .sorted(FEWEST_ERRORS_FIRST)
        .limit(Math.max(0, excess))
        .forEach(ErrorBackoff::uneject);
  }
}
