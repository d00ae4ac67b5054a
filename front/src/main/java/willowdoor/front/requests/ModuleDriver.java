package willowdoor.front.requests;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.front.discovery.BackendListUpdate;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.EventCounters;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.AddToCounter;
import willowdoor.policy.GatewayApi.BackendExclusion;
import willowdoor.policy.GatewayApi.BackendList;
import willowdoor.policy.GatewayApi.BackendListKind;
import willowdoor.policy.GatewayApi.Cancel;
import willowdoor.policy.GatewayApi.ClientDisconnected;
import willowdoor.policy.GatewayApi.CounterResult;
import willowdoor.policy.GatewayApi.Event;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.SetTimer;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.TimerFired;
import willowdoor.policy.QuotaPolicy;

/**
 * Takes events to the module and its actions to the sockets; the only caller of the module. Holds
 * the table of requests taken and attempts out. All on the event loop's thread.
 */
public final class ModuleDriver {

  private static final Logger LOG = Logger.getLogger(ModuleDriver.class.getName());

  /** A module that failed on its wake-up is woken again after this. */
  private static final long WAKE_AGAIN_MS = 100;

  /** Where attempts go, each to its one end. */
  public interface Servers {
    void onRoster(BackendListUpdate news);

    /** Ends all that has not reached the backend yet. */
    void cut(long backend);

    void start(long backend, Attempt attempt);
  }

  /** Where calls to the counter go; the end of each comes back as an event. */
  public interface Calls {
    void add(String name, double amount, double ttlMs);
  }

  /** Who waits for the one final answer. */
  public interface Client {
    /** When the last bytes that were read of the request can have come at the earliest. */
    double cameAt();

    /** The whole answer; both are only lent, and the body is null where it is empty. */
    void served(HttpResponse head, ByteBuf body);

    void refused(double holdOffMs);

    void failed();

    /**
     * An answer that comes in pieces, each of which is taken over; from is held back where they
     * pile up.
     */
    void begin(HttpResponse head, Attempt.Carrier from);

    void piece(ByteBuf piece);

    void finish();

    /** It will not be finished, and the client must see that. */
    void cut();
  }

  private final EventLoop loop;
  private final Clock clock;
  private final QuotaPolicy policy;
  private final Servers backends;
  private final EventCounters tally;
  private Calls counter;
  private final Map<String, Live> live = new HashMap<>();
  private final Inbox inbox;
  private int heldBytes;
  private double processEndsAt = Double.POSITIVE_INFINITY;

  public ModuleDriver(
      EventLoop loop, Clock clock, QuotaPolicy policy, Servers backends, EventCounters tally) {
    this.tally = tally;
    this.loop = loop;
    this.clock = clock;
    this.policy = policy;
    this.backends = backends;
    inbox = new Inbox(loop, clock, this::step);
  }

  public void start(Calls counter, BackendListUpdate known) {
    this.counter = counter;
    policy.start(clock.now()).forEach(this::execute);
    backends.onRoster(known);
    deliver(new BackendList(BackendListKind.CACHED, known.entries()));
  }

  public int held() {
    return live.size();
  }

  /** Bytes of the bodies held. */
  public int heldBytes() {
    return heldBytes;
  }

  /** What the module has to tell the log. */
  public String figures() {
    return policy.summarizeStats();
  }

  public boolean holds(String id) {
    return live.containsKey(id);
  }

  /** Takes a request and its message, which is kept until no attempt needs it. */
  public void take(Asked asked, Outgoing message, Client client) {
    Live r = new Live(this, asked, message, client);
    live.put(asked.id(), r);
    heldBytes += r.held;
    r.begins();
    deliver(asked.within(r.budget));
  }

  double now() {
    return clock.now();
  }

  /** When the process ends at the latest, on the clock. */
  double processEndsAt() {
    return processEndsAt;
  }

  /** So many bytes of bodies are kept no more. */
  void freed(int bytes) {
    heldBytes -= bytes;
  }

  void forget(Live r) {
    live.remove(r.asked.id(), r);
  }

  Future<?> after(double ms, Runnable task) {
    return loop.schedule(task, (long) (ms * 1000), TimeUnit.MICROSECONDS);
  }

  public void clientLeft(String id) {
    Live r = live.get(id);
    if (r != null && r.finish()) {
      deliver(new ClientDisconnected(id));
      if (r.begun != null || !r.message.whole()) {
        List.copyOf(r.attempts).forEach(a -> a.abandon(Status.CANCELLED));
      }
      r.forgetIfDone();
    }
  }

  public void onCounted(CounterResult counted) {
    deliver(counted);
  }

