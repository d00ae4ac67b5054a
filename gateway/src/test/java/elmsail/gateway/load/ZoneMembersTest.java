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

/** Who sums a zone's loads up, by a clock of numbers. */
class ZoneMembersTest {
  private static final List<String> ALL = List.of("a", "b", "c", "d");
  private static final List<String> ORDER = RendezvousHash.choose("z1", ALL, ALL.size());

  private final ManualTimers timers = new ManualTimers();

  /** Of the last in the zone's order, so that all others come before it. */
  private final ZoneMembers members = new ZoneMembers(ORDER.get(3), "z1", timers);

  private void allHeard() {
    ORDER.subList(0, 3).forEach(address -> members.heard(address, "z1", 1));
  }

  /** All are heard, and the aggregator tells totals, for so long. */
  private void pass(long ms, String telling) {
    for (long passed = 0; passed < ms; passed += 100) {
      timers.advance(100);
      allHeard();
      members.heardTotal(telling);
      members.aggregator();
    }
  }

  @Test
  void aloneItIsThisOneItself() {
    assertThat(members.aggregator(), is(ORDER.get(3)));
    assertThat(members.ofZone(), is(empty()));
  }

  @Test
  void itIsTheFirstThatIsHeardAndTellsTotals() {
    allHeard();
    assertThat(members.aggregator(), is(ORDER.get(0)));
    pass(5_000, ORDER.get(0));
    assertThat(members.aggregator(), is(ORDER.get(0)));
  }

  @Test
  void oneThatTellsNoTotalIsPassedOverUntilItDoes() {
    allHeard();
    assertThat(members.aggregator(), is(ORDER.get(0)));
    pass(ZoneMembers.SILENT_MS + 200, ORDER.get(1));
    assertThat(members.aggregator(), is(ORDER.get(1)));
    members.heardTotal(ORDER.get(0));
    assertThat(members.aggregator(), is(ORDER.get(0)));
  }

  @Test
  void oneThatIsPassedOverIsTriedAgainLater() {
    allHeard();
    members.aggregator();
    pass(ZoneMembers.SILENT_MS + 200, ORDER.get(1));
    pass(ZoneMembers.PASSED_OVER_MS - 600, ORDER.get(1));
    assertThat(members.aggregator(), is(ORDER.get(1)));
    pass(800, ORDER.get(1));
    assertThat(members.aggregator(), not(ORDER.get(3)));
  }

  @Test
  void whereNoneTellsItEndsWithThisOneItself() {
    allHeard();
    for (int i = 0; i < 20; i++) {
      members.aggregator();
      timers.advance(100);
    }
    assertThat(members.aggregator(), is(ORDER.get(3)));
  }

  @Test
  void thoseOfOtherZonesAreKnownByThemAndNeverSumUpHere() {
    members.heard("far", "z2", 1);
    assertThat(members.aggregator(), is(ORDER.get(3)));
    assertThat(members.ofOtherZones().get("z2"), contains("far"));
    assertThat(members.zoneOf("far"), is("z2"));
    timers.advance(ZoneMembers.ZONE_KNOWN_MS + 1);
    assertThat(members.zoneOf("far"), nullValue());
    assertThat(members.ofOtherZones().size(), is(0));
  }

  @Test
  void aMemberThatIsSilentIsNoneAndToldApartByItsInstance() {
    String other = ORDER.get(0);
    assertThat(members.heard(other, "z1", 1), is(true));
    assertThat(members.heard(other, "z1", 1), is(false));
    assertThat(members.heard(other, "z1", 2), is(true));
    allHeard();
    assertThat(members.ofZone(), containsInAnyOrder(ORDER.subList(0, 3).toArray()));
    timers.advance(ZoneMembers.MEMBER_MS + 1);
    assertThat(members.ofZone(), is(empty()));
    assertThat(members.aggregator(), is(ORDER.get(3)));
    members.keep(List.of());
  }
}
