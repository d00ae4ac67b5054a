package elmsail.gateway.requests;

import elmsail.config.ClusterState;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.servers.Servers;
import elmsail.runtime.Timers;
import java.util.random.RandomGenerator;

/** What every request needs on its way. */
public record RequestContext(
    Timers timers,
    ClusterState clusterState,
    Servers servers,
    RequestCounters counters,
    RandomGenerator random) {}
