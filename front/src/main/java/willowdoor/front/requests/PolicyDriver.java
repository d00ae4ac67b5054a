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
 * Passes events to the policy and executes the actions that it returns; the only caller of the
 * policy. Holds the table of pending requests and of their attempts in flight. Everything runs on
 * the event loop's thread.
 */
public final class PolicyDriver {

  private static final Logger LOG = Logger.getLogger(PolicyDriver.class.getName());

  /** Delay before a timer event is delivered again after the policy failed on it. */
  private static final long TIMER_RETRY_MS = 100;

  /** Starts attempts at backends. Each attempt ends exactly once. */
  public interface Backends {
    void onRoster(BackendListUpdate news);

    /** Ends the attempts that have not been written to the backend yet. */
    void cancelUnsent(long backend);

    void start(long backend, Attempt attempt);
  }

  /** Sends calls to the counter. The result of each call comes back as an event. */
  public interface Counter {
    void add(String name, double amount, double ttlMs);
  }

  /** Receives the single final answer of a request. */
  public interface Client {
    /** The earliest time at which the last bytes read of the request can have arrived. */
    double arrivedAt();

    /**
     * Sends a complete response. The caller keeps ownership of the head and the body; the body is
     * null if it is empty.
     */
    void sendResponse(HttpResponse head, ByteBuf body);

    void sendRefusal(double retryAfterMs);

    void sendFailure();

    /**
     * Begins a response that is streamed in pieces, each of which this client takes ownership of.
     * Reading from the connection is paused while unsent pieces accumulate.
     */
    void beginResponse(HttpResponse head, Attempt.Connection connection);

    void sendPiece(ByteBuf piece);

    void finishResponse();

    /** Aborts a streamed response in a way that the client can detect. */
    void abortResponse();
  }

  private final EventLoop loop;
  private final Clock clock;
  private final QuotaPolicy policy;
  private final Backends backends;
  private final EventCounters tally;
  private Counter counter;
  private final Map<String, PendingRequest> requests = new HashMap<>();
  private final EventQueue eventQueue;
  private int heldBytes;
  private double processDeadlineMs = Double.POSITIVE_INFINITY;

  public PolicyDriver(
      EventLoop loop, Clock clock, QuotaPolicy policy, Backends backends, EventCounters tally) {
    this.tally = tally;
    this.loop = loop;
    this.clock = clock;
    this.policy = policy;
    this.backends = backends;
    eventQueue = new EventQueue(loop, clock, this::handle);
  }

  public void start(Counter counter, BackendListUpdate known) {
    this.counter = counter;
    policy.start(clock.now()).forEach(this::execute);
    backends.onRoster(known);
    deliver(new BackendList(BackendListKind.CACHED, known.entries()));
  }

  public int requestCount() {
    return requests.size();
  }

  /** Bytes of request bodies that are kept in memory. */
  public int heldBytes() {
    return heldBytes;
  }

  /** The policy's statistics for the log. */
  public String policyStats() {
    return policy.summarizeStats();
  }

  public boolean isPending(String id) {
    return requests.containsKey(id);
  }

  /** Submits a request to the policy. Its message is kept until no attempt needs it. */
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

  /** The latest time at which the process ends, on the clock. */
  double processDeadlineMs() {
    return processDeadlineMs;
  }

  /** Subtracts bytes of request bodies that are no longer kept. */
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
   * Applies a backend list. The connections to the backends get the list first, because the policy
   * uses it for sending at once. The policy gets the list before the outcomes of the attempts that
   * the list ends; otherwise it would send those requests to the same backends again.
   */
  public void onRoster(BackendListUpdate news) {
    eventQueue.addList(
        new BackendList(
            news.full() ? BackendListKind.COMPLETE : BackendListKind.CHANGES, news.entries()),
        () -> backends.onRoster(news));
  }

  /** Whether the policy knows this backend, so that operators may name it. */
  public boolean isKnownBackend(String host) {
    return policy.isKnown(BackendListUpdate.hashId(host));
  }

  /** Excludes a backend or includes it again. */
  public void setExcluded(String host, boolean excluded) {
    long id = BackendListUpdate.hashId(host);
    deliver(new BackendExclusion(id, excluded));
    if (excluded) {
      backends.cancelUnsent(id);
    }
  }

  /**
   * Bounds all requests by the end of the process, which is due in the given time. Requests that
   * are unanswered by then fail, and so do requests that arrive until then.
   */
  public void shutDownWithin(double ms) {
    processDeadlineMs = clock.now() + ms;
    requests.values().forEach(PendingRequest::capBudget);
    schedule(ms, () -> List.copyOf(requests.values()).forEach(this::fail));
  }

  void failAtDeadline(PendingRequest r) {
    tally.count(EventCounters.Event.LAST_CALL);
    fail(r);
  }

  /** Fails a request that the policy left unanswered, while its client still waits. */
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
      LOG.log(Level.SEVERE, "policy failed on event " + event, e);
      recover(event);
      return;
    }
    for (Action action : actions) {
      try {
        execute(action);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "could not execute action " + action, e);
      }
    }
  }

  /** A fault in the policy fails only the request whose event caused it; the process goes on. */
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
    // FollowRoster needs no action: the list of backends is watched from the start.
  }

  /**
   * Delivers a timer event, never early: the policy ignores an event that arrives before its time,
   * and no further event would follow.
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
    tally.countAttempt(r.budget.fractionLeft(now));
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
