package elmsail.gateway.servers;

import elmsail.gateway.http.Headers;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One request at one server, from the wait for a connection to its answer's end. All on the loop.
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

  Attempt(Server server, OutgoingRequest out, AttemptListener listener, long since) {
    this.server = server;
    this.request = out;
    this.listener = listener;
    this.startedAt = since;
  }

  /** The server that it was sent to. */
  public Server server() {
    return server;
  }

  OutgoingRequest request() {
    return request;
  }

  /** When it began, on the loop's clock. */
  long startedAt() {
    return startedAt;
  }

  /** Whether a byte of it may have left. */
  public boolean isSent() {
    return isSent;
  }

  /** Whether anything more is to be heard of it. */
  boolean isFinished() {
    return isFinished;
  }

  boolean hasResponse() {
    return hasResponse;
  }

  boolean isPaused() {
    return isPaused;
  }

  void bindTo(Channel boundChannel) {
    channel = boundChannel;
  }

  void markSent() {
    isSent = true;
  }

  /** It got no answer in its time: closes the connection, and the server is avoided for a while. */
  public void timedOut(long now) {
    if (!isFinished
        && !hasResponse
        && now - startedAt >= Server.SUSPECT_AFTER_MS
        && server.isSuspect(now)) {
      server.recordFailure(now);
    }
    cancel();
  }

  /** Closes the connection, so the server drops the request; nothing more is heard. */
  public void cancel() {
    if (!isFinished) {
      finish();
      if (channel != null) {
        channel.close();
      }
    }
  }

  /** Reads no more of the answer for now, or goes on reading. */
  public void setReadPaused(boolean paused) {
    isPaused = paused;
    if (channel != null && !isFinished) {
      channel.config().setAutoRead(!paused);
    }
  }

  /**
   * Tells the server's circuit breaker what the answer says of it: whether it is ejected by this.
   */
  boolean recordResult(HttpResponse head, long now) {
    boolean notRun = head.headers().contains(Headers.NOT_RUN);
    return switch (ResponseClass.of(head.status().code(), notRun, request.deadlineAt() - now)) {
      case SUCCESS -> {
        server.recordSuccess(now);
        yield false;
      }
      case SERVER_ERROR -> server.recordError(now);
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
