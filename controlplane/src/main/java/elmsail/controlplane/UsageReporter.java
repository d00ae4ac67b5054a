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
 * Reports each window's usage to the platform while this node holds the singleton lease.
 *
 * <p>A window's counts are first finalized: one compare-and-set in the register advances the {@link
 * UsageLedger} past the window, so that exactly one node finalizes the window, once. Only committed
 * counts are sent, oldest window first, and repeatedly until the platform accepts them. The
 * platform therefore receives the same content for a window from every sender. A new holder reads
 * the ledger, sends the remaining windows in it, and continues with the windows after the last
 * finalized one.
 *
 * <p>A window is finalized some time after its close, when the gateways' reports have arrived. A
 * new holder also waits until the gateways have sent it the counts of the last windows. Counts that
 * a killed gateway had not reported are lost. A window that closed so long ago that gateways no
 * longer keep its counts is never reported. Runs on the event loop.
 */
final class UsageReporter {
  static final String PATH = "/usage";

  private static final Logger LOG = LoggerFactory.getLogger(UsageReporter.class);
  private static final long TICK_INTERVAL_MS = 100;
  private static final long REGISTER_TIMEOUT_MS = 800;

  /** Share of the allowed reporting time after which a closed window is finalized. */
  private static final double DECISION_DELAY_SHARE = 0.3;

  /**
   * How long a new holder collects reports before it finalizes windows. Gateways report once a
   * second, and report to all nodes while no holder is known to them.
   */
  private static final long REPORT_GATHERING_MS = 1_500;

  /**
   * Gateways keep the counts of a window until this multiple of the allowed reporting time after
   * its close.
   */
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

  /** Windows that closed longer ago than this are no longer reported. */
  private final long maxReportAgeMs;

  /**
   * This node's state in the term in which it holds the lease; null while it does not hold the
   * lease.
   */
  private HeldTerm heldTerm;

  private boolean closed;

  /**
   * Creates a reporter that does nothing before {@link #start}.
   *
   * @param table of the counts that gateways reported to this node
   * @param clock by which windows open and close
   * @param bounds with a window length above 0
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

  /** The maximum number of windows, open or closed, that can still be reported at one time. */
  static int reportableWindows(Settings.Bounds bounds) {
    return (int) (MAX_REPORT_AGE_FACTOR * bounds.usageLateMs() / bounds.usageWindowMs()) + 2;
  }

  /** Checks the lease and the clock now, and reschedules itself until closed. */
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

  /** Returns the number of the window that contains a time of day. */
  long windowAt(long timeOfDayMs) {
    return Math.floorDiv(timeOfDayMs, windowMs);
  }

  /** Returns the newest window that closed at least that long ago. */
  private long newestWindowClosedFor(long ms) {
    return windowAt(clock.now() - ms) - 1;
  }

  /** Returns the oldest window that may still be reported. */
  private long oldestReportableWindow() {
    return newestWindowClosedFor(maxReportAgeMs) + 1;
  }

  /**
   * The state of this node in one term of the lease. Calls that complete after the term has ended
   * have no effect.
   */
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
      long newestDue = newestWindowClosedFor(decisionDelayMs);
      boolean hasGatheredReports = timers.now() - startedAtMs >= REPORT_GATHERING_MS;
      if (ledger == null && !registerCallInFlight) {
        readOrCreateLedger();
      } else if (hasGatheredReports
          && !registerCallInFlight
          && ledger.lastFinalizedWindow() < newestDue) {
        finalizeWindows(newestDue);
      }
      send();
    }

    /**
     * Reads the ledger. If none exists yet, creates one that starts with the window that is open
     * now.
     */
    private void readOrCreateLedger() {
      long firstWindow = windowAt(clock.now());
      changeLedger(
          observedLedger ->
              observedLedger.isPresent()
                  ? Optional.empty()
                  : Optional.of(UsageLedger.startingAfter(firstWindow - 1)));
    }

    private void finalizeWindows(long newestDue) {
      long oldest = oldestReportableWindow();
      changeLedger(
          observedLedger -> {
            UsageLedger current = observedLedger.orElse(ledger);
            return current.lastFinalizedWindow() >= newestDue
                ? Optional.empty()
                : Optional.of(
                    current
                        .without(acceptedWindows)
                        .finalizeCounts(oldest, newestDue, table::totals));
          });
    }

    /**
     * Computes a new ledger from the observed one, which is empty before the first; an empty result
     * leaves the ledger unchanged.
     */
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
        long finalizedCount = committed.lastFinalizedWindow() - ledger.lastFinalizedWindow();
        long keptCount = committed.unsent().tailMap(ledger.lastFinalizedWindow() + 1).size();
        counters.windowsDecided.add(keptCount);
        counters.windowsSkipped.add(finalizedCount - keptCount);
        if (finalizedCount > keptCount) {
          LOG.warn(
              "skipping the usage reports of {} windows: they closed too long ago",
              finalizedCount - keptCount);
        }
      }
      ledger = committed;
      acceptedWindows.retainAll(committed.unsent().keySet());
      send();
    }

    /** Sends the oldest finalized window that the platform has not accepted. */
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
