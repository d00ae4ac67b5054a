package willowdoor.purge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import willowdoor.purge.FleetModel.Setup;
import willowdoor.purge.Message.Accept;
import willowdoor.purge.Message.Accepted;
import willowdoor.purge.Message.Applied;
import willowdoor.purge.Message.Apply;
import willowdoor.purge.Message.Done;
import willowdoor.purge.Message.Grant;
import willowdoor.purge.Message.Renew;

/**
 * The states of acceptors, gateways and coordinators, each with a number, and their steps. Each
 * step is computed once.
 */
final class ModelParts {
  static final int ACCEPTORS = 3;
  static final int GATEWAYS = 2;

  /** Places: 0 is the time, followed by the acceptors, the gateways and their coordinators. */
  static final int GATEWAY = 1 + ACCEPTORS;

  static final int COORDINATOR = GATEWAY + GATEWAYS;
  static final int PLACES = COORDINATOR + GATEWAYS;
  static final Scope[] SCOPES = {new Scope("c", "/a"), new Scope("c", "/")};
  private static final String TARGET = "/a/x";

  /** All numberings of the acceptors; the first leaves the numbers unchanged. */
  static final int[][] ORDERS = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};

  enum Act {
    TIME,
    DELIVER,
    AGAIN,
    RENEW,
    CHECK,
    WRITE,
    TAKE,
    TICK,
    RESTART,
    SERVES;

    static final Act[] ALL = values();
  }

  /**
   * A snapshot at which answers may have been requested, and the bits of the purges that were not
   * requested yet at its first use.
   */
  private record CachedAnswer(LeaseHolder.Snapshot snapshot, int notTaken) {}

  static final class Gateway {
    final LeaseHolder holder;
    final List<CachedAnswer> cachedAnswers = new ArrayList<>();

    /**
     * Between a check and its write: the bits of the purges that are newer than the answer, else
     * -1; and the time of the check.
     */
    int checked = -1;

    long checkedAt;
    boolean wasChecked;
    long renewedAt = -1;
    int renews;

    Gateway(LeaseHolder holder) {
      this.holder = holder;
    }

    Gateway(Gateway other) {
      this(new LeaseHolder(other.holder));
      cachedAnswers.addAll(other.cachedAnswers);
      checked = other.checked;
      checkedAt = other.checkedAt;
      wasChecked = other.wasChecked;
      renewedAt = other.renewedAt;
      renews = other.renews;
    }

    /** The purges that may be newer than an answer served at this time. */
    int serves(long now) {
      int before = 0;
      for (CachedAnswer answer : cachedAnswers) {
        before |= holder.mayServe(now, "c", TARGET, answer.snapshot) ? answer.notTaken : 0;
      }
      return before;
    }

    /**
     * Stores the snapshot of answers that may be requested now, and removes snapshots whose answers
     * will never be served again.
     */
    void note(long now, int taken) {
      LeaseHolder.Snapshot snapshot = holder.snapshot(now);
      if (snapshot != null
          && cachedAnswers.stream()
              .noneMatch(
                  answer ->
                      answer.snapshot.term() == snapshot.term()
                          && answer.snapshot.count() == snapshot.count())) {
        cachedAnswers.add(
            new CachedAnswer(
                new LeaseHolder.Snapshot(snapshot.term(), snapshot.count(), 0), ~taken & 3));
      }
      cachedAnswers.removeIf(
          answer -> !holder.mayServe(Integer.MIN_VALUE, "c", TARGET, answer.snapshot));
    }
  }

  record Sent(int from, int to, Message message) {
    /** The place of the receiver. */
    int place() {
      if (message instanceof Renew || message instanceof Accept || message instanceof Done) {
        return 1 + to;
      }
      return (message instanceof Grant || message instanceof Apply ? GATEWAY : COORDINATOR) + to;
    }

    private boolean fromAcceptor() {
      return place() >= GATEWAY && !(message instanceof Apply) && !(message instanceof Applied);
    }
  }

  /**
   * A component's next state, the messages that it sends, the purges that it reports complete, and
   * whether the step is a violation.
   */
  record Step(int part, int[] sent, int complete, boolean broken, boolean late) {}

  static final Step NONE = new Step(-1, new int[0], 0, false, false);

  private final Setup setup;
  private final Fleet fleet;
  private final List<Object> parts = new ArrayList<>();
  private final Map<Object, Integer> partIds = new HashMap<>();
  private final List<Sent> sents = new ArrayList<>();
  private final Map<Sent, Integer> sentIds = new HashMap<>();

  /** By component and by message, a hash for each numbering of the acceptors. */
  private final List<long[]> partPrints = new ArrayList<>();

  private final List<long[]> sentPrints = new ArrayList<>();
  private final LongMap known = new LongMap();
  private final List<Step> steps = new ArrayList<>();

  ModelParts(Setup setup) {
    this.setup = setup;
    fleet = new Fleet(List.of(0, 1, 2), List.of(0, 1, 2), setup.timing());
  }

  int size() {
    return parts.size();
  }

  Sent sent(int id) {
    return sents.get(id);
  }

  long partPrint(int id, int order) {
    return partPrints.get(id)[order];
  }

  long sentPrint(int id, int order) {
    return sentPrints.get(id)[order];
  }

  boolean checked(int gateway) {
    return ((Gateway) parts.get(gateway)).checked >= 0;
  }

  /** The state of a component after a start with this boot number. */
  int started(int place, long now, int boot) {
    if (place < GATEWAY) {
      return part(
          new Acceptor(fleet, boot, boot == 1 ? -setup.timing().keepMs() : now, setup.rules()),
          now);
    }
    return place < COORDINATOR
        ? part(new Gateway(new LeaseHolder(fleet, boot, setup.rules())), now)
        : part(new Coordinator(fleet, place - COORDINATOR, boot, setup.rules()), now);
  }

  Step step(int part, int place, Act act, int argument, long now, int taken, int budget) {
    long key =
        (((((long) part << 4 | place) << 4 | act.ordinal()) << 20 | argument) << 6 | now) << 4
            | taken << 2
            | budget;
    int before = known.get(key);
    if (before >= 0) {
      return steps.get(before);
    }
    Step step;
    if (act == Act.RESTART) {
      step = new Step(started(place, now, 2 + budget), new int[0], 0, false, false);
    } else if (place < GATEWAY) {
      // As time passes, a message without effect makes the acceptor remove expired state.
      Sent sent = act == Act.TIME ? new Sent(0, 0, new Message.DoneAck(0)) : sents.get(argument);
      Acceptor acceptor = new Acceptor((Acceptor) parts.get(part));
      step = after(acceptor, place - 1, acceptor.onMessage(now, sent.from, sent.message), now);
    } else if (place < COORDINATOR) {
      step =
          gateway(
              new Gateway((Gateway) parts.get(part)), place - GATEWAY, act, argument, now, taken);
    } else {
      Coordinator coordinator = new Coordinator((Coordinator) parts.get(part));
      step =
          after(
              coordinator, place - COORDINATOR, coordinator(coordinator, act, argument, now), now);
    }
    known.add(key, steps.size());
    steps.add(step);
    return step;
  }

  private List<Effect> coordinator(Coordinator coordinator, Act act, int argument, long now) {
    if (act == Act.TIME) {
      return List.of();
    }
    if (act == Act.TAKE) {
      return coordinator.purge(
          now, argument, new PurgeId(0, argument), SCOPES[argument], Long.MAX_VALUE);
    }
    return act == Act.TICK
        ? coordinator.tick(now)
        : coordinator.onMessage(now, sents.get(argument).from, sents.get(argument).message);
  }

  private Step gateway(Gateway gateway, int self, Act act, int argument, long now, int taken) {
    switch (act) {
      case TIME:
        return after(gateway, self, List.of(), now);
      case SERVES:
        boolean broken = (gateway.serves(now - setup.timing().guardMs()) & argument) != 0;
        return new Step(0, new int[0], 0, broken, false);
      case RENEW:
        if (gateway.renewedAt == now || gateway.renews == setup.renews()) {
          return NONE;
        }
        gateway.renewedAt = now;
        gateway.renews++;
        return after(gateway, self, gateway.holder.renew(now), now);
      case CHECK:
        if (!setup.checks() || gateway.wasChecked || gateway.serves(now) == 0) {
          return NONE;
        }
        gateway.wasChecked = true;
        gateway.checked = gateway.serves(now);
        gateway.checkedAt = now;
        return after(gateway, self, List.of(), now);
      case WRITE:
        if (gateway.checked < 0) {
          return NONE;
        }
        boolean stale = (gateway.checked & argument) != 0;
        boolean within = now - gateway.checkedAt <= setup.timing().guardMs();
        gateway.checked = -1;
        return new Step(part(gateway, now), new int[0], 0, stale && within, stale);
      default:
        List<Effect> effects =
            gateway.holder.onMessage(now, sents.get(argument).from, sents.get(argument).message);
        gateway.note(now, taken);
        return after(gateway, self, effects, now);
    }
  }

  private Step after(Object part, int self, List<Effect> effects, long now) {
    int complete = 0;
    List<Integer> sent = new ArrayList<>();
    for (Effect effect : effects) {
      if (effect instanceof Effect.Send send && isModelled(send)) {
        sent.add(
            sentIds.computeIfAbsent(
                new Sent(self, send.to(), withoutResult(send.message())), this::number));
      } else if (effect instanceof Effect.Answer answer
          && answer.outcome() instanceof Outcome.Complete) {
        complete |= 1 << answer.caller();
      }
    }
    int[] ids = sent.stream().mapToInt(Integer::intValue).toArray();
    return new Step(part(part, now), ids, complete, false, false);
  }

  /**
   * Messages to a member without a cache, and acknowledgements of {@link Done}, have no effect in
   * the model.
   */
  private boolean isModelled(Effect.Send send) {
    return !(send.message() instanceof Message.DoneAck)
        && (!(send.message() instanceof Apply) || send.to() < setup.gateways());
  }

  /** Removes the members that confirmed, which make no difference in the model. */
  private static Message withoutResult(Message message) {
    return message instanceof Done done
        ? new Done(done.purge(), done.requests(), new Message.Result(0, List.of()))
        : message;
  }

  private int number(Sent sent) {
    long[] prints = new long[ORDERS.length];
    for (int i = 0; i < prints.length; i++) {
      int from = sent.fromAcceptor() ? ORDERS[i][sent.from] : sent.from;
      int to = sent.place() < GATEWAY ? ORDERS[i][sent.to] : sent.to;
      prints[i] = print(sent.message.toString() + from + '>' + to);
    }
    sentPrints.add(prints);
    sents.add(sent);
    return sents.size() - 1;
  }

  private int part(Object part, long now) {
    // Broken rules may depend on times that are over.
    long over = setup.rules() == Rules.NORMAL ? now : -1;
    return partIds.computeIfAbsent(
        new StateImage(over, ORDERS[0]).of(part),
        image -> {
          long[] prints = new long[ORDERS.length];
          for (int i = 0; i < prints.length; i++) {
            prints[i] = print(new StateImage(over, ORDERS[i]).of(part).toString());
          }
          partPrints.add(prints);
          parts.add(part);
          return parts.size() - 1;
        });
  }

  private static long print(String text) {
    long hash = text.length();
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return LongMap.mix(hash);
  }

  /**
   * Describes an action, for example {@code Accept 1>0}, {@code take purge 0 gateway 1} or {@code
   * time}.
   */
  String describe(Act act, int place, int argument) {
    if (act == Act.DELIVER || act == Act.AGAIN) {
      Sent sent = sents.get(argument);
      return (act == Act.AGAIN ? "once more " : "")
          + sent.message.getClass().getSimpleName()
          + " "
          + sent.from
          + ">"
          + sent.to
          + number(sent.message);
    }
    String whose =
        place < GATEWAY ? " acceptor " + (place - 1) : " gateway " + (place - GATEWAY) % GATEWAYS;
    return act.name().toLowerCase(Locale.ROOT)
        + (act == Act.TIME ? "" : (act == Act.TAKE ? " purge " + argument : "") + whose);
  }

  private static String number(Message message) {
    if (message instanceof Renew renew) {
      return " #" + renew.number();
    }
    if (message instanceof Grant grant) {
      return " #"
          + grant.number()
          + (grant.purges().isEmpty() ? " bare" : " with " + grant.purges().size());
    }
    return message instanceof Accepted accepted ? " naming " + accepted.outstanding().size() : "";
  }
}
