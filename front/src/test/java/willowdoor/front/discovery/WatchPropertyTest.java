package willowdoor.front.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import willowdoor.front.discovery.ModelAgent.Fault;
import willowdoor.front.discovery.ModelAgent.Treatment;

/** The terms on the list's clock, for whatever sequence of faults the tries meet. */
class WatchPropertyTest {

  /** From when the agent has a change and a call could have got it, or from SIGHUP if it has it by then. */
  private static final double TOLD_MS = 6_000;
  private static final double TOLD_AFTER_HANG_UP_MS = 4_000;
  /** A process is to be ready 10 s after its start, of which the runtime and the warm-up take most. */
  private static final double CAUGHT_UP_MS = 3_200;
  private static final double END_MS = 90_000;

  @Provide
  Arbitrary<List<Treatment>> treatments() {
    return Combinators.combine(Arbitraries.of(Fault.class), Arbitraries.integers().between(0, 480),
        Arbitraries.integers().between(0, 480),
        Arbitraries.oneOf(Arbitraries.just(0), Arbitraries.integers().between(0, 9_000)),
        Arbitraries.integers().between(0, 2_480)).as(Treatment::new).list().ofMaxSize(9);
  }

  @Provide
  Arbitrary<Double> change() {
    return Arbitraries.integers().between(0, 12_000).map(Integer::doubleValue);
  }

  @Provide
  Arbitrary<List<Double>> hangUps() {
    return Arbitraries.integers().between(0, 14_000).map(Integer::doubleValue).list().ofMaxSize(3)
        .map(times -> times.stream().sorted().toList());
  }

  /**
   * The open watch and one further try may be bad for what the agent could have told all the while; whoever
   * meets more bad tries than that could not reach it before the last of them.
   */
  @Property(tries = 1_500, seed = "28", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void aChangeIsToldInTime(@ForAll("treatments") List<Treatment> treatments,
      @ForAll("change") double changeAt, @ForAll("hangUps") List<Double> hangUps, @ForAll int chance) {
    ModelAgent agent = agent(treatments, changeAt, hangUps, chance);
    agent.run(END_MS);

    double due = due(agent, changeAt, TOLD_MS, 1);
    for (double hangUp : hangUps) {
      due = Math.min(due, due(agent, Math.max(hangUp, changeAt), changeAt <= hangUp ? TOLD_AFTER_HANG_UP_MS
          : TOLD_MS, 1));
    }
    assertTrue(agent.toldAt <= due, "told at " + agent.toldAt + ", due at " + due + ", bad tries began at "
        + agent.badly);
  }

  /** The start waits for the list, but not for long. */
  @Property(tries = 500, seed = "28", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void theStartIsHeldUpForALimitedTimeOnly(@ForAll("treatments") List<Treatment> treatments,
      @ForAll int chance) {
    ModelAgent agent = agent(treatments, 0, List.of(), chance);
    agent.run(2 * CAUGHT_UP_MS);
    assertTrue(agent.caughtUpAt <= CAUGHT_UP_MS, "until " + agent.caughtUpAt);
  }

  private static ModelAgent agent(List<Treatment> treatments, double changeAt, List<Double> hangUps,
      int chance) {
    Random random = new Random(chance);
    return new ModelAgent(treatments, changeAt, hangUps, new Watch(7, random::nextDouble));
  }

  private static double due(ModelAgent agent, double from, double within, int wasted) {
    List<Double> since = agent.badly.stream().filter(t -> t > from).toList();
    return (since.size() <= wasted ? from : since.get(since.size() - 1)) + within;
  }
}
