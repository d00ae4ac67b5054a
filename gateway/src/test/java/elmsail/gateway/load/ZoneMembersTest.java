package elmsail.gateway.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import elmsail.config.watch.RendezvousHash;
import elmsail.runtime.ManualTimers;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Selection of the gateway that aggregates a zone's loads, with a manual clock. */
class ZoneMembersTest {
  private static final List<String> ALL = List.of("a", "b", "c", "d");
  private static final List<String> RANKED = RendezvousHash.choose("z1", ALL, ALL.size());

  private final ManualTimers timers = new ManualTimers();

  /**
   * The members as tracked by the last-ranked gateway, so that all other gateways rank before it.
   */
  private final ZoneMembers members = new ZoneMembers(RANKED.get(3), "z1", timers);

  private void reportFromAll() {
    RANKED.subList(0, 3).forEach(address -> members.onReport(address, "z1", 1));
  }

  /** Advances the clock while all gateways send reports and one gateway sends totals. */
  private void advanceWithReports(long ms, String totalSender) {
    for (long elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
      timers.advance(100);
      reportFromAll();
      members.onTotal(totalSender);
      members.aggregator();
    }
  }

  @Test
  void loneGatewayIsItsOwnAggregator() {
    assertThat(members.aggregator(), is(RANKED.get(3)));
    assertThat(members.zonePeers(), is(empty()));
  }

  @Test
  void aggregatorIsTheFirstRankedGatewayThatSendsTotals() {
    reportFromAll();
    assertThat(members.aggregator(), is(RANKED.get(0)));
    advanceWithReports(5_000, RANKED.get(0));
    assertThat(members.aggregator(), is(RANKED.get(0)));
  }

  @Test
  void aggregatorWithoutTotalsIsSuspendedUntilItSendsOne() {
    reportFromAll();
    assertThat(members.aggregator(), is(RANKED.get(0)));
    advanceWithReports(ZoneMembers.TOTAL_TIMEOUT_MS + 200, RANKED.get(1));
    assertThat(members.aggregator(), is(RANKED.get(1)));
    members.onTotal(RANKED.get(0));
    assertThat(members.aggregator(), is(RANKED.get(0)));
  }

  @Test
  void gatewayDoesNotSelectItselfAfterASuspension() {
    reportFromAll();
    members.aggregator();
    advanceWithReports(ZoneMembers.TOTAL_TIMEOUT_MS + 200, RANKED.get(1));
    advanceWithReports(ZoneMembers.AGGREGATOR_SUSPENSION_MS - 600, RANKED.get(1));
    assertThat(members.aggregator(), is(RANKED.get(1)));
    advanceWithReports(800, RANKED.get(1));
    assertThat(members.aggregator(), not(RANKED.get(3)));
  }

  @Test
  void fallsBackToItselfWhenNoGatewaySendsTotals() {
    reportFromAll();
    for (int i = 0; i < 20; i++) {
      members.aggregator();
      timers.advance(100);
    }
    assertThat(members.aggregator(), is(RANKED.get(3)));
  }

  @Test
  void gatewaysOfOtherZonesAreRecordedButNeverBecomeAggregator() {
    members.onReport("far", "z2", 1);
    assertThat(members.aggregator(), is(RANKED.get(3)));
    assertThat(members.peersByOtherZone().get("z2"), contains("far"));
    assertThat(members.zoneOf("far"), is("z2"));
    timers.advance(ZoneMembers.ZONE_EXPIRY_MS + 1);
    assertThat(members.zoneOf("far"), nullValue());
    assertThat(members.peersByOtherZone().size(), is(0));
  }

  @Test
  void memberWithoutReportsExpiresAndNewInstanceIsDetected() {
    String other = RANKED.get(0);
    assertThat(members.onReport(other, "z1", 1), is(true));
    assertThat(members.onReport(other, "z1", 1), is(false));
    assertThat(members.onReport(other, "z1", 2), is(true));
    reportFromAll();
    assertThat(members.zonePeers(), containsInAnyOrder(RANKED.subList(0, 3).toArray()));
    timers.advance(ZoneMembers.MEMBER_EXPIRY_MS + 1);
    assertThat(members.zonePeers(), is(empty()));
    assertThat(members.aggregator(), is(RANKED.get(3)));
    members.expireUnlisted(List.of());
  }
}
