package elmsail.gateway.requests;

import elmsail.batch.ItemServers.RunOutcome;
import elmsail.batch.ItemServers.RunListener;
import elmsail.batch.ItemServers.RunHandle;
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
  private static final long LOOK_MS = 250;

  /** A look that comes so late says more of this process than of the server. */
  private static final long LATE_MS = 150;

  /** A run that told nothing for so long is cut where its server is dark or gone. */
  private static final long SILENT_MS = 3_000;

  /** And after so long where its server says that places are free: it waits for none. */
  private static final long IDLE_SERVER_MS = 4_000;

  private final Timers timers;
  private final RunListener heard;
  private final EventSplitter events = new EventSplitter(this::event);
  private Attempt one;
  private Outcome outcome;
  private int status;
  private boolean stream;
  private long last;
  private boolean over;
  private long heardAt;
  private Timer look;

  ItemRun(Timers timers, long lastEventId, RunListener heard) {
    this.timers = timers;
    this.last = lastEventId;
    this.heard = heard;
  }

  void on(Attempt begun) {
    one = begun;
    heardAt = timers.now();
    look(heardAt);
  }

  private void look(long lastLook) {
    look =
        timers.schedule(
            LOOK_MS,
            () -> {
              long now = timers.now();
              if (now - lastLook <= LOOK_MS + LATE_MS && stuck(now)) {
                broken();
              } else {
                look(now);
              }
            });
  }

  private boolean stuck(long now) {
    long silence = now - heardAt;
    Server server = one.server();
    return silence >= SILENT_MS && (server.gone() || server.dark(now))
        || silence >= IDLE_SERVER_MS && server.toldIdle(now);
  }

  @Override
  public void cancel() {
    if (!over) {
      finish();
      one.cancel();
    }
  }

  private void finish() {
    over = true;
    events.clear();
    look.cancel();
  }

  @Override
  public void head(HttpResponse head) {
    heardAt = timers.now();
    status = head.status().code();
    outcome =
        Outcome.answered(
            status,
            head.headers().contains(Headers.NOT_RUN),
            head.headers().contains(Headers.POSTMARK));
    boolean success = status >= 200 && status < 300;
    stream = success && outcome == Outcome.ANSWERED;
    if (success && !stream) {
      broken();
    }
  }

  @Override
  public void data(ByteBuf piece) {
    heardAt = timers.now();
    if (!stream) {
      piece.release();
    } else if (!events.feed(piece) && !over) {
      broken();
    }
  }

  /** Each event follows the one before it; the first of all may bear any number. */
  private boolean event(long id, ByteBuf raw) {
    byte[] data = EventSplitter.data(raw);
    raw.release();
    if (over) {
      return false;
    }
    if (id < 0) {
      return data == null; // a comment; data that stands nowhere cannot be joined
    }
    if (last >= 0 && id != last + 1) {
      return false;
    }
    last = id;
    heard.onEvent(id, data == null ? new byte[0] : data);
    return !over;
  }

  private void broken() {
    one.cancel();
    end(RunOutcome.BROKEN);
  }

  @Override
  public void whole() {
    if (stream) {
      end(events.partial() ? RunOutcome.BROKEN : RunOutcome.WHOLE);
    } else if (outcome == Outcome.NOT_RUN) {
      end(RunOutcome.NOT_RUN);
    } else if (outcome == Outcome.ANSWERED && status == 500) {
      end(RunOutcome.FAILED);
    } else if (outcome == Outcome.ANSWERED && status == 422) {
      end(RunOutcome.NEVER);
    } else {
      end(RunOutcome.BROKEN);
    }
  }

  @Override
  public void failed(boolean sent) {
    end(sent ? RunOutcome.BROKEN : RunOutcome.NOT_RUN);
  }

  private void end(RunOutcome how) {
    if (!over) {
      finish();
      heard.onEnded(how);
    }
  }
}
