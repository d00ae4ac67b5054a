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
import willowdoor.front.discovery.RosterNews;
import willowdoor.front.loop.Clock;
import willowdoor.front.loop.Tally;
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
public final class PolicyDriver {

  private static final Logger LOG = Logger.getLogger(PolicyDriver.class.getName());

  /** A module that failed on its wake-up is woken again after this. */
  private static final long TIMER_RETRY_MS = 100;

  /** Where attempts go, each to its one end. */
  public interface Backends {
    void onRoster(RosterNews news);

    /** Ends all that has not reached the backend yet. */
    void cancelUnsent(long backend);

    void start(long backend, Attempt attempt);
  }

  /** Where calls to the counter go; the end of each comes back as an event. */
  public interface Counter {
    void add(String name, double amount, double ttlMs);
  }

  /** Who waits for the one final answer. */
  public interface Client {
    /** When the last bytes that were read of the request can have come at the earliest. */
    double arrivedAt();

    /** The whole answer; both are only lent, and the body is null where it is empty. */
    void sendResponse(HttpResponse head, ByteBuf body);

    void sendRefusal(double retryAfterMs);

    void sendFailure();

    /**
     * An answer that comes in pieces, each of which is taken over; from is held back where they
     * pile up.
     */
    void beginResponse(HttpResponse head, Attempt.Connection connection);

    void sendPiece(ByteBuf piece);

    void finishResponse();

    /** It will not be finished, and the client must see that. */
    void abortResponse();
  }

  private final EventLoop loop;
  private final Clock clock;
  private final QuotaPolicy policy;
  private final Backends backends;
  private final Tally tally;
  private Counter counter;
  private final Map<String, PendingRequest> requests = new HashMap<>();
  private final EventQueue eventQueue;
  private int heldBytes;
  private double processDeadlineMs = Double.POSITIVE_INFINITY;

  public PolicyDriver(
      EventLoop loop, Clock clock, QuotaPolicy policy, Backends backends, Tally tally) {
    this.tally = tally;
    this.loop = loop;
    this.clock = clock;
    this.policy = policy;
    this.backends = backends;
    eventQueue = new EventQueue(loop, clock, this::handle);
  }

  public void start(Counter counter, RosterNews known) {
    this.counter = counter;
    policy.start(clock.now()).forEach(this::execute);
    backends.onRoster(known);
    deliver(new BackendList(BackendListKind.CACHED, known.entries()));
  }

  public int requestCount() {
    return requests.size();
  }

  /** Bytes of the bodies held. */
  public int heldBytes() {
    return heldBytes;
  }

  /** What the module has to tell the log. */
  public String policyStats() {
    return policy.summarizeStats();
  }

  public boolean isPending(String id) {
    return requests.containsKey(id);
  }

  /** Takes a request and its message, which is kept until no attempt needs it. */
  public void submit(ParsedRequest parsed, OutgoingRequest message, Client client) {
    PendingRequest r = new PendingRequest(this, parsed, message, client);
    requests.put(parsed.id(), r);
    heldBytes += r.prefixBytes;
    r.startBudget();
    deliver(parsed.toRequest(r.budget));
  }

  double now() {
    return clock.now();
  }

  /** When the process ends at the latest, on the clock. */
  double processDeadlineMs() {
    return processDeadlineMs;
  }

  /** So many bytes of bodies are kept no more. */
  void releaseBytes(int bytes) {
    heldBytes -= bytes;
  }

  void remove(PendingRequest r) {
    requests.remove(r.parsed.id(), r);
  }

  Future<?> schedule(double ms, Runnable task) {
    return loop.schedule(task, (long) (ms * 1000), TimeUnit.MICROSECONDS);
  }

  public void onClientDisconnected(String id) {
    PendingRequest r = requests.get(id);
    if (r != null && r.finish()) {
      deliver(new ClientDisconnected(id));
      if (r.streamingAttempt != null || !r.message.whole()) {
        List.copyOf(r.attempts).forEach(a -> a.abandon(Status.CANCELLED));
      }
      r.removeIfDone();
    }
  }

  public void onCounterResult(CounterResult result) {
    deliver(result);
  }

