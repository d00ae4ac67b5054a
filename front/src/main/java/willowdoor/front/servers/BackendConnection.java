package willowdoor.front.servers;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.unix.Socket;
import io.netty.channel.unix.UnixChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.ByteBuffer;
import willowdoor.front.loop.Tally;
import willowdoor.front.requests.Attempt;
import willowdoor.front.requests.Headers;
import willowdoor.policy.GatewayApi.Status;

/** One connection to a backend: at most one attempt at a time, and what its answer means. */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject>
    implements Attempt.Connection {

  /**
   * Answers that tell a length up to this are passed on when whole, so that a cut one can be tried
   * again.
   */
  private static final int MOST_HELD = 64 * 1024;

  /** So much of an answer that tells no length is held before it is passed on as it comes. */
  private static final int HELD_UNTOLD = 16 * 1024;

  /** What a look reads is of no use: the connection is closed behind it. */
  private static final ByteBuffer LOOK = ByteBuffer.allocateDirect(1);

  private final BackendPool pool;
  final BackendPool.Backend backend;

  /** The backend's as this connection was begun. */
  final int generation;

  private final Tally tally;
  private final AnswerDecoder decoder = new AnswerDecoder();
  private Channel channel;
  private Attempt current;

  /** The one that was carried last, also when it has ended. */
  private Attempt latest;

  /**
   * The answer that is being read: its head, what is held of its body, whether it is passed on
   * already.
   */
  private HttpResponse head;

  private ByteBuf held;
  private boolean begun;

  /** Answered in full, but what else the backend sent with that answer is not looked at yet. */
  private boolean answered;

  /** It has carried a request before the one that it carries. */
  private boolean used;

  double idleSince;

  BackendConnection(BackendPool pool, BackendPool.Backend backend, int generation, Tally tally) {
    this.pool = pool;
    this.backend = backend;
    this.generation = generation;
    this.tally = tally;
  }

  /** Reads answers; to be put into the channel's pipeline ahead of this. */
  AnswerDecoder decoder() {
    return decoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  boolean usable() {
    return channel.isActive() && !decoder.holdsRest();
  }

  /**
   * Whether the kernel has neither bytes nor an end of it: the loop may not have looked since they
   * came.
   */
  boolean silent() {
    try {
      return !(channel instanceof UnixChannel u && u.fd() instanceof Socket socket)
          || socket.recv(LOOK, 0, LOOK.capacity()) == 0;
    } catch (IOException e) {
      return false;
    }
  }

  void close() {
    channel.close();
  }

  /**
   * What the kernel holds of a long request would leave behind an ordinary close, at any later
   * time.
   */
  @Override
  public void abort() {
    if (latest != null && latest.written() && !latest.message().fitsInitialWindow()) {
      try {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
      } catch (ChannelException e) {
        // It is closed already, or the system knows no such close.
      }
    }
    channel.close();
  }

  @Override
  public void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }

  /** Writes the attempt's request; nothing below the module ever writes it again. */
  void carry(Attempt attempt) {
    current = attempt;
    latest = attempt;
    attempt.assignConnection(this);
    HttpRequest request = attempt.message().message(pool.leftMs(attempt));
    if (attempt.message().whole()) {
      written(attempt, channel.writeAndFlush(request), true);
      // What the kernel takes later would be written at a time that nobody looks at.
      if (!attempt.written() && attempt.writeDeadlineMs() < Double.POSITIVE_INFINITY) {
        attempt.abandon(Status.UNREACHABLE);
      }
      return;
    }
    channel.write(request);
    written(
        attempt, channel.writeAndFlush(new DefaultHttpContent(attempt.message().prefix())), false);
    if (!attempt.ended()) {
      attempt.message().streamTo(this);
    }
  }

  private void written(Attempt attempt, ChannelFuture write, boolean last) {
    if (write
        .isDone()) { // listeners may be called later, and what ends the attempt meanwhile must know
      writeEnded(attempt, write, last);
    } else {
      write.addListener((ChannelFuture f) -> writeEnded(attempt, f, last));
    }
  }

  private void writeEnded(Attempt attempt, ChannelFuture write, boolean last) {
    attempt.written(last && write.isSuccess());
    if (!write.isSuccess()) {
      attempt.abandon(Status.UNREACHABLE);
    }
  }

  @Override
  public void accept(HttpContent piece) {
    Attempt attempt = current;
    boolean last = piece instanceof LastHttpContent;
    attempt.onBeyondPrefix();
    written(attempt, channel.writeAndFlush(piece), last);
    if (attempt.ended()) {
      return;
    }
    if (last) {
      attempt.message().detach(this);
      attempt.onLastPiece();
    } else if (channel.isWritable()) {
      attempt.message().requestMore();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable() && current != null && current.message().streamsTo(this)) {
      current.message().requestMore();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      junk(Tally.Event.ANSWER_UNREADABLE);
      return;
    }
    if (part instanceof HttpResponse response) {
      if (current == null) {
        junk(Tally.Event.ANSWER_UNASKED);
        return;
      }
      head = response;
      if (head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
        current.onResponseHead();
      }
      if (served() && !current.written() && (used || current.message().whole())) {
        junk(Tally.Event.ANSWER_UNASKED); // a backend begins a request once its last byte has come
        return;
      }
      if (served() && !framed(head) && HttpUtil.isKeepAlive(head)) {
        junk(Tally.Event.ANSWER_UNREADABLE);
        return;
      }
      if (served() && Headers.bodyLength(head) > MOST_HELD) {
        begin();
      }
    }
    if (part instanceof HttpContent content && head != null) {
      body(content);
    }
  }

  private boolean served() {
    return head.status().equals(HttpResponseStatus.OK);
  }

  private void body(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      head = last ? null : head;
      return;
    }
    if (served() && content.content().isReadable()) {
      if (begun) {
        current.onResponsePiece(content.content().retain());
      } else {
        hold(content.content());
      }
    }
    if (last && head != null) {
      finish();
    }
  }

  private void hold(ByteBuf piece) {
    if (held == null) {
      held = channel.alloc().buffer(piece.readableBytes());
    }
    held.writeBytes(piece);
    if (Headers.bodyLength(head) < 0 && held.readableBytes() > HELD_UNTOLD) {
      begin();
    }
  }

  /** Passes the answer on from here on as it comes. */
  private void begin() {
    if (!current.onStreamedResponse(head)) {
      Attempt attempt = current;
      forget();
      attempt.abandon(Status.CANCELLED);
      abort();
      return;
    }
    begun = true;
    if (held != null) {
      ByteBuf piece = held;
      held = null;
      current.onResponsePiece(piece);
    }
  }

  /** An answer that nobody asked for, or one that does not parse: nothing behind it can be read. */
  private void junk(Tally.Event what) {
    tally.count(what);
    pool.unasked(this);
    broken();
  }

  private void finish() {
    Attempt attempt = current;
    HttpResponse answer = head;
    ByteBuf body = held;
    held = null;
    forget();
    used = true;
    // An answer ahead of the request's end leaves the connection out of step.
    answered =
        attempt.written() && !attempt.ended() && HttpUtil.isKeepAlive(answer) && framed(answer);
    Status status = AnswerDecoder.status(answer);
    HttpResponse told = status == Status.OK ? answer : null;
    try {
      if (answered) {
        setReading(true);
        attempt.end(status, told, body);
      } else {
        attempt.endAndClose(status, told, body);
        abort();
      }
    } finally {
      if (body != null) {
        body.release();
      }
    }
  }

  private void forget() {
    current = null;
    head = null;
    begun = false;
    answered = false;
    if (held != null) {
      held.release();
      held = null;
    }
  }

  /**
   * Whether a cut of the answer can be seen. Where the connection's end is the body's end, only a
   * reset tells of one, so the backend must have said that it closes.
   */
  private static boolean framed(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
  }

  /**
   * The connection is free only once all that came with the answer is read: whatever follows it was
   * sent before the next request, and would be taken for that one's answer.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (answered) {
      answered = false;
      if (usable()) {
        pool.release(this);
      } else {
        ctx.close();
      }
    } else if (current == null && decoder.holdsRest()) {
      junk(Tally.Event.ANSWER_UNASKED);
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.closed(this);
    broken();
  }

  /** A reset, or a fault of ours: this connection is of no more use, and its end ends no answer. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    broken();
  }

  private void broken() {
    Attempt attempt = current;
    forget();
    if (attempt != null) {
      attempt.abandon(attempt.statusIfBroken());
    }
    abort();
  }
}
