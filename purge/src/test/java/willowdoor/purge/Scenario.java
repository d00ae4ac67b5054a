package willowdoor.purge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import willowdoor.purge.FleetModel.Setup;

/** The initial states and the bounds of the model checker's runs. */
enum Scenario {
  /**
   * One gateway serves and the other purges. Leases expire, and are renewed before, during and
   * after the purge.
   */
  ONE_PURGE(Timings.SHORT, 4, 1, 1, 0b0100, 0, 0, 0, false, true),
  ACCEPTOR_RESTARTS(Timings.SHORT, 5, 1, 1, 0b0100, 1, 0, 0, false, true),
  TWO_ACCEPTORS_RESTART(Timings.SHORT, 5, 1, 1, 0b0100, 2, 0, 0, false, true),
  /** Two purges of one customer; the scope of one covers the other. */
  TWO_PURGES(Timings.SHORT, 4, 1, 1, 0b1100, 0, 0, 0, false, true),
  /** Each gateway serves and purges. */
  TWO_GATEWAYS(Timings.SHORT, 4, 2, 1, 0b1001, 1, 0, 0, false, true),
  /** The same key is used at both gateways, one of which may restart. */
  RETRY_ELSEWHERE(Timings.SHORT, 4, 2, 1, 0b0101, 0, 1, 0, false, true),
  /** Replies to the coordinator may be late, lost or duplicated too. */
  LATE_REPLIES(Timings.SHORT, 5, 1, 1, 0b1100, 1, 0, 2, false, false),
  /**
   * An acceptor has accepted the run and has restarted. Another acceptor accepts the run when its
   * lease would outlast the silence of the first one.
   */
  OLD_ACCEPTANCE(Timings.SHORT, 5, 1, 3, 0b0100, 1, 0, 0, false, true),
  STOPPED_BEFORE_THE_WRITE(Timings.GUARDED, 5, 1, 1, 0b0100, 0, 0, 0, true, true),
  DRIFT_SLOW_GATEWAY(Timings.DRIFTING, 6, 1, 1, 0b0100, 1, 0, 0, false, true, 3, 3, 3, 2, 3),
  DRIFT_FAST_GATEWAY(Timings.DRIFTING, 6, 1, 1, 0b0100, 1, 0, 0, false, true, 2, 3, 2, 3, 2),
  DRIFT_SLOW_ACCEPTOR(Timings.DRIFTING, 6, 1, 1, 0b0100, 1, 0, 0, false, true, 2, 2, 3, 2, 3);

  private static final class Timings {
    /** Leases of two steps and a bound of three steps. */
    static final Timing SHORT = new Timing(3, 2, 0, 1, 100, 0, 0);

    /** Leases of three steps, one of which is the guard. */
    static final Timing GUARDED = new Timing(4, 3, 1, 1, 100, 0, 0);

    /** Clocks whose rates differ by half: slow clocks advance by 2 in a step, fast clocks by 3. */
    static final Timing DRIFTING = new Timing(10, 5, 0, 1, 100, 20, 0);
  }

  private final Setup setup;

  Scenario(
      Timing timing,
      int steps,
      int gateways,
      int renews,
      int takes,
      int acceptorRestarts,
      int gatewayRestarts,
      int again,
      boolean checks,
      boolean prompt,
      int... rates) {
    int[] clocks = rates.length == 0 ? new int[] {1, 1, 1, 1, 1} : rates;
    setup =
        new Setup(
            timing,
            clocks,
            steps,
            gateways,
            1 + renews,
            takes,
            acceptorRestarts,
            gatewayRestarts,
            again,
            checks,
            prompt,
            Rules.NORMAL);
  }

  /**
   * Creates an explorer. In the initial state each gateway has leases of two acceptors and a
   * request to the third one in flight; some scenarios add further actions.
   */
  Explorer explorer(Rules rules) {
    List<String> script = new ArrayList<>(warm(0, 0, 1));
    if (setup.gateways() == 2) {
      script.addAll(warm(1, 0, 1));
    }
    if (this == OLD_ACCEPTANCE) {
      script.addAll(
          List.of(
              "take",
              "Accept 1>1",
              "restart acceptor 1",
              "time",
              "renew",
              "Renew 0>0 #2",
              "Renew 0>2 #2",
              "Grant 0>0 #2",
              "Grant 2>0 #2",
              "time",
              "renew",
              "Renew 0>0 #3",
              "Renew 0>2 #3",
              "Grant 0>0 #3"));
    }
    return new Explorer(new FleetModel(setup.with(rules)), script);
  }

  private static List<String> warm(int gateway, int... acceptors) {
    List<String> script = new ArrayList<>(List.of("renew gateway " + gateway));
    Arrays.stream(acceptors).forEach(acceptor -> script.add("Renew " + gateway + ">" + acceptor));
    Arrays.stream(acceptors).forEach(acceptor -> script.add("Grant " + acceptor + ">" + gateway));
    return script;
  }
}
