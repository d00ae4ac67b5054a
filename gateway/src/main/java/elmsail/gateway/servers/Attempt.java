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
  private final OutgoingRequest out;
  private final AttemptListener listener;
  private final long since;
  private Channel channel;
  private boolean sent;
  private boolean over;
  private boolean paused;
  private boolean answered;

  Attempt(Server server, OutgoingRequest out, AttemptListener listener, long since) {
    this.server = server;
    this.out = out;
    this.listener = listener;
    this.since = since;
  }

  /** The server that it was sent to. */
  public Server server() {
    return server;
  }

  OutgoingRequest out() {
    return out;
  }

  /** When it began, on the loop's clock. */
  long since() {
    return since;
  }

  /** Whether a byte of it may have left. */
  public boolean sent() {
    return sent;
  }

  /** Whether anything more is to be heard of it. */
  boolean over() {
    return over;
  }

  boolean answered() {
    return answered;
  }

  boolean paused() {
    return paused;
  }

  void on(Channel open) {
    channel = open;
  }

  void sending() {
    sent = true;
  }

  /** It got no answer in its time: closes the connection, and the server is avoided for a while. */
  public void timedOut(long now) {
    if (!over && !answered && now - since >= Server.QUIET_MS && server.avoided(now)) {
      server.failed(now);
    }
    cancel();
  }

  /** Closes the connection, so the server drops the request; nothing more is heard. */
  public void cancel() {
    if (!over) {
      end();
      if (channel != null) {
        channel.close();
      }
    }
  }

  /** Reads no more of the answer for now, or goes on reading. */
  public void pause(boolean on) {
    paused = on;
    if (channel != null && !over) {
      channel.config().setAutoRead(!on);
    }
  }

  /**
   * Tells the server's circuit breaker what the answer says of it: whether it is ejected by this.
   */
  boolean judge(HttpResponse head, long now) {
    boolean notRun = head.headers().contains(Headers.NOT_RUN);
    return switch (ResponseClass.of(head.status().code(), notRun, out.endsAt() - now)) {
      case SUCCESS -> {
        server.succeeded(now);
        yield false;
      }
      case SERVER_ERROR -> server.errored(now);
      case NEUTRAL -> false;
    };
  }

  void head(HttpResponse head) {
    begun();
    listener.head(head);
  }

  void data(ByteBuf bytes) {
    if (over) {
      bytes.release();
    } else {
      listener.data(bytes);
    }
  }

  void whole() {
    if (!over) {
      end();
      listener.whole();
    }
  }

  void failed() {
    if (!over) {
      end();
      listener.failed(sent);
    }
  }

  private void begun() {
    if (!answered) {
      answered = true;
      server.answering(this);
    }
  }

  private void end() {
    over = true;
    server.ended(this);
  }
}
