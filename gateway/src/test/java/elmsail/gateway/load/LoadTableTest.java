package elmsail.gateway.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.rpc.messages.LoadReport;
import elmsail.rpc.messages.ServerLoadEntry;
import elmsail.runtime.ManualTimers;
import org.junit.jupiter.api.Test;

/** What is kept of other gateways' reports, by a clock of numbers. */
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

  private int peers() {
    return table.zonePeers().getOrDefault("s", ServerLoad.NONE).requests();
  }

  private int otherZones() {
    return table.otherZones().getOrDefault("s", ServerLoad.NONE).requests();
  }

  private int told() {
    return table.told("s").requests();
  }

  @Test
  void ofAZoneAllAreSummedUp() {
    table.take(report("a", "z1", LoadReport.OWN, 1, 2));
    table.take(report("b", "z1", LoadReport.OWN, 1, 3));
    assertThat(peers(), is(5));
    table.take(report("b", "z1", LoadReport.OWN, 2, 1));
    assertThat(peers(), is(3));
    assertThat(told(), is(0));
  }

  @Test
  void ofOtherZonesOnlyTheirSumsCountAndOfThisZoneOnlyItsTotal() {
    table.take(report("a", "z2", LoadReport.OWN, 1, 2));
    table.take(report("a", "z2", LoadReport.TOTAL, 2, 50));
    table.take(report("b", "z1", LoadReport.ZONE, 1, 60));
    assertThat(peers() + otherZones() + told(), is(0));
    table.take(report("a", "z2", LoadReport.ZONE, 3, 7));
    table.take(report("c", "z3", LoadReport.ZONE, 1, 1));
    assertThat(otherZones(), is(8));
    table.take(report("b", "z1", LoadReport.TOTAL, 2, 70));
    assertThat(told(), is(70));
  }

  @Test
  void aSumOfAZoneIsThatOfWhoeverToldItLast() {
    table.take(report("a", "z2", LoadReport.ZONE, 9, 7));
    LoadReport other = report("b", "z2", LoadReport.ZONE, 1, 4);
    other.instanceId = 2;
    table.take(other);
    assertThat(otherZones(), is(4));
  }

  @Test
  void aReportThatWasOvertakenIsPassedOverAndANewInstanceCountsAnew() {
    table.take(report("a", "z1", LoadReport.OWN, 5, 2));
    table.take(report("a", "z1", LoadReport.OWN, 4, 8));
    assertThat(peers(), is(2));
    LoadReport restarted = report("a", "z1", LoadReport.OWN, 1, 6);
    restarted.instanceId = 2;
    table.take(restarted);
    assertThat(peers(), is(6));
  }

  @Test
  void whoFallsSilentIsForgotten() {
    table.take(report("a", "z1", LoadReport.OWN, 1, 2));
    table.take(report("b", "z2", LoadReport.ZONE, 1, 4));
    table.take(report("c", "z1", LoadReport.TOTAL, 1, 9));
    timers.advance(LoadTable.VALID_MS);
    assertThat(peers() + otherZones() + told(), is(15));
    timers.advance(1);
    assertThat(table.zonePeers(), is(anEmptyMap()));
    assertThat(table.otherZones(), is(anEmptyMap()));
    assertThat(told(), is(0));
  }

  @Test
  void nonsenseIsBounded() {
    for (int i = 0; i < 5_000; i++) {
      table.take(report("peer" + i, "z1", LoadReport.OWN, 1, Integer.MAX_VALUE));
    }
    assertThat(peers(), lessThanOrEqualTo(1_000_000));
    LoadTable fresh = new LoadTable("z1", timers);
    fresh.take(report("a", "z1", LoadReport.OWN, 1, -5));
    fresh.take(report("a", "z1", 77, 2, 5));
    LoadReport tooLong = report("b", "z1", LoadReport.OWN, 1, 1);
    for (int i = 0; i < 5_000; i++) {
      tooLong.servers.add(new ServerLoadEntry());
    }
    fresh.take(tooLong);
    assertThat(fresh.zonePeers().getOrDefault("s", ServerLoad.NONE), is(ServerLoad.NONE));
  }
}
