package elmsail.controlplane;

import elmsail.config.watch.ClusterClock;
import elmsail.consensus.Register;
import elmsail.controlplane.PlatformDutyClient.Outcome;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports each window's usage to the platform, while this node holds the singleton lease.
 *
 * <p>A window's counts are first decided: the register's {@link UsageLedger} passes the window in
 * one compare-and-set, so that one node decides it, once. Only what is committed is sent, oldest
 * window first, and again until the platform has taken it in; so all that the platform ever gets of
 * a window is the same content, whoever sends it. A new holder reads the ledger, sends what is left
 * in it, and goes on with the windows after the last decided one.
 *
 * <p>Decided is a window some time after its close, when the gateways' reports are in. A new holder
 * moreover waits until they have sent it the counts of the last windows. What a gateway that was
 * killed had not reported is missing, and a window that closed so long ago that gateways do not
 * keep its counts is never reported. Runs on the event loop.
 */
final class UsageReporter {
  static final String PATH = "/usage";

  private static final Logger LOG = LoggerFactory.getLogger(UsageReporter.class);
  private static final long TICK_INTERVAL_MS = 100;
  private static final long REGISTER_TIMEOUT_MS = 800;

  /** The part of the time allowed for a report after which its window is decided. */
  private static final double DECISION_DELAY_SHARE = 0.3;

  /** Gateways report once a second, to all nodes while they know of no holder. */
  private static final long REPORT_GATHERING_MS = 1_500;

  /** Gateways keep their counts of windows that closed less than so many times the bound ago. */
  private static final int MAX_REPORT_AGE_FACTOR = 2;

  private static final long MIN_BACKOFF_MS = 150;
  private static final long MAX_BACKOFF_MS = 1_200;

  private final Timers timers;
  private final DutyLease lease;
  private final Register register;
  private final UsageTable table;
  private final ClusterClock clock;
  private final PlatformDutyClient platform;
  private final UsageCounters counters;
  private final Random random;
  private final long windowMs;
  private final long decisionDelayMs;

  /** Windows that closed before this time are reported no more. */
  private final long maxReportAgeMs;

  /** What this node does in the term in which it holds the lease; null while it does not. */
  private HeldTerm heldTerm;

  private boolean closed;

  /**
   * Does nothing before {@link #start}.
   *
   * @param table of what gateways reported to this node
   * @param clock by which windows begin and end
   * @param bounds with the length of a window, above 0
   * @param random for backoffs
   */
  UsageReporter(
      Timers timers,
      DutyLease lease,
      Register register,
      UsageTable table,
      ClusterClock clock,
      PlatformDutyClient platform,
      UsageCounters counters,
      Settings.Bounds bounds,
      Random random) {
    this.timers = timers;
    this.lease = lease;
    this.register = register;
    this.table = table;
    this.clock = clock;
    this.platform = platform;
    this.counters = counters;
    this.random = random;
    windowMs = bounds.usageWindowMs();
    decisionDelayMs = (long) (bounds.usageLateMs() * DECISION_DELAY_SHARE);
    maxReportAgeMs = MAX_REPORT_AGE_FACTOR * bounds.usageLateMs();
  }

  /** How many windows, closed or open, can be reported at any time. */
  static int reportableWindows(Settings.Bounds bounds) {
    return (int) (MAX_REPORT_AGE_FACTOR * bounds.usageLateMs() / bounds.usageWindowMs()) + 2;
  }

  /** Looks at the lease and the clock now, and repeats that until closed. */
  void start() {
    if (closed) {
      return;
    }
    timers.schedule(TICK_INTERVAL_MS, this::start);
    long term = lease.term();
    if (heldTerm == null || heldTerm.term != term) {
      heldTerm = term == 0 ? null : new HeldTerm(term);
    }
    if (heldTerm != null && clock.isAgreed()) {
      heldTerm.advance();
    }
  }

  void close() {
    closed = true;
  }

  /** The window of a time of day. */
  long windowAt(long timeOfDayMs) {
    return Math.floorDiv(timeOfDayMs, windowMs);
  }

  /** The newest window that has been closed for so long. */
  private long newestWindowClosedFor(long ms) {
    return windowAt(clock.now() - ms) - 1;
  }

  /** The oldest window that is still worth a report. */
  private long oldestReportableWindow() {
    return newestWindowClosedFor(maxReportAgeMs) + 1;
  }

