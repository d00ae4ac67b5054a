package elmsail.gateway.requests;

import elmsail.config.ClusterState;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.servers.ServerPicker;
import elmsail.gateway.servers.Servers;
import elmsail.gateway.usage.UsageListener;
import elmsail.runtime.Timers;
import java.util.random.RandomGenerator;

/** What is shared by all requests of a gateway. */
public record RequestContext(
    Timers timers,
    ClusterState clusterState,
    Servers servers,
    RequestCounters counters,
    RequestAuthenticator authenticator,
    UsageListener usage,
    RandomGenerator random) {

  /** Picks the servers of attempts. */
  ServerPicker picker() {
    return servers.picker();
  }
}
