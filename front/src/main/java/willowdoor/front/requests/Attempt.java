package willowdoor.front.requests;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import willowdoor.policy.GatewayApi.Status;

/**
 * One attempt to send a request to one backend, from the policy's send action to the attempt's
 * single outcome.
 */
public abstract class Attempt {

  /** The connection that carries the attempt's request to its backend and the response back. */
  public interface Connection extends OutgoingRequest.Sink {
    /** Turns reading on or off. Bytes that are not read put back-pressure on the backend. */
    void setReading(boolean on);

    /** Drops the connection. Bytes of the request that have not been sent yet are discarded. */
    void abort();
  }

  private final OutgoingRequest message;

  /** When the attempt is abandoned, on the clock in milliseconds. */
  private final double deadlineMs;

  /** When the request's last byte must have been written, on the clock in milliseconds. */
  private final double writeDeadlineMs;

  /** The connection that is being opened for the attempt, or null. */
  private Channel connectingChannel;

  /** The connection that carries the attempt, or null. */
  private Connection connection;

  private boolean written;

  /** Fires when the attempt's deadline passes. */
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

  /** When the attempt is abandoned, on the clock, in milliseconds. */
  public final double deadlineMs() {
    return deadlineMs;
  }

  /**
   * When the request's last byte must have been written, on the clock, in milliseconds; if it has
   * not been by then, it must never be. Infinite if there is no such limit. An attempt that repeats
   * a request has one (rule 2 of the wire protocol).
   */
  public final double writeDeadlineMs() {
    return writeDeadlineMs;
  }

  /** Records the connection that is being opened for the attempt. */
  public final void connectingChannel(Channel channel) {
    connectingChannel = channel;
  }

  /** Records the connection that carries the attempt from now on. */
  public final void assignConnection(Connection assigned) {
    connection = assigned;
  }

  /** The connection that carries the attempt, or null. */
  final Connection connection() {
    return connection;
  }

  /**
   * True once the request's last byte was written to the kernel. From then on the backend may have
   * run the request.
   */
  public final boolean written() {
    return written;
  }

  /** Records whether the write that has ended passed the request's last byte to the kernel. */
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
   * The status with which a broken connection ends this attempt. Only the write tells whether the
   * backend may have run the request.
   */
  public final Status statusIfBroken() {
    return written ? Status.RESET : Status.UNREACHABLE;
  }

  /** The status with which the deadline ends this attempt. */
  final Status statusIfTimedOut() {
    return written ? Status.TIMED_OUT : Status.UNREACHABLE;
  }

  final void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  /** Ends the attempt. Later calls are ignored, so that the policy gets exactly one outcome. */
  public final void end(Status status, HttpResponse head, ByteBuf body) {
    if (markEnded()) {
      onEnd(status, head, body);
    }
  }

  /**
   * Ends the attempt without waiting for its response, and closes the connection, because a
   * response may still arrive on it.
   */
  public final void abandon(Status status) {
    endAndClose(status, null, null);
  }

  /**
   * Ends the attempt and closes its connection. The connection is closed before the policy gets the
   * outcome: the policy may send the request again at once, and no copy may be sent while this one
   * is on an open connection.
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

  /** Marks the attempt as ended. Returns true for the first call only. */
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
   * Called when the first piece beyond the message's prefix is being written. From then on no other
   * attempt is possible, as that piece is not kept.
   */
  public abstract void onBeyondPrefix();

  /** Called when the last piece of a message that is sent in pieces is being written. */
  public abstract void onLastPiece();

  /**
   * Called when the response's head has arrived. The time that the body takes says nothing about
   * the backend's load.
   */
  public abstract void onResponseHead();

  /**
   * Called with the head of a response that is streamed to the client. Returns false if no client
   * waits for the response any more.
   */
  public abstract boolean onStreamedResponse(HttpResponse head);

  /** Called with a piece of a streamed response. Takes ownership of the piece. */
  public abstract void onResponsePiece(ByteBuf piece);

  /**
   * Called once when the attempt ends. The caller keeps ownership of the head and the body. Both
   * are null unless the status is OK; the body is also null if the response was streamed.
   */
  protected abstract void onEnd(Status status, HttpResponse head, ByteBuf body);
}
