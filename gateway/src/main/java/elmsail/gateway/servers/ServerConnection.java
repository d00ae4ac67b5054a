package elmsail.gateway.servers;

import elmsail.gateway.http.Headers;
import elmsail.gateway.http.RequestCounters;
import elmsail.runtime.http.StrictAnswerDecoder;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One connection to a server: at most one request at a time. Whatever comes that is not the answer
 * to the present request, whole and in its place, closes it.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final int MISDIRECTED = 421;
  private static final int MOST_LINE = 4_096;
  private static final int MOST_HEAD = 16_384;
  private static final int MOST_PIECE = 32 * 1024;

  /** An idle connection is not used any more so long before the server closes it. */
  private static final long BEFORE_END_MS = 1_000;

  /** Or so large a part of short times. */
  private static final double PART_BEFORE_END = 0.4;

  /** Where the server told no time, it may be less than the second that can be told. */
  private static final long UNTOLD_MS = 1_000;

  private final Servers servers;
  private final Server server;
  private final StrictAnswerDecoder decoder =
      new StrictAnswerDecoder(MOST_LINE, MOST_HEAD, MOST_PIECE) {
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
          return headOnly || super.isContentAlwaysEmpty(message);
        }
      };
  private Channel channel;
  private Attempt current;
  private boolean inAnswer;
  private boolean informing;
  private boolean headOnly;
  private boolean keep;

  /** Answered, but what came with the answer is not looked at yet. */
  private boolean answered;

  private long idleMs = UNTOLD_MS;
  private long idleSince;

  ServerConnection(Servers servers, Server server) {
    this.servers = servers;
    this.server = server;
  }

  void into(ChannelPipeline pipeline) {
    channel = pipeline.channel();
    pipeline.addLast(decoder, new HttpRequestEncoder(), this);
  }

  long idleSince() {
    return idleSince;
  }

  /** Whether the server will not close it just now. */
  boolean fresh(long now) {
    return now - idleSince < idleMs - Math.min(BEFORE_END_MS, idleMs * PART_BEFORE_END);
  }

  boolean usable(long now) {
    return channel.isActive()
        && !decoder.inside()
        && fresh(now)
        && (!(channel instanceof QuietSocketChannel quiet) || quiet.quiet());
  }

  void close() {
    server.idle.remove(this);
    channel.close();
  }

  /** Writes the request; from here on it counts as sent. */
  void carry(Attempt one) {
    current = one;
    one.on(channel);
    one.sending();
    channel.config().setAutoRead(!one.paused());
    FullHttpRequest message = one.out().message(server.id());
    headOnly = message.method().equals(HttpMethod.HEAD);
    ChannelFuture write = channel.writeAndFlush(message);
    if (write.isDone() && !write.isSuccess()) {
      servers.timers().soon(() -> unwritten(one)); // not within the call that begins the try
    } else {
      write.addListener(
          f -> {
            if (!f.isSuccess()) {
              unwritten(one);
            }
          });
    }
  }

  private void unwritten(Attempt one) {
    if (current == one) {
      broken(RequestCounters.Event.CLOSED_BY_SERVER);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      broken(RequestCounters.Event.UNREADABLE_ANSWER);
      return;
    }
    if (current == null || current.over()) {
      broken(RequestCounters.Event.FOREIGN_ANSWER);
      return;
    }
    if (part instanceof HttpResponse head && !begin(head)) {
      return;
    }
    if (part instanceof HttpContent piece) {
      piece(piece);
    }
  }

  private boolean begin(HttpResponse head) {
    informing = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (informing) {
      if (head.status().code() == 101) {
        broken(RequestCounters.Event.UNREADABLE_ANSWER);
        return false;
      }
      return true;
    }
    if (!current.out().id().equals(head.headers().get(Headers.REQUEST_ID))) {
      broken(RequestCounters.Event.FOREIGN_ANSWER);
      return false;
    }
    int code = head.status().code();
    boolean empty = code == 204 || code == 304;
    if (!empty && !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head)) {
      broken(RequestCounters.Event.UNREADABLE_ANSWER);
      return false;
    }
    inAnswer = true;
    keep = HttpUtil.isKeepAlive(head);
    String response = head.headers().get("Keep-Alive");
    idleMs = response == null ? UNTOLD_MS : toldMs(response);
    long now = servers.timers().now();
    server.heard(now);
    if (code == MISDIRECTED) {
      server.misplace();
    }
    String load = head.headers().get(Headers.SERVER_LOAD);
    if (load != null) {
      server.load(load, now);
    }
    current.head(head);
    return true;
  }

  static long toldMs(String keepAlive) {
    int at = keepAlive.indexOf("timeout=");
    if (at < 0) {
      return UNTOLD_MS;
    }
    int from = at + "timeout=".length();
    int to = from;
    while (to < keepAlive.length() && Character.isDigit(keepAlive.charAt(to))) {
      to++;
    }
    return Headers.number(keepAlive.substring(from, to), 0) * 1_000;
  }

  private void piece(HttpContent piece) {
    boolean last = piece instanceof LastHttpContent;
    if (informing) {
      informing = !last;
      return;
    }
    if (!inAnswer) {
      return;
    }
    Attempt one = current;
    if (piece.content().isReadable()) {
      server.stirred(servers.timers().now());
      one.data(piece.content().retain());
    }
    if (last) {
      inAnswer = false;
      current = null;
      if (one.over()) {
        channel.close();
        return;
      }
      channel.config().setAutoRead(true);
      answered = keep;
      if (!keep) {
        channel.close();
      }
      servers.counters().count(RequestCounters.Event.TRY_ANSWERED);
      one.whole();
    }
  }

  /** The connection is free only once all that came with the answer is read. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (answered && !decoder.inside()) {
      answered = false;
      if (channel.isActive() && servers.keeps(server)) {
        idleSince = servers.timers().now();
        server.idle.addLast(this);
      } else {
        channel.close();
      }
    } else if (current == null && decoder.inside()) {
      broken(RequestCounters.Event.FOREIGN_ANSWER);
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken(RequestCounters.Event.CLOSED_BY_SERVER);
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    broken(
        cause instanceof java.io.IOException
            ? RequestCounters.Event.CLOSED_BY_SERVER
            : RequestCounters.Event.FAULT);
  }

  private void broken(RequestCounters.Event why) {
    Attempt one = current;
    current = null;
    answered = false;
    inAnswer = false;
    close();
    if (one != null && !one.over()) {
      servers.counters().count(why);
      server.broke(servers.timers().now());
      one.failed();
    }
  }
}
