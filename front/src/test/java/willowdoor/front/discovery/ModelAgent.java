package willowdoor.front.discovery;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import willowdoor.front.Peers;
import willowdoor.front.discovery.WatchStateMachine.Effect;

/**
 * An agent on a clock moved by hand, in milliseconds from the start of the process: it treats the
 * first tries as it is told to, and all that follow well, that is at once.
 */
final class ModelAgent {

  /** What becomes of a try, at some time after its head, or before. */
  enum Fault {
    REFUSED,
    NO_CONNECT,
    NO_HEAD,
    /**
     * From then on nothing comes, or half an object and nothing more, or an object in drops for
     * ever.
     */
    SILENT,
    HALF,
    DRIPPING,
    /** Empty lines for a try that asked for the last change once more: an object is owed. */
    EMPTY_LINES,
    JUNK,
    RESET
  }

  /**
   * @param connectMs how long the connect takes, and likewise the answer's head
   * @param goodMs how long behind its head the try is as it should be: nought is a head without a
   *     body
   * @param gapMs between that and the first byte of an object that never ends
   */
  record Treatment(Fault fault, int connectMs, int headMs, int goodMs, int gapMs) {}

  private static final double STEP_MS = 12.5;
  private static final double LOOK_MS = 25;
  private static final double LINE_MS = 2_000;
  private static final double DROP_MS = 400;
  private static final int BEFORE = 8;
  private static final int CHANGED = 9;

  private final Queue<Treatment> treatments;

  /** The agent gets the change when so many tries have gone bad, or all that are to. */
  private int badBeforeChange;

  double changeAt = Double.POSITIVE_INFINITY;

  /** How long after the change SIGHUPs come. */
  private final Queue<Double> hangUps;

  private final WatchStateMachine watch;
  private double now;
  private Try present;

  /**
   * What the watch has, and so asks for what changed since; or for that and the last change once
   * more.
   */
  private long had = 7;

  /** When the tries that were treated badly began, the earliest one first. */
  final List<Double> badly = new ArrayList<>();

  double toldAt = Double.POSITIVE_INFINITY;
  double caughtUpAt = Double.POSITIVE_INFINITY;

  ModelAgent(
      List<Treatment> treatments,
      int badBeforeChange,
      List<Double> hangUps,
      WatchStateMachine watch) {
    this.treatments = new ArrayDeque<>(treatments);
    this.badBeforeChange = badBeforeChange;
    this.hangUps = new ArrayDeque<>(hangUps);
    this.watch = watch;
  }

  /** Until the change is told and the start is over, or that time. */
  void run(double untilMs) {
    execute(watch.start(now));
    for (; now < untilMs && Math.max(toldAt, caughtUpAt) > now; now += STEP_MS) {
      if (present != null) {
        present.step();
      }
      if (badBeforeChange <= 0 || treatments.isEmpty() && now > STEP_MS) {
        changeAt = Math.min(changeAt, now);
      }
      if (!hangUps.isEmpty() && now >= changeAt + hangUps.peek()) {
        hangUps.poll();
        execute(watch.onAddressChanged(now));
      }
      if (now % LOOK_MS == 0) {
        execute(watch.check(now));
      }
      if (watch.caughtUpReason() != null) {
        caughtUpAt = Math.min(caughtUpAt, now);
      }
    }
  }

  private void execute(List<Effect> effects) {
    for (Effect effect : effects) {
      if (effect instanceof Effect.Open open) {
        Treatment treatment = treatments.poll();
        if (treatment != null) {
          badly.add(now);
          badBeforeChange -= treatment.goodMs == 0 ? 1 : 0;
        }
        present = new Try(treatment, open.version());
      } else if (effect instanceof Effect.Close) {
        present = null;
      } else if (effect instanceof Effect.Deliver deliver) {
        had = deliver.update().version();
        toldAt = had == CHANGED ? Math.min(toldAt, now) : toldAt;
      }
    }
  }

  private int version() {
    return now >= changeAt ? CHANGED : BEFORE;
  }

  /** One try: each step does what is due, until the watch ends it. */
  private final class Try {
    private final Treatment treatment;
    private final double openedAt = now;
    private long told;
    private boolean connected;
    private boolean answered;
    private boolean bad;
    private boolean spoilt;
    private double headAt = Double.POSITIVE_INFINITY;
    private double lastAt;

    Try(Treatment treatment, long version) {
      this.treatment = treatment;
      told = version;
    }

    void step() {
      if (before(Fault.REFUSED)) {
        execute(watch.onClosed(now));
        return;
      }
      if (!connected
          && !before(Fault.NO_CONNECT)
          && now >= openedAt + (treatment == null ? 0 : treatment.connectMs)) {
        connected = true;
        lastAt = now;
        watch.onConnected(now);
      }
      if (connected
          && !answered
          && !before(Fault.NO_HEAD)
          && now >= lastAt + (treatment == null ? 0 : treatment.headMs)) {
        answered = true;
        headAt = now;
        lastAt = now;
        watch.onResponseHead(now);
      }
      if (answered && (treatment == null || now < headAt + treatment.goodMs)) {
        good();
      } else if (answered) {
        badBeforeChange -= bad || treatment.goodMs == 0 ? 0 : 1;
        bad = true;
        bad();
      }
    }

    private boolean before(Fault fault) {
      return treatment != null && treatment.fault == fault;
    }

    private void good() {
      if (told < version()) {
        told = version();
        say(Peers.list(version(), false) + "\n");
      } else if (now >= lastAt + LINE_MS) {
        say("\n");
      }
    }

    private void bad() {
      switch (treatment.fault) {
        case HALF, DRIPPING -> {
          boolean due =
              now >= headAt + treatment.goodMs + treatment.gapMs && !spoilt
                  || spoilt && treatment.fault == Fault.DRIPPING && now >= lastAt + DROP_MS;
          if (due) {
            say(spoilt ? " " : "{");
            spoilt = true;
          }
        }
        case EMPTY_LINES -> {
          if (told < had && now >= lastAt + DROP_MS) {
            say("\n");
          }
        }
        case JUNK -> say("junk\n");
        case RESET -> execute(watch.onClosed(now));
        default -> {}
      }
    }

    private void say(String text) {
      lastAt = now;
      execute(watch.onBody(now, text.getBytes(StandardCharsets.UTF_8)));
    }
  }
}
