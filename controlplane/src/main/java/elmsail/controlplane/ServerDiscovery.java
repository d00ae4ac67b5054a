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
  private static final long EVERY_MS = 500;
  private static final long MOST_MS = 4_000;

  /** Of the platform's rate: the rest is for those whom this list doesn't reach. */
  private static final double SHARE = 0.5;

  /**
   * What a server has left to be cold is told in whole steps, so that not each list is a new one.
   */
  private static final long COLD_STEP_MS = 1_000;

  private final PlatformClient platform;
  private final double perSecond;
  private final Timers timers;
  private final WatchServer sources;
  private final LongSupplier term;
  private final ControlPlaneCounters counters;
  private long epoch;
  private long version;
  private byte[] last;
  private long pause = EVERY_MS;

  /**
   * A first list without the lease, so that nobody waits for a lease after all have ended at once.
   */
  private static final long FIRST_MS = 100;

  private static final long FIRST_TERM = 0;

  private boolean firstAsked;
  private boolean closed;

  /**
   * Makes one.
   *
   * @param perSecond calls that the platform takes from all processes together
   * @param term in which the lease is held at this moment, or 0
   * @param counters of this node
   */
  ServerDiscovery(
      PlatformClient platform,
      double perSecond,
      Timers timers,
      WatchServer sources,
      LongSupplier term,
      ControlPlaneCounters counters) {
    this.platform = platform;
    this.perSecond = perSecond;
    this.timers = timers;
    this.sources = sources;
    this.term = term;
    this.counters = counters;
  }

  void start() {
    timers.schedule(FIRST_MS, this::first);
    look();
  }

  /** Asked once where the others have told none yet; any list of the lease's holder is newer. */
  private void first() {
    if (closed || firstAsked || sources.hasServers() || term.getAsLong() != 0) {
      return;
    }
    firstAsked = true;
    platform
        .fetch()
        .whenComplete(
            (servers, failed) -> {
              (failed == null ? counters.listsRead : counters.listsFailed).add(1);
              if (failed == null && !closed && !sources.hasServers()) {
                sources.setServers(
                    FIRST_TERM, 1, ServerListCodec.encode(stepped(servers)), platform.fetchedAtMs());
              }
            });
  }

  private void look() {
    if (closed) {
      return;
    }
    long inTerm = term.getAsLong();
    if (inTerm == 0) {
      pause = EVERY_MS;
      timers.schedule(EVERY_MS / 5, this::look);
      return;
    }
    platform
        .fetch()
        .whenComplete(
            (servers, failed) -> {
              (failed == null ? counters.listsRead : counters.listsFailed).add(1);
              if (failed == null) {
                pause = EVERY_MS;
                take(inTerm, servers);
              } else {
                boolean full = ElmsailException.codeOf(failed) == ErrorCode.RESOURCE_EXHAUSTED;
                pause = Math.min(MOST_MS, full ? pause * 2 : Math.max(EVERY_MS, pause * 3 / 2));
              }
              long least =
                  perSecond > 0
                      ? (long) (platform.lastPageCount() * 1_000 / (perSecond * SHARE))
                      : MOST_MS;
              timers.schedule(Math.max(pause, least), this::look);
            });
  }

  private void take(long inTerm, List<ServerEntry> servers) {
    if (closed || term.getAsLong() != inTerm) {
      return;
    }
    byte[] bytes = ServerListCodec.encode(stepped(servers));
    if (inTerm != epoch) {
      epoch = inTerm;
      version = 1;
    } else if (!Arrays.equals(bytes, last)) {
      version++;
    }
    last = bytes;
    sources.setServers(epoch, version, bytes, platform.fetchedAtMs());
  }

  private static List<ServerEntry> stepped(List<ServerEntry> servers) {
    List<ServerEntry> stepped = new ArrayList<>(servers.size());
    for (ServerEntry one : servers) {
      long cold = (one.warmUpRemainingMs() + COLD_STEP_MS - 1) / COLD_STEP_MS * COLD_STEP_MS;
      stepped.add(
          new ServerEntry(
              one.id(),
              one.service(),
              one.address(),
              one.zone(),
              one.maxConcurrency(),
              one.draining(),
              cold));
    }
    return stepped;
  }

  void close() {
    closed = true;
  }
}
