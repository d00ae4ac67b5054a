package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import elmsail.config.RoutingConfig;
import elmsail.config.RoutingConfigReader;
import elmsail.config.ServerEntry;
import elmsail.rpc.messages.ServiceDemand;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DemandMeterTest {
  private static final RoutingConfig CONFIG =
      RoutingConfigReader.read(
          """
          {"edition":1,"routes":[],"postal_lines":[{"name":"sized",
          "fleet_size":{"floor":1,"ceiling":9,"boot_s":4}},{"name":"fixed"}]}"""
              .getBytes(StandardCharsets.UTF_8));

  private static Server server(String id, String service, String zone) {
    ServerEntry entry = new ServerEntry(id, service, "10.9.1.1:80", zone, 10, false, 0);
    return new Server(entry, 1_000, new OutlierDetector());
  }

  private static List<String> format(List<ServiceDemand> demands) {
    return demands.stream()
        .map(demand -> demand.service + " " + demand.zone + " " + demand.openRequests)
        .toList();
  }

  @Test
  void idleZonesAreReported() {
    List<Server> servers =
        List.of(server("1", "sized", "a"), server("2", "sized", "a"), server("3", "sized", "b"));
    assertThat(
        format(DemandMeter.measure(servers, CONFIG, Map.of())), contains("sized a 0", "sized b 0"));
  }

  @Test
  void waitingItemsCountPartiallyAndEquallyInEachZone() {
    List<Server> servers = List.of(server("1", "sized", "a"), server("3", "sized", "b"));
    assertThat(
        format(DemandMeter.measure(servers, CONFIG, Map.of("sized", 80))),
        contains("sized a 10", "sized b 10"));
  }

  @Test
  void fewWaitingItemsAreNotRoundedUpInEachZone() {
    List<Server> servers =
        List.of(server("1", "sized", "a"), server("2", "sized", "b"), server("3", "sized", "c"));
    int sum = 0;
    for (ServiceDemand demand : DemandMeter.measure(servers, CONFIG, Map.of("sized", 4))) {
      sum += demand.openRequests;
    }
    assertThat(sum, is(1));
  }

  @Test
  void servicesWithoutFleetSizeAreOmitted() {
    List<Server> servers = List.of(server("1", "fixed", "a"));
    assertThat(DemandMeter.measure(servers, CONFIG, Map.of("fixed", 80)), is(empty()));
  }
}
