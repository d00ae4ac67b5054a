package willowdoor.front.requests;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.StreamStarted;

/** An attempt of a request that is in the driver's table. */
final class RequestAttempt extends Attempt {
  private final PolicyDriver driver;
  private final PendingRequest request;
  private final int number;
  private final long backend;
  private double sentAt;

  /** When the response's head arrived; NaN before. */
  private double headAt = Double.NaN;

  private boolean streamingBody;

  RequestAttempt(
      PendingRequest request, int number, long backend, double deadlineMs, double writeDeadlineMs) {
    super(request.message, deadlineMs, writeDeadlineMs);
    this.request = request;
    driver = request.driver;
    sentAt = driver.now();
    this.number = number;
    this.backend = backend;
  }

  /**
   * Called at the write deadline: the last byte must not reach the backend from now on. A short
   * request that was written to the kernel counts as arrived. For a long one, only the response's
   * head proves that it arrived.
   */
  void onWriteDeadline() {
    if (!written() || !request.message.fitsInitialWindow() && Double.isNaN(headAt)) {
      abandon(statusIfTimedOut());
    }
  }

  /** Stops the timers, because no time limit applies while the client still sends the body. */
  @Override
  public void onBeyondPrefix() {
    if (!streamingBody) {
      streamingBody = true;
      stopTimer();
      request.finalAnswerTimer.cancel(false);
      driver.deliver(new StreamStarted(request.parsed.id(), number));
    }
  }

  /** Starts the request's time, which counts from its last byte. */
  @Override
  public void onLastPiece() {
    sentAt = driver.now();
    if (!request.finished && request.streamingAttempt == null) {
      request.startBudget();
      startTimer(
          driver.schedule(
              request.budget.limitMs(Double.POSITIVE_INFINITY, sentAt),
              () -> abandon(statusIfTimedOut())));
    }
  }

  @Override
  public void onResponseHead() {
    headAt = driver.now();
  }

  @Override
  public boolean onStreamedResponse(HttpResponse head) {
    if (request.finished || request.streamingAttempt != null) {
      return false;
    }
    request.streamingAttempt = this;
    stopTimer();
    request.finalAnswerTimer.cancel(false);
    request.client.beginResponse(head, connection());
    driver.deliver(new StreamStarted(request.parsed.id(), number));
    return true;
  }

  @Override
  public void onResponsePiece(ByteBuf piece) {
    if (request.finished) {
      piece.release();
    } else {
      request.client.sendPiece(piece);
    }
  }

  @Override
  protected void onEnd(Status status, HttpResponse head, ByteBuf body) {
    request.attemptsInFlight--;
    boolean last =
        request.streamingAttempt == this
            ? request.finish()
            : status == Status.OK && request.finish();
    if (last && request.streamingAttempt != this) {
      request.client.sendResponse(head, body);
    } else if (last && status == Status.OK) {
      request.client.finishResponse();
    } else if (last) {
      request.client.abortResponse();
    }
    double units = status == Status.OK ? units(head.headers().get(Headers.UNITS_CHARGED)) : 0;
    double endedAt = Double.isNaN(headAt) ? driver.now() : headAt;
    driver.deliver(
        new Outcome(
            request.parsed.id(),
            number,
            backend,
            status,
            Math.max(0, endedAt - sentAt),
            request.finished,
            units,
            null));
    request.removeIfDone();
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
