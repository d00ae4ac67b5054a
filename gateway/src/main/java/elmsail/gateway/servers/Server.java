package elmsail.gateway.servers;

import elmsail.config.ServerEntry;
import elmsail.gateway.load.PeerLoads;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One listed server under one address: its open attempts and connections, its {@linkplain
 * ServerHealth health} and its {@linkplain ServerLoadTracker load}. A server that returns with
 * another address is a new instance of this class. Owned by the gateway's event loop.
 */
public final class Server {
  private final ServerEntry entry;
  private final PrefixCacheEstimate prefixCache;

  /** Attempts that run or wait for a connection, oldest first. */
  private final Set<Attempt> openAttempts = new LinkedHashSet<>();

  private final ServerHealth health;
  private final ServerLoadTracker load;

  /** Connections without a request, the longest idle first; kept by the connections themselves. */
  final ArrayDeque<ServerConnection> idleConnections = new ArrayDeque<>();

  /** Connections that are connecting, in use or idle; kept by {@link ConnectionPool}. */
  int connectionCount;

  private boolean isRemoved;

  /** A server of this gateway's zone that no other gateway sends requests to. */
  Server(ServerEntry entry, long cacheTokens, OutlierDetector outliers) {
    this(entry, true, cacheTokens, outliers, new SlotHoldTime(), PeerLoads.NONE, () -> {});
  }

  /**
   * A server without open attempts or connections.
   *
   * @param sameZone whether it is in this gateway's zone
   * @param cacheTokens prompt tokens that its prefix cache is assumed to hold
   * @param outliers of its service
   * @param slotHoldTime of its service
   * @param peerLoads what all gateways have open
   * @param onLoadChanged runs when this gateway's load there has changed
   */
  Server(
      ServerEntry entry,
      boolean sameZone,
      long cacheTokens,
      OutlierDetector outliers,
      SlotHoldTime slotHoldTime,
      PeerLoads peerLoads,
      Runnable onLoadChanged) {
    this.entry = entry;
    prefixCache = new PrefixCacheEstimate(cacheTokens);
    health = new ServerHealth(outliers, openAttempts);
    load = new ServerLoadTracker(entry, sameZone, slotHoldTime, peerLoads, onLoadChanged);
  }

  /** Its entry in the current server list. */
  public ServerEntry entry() {
    return entry;
  }

  /** Its id in the server list. */
  public String id() {
    return entry.id();
  }

  PrefixCacheEstimate prefixCache() {
    return prefixCache;
  }

  ServerHealth health() {
    return health;
  }

  ServerLoadTracker load() {
    return load;
  }

  /** Whether it is draining or no longer listed: no new request is sent to it. */
  public boolean isRemoved() {
    return isRemoved;
  }

  /** Takes it out of use; open attempts continue. */
  void markRemoved() {
    isRemoved = true;
    health.stopOutlierDetection();
  }

  /** A copy, so that the attempts may be cancelled during iteration. */
  List<Attempt> openAttempts() {
    return new ArrayList<>(openAttempts);
  }

  /** How many of this gateway's attempts are open there, batch items included. */
  public int openAttemptCount() {
    return openAttempts.size();
  }

  /** Registers an attempt that starts; true if it is the probe of a half-open server. */
  boolean onAttemptStarted(Attempt attempt) {
    openAttempts.add(attempt);
    load.onAttemptStarted(attempt);
    return health.tryStartProbe(attempt);
  }

  /** The first byte of the attempt's response came. */
  void onResponseStarted(Attempt attempt) {
    load.onResponseStarted(attempt);
    health.endProbe(attempt);
  }

  /** The attempt ended, with or without a response. */
  void onAttemptEnded(Attempt attempt) {
    health.endProbe(attempt);
    if (openAttempts.remove(attempt)) {
      load.onAttemptEnded(attempt);
    }
  }

  /**
   * Records a failed connect or a request without a response in time. Idle connections may be dead
   * as well: they are closed, so that the next request finds out before it is sent.
   */
  void recordFailure(long now) {
    health.recordFailure(now);
    for (ServerConnection connection : new ArrayList<>(idleConnections)) {
      connection.close();
    }
  }

  /** Records a connection that broke under a request; several in a row count as a failure. */
  void recordBrokenResponse(long now) {
    if (health.recordBrokenResponse()) {
      recordFailure(now);
    }
  }

  /** Whether it has sent nothing for so long that open requests will hardly be answered. */
  public boolean isUnresponsive(long now) {
    return health.isUnresponsive(now);
  }

  /** Whether it reported a moment ago that nothing is queued and many slots are free. */
  public boolean reportsIdle(long now) {
    return load.reportsIdle(now);
  }

  /** How many batch items may be started there now; 0 while it is unhealthy. */
  public int availableItemCapacity(long now) {
    if (isRemoved
        || health.isMisdirected()
        || health.isSuspect(now)
        || health.isEjected(true, now)) {
      return 0;
    }
    int capacity = load.availableItemCapacity(now);
    return health.isEjected() ? Math.min(1, capacity) : capacity; // one probe at a time
  }
}
