package elmsail.gateway.servers;

import elmsail.config.ServerEntry;
import elmsail.gateway.load.PeerLoads;
import elmsail.gateway.load.ServerLoad;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One epoch of a server: its connections, and what is known of its load and health. */
public final class Server {
  /** Where nothing was heard for so long while requests are open there, the server may be dark. */
  static final long SUSPECT_AFTER_MS = 450;

  /** And after so long what may be repeated goes elsewhere. */
  static final long UNRESPONSIVE_AFTER_MS = 800;

  private final ServerEntry entry;
  private final PrefixCacheEstimate prefixCache;
  private final OutlierDetector outliers;
  private final ErrorBackoff errors;
  final ArrayDeque<ServerConnection> idleConnections = new ArrayDeque<>();

  /** Tries that run or wait for a connection. */
  private final Set<Attempt> openAttempts = new LinkedHashSet<>();

  /** Open, opening and idle ones. */
  int connectionCount;

  /** The request that tries it again after errors, or null. */
  private Attempt probe;

  private int openItems;
  private long lastItemStartedAt = Long.MIN_VALUE / 2;
  private boolean isMisdirected;
  private int ownPendingPrefillTokens;
  private boolean isRemoved;
  private final FailureBackoff failures = new FailureBackoff();
  private long lastReceivedAt = Long.MIN_VALUE;
  private final ReportedLoad reportedLoad = new ReportedLoad();
  private final SlotHoldTime slotHoldTime;
  private final boolean sameZone;
  private final PeerLoads peerLoads;
  private final Runnable onLoadChanged;

  /** A server of which no other gateway tells anything. */
  Server(ServerEntry entry, long kvTokens, OutlierDetector outliers) {
    this(entry, true, kvTokens, outliers, new SlotHoldTime(), PeerLoads.NONE, () -> {});
  }

  /**
   * Makes one.
   *
   * @param sameZone whether it is in this gateway's zone
   * @param slotHoldTime of its service
   * @param peerLoads what all gateways have open
   * @param onLoadChanged called when what is open here has changed
   */
  Server(
      ServerEntry entry,
      boolean sameZone,
      long kvTokens,
      OutlierDetector outliers,
      SlotHoldTime slotHoldTime,
      PeerLoads peerLoads,
      Runnable onLoadChanged) {
    this.entry = entry;
    this.outliers = outliers;
    this.sameZone = sameZone;
    this.slotHoldTime = slotHoldTime;
    this.peerLoads = peerLoads;
    this.onLoadChanged = onLoadChanged;
    errors = outliers.addServer();
    prefixCache = new PrefixCacheEstimate(kvTokens);
  }

  /** Its entry in the list in force. */
  public ServerEntry entry() {
    return entry;
  }

  /** Its id in the list. */
  public String id() {
    return entry.id();
  }

  PrefixCacheEstimate prefixCache() {
    return prefixCache;
  }

  /** Closing, or not listed any more. */
  public boolean isRemoved() {
    return isRemoved;
  }

  /** Another has its address: nothing more is sent to it, whatever the list says. */
  void markMisdirected() {
    isMisdirected = true;
  }

  boolean isMisdirected() {
    return isMisdirected;
  }

  void markRemoved() {
    isRemoved = true;
    outliers.removeServer(errors);
  }

  /** Tries that may be cancelled while one looks at them. */
  List<Attempt> openAttempts() {
    return new ArrayList<>(openAttempts);
  }

  /** How many attempts are open at it, items of batch jobs included. */
  public int openAttemptCount() {
    return openAttempts.size();
  }

  /** How many of the open attempts are items of batch jobs. */
  public int openItems() {
    return openItems;
  }

  int ownPendingPrefillTokens() {
    return ownPendingPrefillTokens;
  }

  /** Other gateways are told of what is open here, unless the server itself tells its load. */
  private void notifyLoadChanged() {
    if (!reportsLoad()) {
      onLoadChanged.run();
    }
  }

  /** What this gateway has open there. */
  ServerLoad ownLoad() {
    return new ServerLoad(openAttemptCount() - openItems, openItems, ownPendingPrefillTokens);
  }

  /** Whether it tells its load in its answers; what other gateways tell is then not needed. */
  boolean reportsLoad() {
    return reportedLoad.isKnown();
  }

  /** What all gateways have open there, as far as they are heard. */
  ServerLoad sharedLoad() {
    return ownLoad().max(peerLoads.loadOf(id()));
  }

  /** Prompt tokens of all gateways' requests there that have no answer yet. */
  int pendingPrefillTokens() {
    return reportsLoad() ? ownPendingPrefillTokens : sharedLoad().pendingPrefillTokens();
  }

  /** Whether this attempt is the probe of a server that erred. */
  boolean onAttemptStarted(Attempt attempt) {
    openAttempts.add(attempt);
    if (attempt.request().isBatchItem()) {
      openItems++;
      lastItemStartedAt = attempt.startedAt();
    }
    ownPendingPrefillTokens += uncachedTokens(attempt);
    notifyLoadChanged();
    boolean isProbe = errors.tryStartProbe(attempt.startedAt());
    probe = isProbe ? attempt : probe;
    return isProbe;
  }

  void onResponseStarted(Attempt attempt) {
    ownPendingPrefillTokens -= uncachedTokens(attempt);
    notifyLoadChanged();
    endProbeOf(attempt);
  }

  private void endProbeOf(Attempt attempt) {
    if (attempt == probe) {
      probe = null;
      errors.endProbe();
    }
  }