  /**
   * The connections know the list first, as the module sends by it at once; the module knows it
   * before it hears of the attempts that the list ends, or it would send them to the same places
   * again.
   */
  public void onRoster(BackendListUpdate news) {
    inbox.addList(
        new BackendList(
            news.full() ? BackendListKind.COMPLETE : BackendListKind.CHANGES, news.entries()),
        () -> backends.onRoster(news));
  }

  /** Whether operators may name this backend. */
  public boolean knows(String host) {
    return policy.isKnown(BackendListUpdate.hashId(host));
  }

  /** Takes a backend out or puts it back. */
  public void ban(String host, boolean out) {
    long id = BackendListUpdate.hashId(host);
    deliver(new BackendExclusion(id, out));
    if (out) {
      backends.cut(id);
    }
  }

  /**
   * The process is about to end: all that is unanswered by then fails, and so does what still
   * comes.
   */
  public void endWithin(double ms) {
    processEndsAt = clock.now() + ms;
    live.values().forEach(Live::cut);
    after(ms, () -> List.copyOf(live.values()).forEach(this::fail));
  }

  void lastCall(Live r) {
    tally.count(EventCounters.Event.LAST_CALL);
    fail(r);
  }

  /**
   * The net under the module: a request that it left unanswered fails while its client still
   * listens.
   */
  private void fail(Live r) {
    if (r.finish()) {
      if (r.begun == null) {
        r.client.failed();
      } else {
        r.client.cut();
        r.begun.abandon(Status.CANCELLED);
      }
      deliver(new ClientDisconnected(r.asked.id()));
      r.forgetIfDone();
    }
  }

  void deliver(Event event) {
    inbox.add(event);
  }

  private void step(Event event) {
    List<Action> actions;
    try {
      actions = policy.on(clock.now(), event);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "the module failed on " + event, e);
      recover(event);
      return;
    }
    for (Action action : actions) {
      try {
        execute(action);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "could not do " + action, e);
      }
    }
  }

  /** A fault in the module costs the request it came up with, never the process. */
  private void recover(Event event) {
    if (event instanceof Request e) {
      failId(e.id());
    } else if (event instanceof Outcome e) {
      failId(e.request());
    } else if (event instanceof TimerFired) {
      loop.schedule(() -> deliver(event), WAKE_AGAIN_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void failId(String id) {
    Live r = live.get(id);
    if (r != null) {
      fail(r);
    }
  }

  private void execute(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof AddToCounter a) {
      counter.add(a.name(), a.amount(), a.ttlMs());
    } else if (action instanceof SetTimer a) {
      wake(a);
    } else if (action instanceof Refuse a) {
      Live r = live.get(a.request());
      if (r != null && r.finish()) {
        r.client.refused(a.retryAfterMs());
        r.forgetIfDone();
      }
    } else if (action instanceof Fail a) {
      Live r = live.get(a.request());
      if (r != null && r.finish()) {
        r.client.failed();
        r.forgetIfDone();
      }
    } else if (action instanceof Cancel a) {
      Live r = live.get(a.request());
      if (r != null && a.attempt() < r.attempts.size() && r.attempts.get(a.attempt()) != r.begun) {
        r.attempts.get(a.attempt()).abandon(Status.CANCELLED);
      }
    }
    // FollowRoster needs nothing: the list is watched from the start.
  }

  /**
   * Never early: the module lets a wake-up pass that comes before its time, and then none would
   * follow.
   */
  private void wake(SetTimer a) {
    double wait = Math.max(0, a.atMs() - clock.now());
    loop.schedule(
        () -> deliver(new TimerFired(a.label())),
        (long) Math.ceil(wait * 1000) + 1,
        TimeUnit.MICROSECONDS);
  }

  private void send(Send a) {
    Live r = live.get(a.request());
    if (r == null || r.finished) {
      int attempt = r == null ? 0 : r.attempts.size();
      deliver(new Outcome(a.request(), attempt, a.backend(), Status.NOT_SENT, 0, true, 0, null));
      return;
    }
    int number = r.attempts.size();
    double now = clock.now();
    double own = a.timeoutMs() > 0 ? a.timeoutMs() : Double.POSITIVE_INFINITY;
    double limit = r.budget.limitMs(own, now);
    tally.countAttempt(r.budget.shareLeft(now));
    Sent attempt = new Sent(r, number, a.backend(), now + limit, a.writtenByMs());
    attempt.startTimer(after(limit, () -> attempt.abandon(attempt.overdue())));
    r.attempts.add(attempt);
    r.out++;
    if (a.writtenByMs() < now + limit) {
      after(Math.max(0, a.writtenByMs() - now), attempt::lastByteDue);
    }
    backends.start(a.backend(), attempt);
  }
}
