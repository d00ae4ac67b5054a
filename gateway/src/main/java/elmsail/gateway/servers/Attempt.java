package elmsail.gateway.servers;

import elmsail.gateway.http.Headers;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One attempt of a request at one server, from the wait for a connection to the end of the
 * response. Owned by the gateway's event loop.
 */
public final class Attempt {
  private final Server server;
  private final OutgoingRequest request;
  private final AttemptListener listener;
  private final long startedAt;
  private Channel channel;
  private boolean isSent;
  private boolean isFinished;
  private boolean isPaused;
  private boolean hasResponse;

  Attempt(Server server, OutgoingRequest request, AttemptListener listener, long startedAt) {
    this.server = server;
    this.request = request;
    this.listener = listener;
    this.startedAt = startedAt;
  }

  /** The server of this attempt. */
  public Server server() {
    return server;
  }

  OutgoingRequest request() {
    return request;
  }

  /** When the attempt started, in ms on the event loop's clock. */
  long startedAt() {
    return startedAt;
  }

  /** Whether any byte of the request may have been sent. */
  public boolean isSent() {
    return isSent;
  }

  /** Whether the attempt has ended; its listener receives no further events. */
  boolean isFinished() {
    return isFinished;
  }

  /** Whether the head of the response has been received. */
  boolean hasResponse() {
    return hasResponse;
  }

  /** Whether reading of the response is paused. */
  boolean isPaused() {
    return isPaused;
  }

  /** Sets the channel that is closed when the attempt is cancelled. */
  void bindTo(Channel boundChannel) {
    channel = boundChannel;
  }

  /** Marks the request as sent: from now on, some of its bytes may have reached the server. */
  void markSent() {
    isSent = true;
  }

  /**
   * Cancels the attempt because no response was received in time. Records a failure of the server
   * if the attempt lasted at least {@link ServerHealth#SUSPECT_AFTER_MS} and the server is suspect.
   */
  public void timedOut(long now) {
    if (!isFinished
        && !hasResponse
        && now - startedAt >= ServerHealth.SUSPECT_AFTER_MS
        && server.health().isSuspect(now)) {
      server.recordFailure(now);
    }
    cancel();
  }

  /**
   * Ends the attempt and closes its connection, so that the server drops the request. The listener
   * receives no further events.
   */
  public void cancel() {
    if (!isFinished) {
      finish();
      if (channel != null) {
        channel.close();
      }
    }
  }

  /** Pauses or resumes reading of the response, as back pressure from a slow client. */
  public void setReadPaused(boolean paused) {
    isPaused = paused;
    if (channel != null && !isFinished) {
      channel.config().setAutoRead(!paused);
    }
  }

  /**
   * Records the result of the response for outlier detection; returns true if the server is ejected
   * because of it.
   */
  boolean recordResult(HttpResponse head, long now) {
    boolean notRun = head.headers().contains(Headers.NOT_RUN);
    return switch (ResponseClass.of(head.status().code(), notRun, request.deadlineAt() - now)) {
      case SUCCESS -> {
        server.health().recordSuccess(now);
        yield false;
      }
      case SERVER_ERROR -> server.health().recordError(now);
      case NEUTRAL -> false;
    };
  }

  void onHead(HttpResponse head) {
    markResponseStarted();
    listener.onHead(head);
  }

  void onData(ByteBuf bytes) {
    if (isFinished) {
      bytes.release();
    } else {
      listener.onData(bytes);
    }
  }

  void onComplete() {
    if (!isFinished) {
      finish();
      listener.onComplete();
    }
  }

  void onFailure() {
    if (!isFinished) {
      finish();
      listener.onFailure(isSent);
    }
  }

  private void markResponseStarted() {
    if (!hasResponse) {
      hasResponse = true;
      server.onResponseStarted(this);
    }
  }

  private void finish() {
    isFinished = true;
    server.onAttemptEnded(this);
  }
}
