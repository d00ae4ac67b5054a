package elmsail.gateway.requests;

import elmsail.batch.ItemServers.RunHandle;
import elmsail.batch.ItemServers.RunListener;
import elmsail.batch.ItemServers.RunOutcome;
import elmsail.gateway.http.Headers;
import elmsail.gateway.servers.Attempt;
import elmsail.gateway.servers.AttemptListener;
import elmsail.gateway.servers.Server;
import elmsail.runtime.Timers;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One attempt of a batch item at one server: delivers the complete events of the response in order.
 * An item has no deadline, and a server that is partitioned or removed may never close the
 * connection; so the run checks periodically whether the server can still be expected to respond.
 * Owned by the gateway's event loop.
 */
final class ItemRun implements RunHandle, AttemptListener {
  private static final long CHECK_INTERVAL_MS = 250;

  /** A run that receives no bytes for this time ends if its server is unresponsive or removed. */
  private static final long UNRESPONSIVE_SERVER_TIMEOUT_MS = 3_000;

  /**
   * A run that receives no bytes for this time ends if its server reports no queue and free slots,
   * because the item is not queued there.
   */
  private static final long IDLE_SERVER_TIMEOUT_MS = 4_000;

  private final Timers timers;
  private final RunListener listener;
  private final ServerSentEventSplitter splitter = new ServerSentEventSplitter(this::onEvent);
  private Attempt attempt;
  private AttemptOutcome outcome;
  private int status;
  private boolean isEventStream;
  private long lastEventId;
  private boolean finished;
  private long lastReceivedAt;
  private final PeriodicCheck serverCheck;

  /** Creates a run that expects the event after {@code lastEventId}, or any first event if -1. */
  ItemRun(Timers timers, long lastEventId, RunListener listener) {
    this.timers = timers;
    this.lastEventId = lastEventId;
    this.listener = listener;
    serverCheck = new PeriodicCheck(timers, CHECK_INTERVAL_MS, this::checkServer);
  }

  void onStarted(Attempt started) {
    attempt = started;
    lastReceivedAt = timers.now();
    serverCheck.start();
  }

  private void checkServer() {
    if (isStuck(timers.now())) {
      abort();
    }
  }

  private boolean isStuck(long now) {
    long silenceMs = now - lastReceivedAt;
    Server server = attempt.server();
    return silenceMs >= UNRESPONSIVE_SERVER_TIMEOUT_MS
            && (server.isRemoved() || server.isUnresponsive(now))
        || silenceMs >= IDLE_SERVER_TIMEOUT_MS && server.reportsIdle(now);
  }

  @Override
  public void cancel() {
    if (!finished) {
      finish();
      attempt.cancel();
    }
  }

  private void finish() {
    finished = true;
    splitter.discard();
    serverCheck.cancel();
  }

  @Override
  public void onHead(HttpResponse head) {
    lastReceivedAt = timers.now();
    status = head.status().code();
    outcome =
        AttemptOutcome.ofResponse(
            status,
            head.headers().contains(Headers.NOT_RUN),
            head.headers().contains(Headers.POSTMARK));
    boolean success = status >= 200 && status < 300;
    isEventStream = success && outcome == AttemptOutcome.RESPONDED;
    if (success && !isEventStream) {
      abort();
    }
  }

  @Override
  public void onData(ByteBuf bytes) {
    lastReceivedAt = timers.now();
    if (!isEventStream) {
      bytes.release();
    } else if (!splitter.feed(bytes) && !finished) {
      abort();
    }
  }

  /** Event ids must be consecutive; the first event of an item may have any id. */
  private boolean onEvent(long id, ByteBuf raw) {
    byte[] data = ServerSentEventSplitter.data(raw);
    raw.release();
    if (finished) {
      return false;
    }
    if (id < 0) {
      return data == null; // accepts a comment; data without an id has no position among the events
    }
    if (lastEventId >= 0 && id != lastEventId + 1) {
      return false;
    }
    lastEventId = id;
    listener.onEvent(id, data == null ? new byte[0] : data);
    return !finished;
  }

  private void abort() {
    attempt.cancel();
    end(RunOutcome.OUTCOME_UNKNOWN);
  }

  @Override
  public void onComplete() {
    if (isEventStream) {
      end(splitter.hasPartialEvent() ? RunOutcome.OUTCOME_UNKNOWN : RunOutcome.COMPLETED);
    } else if (outcome == AttemptOutcome.NOT_RUN) {
      end(RunOutcome.NOT_RUN);
    } else if (outcome == AttemptOutcome.RESPONDED && status == 500) {
      end(RunOutcome.FAILED);
    } else if (outcome == AttemptOutcome.RESPONDED && status == 422) {
      end(RunOutcome.REJECTED);
    } else {
      end(RunOutcome.OUTCOME_UNKNOWN);
    }
  }

  @Override
  public void onFailure(boolean sent) {
    end(sent ? RunOutcome.OUTCOME_UNKNOWN : RunOutcome.NOT_RUN);
  }

  private void end(RunOutcome runOutcome) {
    if (!finished) {
      finish();
      listener.onEnded(runOutcome);
    }
  }
}
