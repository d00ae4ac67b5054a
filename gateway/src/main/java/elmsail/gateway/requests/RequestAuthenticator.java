package elmsail.gateway.requests;

import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.Tenant;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Decides by the current configuration whether a request may be served, and for which tenant. If
 * the configuration has tenants, a request must carry the key of a tenant unless its route is open.
 * Owned by the gateway's event loop.
 */
public final class RequestAuthenticator {
  private final ClusterState clusterState;
  private final BooleanSupplier isConfigConfirmed;

  /**
   * Creates the authenticator of a gateway.
   *
   * @param isConfigConfirmed whether the current configuration was confirmed recently enough to
   *     admit requests by its keys
   */
  public RequestAuthenticator(ClusterState clusterState, BooleanSupplier isConfigConfirmed) {
    this.clusterState = clusterState;
    this.isConfigConfirmed = isConfigConfirmed;
  }

  /**
   * Authenticates a request of the route. To be called when the request is dispatched and before
   * each further attempt.
   */
  public Authentication authenticate(Route route, Credentials credentials) {
    return authenticate(clusterState.config(), route.isOpen(), credentials);
  }

  /**
   * Authenticates a call about a batch job, whose path identifies no route. The call needs a key
   * unless a batch route of its host is open.
   *
   * @param host the value of the {@code Host} header
   */
  public Authentication authenticateBatchCall(String host, Credentials credentials) {
    RoutingConfig config = clusterState.config();
    return authenticate(config, config != null && config.hasOpenBatchRoute(host), credentials);
  }

  private Authentication authenticate(
      RoutingConfig config, boolean isOpen, Credentials credentials) {
    if (config == null) {
      return new Authentication.Refused(Authentication.Reason.NOT_CONFIRMED);
    }
    if (!config.requiresKeys()) {
      return Authentication.Anonymous.NO_TENANTS;
    }
    if (!isConfigConfirmed.getAsBoolean()) {
      return isOpen
          ? Authentication.Anonymous.OPEN_ROUTE
          : new Authentication.Refused(Authentication.Reason.NOT_CONFIRMED);
    }
    Optional<String> key = credentials.key();
    Optional<Tenant> tenant = key.isPresent() ? config.tenantByKey(key.get()) : Optional.empty();
    if (tenant.isPresent()) {
      return new Authentication.OfTenant(tenant.get());
    }
    return isOpen
        ? Authentication.Anonymous.OPEN_ROUTE
        : new Authentication.Refused(Authentication.Reason.UNKNOWN_KEY);
  }
}
