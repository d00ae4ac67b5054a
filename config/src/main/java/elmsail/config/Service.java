package elmsail.config;

import java.util.Optional;

/**
 * One service of a configuration, an entry of {@code postal_lines}.
 *
 * @param healthPath path of the health check
 * @param maxConnections number of connections that one server accepts from all callers ({@code
 *     berth_cap}); 0: not known
 * @param maxConcurrency number of requests that one server runs concurrently ({@code berths}); 0:
 *     not known
 * @param kvCacheTokens number of tokens that one server's KV cache holds ({@code kv_tokens}); 0:
 *     not known
 * @param fleetSize present if the number of the service's servers is set by calls to the platform
 *     ({@code fleet_size})
 */
public record Service(
    String name,
    String healthPath,
    int maxConnections,
    int maxConcurrency,
    long kvCacheTokens,
    Optional<FleetSize> fleetSize) {

  /** Creates a service whose number of servers only the platform decides. */
  public Service(
      String name, String healthPath, int maxConnections, int maxConcurrency, long kvCacheTokens) {
    this(name, healthPath, maxConnections, maxConcurrency, kvCacheTokens, Optional.empty());
  }
}