  /** One holding of the lease. What completes later than it does nothing. */
  private final class HeldTerm {
    private final long term;
    private final long startedAtMs = timers.now();
    private final Set<Long> acceptedWindows = new HashSet<>();
    private UsageLedger ledger;
    private boolean registerCallInFlight;
    private boolean platformCallInFlight;
    private long nextCallAtMs;
    private long backoffMs = MIN_BACKOFF_MS;

    HeldTerm(long term) {
      this.term = term;
    }

    private boolean isCurrent() {
      return !closed && heldTerm == this && lease.term() == term;
    }

    void advance() {
      long target = newestWindowClosedFor(decisionDelayMs);
      boolean hasGatheredReports = timers.now() - startedAtMs >= REPORT_GATHERING_MS;
      if (ledger == null && !registerCallInFlight) {
        readOrCreateLedger();
      } else if (hasGatheredReports && !registerCallInFlight && ledger.lastDecided() < target) {
        decide(target);
      }
      send();
    }

    /** Reads the ledger; the first holder ever begins one with the window that is open now. */
    private void readOrCreateLedger() {
      long firstWindow = windowAt(clock.now());
      changeLedger(
          observedLedger ->
              observedLedger.isPresent()
                  ? Optional.empty()
                  : Optional.of(UsageLedger.startingAfter(firstWindow - 1)));
    }

    private void decide(long target) {
      long oldest = oldestReportableWindow();
      changeLedger(
          observedLedger -> {
            UsageLedger current = observedLedger.orElse(ledger);
            return current.lastDecided() >= target
                ? Optional.empty()
                : Optional.of(
                    current.without(acceptedWindows).decide(oldest, target, table::totals));
          });
    }

    /** What a change makes of the ledger found, if there is one; empty to leave it as it is. */
    private interface LedgerChange {
      Optional<UsageLedger> apply(Optional<UsageLedger> observedLedger);
    }

    private void changeLedger(LedgerChange change) {
      registerCallInFlight = true;
      register
          .change(
              UsageLedger.KEY,
              observed -> {
                Optional<UsageLedger> observedLedger =
                    Optional.ofNullable(observed.value()).map(UsageLedger::decode);
                byte[] value = change.apply(observedLedger).map(UsageLedger::encode).orElse(null);
                return new Register.ProposedValue(value, List.of());
              },
              List.of(),
              null,
              REGISTER_TIMEOUT_MS)
          .whenComplete(
              (outcome, failure) -> {
                registerCallInFlight = false;
                if (failure == null && isCurrent()) {
                  onLedgerCommitted(
                      UsageLedger.decode(outcome.current().value()), outcome.changed());
                }
              });
    }

    private void onLedgerCommitted(UsageLedger committed, boolean changed) {
      if (changed && ledger != null) {
        long decidedCount = committed.lastDecided() - ledger.lastDecided();
        long keptCount = committed.unsent().tailMap(ledger.lastDecided() + 1).size();
        counters.windowsDecided.add(keptCount);
        counters.windowsSkipped.add(decidedCount - keptCount);
        if (decidedCount > keptCount) {
          LOG.warn(
              "usage of {} windows is not reported: they closed too long ago",
              decidedCount - keptCount);
        }
      }
      ledger = committed;
      acceptedWindows.retainAll(committed.unsent().keySet());
      send();
    }

    /** Sends the oldest decided window that the platform has not taken in. */
    private void send() {
      if (ledger == null || platformCallInFlight || timers.now() < nextCallAtMs || !isCurrent()) {
        return;
      }
      long oldest = oldestReportableWindow();
      for (long window : ledger.unsent().tailMap(oldest).keySet()) {
        if (!acceptedWindows.contains(window)) {
          send(window);
          return;
        }
      }
    }

    private void send(long window) {
      platformCallInFlight = true;
      platform
          .post(PATH, UsageJson.encode(window, ledger.unsent().get(window)), term)
          .thenAccept(
              outcome -> {
                platformCallInFlight = false;
                if (!closed && heldTerm == this) {
                  onOutcome(window, outcome);
                }
              });
    }

    private void onOutcome(long window, Outcome outcome) {
      if (outcome == Outcome.ACCEPTED) {
        counters.windowsAccepted.add(1);
        acceptedWindows.add(window);
        backoffMs = MIN_BACKOFF_MS;
        timers.execute(this::send);
      } else {
        nextCallAtMs = timers.now() + backoffMs / 2 + random.nextLong(backoffMs);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      }
    }
  }
}
