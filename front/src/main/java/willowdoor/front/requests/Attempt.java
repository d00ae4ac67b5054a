package willowdoor.front.requests;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import willowdoor.policy.GatewayApi.Status;

/** One attempt of a request at one backend, from the module's send to its one outcome. */
public abstract class Attempt {

  /** The connection that takes an attempt to its backend, and the answer back. */
  public interface Connection extends OutgoingRequest.Sink {
    /** Reads on, or no more for now: what is not read holds back the backend. */
    void setReading(boolean on);

    /**
     * Gives the connection up: none of the request's bytes that have not left yet leaves any more.
     */
    void abort();
  }

  private final OutgoingRequest message;

  /**
   * When it is given up, and by when its last byte must be written, on the clock in milliseconds.
   */
  private final double deadlineMs;

  private final double writeDeadlineMs;

  /** The connection that is being opened for it, and the one that it is on. */
  private Channel connectingChannel;

  private Connection connection;
  private boolean written;

  /** Fires when the attempt's time is up. */
  private Future<?> timer;

  private boolean ended;

  protected Attempt(OutgoingRequest message, double deadlineMs, double writeDeadlineMs) {
    this.message = message;
    this.deadlineMs = deadlineMs;
    this.writeDeadlineMs = writeDeadlineMs;
  }

  public final OutgoingRequest message() {
    return message;
  }

  /** When it is given up, on the clock, in milliseconds. */
  public final double deadlineMs() {
    return deadlineMs;
  }

  /**
   * By when its last byte must be written or else never be, on the clock, in milliseconds; infinite
   * where any time will do. A repeat has such a time (rule 2 of the wire).
   */
  public final double writeDeadlineMs() {
    return writeDeadlineMs;
  }

  /** A connection is being opened for it. */
  public final void connectingChannel(Channel channel) {
    connectingChannel = channel;
  }

  /** From now on it is on this connection. */
  public final void assignConnection(Connection assigned) {
    connection = assigned;
  }

  /** The connection that it is on, or null. */
  final Connection connection() {
    return connection;
  }

  /**
   * True once the request's last byte went to the kernel: from then on the backend may have run it.
   */
  public final boolean written() {
    return written;
  }

  /** A write has ended: with the request's last byte at the kernel, or not. */
  public final void written(boolean whole) {
    written = whole;
  }

  public final boolean ended() {
    return ended;
  }

  final void startTimer(Future<?> started) {
    timer = started;
  }

  /**
   * How a broken connection ends this attempt: whether it may have run is told by the write alone.
   */
  public final Status statusIfBroken() {
    return written ? Status.RESET : Status.UNREACHABLE;
  }

  /** How running out of time ends this attempt. */
  final Status statusIfTimedOut() {
    return written ? Status.TIMED_OUT : Status.UNREACHABLE;
  }

  final void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  /** Ends the attempt; later endings are ignored, so that the module gets exactly one outcome. */
  public final void end(Status status, HttpResponse head, ByteBuf body) {
    if (markEnded()) {
      onEnd(status, head, body);
    }
  }

  /** Stops waiting. The connection is given up with it, as an answer may still come on it. */
  public final void abandon(Status status) {
    endAndClose(status, null, null);
  }

  /**
   * Ends the attempt with its connection. That is closed before the module hears of the end, as it
   * may send the request again at once, and a copy must not be out while this one is on an open
   * connection.
   */
  public final void endAndClose(Status status, HttpResponse head, ByteBuf body) {
    if (!markEnded()) {
      return;
    }
    if (connection != null) {
      connection.abort();
    } else if (connectingChannel != null) {
      connectingChannel.close();
    }
    onEnd(status, head, body);
  }

  /** True for the first caller only. */
  private boolean markEnded() {
    if (ended) {
      return false;
    }
    ended = true;
    stopTimer();
    if (connection != null) {
      message.detach(connection);
    }
    return true;
  }

  /**
   * The first piece behind the message's prefix is being written: there can be no other attempt.
   */
  public abstract void onBeyondPrefix();

  /** The last piece of a message that came in pieces is being written. */
  public abstract void onLastPiece();

  /**
   * The answer's head has come; how long its body takes to come tells nothing of the backend's
   * load.
   */
  public abstract void onResponseHead();

  /**
   * The head of an answer that is passed on as it comes; false where nobody waits for it any more.
   */
  public abstract boolean onStreamedResponse(HttpResponse head);

  /** A piece of that answer, which is taken over. */
  public abstract void onResponsePiece(ByteBuf piece);

  /**
   * The head and the body are only lent; they are null unless the status is OK, the body if it was
   * begun.
   */
  protected abstract void onEnd(Status status, HttpResponse head, ByteBuf body);
}
