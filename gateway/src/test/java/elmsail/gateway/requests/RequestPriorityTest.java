package elmsail.gateway.requests;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestPriorityTest {
  private static final int LEVELS = 7;
  private static final List<Integer> NONE = List.of();

  private static List<Integer> ascending(Set<Integer> priorities) {
    return priorities.stream().sorted().toList();
  }

  /** The levels of all pairs of a tenant and a route, ordered by tenant and then by route. */
  private static List<Integer> ofAllPairs(List<Integer> tenants, List<Integer> routes) {
    List<Integer> all = new ArrayList<>();
    for (int tenant : tenants) {
      for (int route : routes) {
        all.add(RequestPriority.of(tenant, tenants, route, routes));
      }
    }
    return all;
  }

  private static void assertOrderedWithinRange(List<Integer> priorities) {
    assertThat(priorities, is(priorities.stream().sorted().toList()));
    for (int priority : priorities) {
      assertThat(priority, allOf(greaterThanOrEqualTo(1), lessThanOrEqualTo(LEVELS)));
    }
  }

  @ParameterizedTest
  @CsvSource({"0, 1", "1, 2", "5, 6", "6, 7", "7, 7", "2147483647, 7"})
  void withoutTenantsTheRoutesPriorityIsTheLevel(int route, int priority) {
    assertThat(RequestPriority.of(0, NONE, route, List.of(0, 9)), is(priority));
  }

  @Test
  void tenantPriorityTakesPrecedenceOverRoutePriority() {
    List<Integer> tenants = List.of(0, 1);
    List<Integer> routes = List.of(0, 1, 2);
    assertThat(ofAllPairs(tenants, routes), is(List.of(1, 2, 3, 5, 6, 7)));
  }

  @Test
  void largeNumbersTakeNoMoreLevelsThanSmallOnes() {
    List<Integer> tenants = List.of(10, 5_000, Integer.MAX_VALUE);
    List<Integer> routes = List.of(7, 1_000_000);
    assertThat(ofAllPairs(tenants, routes), is(List.of(1, 2, 4, 5, 6, 7)));
  }

  @Test
  void unconfiguredPriorityRanksBetweenItsNeighbours() {
    List<Integer> tenants = List.of(2, 4);
    List<Integer> routes = List.of(2, 4);
    assertThat(RequestPriority.of(0, tenants, 0, routes), is(1));
    assertThat(RequestPriority.of(3, tenants, 2, routes), is(5));
    assertThat(RequestPriority.of(9, tenants, 9, routes), is(7));
  }

  @Property
  void moreUrgentRequestNeverGetsALessUrgentValue(
      @ForAll @Size(min = 1, max = 12) Set<@IntRange(max = Integer.MAX_VALUE) Integer> tenants,
      @ForAll @Size(min = 1, max = 12) Set<@IntRange(max = Integer.MAX_VALUE) Integer> routes) {
    assertOrderedWithinRange(ofAllPairs(ascending(tenants), ascending(routes)));
  }

  @Property
  void valuesAreDistinctWhereTheRangeAllows(
      @ForAll @IntRange(min = 1, max = LEVELS) int tenantCount,
      @ForAll @IntRange(min = 1, max = LEVELS) int routeCount) {
    List<Integer> tenants = new ArrayList<>();
    for (int i = 0; i < tenantCount; i++) {
      tenants.add(3 * i);
    }
    List<Integer> routes = new ArrayList<>();
    for (int i = 0; i < routeCount; i++) {
      routes.add(5 * i);
    }
    List<Integer> priorities = ofAllPairs(tenants, routes);
    if (tenantCount * routeCount <= LEVELS) {
      assertThat(Set.copyOf(priorities).size(), is(priorities.size()));
    }
    for (int i = 1; i < tenantCount; i++) {
      int lastOfPreviousTenant = priorities.get(i * routeCount - 1);
      assertThat(
          "levels of different tenants do not overlap",
          lastOfPreviousTenant,
          lessThan(priorities.get(i * routeCount)));
    }
  }
}
