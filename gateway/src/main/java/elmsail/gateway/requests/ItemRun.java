package elmsail.gateway.requests;

import elmsail.batch.ItemServers.Ended;
import elmsail.batch.ItemServers.RunListener;
import elmsail.batch.ItemServers.Running;
import elmsail.gateway.http.Headers;
import elmsail.gateway.servers.Attempt;
import elmsail.gateway.servers.AttemptListener;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** One run of an item at one server: whole events are told as they come, in their order. */
final class ItemRun implements Running, AttemptListener {
  private final RunListener heard;
  private final EventSplitter events = new EventSplitter(this::event);
  private Attempt one;
  private Outcome outcome;
  private int status;
  private boolean stream;
  private long last;
  private boolean over;

  ItemRun(long lastEventId, RunListener heard) {
    this.last = lastEventId;
    this.heard = heard;
  }

  void on(Attempt begun) {
    one = begun;
  }

  @Override
  public void cancel() {
    if (!over) {
      over = true;
      events.clear();
      one.cancel();
    }
  }

  @Override
  public void head(HttpResponse head) {
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
    heard.event(id, data == null ? new byte[0] : data);
    return !over;
  }

  private void broken() {
    one.cancel();
    end(Ended.BROKEN);
  }

  @Override
  public void whole() {
    if (stream) {
      end(events.partial() ? Ended.BROKEN : Ended.WHOLE);
    } else if (outcome == Outcome.NOT_RUN) {
      end(Ended.NOT_RUN);
    } else if (outcome == Outcome.ANSWERED && status == 500) {
      end(Ended.FAILED);
    } else if (outcome == Outcome.ANSWERED && status == 422) {
      end(Ended.NEVER);
    } else {
      end(Ended.BROKEN);
    }
  }

  @Override
  public void failed(boolean sent) {
    end(sent ? Ended.BROKEN : Ended.NOT_RUN);
  }

  private void end(Ended how) {
    if (!over) {
      over = true;
      events.clear();
      heard.ended(how);
    }
  }
}
