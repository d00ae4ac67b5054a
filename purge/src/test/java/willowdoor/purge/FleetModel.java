package willowdoor.purge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import willowdoor.purge.ModelParts.Act;
import willowdoor.purge.ModelParts.Step;

/**
 * A model of three acceptors and two gateways (lease holder and coordinator) that uses the
 * production classes, and all actions that can happen next. A component that takes no action while
 * time passes is stopped. A message may be delivered at any time, in any order, repeatedly or
 * never. A gateway may request an answer at any moment and cache it at any later moment. For each
 * snapshot of a lease the model stores the purges that were not requested yet. An answer of that
 * snapshot must not be served after such a purge is complete, and must not be written within the
 * guard time after a check that permitted it. A state consists of a few numbers: the time, the
 * number of each component's state, the purges requested and complete, the used parts of the
 * budgets, and the messages in flight.
 */
final class FleetModel {
  private static final int TAKEN = ModelParts.PLACES;
  private static final int COMPLETE = TAKEN + 1;
  private static final int TAKES = TAKEN + 2;
  private static final int RESTARTS = TAKEN + 3;
  private static final int AGAIN = TAKEN + 5;
  private static final int NET = TAKEN + 6;

  /**
   * What may happen, and how often.
   *
   * @param rates the progress of each clock in a step of time: three acceptors, two gateways
   * @param gateways the number of gateways with cached answers: the first, or both
   * @param renews the number of renewals of each gateway
   * @param takes bits of purge + 2 * gateway: which purge may be requested at which gateway
   * @param again the number of messages that may be delivered twice
   * @param checks whether a gateway may be stopped between its check and its write
   * @param prompt whether a coordinator receives its messages at once and checks at once whether a
   *     purge is complete. The earlier a purge is complete, the more likely a violation is, as long
   *     as each message is sent once.
   */
  record Setup(
      Timing timing,
      int[] rates,
      int steps,
      int gateways,
      int renews,
      int takes,
      int acceptorRestarts,
      int gatewayRestarts,
      int again,
      boolean checks,
      boolean prompt,
      Rules rules) {
    Setup with(Rules others) {
      return new Setup(
          timing,
          rates,
          steps,
          gateways,
          renews,
          takes,
          acceptorRestarts,
          gatewayRestarts,
          again,
          checks,
          prompt,
          others);
    }
  }

  interface Next {
    void state(int[] state, int action);
  }

  private final Setup setup;
  final ModelParts parts;

  /**
   * How often a coordinator reported a purge as complete, and how often a gateway wrote a purged
   * answer after that.
   */
  long completes;

  long lateWrites;

  /** A description of the violation, or null. */
  String broken;

  FleetModel(Setup setup) {
    this.setup = setup;
    parts = new ModelParts(setup);
  }

  int[] start() {
    int[] state = new int[NET];
    for (int place = 1; place < ModelParts.PLACES; place++) {
      state[place] = parts.started(place, 0, 1);
    }
    return state;
  }

  /**
   * Enumerates all next states with the action that leads there; {@link #broken} is set before a
   * state that is a violation.
   */
  void next(int[] state, Next next) {
    if (state[0] < setup.steps) {
      next.state(later(state), Act.TIME.ordinal() << 24);
    }
    for (int i = NET; i < state.length; i++) {
      act(state, parts.sent(state[i]).place(), Act.DELIVER, state[i], next);
      if (state[AGAIN] < setup.again) {
        act(state, parts.sent(state[i]).place(), Act.AGAIN, state[i], next);
      }
    }
    for (int gateway = 0; gateway < ModelParts.GATEWAYS; gateway++) {
      if (gateway < setup.gateways) {
        act(state, ModelParts.GATEWAY + gateway, Act.RENEW, 0, next);
        act(state, ModelParts.GATEWAY + gateway, Act.CHECK, 0, next);
        act(state, ModelParts.GATEWAY + gateway, Act.WRITE, state[COMPLETE], next);
        act(state, ModelParts.GATEWAY + gateway, Act.RESTART, 0, next);
      }
      if (!setup.prompt) {
        act(state, ModelParts.COORDINATOR + gateway, Act.TICK, 0, next);
      }
      for (int purge = 0; purge < ModelParts.SCOPES.length; purge++) {
        int bit = 1 << purge + 2 * gateway;
        if ((setup.takes & bit) != 0 && (state[TAKES] & bit) == 0) {
          act(state, ModelParts.COORDINATOR + gateway, Act.TAKE, purge, next);
        }
      }
    }
    for (int acceptor = 0; acceptor < ModelParts.ACCEPTORS; acceptor++) {
      act(state, 1 + acceptor, Act.RESTART, 0, next);
    }
  }

  private int[] later(int[] state) {
    int[] later = state.clone();
    later[0]++;
    for (int place = 1; place < ModelParts.PLACES; place++) {
      later[place] = parts.step(state[place], place, Act.TIME, 0, clock(later, place), 0, 0).part();
    }
    for (int place = ModelParts.COORDINATOR; place < ModelParts.PLACES && setup.prompt; place++) {
      Step tick = parts.step(later[place], place, Act.TICK, 0, clock(later, place), 0, 0);
      later = tick.complete() == 0 ? later : send(later, place, tick, -1);
    }
    check(later);
    return later;
  }

