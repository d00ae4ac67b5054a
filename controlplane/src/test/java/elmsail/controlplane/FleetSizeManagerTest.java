package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import elmsail.config.ClusterState;
import elmsail.config.RoutingConfig;
import elmsail.config.RoutingConfigReader;
import elmsail.config.ServerEntry;
import elmsail.config.watch.PeerRole;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.ServiceDemand;
import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.http.SimpleHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class FleetSizeManagerTest {
  private static final String CONFIG =
      """
      {"edition":1,"routes":[],"postal_lines":[{"name":"sized",
      "fleet_size":{"floor":2,"ceiling":9,"boot_s":4}},{"name":"fixed"}]}""";

  private static final int SLOTS = 10;

  private final ManualTimers timers = new ManualTimers();
  private final FixedCluster cluster = new FixedCluster();
  private final List<String> orders = new ArrayList<>();
  private final List<String> terms = new ArrayList<>();
  private long term = 5;
  private int responseStatus = 200;

  private final DutyLease lease =
      new DutyLease() {
        @Override
        public long term() {
          return term;
        }

        @Override
        public void onFenced(long refusedTerm) {
          term = 0;
        }
      };

  private final FleetSizeManager manager =
      new FleetSizeManager(
          timers,
          cluster,
          new PlatformDutyClient(
              (address, request, timeoutMs) -> {
                assertThat(request.pathAndQuery(), is("/fleet-size"));
                orders.add(new String(request.body(), StandardCharsets.UTF_8));
                terms.add(request.headers().get(PlatformDutyClient.FENCE_HEADER));
                return CompletableFuture.completedFuture(
                    new SimpleHttpResponse(responseStatus, Map.of(), new byte[0]));
              },
              SimulatedCluster.settingsWithDuties("n1", 50),
              timers,
              lease,
              new DutyCounters(new Counters())),
          lease);

  /**
   * Four servers of the service with fleet-size bounds, two in each zone, and one server of a
   * service without bounds.
   */
  private static final class FixedCluster implements ClusterState {
    private final RoutingConfig config =
        RoutingConfigReader.read(CONFIG.getBytes(StandardCharsets.UTF_8));
    private final ClusterView view = new ClusterView();

    FixedCluster() {
      view.gateways.add("10.3.0.1:7720");
    }

    @Override
    public RoutingConfig config() {
      return config;
    }

    @Override
    public List<ServerEntry> servers() {
      return List.of(
          server("a1", "sized", "a"),
          server("a2", "sized", "a"),
          server("b1", "sized", "b"),
          server("b2", "sized", "b"),
          server("c1", "fixed", "a"));
    }

    private static ServerEntry server(String id, String service, String zone) {
      return new ServerEntry(id, service, "10.9.1.1:80", zone, SLOTS, false, 0);
    }

    @Override
    public long serverListAgeMs() {
      return 0;
    }

    @Override
    public long configConfirmedAgeMs() {
      return 0;
    }

    @Override
    public ClusterView view() {
      return view;
    }

    @Override
    public void addListener(Runnable listener) {}
  }

  private void pull(String service, String zone, int openRequests) {
    PullRequest request = new PullRequest();
    request.role = PeerRole.GATEWAY.wireName();
    request.address = "10.3.0.1:7720";
    ServiceDemand demand = new ServiceDemand();
    demand.service = service;
    demand.zone = zone;
    demand.openRequests = openRequests;
    request.demand = List.of(demand);
    manager.onPull(request);
  }

  private static String order(String zone, int wanted) {
    return "{\"postal_line\":\"sized\",\"zone\":\"" + zone + "\",\"wanted\":" + wanted + "}";
  }

  @Test
  void demandOrdersServersOnceAndOnlyInItsZone() {
    manager.start();
    pull("sized", "a", 20);
    timers.advance(2_000);
    assertThat(orders, contains(order("a", 4)));
    assertThat(terms, contains("5"));
  }

  @Test
  void nodeWithoutTheLeaseOrdersNothing() {
    term = 0;
    manager.start();
    pull("sized", "a", 60);
    timers.advance(2_000);
    assertThat(orders, is(empty()));
  }

  @Test
  void serviceWithoutBoundsGetsNoOrder() {
    manager.start();
    pull("fixed", "a", 60);
    timers.advance(2_000);
    assertThat(orders, is(empty()));
  }

  @Test
  void orderWithUnknownOutcomeIsRepeatedAfterABackoff() {
    manager.start();
    responseStatus = 503;
    pull("sized", "b", 20);
    timers.advance(900);
    assertThat(orders, hasSize(1));
    responseStatus = 200;
    timers.advance(2_000);
    assertThat(orders, contains(order("b", 4), order("b", 4)));
    timers.advance(3_000);
    assertThat(orders, hasSize(2));
  }

  @Test
  void fencedHolderSendsNoFurtherOrder() {
    manager.start();
    responseStatus = 409;
    pull("sized", "a", 20);
    timers.advance(5_000);
    assertThat(orders, hasSize(1));
  }

  @Test
  void demandOfGatewaysThatPullFromOtherNodesIsEstimated() {
    cluster.view.gateways.add("10.3.0.2:7720");
    manager.start();
    pull("sized", "a", 10);
    timers.advance(2_000);
    assertThat(orders, contains(order("a", 4)));
  }
}
