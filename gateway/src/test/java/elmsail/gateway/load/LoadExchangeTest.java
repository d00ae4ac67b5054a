package elmsail.gateway.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.gateway.FakeClusterState;
import elmsail.rpc.MessageCodec;
import elmsail.rpc.messages.LoadReport;
import elmsail.rpc.messages.ServerLoadEntry;
import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Gateways of three zones exchange their loads over a simulated network that can lose datagrams.
 */
class LoadExchangeTest {
  private static final int GATEWAYS_PER_ZONE = 5;
  private static final List<String> ZONES = List.of("z1", "z2", "z3");

  private final ManualTimers timers = new ManualTimers();
  private final FakeClusterState clusterState = new FakeClusterState();
  private final MessageCodec codec = new MessageCodec();
  private final Random random = new Random(7);
  private final Counters counters = new Counters();
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Set<String> partitioned = new HashSet<>();
  private double lossRate;
  private int largestDatagramBytes;

  private final class Member {
    final String address;
    final String zone;
    final Map<String, ServerLoad> open = new HashMap<>();
    LoadExchange exchange;
    int received;

    Member(String address, String zone) {
      this.address = address;
      this.zone = zone;
      restart();
    }

    void restart() {
      exchange =
          new LoadExchange(
              timers,
              clusterState,
              address,
              zone,
              random.nextLong(),
              () -> open,
              this::send,
              counters);
      exchange.start();
    }

    private void send(String to, LoadReport report) {
      byte[] datagram = codec.toDatagram(report);
      largestDatagramBytes = Math.max(largestDatagramBytes, datagram.length);
      boolean crossesPartition = partitioned.contains(address) != partitioned.contains(to);
      if (crossesPartition || random.nextDouble() < lossRate) {
        return;
      }
      timers.schedule(
          random.nextInt(3),
          () -> {
            Member receiver = members.get(to);
            receiver.received++;
            receiver.exchange.onReport(codec.fromDatagram(datagram, LoadReport.class));
          });
    }

    void open(String server, int requests) {
      open.put(server, new ServerLoad(requests, 0, 0));
      exchange.onLoadChanged();
    }
  }

  private void start() {
    for (String zone : ZONES) {
      for (int i = 0; i < GATEWAYS_PER_ZONE; i++) {
        clusterState.view.gateways.add(zone + "-" + i + ":1");
      }
    }
    for (String zone : ZONES) {
      for (int i = 0; i < GATEWAYS_PER_ZONE; i++) {
        members.put(zone + "-" + i + ":1", new Member(zone + "-" + i + ":1", zone));
      }
    }
    timers.advance(3_000);
  }

  private int requestsSeenBy(Member member, String server) {
    return member.exchange.loadOf(server).requests();
  }

  private int openRequests(String server) {
    int sum = 0;
    for (Member member : members.values()) {
      sum += member.open.getOrDefault(server, ServerLoad.NONE).requests();
    }
    return sum;
  }

  private void assertEveryGatewaySeesTheTotal() {
    for (Member member : members.values()) {
      for (String server : List.of("a", "b")) {
        assertThat(
            member.address + " of " + server,
            requestsSeenBy(member, server),
            is(openRequests(server)));
      }
    }
  }

  @Test
  void everyGatewaySeesTheTotalOfAllGateways() {
    start();
    int opened = 0;
    for (Member member : members.values()) {
      member.open(opened % 2 == 0 ? "a" : "b", ++opened);
    }
    timers.advance(300);
    assertEveryGatewaySeesTheTotal();
  }

  @Test
  void changeReachesTheZoneWithinTheInterval() {
    start();
    Member first = members.get("z1-0:1");
    first.open("a", 3);
    timers.advance(250);
    assertThat(requestsSeenBy(members.get("z1-4:1"), "a"), is(3));
    first.open("a", 0);
    timers.advance(70);
    assertThat(requestsSeenBy(members.get("z1-4:1"), "a"), is(0));
  }

  @Test
  void recoversFromLostDatagrams() {
    lossRate = 0.3;
    start();
    for (int i = 0; i < 200; i++) {
      List<Member> all = new ArrayList<>(members.values());
      all.get(random.nextInt(all.size())).open(random.nextBoolean() ? "a" : "b", random.nextInt(9));
      timers.advance(10);
    }
    lossRate = 0;
    timers.advance(1_000);
    assertEveryGatewaySeesTheTotal();
  }

  @Test
  void partitionedGatewayExpiresAndIsCountedAgainAfterThePartition() {
    start();
    Member isolated = members.get("z1-2:1");
    isolated.open("a", 50);
    members.get("z1-1:1").open("a", 2);
    timers.advance(400);
    assertThat(requestsSeenBy(members.get("z1-0:1"), "a"), is(52));
    partitioned.add(isolated.address);
    timers.advance(LoadTable.VALID_MS + 600);
    assertThat(requestsSeenBy(members.get("z1-0:1"), "a"), is(2));
    assertThat(requestsSeenBy(members.get("z3-0:1"), "a"), is(2));
    assertThat(
        "the isolated gateway sees no more than its own load",
        requestsSeenBy(isolated, "a"),
        lessThanOrEqualTo(50));
    partitioned.clear();
    timers.advance(9_000);
    assertEveryGatewaySeesTheTotal();
  }

