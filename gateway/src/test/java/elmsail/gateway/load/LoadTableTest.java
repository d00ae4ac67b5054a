package elmsail.gateway.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.rpc.messages.LoadReport;
import elmsail.rpc.messages.ServerLoadEntry;
import elmsail.runtime.ManualTimers;
import org.junit.jupiter.api.Test;

/** Storage and expiry of other gateways' load reports, with a manual clock. */
class LoadTableTest {
  private final ManualTimers timers = new ManualTimers();
  private final LoadTable table = new LoadTable("z1", timers);

  private static LoadReport report(
      String sender, String zone, int scope, long sequence, int requests) {
    LoadReport report = new LoadReport();
    report.sender = sender;
    report.zone = zone;
    report.scope = scope;
    report.instanceId = 1;
    report.sequence = sequence;
    ServerLoadEntry entry = new ServerLoadEntry();
    entry.server = "s";
    entry.requests = requests;
    report.servers.add(entry);
    return report;
  }

  private int openAtZonePeers() {
    return table.sumOfZonePeers().getOrDefault("s", ServerLoad.NONE).requests();
  }

  private int openInOtherZones() {
    return table.sumOfOtherZones().getOrDefault("s", ServerLoad.NONE).requests();
  }

  private int totalOpen() {
    return table.totalOf("s").requests();
  }

  @Test
  void sumsReportsOfAllGatewaysOfTheZone() {
    table.onReport(report("a", "z1", LoadReport.OWN, 1, 2));
    table.onReport(report("b", "z1", LoadReport.OWN, 1, 3));
    assertThat(openAtZonePeers(), is(5));
    table.onReport(report("b", "z1", LoadReport.OWN, 2, 1));
    assertThat(openAtZonePeers(), is(3));
    assertThat(totalOpen(), is(0));
  }

  @Test
  void countsOnlySumsOfOtherZonesAndOnlyTheTotalOfThisZone() {
    table.onReport(report("a", "z2", LoadReport.OWN, 1, 2));
    table.onReport(report("a", "z2", LoadReport.TOTAL, 2, 50));
    table.onReport(report("b", "z1", LoadReport.ZONE, 1, 60));
    assertThat(openAtZonePeers() + openInOtherZones() + totalOpen(), is(0));
    table.onReport(report("a", "z2", LoadReport.ZONE, 3, 7));
    table.onReport(report("c", "z3", LoadReport.ZONE, 1, 1));
    assertThat(openInOtherZones(), is(8));
    table.onReport(report("b", "z1", LoadReport.TOTAL, 2, 70));
    assertThat(totalOpen(), is(70));
  }

  @Test
  void zoneSumIsTheLastOneReceivedFromAnySender() {
    table.onReport(report("a", "z2", LoadReport.ZONE, 9, 7));
    LoadReport other = report("b", "z2", LoadReport.ZONE, 1, 4);
    other.instanceId = 2;
    table.onReport(other);
    assertThat(openInOtherZones(), is(4));
  }

  @Test
  void staleReportIsIgnoredAndNewInstanceStartsANewSequence() {
    table.onReport(report("a", "z1", LoadReport.OWN, 5, 2));
    table.onReport(report("a", "z1", LoadReport.OWN, 4, 8));
    assertThat(openAtZonePeers(), is(2));
    LoadReport restarted = report("a", "z1", LoadReport.OWN, 1, 6);
    restarted.instanceId = 2;
    table.onReport(restarted);
    assertThat(openAtZonePeers(), is(6));
  }

  @Test
  void silentGatewayExpires() {
    table.onReport(report("a", "z1", LoadReport.OWN, 1, 2));
    table.onReport(report("b", "z2", LoadReport.ZONE, 1, 4));
    table.onReport(report("c", "z1", LoadReport.TOTAL, 1, 9));
    timers.advance(LoadTable.VALID_MS);
    assertThat(openAtZonePeers() + openInOtherZones() + totalOpen(), is(15));
    timers.advance(1);
    assertThat(table.sumOfZonePeers(), is(anEmptyMap()));
    assertThat(table.sumOfOtherZones(), is(anEmptyMap()));
    assertThat(totalOpen(), is(0));
  }

  @Test
  void invalidNumbersAreClamped() {
    for (int i = 0; i < 5_000; i++) {
      table.onReport(report("peer" + i, "z1", LoadReport.OWN, 1, Integer.MAX_VALUE));
    }
    assertThat(openAtZonePeers(), lessThanOrEqualTo(1_000_000));
    LoadTable fresh = new LoadTable("z1", timers);
    fresh.onReport(report("a", "z1", LoadReport.OWN, 1, -5));
    fresh.onReport(report("a", "z1", 77, 2, 5));
    LoadReport tooLong = report("b", "z1", LoadReport.OWN, 1, 1);
    for (int i = 0; i < 5_000; i++) {
      tooLong.servers.add(new ServerLoadEntry());
    }
    fresh.onReport(tooLong);
    assertThat(fresh.sumOfZonePeers().getOrDefault("s", ServerLoad.NONE), is(ServerLoad.NONE));
  }
}
