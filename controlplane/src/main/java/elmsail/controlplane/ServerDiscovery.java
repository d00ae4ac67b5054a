package elmsail.controlplane;

import elmsail.config.PlatformClient;
import elmsail.config.ServerEntry;
import elmsail.config.ServerListCodec;
import elmsail.config.watch.WatchServer;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.LongSupplier;

/** Asks the platform for the list of servers for as long as this process holds the lease. */
final class ServerDiscovery {
  private static final long POLL_INTERVAL_MS = 500;
  private static final long MAX_POLL_INTERVAL_MS = 4_000;

  /** Of the platform's rate: the rest is for those whom this list doesn't reach. */
  private static final double PLATFORM_RATE_SHARE = 0.5;

  /**
   * What a server has left to be cold is told in whole steps, so that not each list is a new one.
   */
  private static final long WARM_UP_STEP_MS = 1_000;

  private final PlatformClient platform;
  private final double platformCallsPerSecond;
  private final Timers timers;
  private final WatchServer updateSources;
  private final LongSupplier term;
  private final ControlPlaneCounters counters;
  private long epoch;
  private long version;
  private byte[] lastPublished;
  private long pollIntervalMs = POLL_INTERVAL_MS;

  /**
   * A first list without the lease, so that nobody waits for a lease after all have ended at once.
   */
  private static final long INITIAL_POLL_DELAY_MS = 100;

  private static final long TERM_BEFORE_FIRST_LEASE = 0;

  private boolean initialPollSent;
  private boolean closed;

  /**
   * Makes one.
   *
   * @param platformCallsPerSecond calls that the platform takes from all processes together
   * @param term in which the lease is held at this moment, or 0
   * @param counters of this node
   */
  ServerDiscovery(
      PlatformClient platform,
      double platformCallsPerSecond,
      Timers timers,
      WatchServer updateSources,
      LongSupplier term,
      ControlPlaneCounters counters) {
    this.platform = platform;
    this.platformCallsPerSecond = platformCallsPerSecond;
    this.timers = timers;
    this.updateSources = updateSources;
    this.term = term;
    this.counters = counters;
  }

  void start() {
    timers.schedule(INITIAL_POLL_DELAY_MS, this::pollOnceWithoutLease);
    poll();
  }

  /** Asked once where the others have told none yet; any list of the lease's holder is newer. */
  private void pollOnceWithoutLease() {
    if (closed || initialPollSent || updateSources.hasServers() || term.getAsLong() != 0) {
      return;
    }
    initialPollSent = true;
    platform
        .fetch()
        .whenComplete(
            (servers, failure) -> {
              (failure == null ? counters.serverListReads : counters.serverListFailures).add(1);
              if (failure == null && !closed && !updateSources.hasServers()) {
                updateSources.setServers(
                    TERM_BEFORE_FIRST_LEASE,
                    1,
                    ServerListCodec.encode(roundWarmUpTimes(servers)),
                    platform.fetchedAtMs());
              }
            });
  }

  private void poll() {
    if (closed) {
      return;
    }
    long pollTerm = term.getAsLong();
    if (pollTerm == 0) {
      pollIntervalMs = POLL_INTERVAL_MS;
      timers.schedule(POLL_INTERVAL_MS / 5, this::poll);
      return;
    }
    platform
        .fetch()
        .whenComplete(
            (servers, failure) -> {
              (failure == null ? counters.serverListReads : counters.serverListFailures).add(1);
              if (failure == null) {
                pollIntervalMs = POLL_INTERVAL_MS;
                publish(pollTerm, servers);
              } else {
                boolean isRateLimited =
                    ElmsailException.codeOf(failure) == ErrorCode.RESOURCE_EXHAUSTED;
                pollIntervalMs =
                    Math.min(
                        MAX_POLL_INTERVAL_MS,
                        isRateLimited
                            ? pollIntervalMs * 2
                            : Math.max(POLL_INTERVAL_MS, pollIntervalMs * 3 / 2));
              }
              long minIntervalMs =
                  platformCallsPerSecond > 0
                      ? (long)
                          (platform.lastPageCount()
                              * 1_000
                              / (platformCallsPerSecond * PLATFORM_RATE_SHARE))
                      : MAX_POLL_INTERVAL_MS;
              timers.schedule(Math.max(pollIntervalMs, minIntervalMs), this::poll);
            });
  }

  private void publish(long pollTerm, List<ServerEntry> servers) {
    if (closed || term.getAsLong() != pollTerm) {
      return;
    }
    byte[] bytes = ServerListCodec.encode(roundWarmUpTimes(servers));
    if (pollTerm != epoch) {
      epoch = pollTerm;
      version = 1;
    } else if (!Arrays.equals(bytes, lastPublished)) {
      version++;
    }
    lastPublished = bytes;
    updateSources.setServers(epoch, version, bytes, platform.fetchedAtMs());
  }

  private static List<ServerEntry> roundWarmUpTimes(List<ServerEntry> servers) {
    List<ServerEntry> rounded = new ArrayList<>(servers.size());
    for (ServerEntry server : servers) {
      long warmUpLeftMs =
          (server.warmUpRemainingMs() + WARM_UP_STEP_MS - 1) / WARM_UP_STEP_MS * WARM_UP_STEP_MS;
      rounded.add(
          new ServerEntry(
              server.id(),
              server.service(),
              server.address(),
              server.zone(),
              server.maxConcurrency(),
              server.draining(),
              warmUpLeftMs));
    }
    return rounded;
  }

  void close() {
    closed = true;
  }
}
