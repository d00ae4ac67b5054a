package elmsail.gateway.requests;

import elmsail.config.ClusterState;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.servers.ServerPicker;
import elmsail.gateway.servers.Servers;
import elmsail.gateway.usage.UsageListener;
import elmsail.runtime.Timers;
import java.util.random.RandomGenerator;

/** The objects that all requests of a gateway share. */
public record RequestContext(
    Timers timers,
    ClusterState clusterState,
    Servers servers,
    RequestCounters counters,
    RequestAuthenticator authenticator,
    UsageListener usage,
    RandomGenerator random) {

  /** The picker that selects the server of each attempt. */
  ServerPicker picker() {
    return servers.picker();
  }
}