  /**
   * The connections know the list first, as the module sends by it at once; the module knows it
   * before it hears of the attempts that the list ends, or it would send them to the same places
   * again.
   */
  public void onRoster(RosterNews news) {
    eventQueue.addList(
        new BackendList(
            news.full() ? BackendListKind.COMPLETE : BackendListKind.CHANGES, news.entries()),
        () -> backends.onRoster(news));
  }

  /** Whether operators may name this backend. */
  public boolean isKnownBackend(String host) {
    return policy.isKnown(RosterNews.number(host));
  }

  /** Takes a backend out or puts it back. */
  public void setExcluded(String host, boolean excluded) {
    long id = RosterNews.number(host);
    deliver(new BackendExclusion(id, excluded));
    if (excluded) {
      backends.cancelUnsent(id);
    }
  }

  /**
   * The process is about to end: all that is unanswered by then fails, and so does what still
   * comes.
   */
  public void shutDownWithin(double ms) {
    processDeadlineMs = clock.now() + ms;
    requests.values().forEach(PendingRequest::capBudget);
    schedule(ms, () -> List.copyOf(requests.values()).forEach(this::fail));
  }

  void failAtDeadline(PendingRequest r) {
    tally.count(Tally.Event.LAST_CALL);
    fail(r);
  }

  /**
   * The net under the module: a request that it left unanswered fails while its client still
   * listens.
   */
  private void fail(PendingRequest r) {
    if (r.finish()) {
      if (r.streamingAttempt == null) {
        r.client.sendFailure();
      } else {
        r.client.abortResponse();
        r.streamingAttempt.abandon(Status.CANCELLED);
      }
      deliver(new ClientDisconnected(r.parsed.id()));
      r.removeIfDone();
    }
  }

  void deliver(Event event) {
    eventQueue.add(event);
  }

  private void handle(Event event) {
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
      loop.schedule(() -> deliver(event), TIMER_RETRY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void failId(String id) {
    PendingRequest r = requests.get(id);
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
      startTimer(a);
    } else if (action instanceof Refuse a) {
      PendingRequest r = requests.get(a.request());
      if (r != null && r.finish()) {
        r.client.sendRefusal(a.retryAfterMs());
        r.removeIfDone();
      }
    } else if (action instanceof Fail a) {
      PendingRequest r = requests.get(a.request());
      if (r != null && r.finish()) {
        r.client.sendFailure();
        r.removeIfDone();
      }
    } else if (action instanceof Cancel a) {
      PendingRequest r = requests.get(a.request());
      if (r != null
          && a.attempt() < r.attempts.size()
          && r.attempts.get(a.attempt()) != r.streamingAttempt) {
        r.attempts.get(a.attempt()).abandon(Status.CANCELLED);
      }
    }
    // FollowRoster needs nothing: the list is watched from the start.
  }

  /**
   * Never early: the module lets a wake-up pass that comes before its time, and then none would
   * follow.
   */
  private void startTimer(SetTimer a) {
    double delayMs = Math.max(0, a.atMs() - clock.now());
    loop.schedule(
        () -> deliver(new TimerFired(a.label())),
        (long) Math.ceil(delayMs * 1000) + 1,
        TimeUnit.MICROSECONDS);
  }

  private void send(Send a) {
    PendingRequest r = requests.get(a.request());
    if (r == null || r.finished) {
      int attempt = r == null ? 0 : r.attempts.size();
      deliver(new Outcome(a.request(), attempt, a.backend(), Status.NOT_SENT, 0, true, 0, null));
      return;
    }
    int number = r.attempts.size();
    double now = clock.now();
    double ownLimitMs = a.timeoutMs() > 0 ? a.timeoutMs() : Double.POSITIVE_INFINITY;
    double limitMs = r.budget.limitMs(ownLimitMs, now);
    tally.began(r.budget.fractionLeft(now));
    RequestAttempt attempt =
        new RequestAttempt(r, number, a.backend(), now + limitMs, a.writtenByMs());
    attempt.startTimer(schedule(limitMs, () -> attempt.abandon(attempt.statusIfTimedOut())));
    r.attempts.add(attempt);
    r.attemptsInFlight++;
    if (a.writtenByMs() < now + limitMs) {
      schedule(Math.max(0, a.writtenByMs() - now), attempt::onWriteDeadline);
    }
    backends.start(a.backend(), attempt);
  }
}
