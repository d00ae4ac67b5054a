package willowdoor.front.requests;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.StreamStarted;

/** An attempt of a request that is in the table. */
final class Sent extends Attempt {
  private final ModuleDriver driver;
  private final Live r;
  private final int number;
  private final long backend;
  private double sentAt;

  /** When its answer's head came. */
  private double headAt = Double.NaN;

  private boolean streams;

  Sent(Live r, int number, long backend, double endsAt, double writtenBy) {
    super(r.message, endsAt, writtenBy);
    this.r = r;
    driver = r.driver;
    sentAt = driver.now();
    this.number = number;
    this.backend = backend;
  }

  /**
   * From now on its last byte must not arrive any more. A short one that is with the kernel has
   * arrived; of a long one only the answer tells.
   */
  void lastByteDue() {
    if (!written() || !r.message.leavesAtOnce() && Double.isNaN(headAt)) {
      abandon(overdue());
    }
  }

  /** No time runs while the client sends on. */
  @Override
  public void onSpent() {
    if (!streams) {
      streams = true;
      stopTimer();
      r.lastCall.cancel(false);
      driver.deliver(new StreamStarted(r.asked.id(), number));
    }
  }

  /** The request's time counts from its last byte. */
  @Override
  public void onSent() {
    sentAt = driver.now();
    if (!r.finished && r.begun == null) {
      r.begins();
      startTimer(
          driver.after(
              r.budget.limitMs(Double.POSITIVE_INFINITY, sentAt), () -> abandon(overdue())));
    }
  }

  @Override
  public void onHead() {
    headAt = driver.now();
  }

  @Override
  public boolean onBegin(HttpResponse head) {
    if (r.finished || r.begun != null) {
      return false;
    }
    r.begun = this;
    stopTimer();
    r.lastCall.cancel(false);
    r.client.begin(head, carrier());
    driver.deliver(new StreamStarted(r.asked.id(), number));
    return true;
  }

  @Override
  public void onPiece(ByteBuf piece) {
    if (r.finished) {
      piece.release();
    } else {
      r.client.piece(piece);
    }
  }

  @Override
  protected void onEnd(Status status, HttpResponse head, ByteBuf body) {
    r.out--;
    boolean last = r.begun == this ? r.finish() : status == Status.OK && r.finish();
    if (last && r.begun != this) {
      r.client.served(head, body);
    } else if (last && status == Status.OK) {
      r.client.finish();
    } else if (last) {
      r.client.cut();
    }
    double units = status == Status.OK ? units(head.headers().get(Headers.UNITS_CHARGED)) : 0;
    double until = Double.isNaN(headAt) ? driver.now() : headAt;
    driver.deliver(
        new Outcome(
            r.asked.id(),
            number,
            backend,
            status,
            Math.max(0, until - sentAt),
            r.finished,
            units,
            null));
    r.forgetIfDone();
  }

  private static double units(String header) {
    try {
      double units = header == null ? 0 : Double.parseDouble(header);
      return Double.isFinite(units) && units > 0 ? units : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
