package elmsail.gateway.requests;

import elmsail.batch.ItemServers.RunHandle;
import elmsail.batch.ItemServers.RunListener;
import elmsail.batch.ItemServers.RunOutcome;
import elmsail.gateway.http.Headers;
import elmsail.gateway.servers.Attempt;
import elmsail.gateway.servers.AttemptListener;
import elmsail.gateway.servers.Server;
import elmsail.runtime.Timers;
import elmsail.runtime.Timers.Timer;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One run of an item at one server: whole events are told as they come, in their order. It has no
 * deadline, so it looks by itself whether anything more is to be expected: a server that went dark
 * or left never closes the connection, and the item would be stuck there.
 */
final class ItemRun implements RunHandle, AttemptListener {
  private static final long CHECK_INTERVAL_MS = 250;

  /** A look that comes so late says more of this process than of the server. */
  private static final long MAX_CHECK_DELAY_MS = 150;

  /** A run that told nothing for so long is cut where its server is dark or gone. */
  private static final long UNRESPONSIVE_SERVER_TIMEOUT_MS = 3_000;

  /** And after so long where its server says that places are free: it waits for none. */
  private static final long IDLE_SERVER_TIMEOUT_MS = 4_000;

  private final Timers timers;
  private final RunListener listener;
  private final ServerSentEventSplitter events = new ServerSentEventSplitter(this::onEvent);
  private Attempt attempt;
  private AttemptOutcome outcome;
  private int status;
  private boolean isEventStream;
  private long lastEventId;
  private boolean finished;
  private long lastReceivedAt;
  private Timer checkTimer;

  ItemRun(Timers timers, long lastEventId, RunListener listener) {
    this.timers = timers;
    this.lastEventId = lastEventId;
    this.listener = listener;
  }

  void onStarted(Attempt started) {
    attempt = started;
    lastReceivedAt = timers.now();
    checkTimer(lastReceivedAt);
  }

  private void checkTimer(long lastCheckAt) {
    checkTimer =
        timers.schedule(
            CHECK_INTERVAL_MS,
            () -> {
              long now = timers.now();
              if (now - lastCheckAt <= CHECK_INTERVAL_MS + MAX_CHECK_DELAY_MS && isStuck(now)) {
                broken();
              } else {
                checkTimer(now);
              }
            });
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
    events.discard();
    checkTimer.cancel();
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
      broken();
    }
  }

  @Override
  public void onData(ByteBuf bytes) {
    lastReceivedAt = timers.now();
    if (!isEventStream) {
      bytes.release();
    } else if (!events.feed(bytes) && !finished) {
      broken();
    }
  }

  /** Each event follows the one before it; the first of all may bear any number. */
  private boolean onEvent(long id, ByteBuf raw) {
    byte[] data = ServerSentEventSplitter.data(raw);
    raw.release();
    if (finished) {
      return false;
    }
    if (id < 0) {
      return data == null; // a comment; data that stands nowhere cannot be joined
    }
    if (lastEventId >= 0 && id != lastEventId + 1) {
      return false;
    }
    lastEventId = id;
    listener.onEvent(id, data == null ? new byte[0] : data);
    return !finished;
  }

  private void broken() {
    attempt.cancel();
    end(RunOutcome.OUTCOME_UNKNOWN);
  }

  @Override
  public void onComplete() {
    if (isEventStream) {
      end(events.hasPartialEvent() ? RunOutcome.OUTCOME_UNKNOWN : RunOutcome.COMPLETED);
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

  private void end(RunOutcome result) {
    if (!finished) {
      finish();
      listener.onEnded(result);
    }
  }
}
