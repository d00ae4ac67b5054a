package elmsail.gateway.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import elmsail.gateway.FakeClusterState;
import elmsail.rpc.MessageCodec;
import elmsail.rpc.messages.LoadReport;
import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import elmsail.simulation.SimNetwork;
import elmsail.simulation.SimNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Gateways whose processor quota lets them run only for a part of each tenth of a second exchange
 * their loads. No aggregator may be suspended because of a pause by the quota, and all gateways
 * must see the total soon after the loads stop changing.
 */
class ProcessorQuotaTest {
  private static final int ZONES = 3;
  private static final int GATEWAYS_PER_ZONE = 6;
  private static final int DATAGRAM_DELAY_MS = 2;

  /**
   * The time within which all gateways see a changed total: a pause of the reporter, a pause of the
   * aggregator, two intervals between reports, and a third pause.
   */
  private static final long TOTAL_PROPAGATION_MS = 450;

  private final ManualTimers timers = new ManualTimers();
  private final SimNetwork network = new SimNetwork(5, timers);
  private final FakeClusterState clusterState = new FakeClusterState();
  private final MessageCodec codec = new MessageCodec();
  private final Random random = new Random(11);
  private final Map<String, Gateway> gateways = new LinkedHashMap<>();
  private final Map<String, Set<String>> totalSendersByZone = new TreeMap<>();

  private final class Gateway {
    final Map<String, ServerLoad> open = new HashMap<>();
    final SimNode node;
    final LoadExchange exchange;

    Gateway(String address, String zone, double share) {
      node = network.startNode(address);
      network.limitProcessor(address, share);
      exchange =
          new LoadExchange(
              node.timers(),
              clusterState,
              address,
              zone,
              random.nextLong(),
              () -> open,
              (to, report) -> send(zone, to, report),
              new Counters());
      exchange.start();
    }

    void send(String zone, String to, LoadReport report) {
      if (report.scope == LoadReport.TOTAL) {
        totalSendersByZone.computeIfAbsent(zone, name -> new TreeSet<>()).add(report.sender);
      }
      byte[] datagram = codec.toDatagram(report);
      timers.schedule(
          DATAGRAM_DELAY_MS,
          () -> {
            Gateway receiver = gateways.get(to);
            receiver
                .node
                .timers()
                .execute(
                    () ->
                        receiver.exchange.onReport(codec.fromDatagram(datagram, LoadReport.class)));
          });
    }

    void changeLoad() {
      node.timers()
          .execute(
              () -> {
                open.put("a", new ServerLoad(random.nextInt(9), 0, 0));
                exchange.onLoadChanged();
              });
    }
  }

  private void start(double share) {
    for (int g = 0; g < ZONES * GATEWAYS_PER_ZONE; g++) {
      clusterState.view.gateways.add("10.0." + g % ZONES + "." + g + ":7720");
    }
    for (int g = 0; g < ZONES * GATEWAYS_PER_ZONE; g++) {
      String address = clusterState.view.gateways.get(g);
      gateways.put(address, new Gateway(address, "z" + g % ZONES, share));
    }
    changeLoadsFor(3_000);
    totalSendersByZone.clear();
  }

  private void changeLoadsFor(long ms) {
    for (long end = timers.now() + ms; timers.now() < end; ) {
      gateways.values().forEach(Gateway::changeLoad);
      timers.advance(20);
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.12, 0.36, 0.9})
  void noAggregatorIsSuspendedAndAllGatewaysSeeTheTotal(double share) {
    start(share);
    for (int round = 0; round < 40; round++) {
      changeLoadsFor(500);
      timers.advance(TOTAL_PROPAGATION_MS);
      int total = 0;
      for (Gateway gateway : gateways.values()) {
        total += gateway.open.get("a").requests();
      }
      assertThat(total, greaterThan(0));
      for (Gateway gateway : gateways.values()) {
        assertThat(gateway.exchange.isAvailable(), is(true));
        assertThat(gateway.exchange.loadOf("a").requests(), is(total));
      }
    }
    totalSendersByZone.forEach((zone, senders) -> assertThat(zone, senders, hasSize(1)));
  }
}
