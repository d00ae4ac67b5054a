package elmsail.config;

/**
 * Within which bounds the number of a service's servers in one zone may be set ({@code
 * fleet_size}).
 *
 * @param minServers of each zone ({@code floor})
 * @param maxServers of each zone, at least {@code minServers} ({@code ceiling})
 * @param bootMs until a new server serves ({@code boot_s})
 */
public record FleetSize(int minServers, int maxServers, long bootMs) {}
