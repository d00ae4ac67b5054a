package elmsail.config;

import java.util.Optional;

/**
 * One service of a configuration, an entry of {@code postal_lines}.
 *
 * @param healthPath path of the health check
 * @param maxConnections that one server accepts from all callers ({@code berth_cap}); 0: not known
 * @param maxConcurrency requests that one server runs at once ({@code berths}); 0: not known
 * @param kvCacheTokens tokens that one server's KV cache holds ({@code kv_tokens}); 0: not known
 * @param fleetSize if the number of its servers is set by calls to the platform ({@code
 *     fleet_size})
 */
public record Service(
    String name,
    String healthPath,
    int maxConnections,
    int maxConcurrency,
    long kvCacheTokens,
    Optional<FleetSize> fleetSize) {

  /** A service whose number of servers the platform alone decides. */
  public Service(
      String name, String healthPath, int maxConnections, int maxConcurrency, long kvCacheTokens) {
    this(name, healthPath, maxConnections, maxConcurrency, kvCacheTokens, Optional.empty());
  }
}
