package elmsail.rpc;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.rpc.CallModel.Defect;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Every order of sends, arrivals, responses (late, duplicate, foreign), resets, timeouts,
 * reconnects and replacements of the process at the address, for two calls. In each reachable state
 * no call ran at a process that was not intended, none ran twice, none completed twice, and each
 * response that was accepted is that call's own.
 */
class CallInterleavingsTest {

  /** A smaller scope than this would not have seen the long orders. */
  private static final int MIN_STATES = 10_000;

  private record SearchResult(String fault, List<CallModel.Action> path, int states, int deepest) {}

  private static CallModel replay(Defect defect, List<CallModel.Action> path) {
    CallModel model = new CallModel(defect);
    path.forEach(model::apply);
    return model;
  }

  /** Breadth first, so that the path to a fault is a shortest one. */
  private static SearchResult explore(Defect defect) {
    Set<String> seen = new HashSet<>();
    ArrayDeque<List<CallModel.Action>> paths = new ArrayDeque<>();
    paths.add(List.of());
    seen.add(new CallModel(defect).key());
    int deepest = 0;
    while (!paths.isEmpty()) {
      List<CallModel.Action> path = paths.poll();
      deepest = path.size();
      for (CallModel.Action action : replay(defect, path).actions()) {
        List<CallModel.Action> next = new ArrayList<>(path);
        next.add(action);
        CallModel model = replay(defect, next);
        if (model.violation() != null) {
          return new SearchResult(model.violation(), next, seen.size(), deepest);
        }
        if (seen.add(model.key())) {
          paths.add(next);
        }
      }
    }
    return new SearchResult(null, List.of(), seen.size(), deepest);
  }

  /** Also where a process that holds the address by mistake runs whatever reaches it. */
  @ParameterizedTest
  @EnumSource(
      value = Defect.class,
      names = {"NONE", "FOREIGN_PROCESS_CHECKS_NOTHING"})
  void noInterleavingViolatesAnInvariant(Defect none) {
    long before = System.nanoTime();
    SearchResult found = explore(none);
    long ms = (System.nanoTime() - before) / 1_000_000;
    System.out.printf(
        "call interleavings, %s: %d states, longest shortest path %d, %d ms%n",
        none, found.states(), found.deepest(), ms);
    assertThat(found.toString(), found.fault(), is(nullValue()));
    assertThat(found.states(), is(greaterThan(MIN_STATES)));
  }

  @ParameterizedTest
  @EnumSource(
      value = Defect.class,
      mode = EnumSource.Mode.EXCLUDE,
      names = {"NONE", "FOREIGN_PROCESS_CHECKS_NOTHING"})
  void eachDefectIsFound(Defect defect) {
    SearchResult found = explore(defect);
    System.out.printf("%s: %s by %s%n", defect, found.fault(), found.path());
    assertThat(defect.name(), found.fault(), is(notNullValue()));
  }
}