  private void act(int[] state, int place, Act act, int argument, Next next) {
    boolean atGateway = place >= ModelParts.GATEWAY;
    int gateway = (place - ModelParts.GATEWAY) % ModelParts.GATEWAYS;
    int budget = state[RESTARTS + (atGateway ? 1 : 0)];
    if (act == Act.RESTART
        && budget >= (atGateway ? setup.gatewayRestarts : setup.acceptorRestarts)) {
      return;
    }
    // A gateway that is stopped between its check and its write does nothing else.
    if (atGateway
        && act != Act.WRITE
        && act != Act.RESTART
        && parts.checked(state[ModelParts.GATEWAY + gateway])) {
      return;
    }
    Act does = act == Act.AGAIN ? Act.DELIVER : act;
    Step step =
        parts.step(state[place], place, does, argument, clock(state, place), state[TAKEN], budget);
    boolean same = step.part() == state[place] && step.sent().length == 0 && step.complete() == 0;
    if (step == ModelParts.NONE || same && act != Act.DELIVER) {
      return;
    }
    int[] after = send(state, place, step, act == Act.DELIVER ? argument : -1);
    after[AGAIN] += act == Act.AGAIN ? 1 : 0;
    if (act == Act.TAKE) {
      after[TAKEN] |= 1 << argument;
      after[TAKES] |= 1 << argument + 2 * gateway;
    }
    if (act == Act.RESTART) {
      after[RESTARTS + (atGateway ? 1 : 0)]++;
      if (atGateway) {
        int coordinator = ModelParts.COORDINATOR + gateway;
        after[coordinator] = parts.started(coordinator, clock(state, place), 2 + budget);
      }
    }
    lateWrites += step.late() ? 1 : 0;
    if (step.broken()) {
      broken = "written within the guard after \"complete\"";
    }
    check(after);
    next.state(after, act.ordinal() << 24 | place << 20 | argument);
  }

  private long clock(int[] state, int place) {
    int whose =
        place < ModelParts.GATEWAY
            ? place - 1
            : ModelParts.ACCEPTORS + (place - ModelParts.GATEWAY) % ModelParts.GATEWAYS;
    return (long) state[0] * setup.rates[whose];
  }

  private void check(int[] after) {
    for (int place = ModelParts.GATEWAY;
        place < ModelParts.COORDINATOR && broken == null;
        place++) {
      if (parts
          .step(after[place], place, Act.SERVES, after[COMPLETE], clock(after, place), 0, 0)
          .broken()) {
        broken =
            "gateway "
                + (place - ModelParts.GATEWAY)
                + " would serve a purged answer after \"complete\"";
      }
    }
  }

  /**
   * The state after the step of one component: with the messages that it sends, without the message
   * that was delivered to it.
   */
  private int[] send(int[] state, int place, Step step, int delivered) {
    int[] after = Arrays.copyOf(state, state.length + step.sent().length);
    after[place] = step.part();
    after[COMPLETE] |= step.complete();
    completes += step.complete() == 0 ? 0 : 1;
    int to = NET;
    for (int i = NET; i < state.length; i++) {
      if (state[i] != delivered) {
        after[to++] = state[i];
      }
    }
    List<Integer> promptIds = new ArrayList<>();
    for (int id : step.sent()) {
      if (setup.prompt && parts.sent(id).place() >= ModelParts.COORDINATOR) {
        promptIds.add(id);
      } else if (Arrays.binarySearch(state, NET, state.length, id) < 0 || id == delivered) {
        after[to++] = id;
      }
    }
    Arrays.sort(after, NET, to);
    after = Arrays.copyOf(after, to);
    for (int id : promptIds) {
      int coordinator = parts.sent(id).place();
      long now = clock(state, coordinator);
      Step received = parts.step(after[coordinator], coordinator, Act.DELIVER, id, now, 0, 0);
      after = send(after, coordinator, received, -1);
    }
    return after;
  }

  /**
   * A hash of 64 bits of a state. States that differ only in the numbering of the acceptors have
   * the same hash. Among 10^7 states two have the same hash by chance once in 300,000 runs.
   */
  long print(int[] state) {
    long min = Long.MAX_VALUE;
    for (int order = 0; order < ModelParts.ORDERS.length; order++) {
      long hash = state[0];
      for (int place = 1; place < TAKEN; place++) {
        int at = place < ModelParts.GATEWAY ? 1 + ModelParts.ORDERS[order][place - 1] : place;
        hash += LongMap.mix(parts.partPrint(state[place], order) + at);
      }
      for (int place = TAKEN; place < NET; place++) {
        hash = LongMap.mix(hash + state[place]);
      }
      long net = 0;
      for (int i = NET; i < state.length; i++) {
        net += parts.sentPrint(state[i], order);
      }
      min = Math.min(min, LongMap.mix(hash + LongMap.mix(net)));
    }
    return min;
  }

  String describe(int action) {
    return parts.describe(Act.ALL[action >> 24], action >> 20 & 15, action & 0xfffff);
  }
}