  void onAttemptEnded(Attempt attempt) {
    endProbeOf(attempt);
    if (openAttempts.remove(attempt)) {
      openItems -= attempt.request().isBatchItem() ? 1 : 0;
      ownPendingPrefillTokens -= attempt.hasResponse() ? 0 : uncachedTokens(attempt);
      notifyLoadChanged();
    }
  }

  private static int uncachedTokens(Attempt attempt) {
    Prompt prompt = attempt.request().prompt();
    return prompt.totalTokens() - prompt.sharedPrefixTokens();
  }

  /** An answer of it began: it lives. */
  void recordResponse(long now) {
    lastReceivedAt = now;
    failures.recordResponse();
  }

  /** An answer of it is whole, so long after its first byte. */
  void recordSlotHoldTime(long holdMs) {
    slotHoldTime.observe(holdMs);
  }

  /** It answered with a success. */
  void recordSuccess(long now) {
    errors.recordSuccess(now);
  }

  /** Whether its last answers are good and one of them is new. */
  boolean servedRecently(long now) {
    return errors.servedRecently(now);
  }

  /** It answered with an error of its own: whether it is ejected by this. */
  boolean recordError(long now) {
    return outliers.recordError(errors, now);
  }

  /**
   * Whether to take it only where there is no other, since it answered with errors.
   *
   * @param retryable whether an error of the request would be made up for
   */
  boolean isEjected(boolean retryable, long now) {
    return errors.isAvoided(retryable, now);
  }

  /** Whether its backoff after errors is over, and nothing has tried it again yet. */
  boolean awaitsProbe(long now) {
    return errors.mayProbe(true, now);
  }

  /** Only bytes of an answer that began earlier. */
  void recordBytes(long now) {
    lastReceivedAt = now;
  }

  /** No connection could be had, or a request got no answer in its time. */
  void recordFailure(long now) {
    failures.recordFailure(now);
    for (ServerConnection connection : new ArrayList<>(idleConnections)) {
      connection.close(); // they may be dead as well: the next request finds out before it is sent
    }
  }

  /** A connection broke under a request. */
  void recordBrokenResponse(long now) {
    if (failures.recordBrokenResponse()) {
      recordFailure(now);
    }
  }

  /** Takes {@code RUNNING,WAITING,SLOTS}; what cannot be read is passed over. */
  void recordReportedLoad(String headerValue, long now) {
    reportedLoad.update(headerValue, openAttemptCount(), now);
  }

  /** Whether to take it only where there is no other. */
  boolean isSuspect(long now) {
    return failures.isAvoided(now) || silenceMs(now) > SUSPECT_AFTER_MS;
  }

  /** Whether it failed so lately that an idle connection is not to be trusted. */
  boolean isConnectionDoubtful(long now) {
    return failures.hasFailedSinceResponse() || silenceMs(now) > SUSPECT_AFTER_MS;
  }

  /** Whether it has said nothing to anything for so long that it will hardly go on. */
  public boolean isUnresponsive(long now) {
    return silenceMs(now) > UNRESPONSIVE_AFTER_MS;
  }

  /** Whether it said just now that nothing waits there and that it has many places free. */
  public boolean reportsIdle(long now) {
    return reportedLoad.isIdle(entry.maxConcurrency(), now);
  }

  /** For how long it has said nothing at all though requests are open there. */
  private long silenceMs(long now) {
    for (Attempt attempt : openAttempts) {
      if (attempt.isSent()) {
        return now - Math.max(attempt.startedAt(), lastReceivedAt); // the oldest one
      }
    }
    return 0;
  }

  /** Estimate of the requests that run there, of all gateways. */
  double runningRequests(long now) {
    if (!reportsLoad()) {
      int open = sharedLoad().open();
      return entry.maxConcurrency() > 0 ? Math.min(entry.maxConcurrency(), open) : open;
    }
    return reportedLoad.running(openAttemptCount(), now);
  }

  /** Estimate of the requests that wait there. */
  double queuedRequests(long now) {
    if (!reportsLoad()) {
      return queueLengthForOneMore(sharedLoad().open());
    }
    return reportedLoad.queued(now);
  }

  /** Of so many open there, those that one more would wait for. */
  private int queueLengthForOneMore(int open) {
    boolean full = entry.maxConcurrency() > 0 && open >= entry.maxConcurrency();
    return full ? open - entry.maxConcurrency() + 1 : 0;
  }

  /** Until one that waits there gets a place, for each one before it, in ms. */
  double slotReleaseIntervalMs() {
    return reportsLoad()
        ? SlotHoldTime.DEFAULT_RELEASE_INTERVAL_MS
        : slotHoldTime.releaseIntervalMs(entry.maxConcurrency());
  }

  /** How many items of batch jobs may be started here now; see {@link ItemAdmission}. */
  public int availableItemCapacity(long now) {
    if (isRemoved || isMisdirected || isSuspect(now) || isEjected(true, now)) {
      return 0;
    }
    int capacity =
        ItemAdmission.availableCapacity(
            new ItemAdmission.ServerState(
                entry.maxConcurrency(),
                runningRequests(now),
                queuedRequests(now),
                openItems,
                now - lastItemStartedAt,
                loadSource(),
                pendingPrefillTokens()));
    return errors.isEjected() ? Math.min(1, capacity) : capacity; // one probe at a time
  }

  private ItemAdmission.LoadSource loadSource() {
    if (reportsLoad()) {
      return ItemAdmission.LoadSource.REPORTED;
    }
    return sameZone ? ItemAdmission.LoadSource.SHARED : ItemAdmission.LoadSource.SHARED_OTHER_ZONE;
  }
}
