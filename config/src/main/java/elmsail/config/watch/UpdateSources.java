package elmsail.config.watch;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A control-plane node's side of the pulls: what it has to tell, who waits for something newer, and
 * who was heard of. Everything on the loop.
 */
public final class UpdateSources {
  private static final int MOST_HELD = 2_000;
  private static final int MOST_HEARD = 4_000;
  private static final long LONGEST_WAIT_MS = 10_000;

  private record Held(
      PullRequest request, CompletableFuture<PullResponse> answer, Timers.Timer timer) {}

  private final Timers timers;
  private final Map<String, Held> held = new LinkedHashMap<>();
  private final Map<String, PeerReport> heard = new LinkedHashMap<>();
  private Function<PullRequest, ClusterView> views = request -> new ClusterView();
  private Runnable whenHeard = () -> {};
  private long edition;
  private byte[] config;
  private long listEpoch;
  private long listVersion;
  private byte[] servers;
  private long listTakenAt;
  private long viewVersion;
  private boolean releasing;

  /**
   * A publisher that knows no configuration yet; its view begins above any earlier process of this
   * machine.
   */
  public UpdateSources(Timers timers) {
    this.timers = timers;
    viewVersion = Math.max(1, timers.now());
  }

  /** A decided configuration, as the operator sent it; passed over unless its edition is higher. */
  public void setConfig(long newEdition, byte[] bytes) {
    if (newEdition > edition) {
      edition = newEdition;
      config = bytes;
      changed();
    }
  }

  /**
   * A list, in the bytes of {@code ServerList.encode}. Passed over if it is behind the one held;
   * the same version again only makes it younger.
   *
   * @param version from 1, as a watcher without a list has 0
   * @param takenAt steady ms when the platform was asked
   */
  public void setServers(long epoch, long version, byte[] bytes, long takenAt) {
    int order = Long.compare(epoch, listEpoch);
    order = order != 0 ? order : Long.compare(version, listVersion);
    if (servers != null && order == 0) {
      listTakenAt = Math.max(listTakenAt, takenAt);
    } else if (servers == null || order > 0) {
      listEpoch = epoch;
      listVersion = version;
      servers = bytes;
      listTakenAt = takenAt;
      changed();
    }
  }

  /** Whether there is a list to tell. */
  public boolean hasServers() {
    return servers != null;
  }

  /** How each asker's view is made; it may differ by asker (a voter slot to claim). */
  public void setView(Function<PullRequest, ClusterView> newViews) {
    views = newViews;
    viewChanged();
  }

  /** Something in the views has changed: whoever waits is told. */
  public void viewChanged() {
    viewVersion = Math.max(viewVersion + 1, timers.now());
    changed();
  }

  /** Run on the loop after an asker came that is new, or that tells another state of itself. */
  public void whenHeard(Runnable then) {
    whenHeard = then;
  }

  /**
   * Answers at once if something is newer than the asker has, else when something is or the wait is
   * over (10 s at most). An asker's second ask ends its first. With 2,000 held, more are answered
   * at once.
   */
  public CompletableFuture<PullResponse> request(PullRequest request) {
    String who = who(request);
    hear(who, request);
    Held older = held.remove(who);
    if (older != null) {
      answer(older);
    }
    if (newer(request) || request.maxWaitMs <= 0 || held.size() >= MOST_HELD) {
      return CompletableFuture.completedFuture(response(request));
    }
    CompletableFuture<PullResponse> answer = new CompletableFuture<>();
    Timers.Timer timer =
        timers.schedule(Math.min(request.maxWaitMs, LONGEST_WAIT_MS), () -> waited(who, answer));
    held.put(who, new Held(request, answer, timer));
    return answer;
  }

  /** Whoever asked within so many ms, each process's last word, in no order. */
  public List<PeerReport> heardWithin(long ms) {
    long since = timers.now() - ms;
    List<PeerReport> lately = new ArrayList<>();
    for (PeerReport one : heard.values()) {
      if (one.at() >= since) {
        lately.add(one);
      }
    }
    return lately;
  }

  /** How many asks are held open now. */
  public int held() {
    return held.size();
  }

  private static String who(PullRequest request) {
    return request.role + '@' + request.machine;
  }

  private void hear(String who, PullRequest request) {
    PeerReport now =
        new PeerReport(
            request.machine,
            request.address,
            request.zone,
            request.role,
            request.instanceId,
            request.voting,
            request.drained,
            request.jobStoreVoters,
            timers.now());
    PeerReport before = heard.remove(who);
    if (before == null && heard.size() >= MOST_HEARD) {
      heard.remove(heard.keySet().iterator().next());
    }
    heard.put(who, now);
    if (before == null || !before.saysTheSame(now)) {
      timers.execute(whenHeard);
    }
  }

  private boolean newer(PullRequest request) {
    return config != null && edition > request.configVersion
        || newerList(request)
        || viewVersion != request.viewVersion;
  }

  private boolean newerList(PullRequest request) {
    return servers != null
        && (listEpoch > request.serverListEpoch
            || listEpoch == request.serverListEpoch && listVersion > request.serverListVersion);
  }

  private PullResponse response(PullRequest request) {
    PullResponse response = new PullResponse();
    response.configVersion = edition;
    response.config = edition > request.configVersion ? config : null;
    response.serverListEpoch = listEpoch;
    response.serverListVersion = listVersion;
    response.servers = newerList(request) ? servers : null;
    response.serverListAgeMs = servers == null ? -1 : Math.max(0, timers.now() - listTakenAt);
    response.viewVersion = viewVersion;
    response.view = viewVersion != request.viewVersion ? views.apply(request) : null;
    return response;
  }

  private void waited(String who, CompletableFuture<PullResponse> answer) {
    Held mine = held.get(who);
    if (mine != null && mine.answer() == answer) {
      held.remove(who);
      answer(mine);
    }
  }

  /** Several changes of one moment are told together. */
  private void changed() {
    if (!releasing) {
      releasing = true;
      timers.execute(this::release);
    }
  }

  private void release() {
    releasing = false;
    List<Held> ready = new ArrayList<>();
    held.values().removeIf(one -> newer(one.request()) && ready.add(one));
    for (Held one : ready) {
      answer(one);
    }
  }

  private void answer(Held one) {
    one.timer().cancel();
    one.answer().complete(response(one.request()));
  }
}
