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
import net.jqwik.api.Tuple;
import willowdoor.front.discovery.ModelAgent.Fault;
import willowdoor.front.discovery.ModelAgent.Treatment;

/** The terms on the list's clock, for whatever sequence of faults the tries meet. */
class WatchStateMachinePropertyTest {

  /**
   * From when the agent has a change and a call could have got it, or from SIGHUP if it has it by
   * then.
   */
  private static final double TOLD_MS = 6_000;

  private static final double TOLD_AFTER_HANG_UP_MS = 4_000;

  /**
   * A process is to be ready 10 s after its start, of which the runtime and the warm-up take most.
   */
  private static final double CAUGHT_UP_MS = 3_200;

  private static final double END_MS = 90_000;

  /** Bad tries that count against us. */
  private static final int WASTED = 1;

  private static final int TRIES = 3_000;

  /**
   * The corners more often than what lies between: no delay or nearly too much, the moment behind a
   * line.
   */
  @Provide
  Arbitrary<List<Treatment>> treatments() {
    Arbitrary<Fault> faults =
        Arbitraries.frequencyOf(
            Tuple.of(2, Arbitraries.just(Fault.DRIPPING)),
            Tuple.of(2, Arbitraries.just(Fault.SILENT)),
            Tuple.of(3, Arbitraries.of(Fault.class)));
    Arbitrary<Integer> delays =
        Arbitraries.oneOf(Arbitraries.of(0, 480), Arbitraries.integers().between(0, 480));
    Arbitrary<Integer> good =
        Arbitraries.oneOf(
            Arbitraries.of(0, 0, 25, 2_025, 4_025), Arbitraries.integers().between(0, 9_000));
    Arbitrary<Integer> gaps =
        Arbitraries.oneOf(Arbitraries.of(0, 2_400), Arbitraries.integers().between(0, 2_480));
    return Combinators.combine(faults, delays, delays, good, gaps)
        .as(Treatment::new)
        .list()
        .ofMaxSize(7);
  }

  @Provide
  Arbitrary<Integer> before() {
    return Arbitraries.integers().between(0, 6);
  }

  @Provide
  Arbitrary<List<Double>> hangUps() {
    return Arbitraries.integers()
        .between(0, 7_000)
        .map(Integer::doubleValue)
        .list()
        .ofMaxSize(3)
        .map(times -> times.stream().sorted().toList());
  }

  /**
   * The open watch and one further try may be bad for what the agent could have told all the while;
   * whoever meets more bad tries than that could not reach it before the last of them.
   */
  @Property(
      tries = TRIES,
      seed = "28",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void aChangeIsToldInTime(
      @ForAll("treatments") List<Treatment> treatments,
      @ForAll("before") int before,
      @ForAll("hangUps") List<Double> hangUps,
      @ForAll int chance) {
    ModelAgent agent = agent(treatments, before, hangUps, chance);
    agent.run(END_MS);

    double due = due(agent, agent.changeAt, TOLD_MS);
    for (double hangUp : hangUps) {
      due = Math.min(due, due(agent, agent.changeAt + hangUp, TOLD_AFTER_HANG_UP_MS));
    }
    assertTrue(
        agent.toldAt <= due,
        "changed at "
            + agent.changeAt
            + ", told at "
            + agent.toldAt
            + ", due at "
            + due
            + ", bad tries began at "
            + agent.badly);
  }

  /** The start waits for the list, but not for long. */
  @Property(
      tries = TRIES / 4,
      seed = "28",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void theStartIsHeldUpForALimitedTimeOnly(
      @ForAll("treatments") List<Treatment> treatments, @ForAll int chance) {
    ModelAgent agent = agent(treatments, 0, List.of(), chance);
    agent.run(2 * CAUGHT_UP_MS);
    assertTrue(agent.caughtUpAt <= CAUGHT_UP_MS, "until " + agent.caughtUpAt);
  }

  private static ModelAgent agent(
      List<Treatment> treatments, int before, List<Double> hangUps, int chance) {
    Random random = new Random(chance);
    return new ModelAgent(
        treatments, before, hangUps, new WatchStateMachine(7, random::nextDouble));
  }

  private static double due(ModelAgent agent, double from, double within) {
    List<Double> since = agent.badly.stream().filter(t -> t > from).toList();
    return (since.size() <= WASTED ? from : since.get(since.size() - 1)) + within;
  }
}