  /** Each gateway fails in turn, so each zone's aggregator is among the failed gateways. */
  @Test
  void zonesKeepExchangingSumsWhenAnyGatewayFails() {
    start();
    for (Member failed : members.values()) {
      partitioned.clear();
      partitioned.add(failed.address);
      Member reporter = members.get(failed.zone.equals("z1") ? "z2-1:1" : "z1-1:1");
      reporter.open("a", 1 + random.nextInt(90));
      timers.advance(2_500);
      Member observer = members.get(failed.zone.equals("z3") ? "z2-4:1" : "z3-4:1");
      if (observer != failed && reporter != failed && observer != reporter) {
        assertThat(
            "while failed: " + failed.address,
            requestsSeenBy(observer, "a"),
            is(openRequests("a")));
      }
      reporter.open("a", 0);
    }
  }

  @Test
  void restartedGatewayExchangesLoadsAtOnce() {
    start();
    members.get("z1-0:1").open("a", 4);
    Member restarted = members.get("z1-3:1");
    restarted.exchange.close();
    timers.advance(2_000);
    restarted.restart();
    timers.advance(200);
    assertThat(requestsSeenBy(restarted, "a"), is(4));
    restarted.open("b", 6);
    timers.advance(200);
    assertThat(requestsSeenBy(members.get("z1-1:1"), "b"), is(6));
  }

  @Test
  void receivedDatagramsAreBoundedUnderFrequentChanges() {
    start();
    members.values().forEach(member -> member.received = 0);
    for (int ms = 0; ms < 1_000; ms++) {
      members.values().forEach(member -> member.open("a", random.nextInt(9)));
      timers.advance(1);
    }
    for (Member member : members.values()) {
      assertThat(member.address, member.received, lessThanOrEqualTo(600));
    }
  }

  @Test
  void idleGatewaysSendFewDatagrams() {
    start();
    members.values().forEach(member -> member.open("a", 2));
    timers.advance(500);
    members.values().forEach(member -> member.open.clear());
    timers.advance(3_000);
    members.values().forEach(member -> member.received = 0);
    timers.advance(8_000);
    for (Member member : members.values()) {
      assertThat(member.address, member.received, lessThanOrEqualTo(2 * members.size()));
    }
    members.get("z2-3:1").open("a", 5);
    timers.advance(900);
    assertThat(requestsSeenBy(members.get("z2-0:1"), "a"), is(5));
    assertThat(requestsSeenBy(members.get("z2-4:1"), "a"), is(5));
  }

  @Test
  void reportOfManyServersFitsADatagram() {
    start();
    Member first = members.get("z1-0:1");
    for (int i = 0; i < 500; i++) {
      first.open.put("i-12345678-" + i, new ServerLoad(900, 900, 999_999));
    }
    first.exchange.onLoadChanged();
    timers.advance(500);
    assertThat(largestDatagramBytes, lessThan(2_200));
  }

  private LoadReport reportOf(String sender, int scope, int requests) {
    LoadReport report = new LoadReport();
    report.sender = sender;
    report.zone = "z1";
    report.scope = scope;
    ServerLoadEntry entry = new ServerLoadEntry();
    entry.server = "a";
    entry.requests = requests;
    report.servers.add(entry);
    return report;
  }

  private long foreignReports() {
    return counters.counter("load_reports_foreign").value();
  }

  @Test
  void reportsOfAnUnlistedSenderAreDroppedAndCounted() {
    start();
    members.get("z1-1:1").open("a", 2);
    timers.advance(400);
    Member receiver = members.get("z1-0:1");
    for (int scope : List.of(LoadReport.OWN, LoadReport.ZONE, LoadReport.TOTAL)) {
      receiver.exchange.onReport(reportOf("10.9.9.9:1", scope, 900));
      receiver.exchange.onReport(reportOf("", scope, 900));
    }
    assertThat(foreignReports(), is(6L));
    timers.advance(400);
    assertEveryGatewaySeesTheTotal();
  }

  @Test
  void reportsOfARemovedGatewayAreAcceptedUntilItsExpiry() {
    start();
    Member receiver = members.get("z1-0:1");
    clusterState.view.gateways = new ArrayList<>(clusterState.view.gateways);
    clusterState.view.gateways.remove("z1-3:1");
    timers.advance(1_000);
    receiver.exchange.onReport(reportOf("z1-3:1", LoadReport.OWN, 5));
    assertThat(foreignReports(), is(0L));
    timers.advance(ListedPeers.EXPIRY_MS);
    long before = foreignReports();
    receiver.exchange.onReport(reportOf("z1-3:1", LoadReport.OWN, 5));
    assertThat(foreignReports(), is(before + 1));
  }
}
