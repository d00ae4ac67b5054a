package elmsail.config;

/**
 * The bounds within which the number of a service's servers in one zone may be set ({@code
 * fleet_size}).
 *
 * @param minServers minimum number of servers in each zone ({@code floor})
 * @param maxServers maximum number of servers in each zone, at least {@code minServers} ({@code
 *     ceiling})
 * @param bootMs time from the start of a new server until it serves requests ({@code boot_s})
 */
public record FleetSize(int minServers, int maxServers, long bootMs) {}
