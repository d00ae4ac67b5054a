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

/** Checks the time limits for the backend list, for random sequences of faulty attempts. */
class WatchStateMachinePropertyTest {

  /**
   * Counted from when the agent has a change that an attempt could have fetched, or from SIGHUP if
   * the agent has the change by then.
   */
  private static final double DELIVERED_MS = 6_000;

  private static final double DELIVERED_AFTER_SIGHUP_MS = 4_000;

  /**
   * A process must be ready 10 s after its start. The Java runtime and the warm-up take most of
   * that time.
   */
  private static final double CAUGHT_UP_MS = 3_200;

  private static final double END_MS = 90_000;

  /** Faulty attempts that do not extend the limit. */
  private static final int TOLERATED_FAULTS = 1;

  private static final int TRIES = 3_000;

  /**
   * Prefers boundary values to values between: no delay or nearly too much, and the moment after a
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
   * The open watch and one further attempt may be faulty although the agent has the change. After
   * more faulty attempts than that, the limit counts from the last of them, since the change could
   * not be fetched earlier.
   */
  @Property(
      tries = TRIES,
      seed = "28",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void changeIsDeliveredInTime(
      @ForAll("treatments") List<Treatment> treatments,
      @ForAll("before") int before,
      @ForAll("hangUps") List<Double> hangUps,
      @ForAll int chance) {
    ModelAgent agent = agent(treatments, before, hangUps, chance);
    agent.run(END_MS);

    double due = due(agent, agent.changeAt, DELIVERED_MS);
    for (double hangUp : hangUps) {
      due = Math.min(due, due(agent, agent.changeAt + hangUp, DELIVERED_AFTER_SIGHUP_MS));
    }
    assertTrue(
        agent.deliveredAt <= due,
        "changed at "
            + agent.changeAt
            + ", told at "
            + agent.deliveredAt
            + ", due at "
            + due
            + ", bad tries began at "
            + agent.faultyAttemptStarts);
  }

  /** The startup waits for the list, but only for a limited time. */
  @Property(
      tries = TRIES / 4,
      seed = "28",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void startupWaitsForALimitedTimeOnly(
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
    List<Double> since = agent.faultyAttemptStarts.stream().filter(t -> t > from).toList();
    return (since.size() <= TOLERATED_FAULTS ? from : since.get(since.size() - 1)) + within;
  }
}
