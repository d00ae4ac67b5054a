package willowdoor.front.discovery;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import willowdoor.front.Peers;
import willowdoor.front.discovery.WatchStateMachine.Effect;

/**
 * A simulated discovery agent with a manually advanced clock, in milliseconds from the start of the
 * process. The agent treats the first attempts as scripted, and serves all further attempts without
 * fault or delay.
 */
final class ModelAgent {

  /** The fault of an attempt, which occurs before its response head or at some time after it. */
  enum Fault {
    REFUSED,
    NO_CONNECT,
    NO_HEAD,
    /**
     * From then on the agent sends nothing; or half an object and nothing more; or an object a few
     * bytes at a time without end.
     */
    SILENT,
    HALF,
    DRIPPING,
    /**
     * The agent sends empty lines to an attempt that requested the last change again, so that an
     * object is expected.
     */
    EMPTY_LINES,
    JUNK,
    RESET
  }

  /**
   * @param connectMs duration of the connect
   * @param headMs time until the response head is sent
   * @param goodMs how long after its head the attempt is served correctly: 0 is a head without a
   *     body
   * @param gapMs time from there until the first byte of an object that never ends
   */
  record Treatment(Fault fault, int connectMs, int headMs, int goodMs, int gapMs) {}

  private static final double STEP_MS = 12.5;
  private static final double CHECK_MS = 25;
  private static final double LINE_MS = 2_000;
  private static final double DROP_MS = 400;
  private static final int BEFORE = 8;
  private static final int CHANGED = 9;

  private final Queue<Treatment> treatments;

  /**
   * The agent receives the change when this many attempts have failed, or all that are scripted to
   * fail.
   */
  private int badBeforeChange;

  double changeAt = Double.POSITIVE_INFINITY;

  /** The delays of the SIGHUPs after the change. */
  private final Queue<Double> hangUps;

  private final WatchStateMachine watch;
  private double now;
  private AgentConnection present;

  /**
   * The version that the watch has. The watch requests the changes since this version, or also the
   * last change once more.
   */
  private long deliveredVersion = 7;

  /** The start times of the scripted attempts, earliest first. */
  final List<Double> faultyAttemptStarts = new ArrayList<>();

  double deliveredAt = Double.POSITIVE_INFINITY;
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

  /** Runs until the change is delivered and the startup is over, or until the given time. */
  void run(double untilMs) {
    execute(watch.start(now));
    for (; now < untilMs && Math.max(deliveredAt, caughtUpAt) > now; now += STEP_MS) {
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
      if (now % CHECK_MS == 0) {
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
          faultyAttemptStarts.add(now);
          badBeforeChange -= treatment.goodMs == 0 ? 1 : 0;
        }
        present = new AgentConnection(treatment, open.version());
      } else if (effect instanceof Effect.Close) {
        present = null;
      } else if (effect instanceof Effect.Deliver deliver) {
        deliveredVersion = deliver.update().version();
        deliveredAt = deliveredVersion == CHANGED ? Math.min(deliveredAt, now) : deliveredAt;
      }
    }
  }

  private int version() {
    return now >= changeAt ? CHANGED : BEFORE;
  }

  /** One attempt: each step does what is due, until the watch ends the attempt. */
  private final class AgentConnection {
    private final Treatment treatment;
    private final double openedAt = now;
    private long told;
    private boolean connected;
    private boolean answered;
    private boolean bad;
    private boolean objectStarted;
    private double headAt = Double.POSITIVE_INFINITY;
    private double lastAt;

    AgentConnection(Treatment treatment, long version) {
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
        send(Peers.list(version(), false) + "\n");
      } else if (now >= lastAt + LINE_MS) {
        send("\n");
      }
    }

    private void bad() {
      switch (treatment.fault) {
        case HALF, DRIPPING -> {
          boolean due =
              now >= headAt + treatment.goodMs + treatment.gapMs && !objectStarted
                  || objectStarted && treatment.fault == Fault.DRIPPING && now >= lastAt + DROP_MS;
          if (due) {
            send(objectStarted ? " " : "{");
            objectStarted = true;
          }
        }
        case EMPTY_LINES -> {
          if (told < deliveredVersion && now >= lastAt + DROP_MS) {
            send("\n");
          }
        }
        case JUNK -> send("junk\n");
        case RESET -> execute(watch.onClosed(now));
        default -> {}
      }
    }

    private void send(String text) {
      lastAt = now;
      execute(watch.onBody(now, text.getBytes(StandardCharsets.UTF_8)));
    }
  }
}
