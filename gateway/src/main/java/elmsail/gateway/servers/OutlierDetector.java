package elmsail.gateway.servers;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Outlier detection for the servers of one service: ejects those that respond with errors, but
 * never more than half of them, so that the rest is not overloaded. Owned by the gateway's event
 * loop.
 */
final class OutlierDetector {
  /** One server may be ejected for each group of this many servers. */
  private static final int SERVERS_PER_EJECTION = 2;

  /** Order in which ejections end early: fewest errors first, then the longest ejected. */
  private static final Comparator<ErrorBackoff> FEWEST_ERRORS_FIRST =
      Comparator.comparingInt(ErrorBackoff::consecutiveErrors)
          .thenComparingLong(ErrorBackoff::ejectedAt);

  private final Set<ErrorBackoff> servers = new LinkedHashSet<>();

  /** Adds a server of the service and returns its ejection state. */
  ErrorBackoff addServer() {
    ErrorBackoff server = new ErrorBackoff();
    servers.add(server);
    return server;
  }

  /** Removes a server that is no longer listed. */
  void removeServer(ErrorBackoff server) {
    servers.remove(server);
    enforceEjectionLimit();
  }

  /** Records an error response; returns true if the server is ejected because of it. */
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
