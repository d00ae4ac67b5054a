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
import willowdoor.front.loop.EventCounters;
import willowdoor.front.requests.Attempt;
import willowdoor.front.requests.Headers;
import willowdoor.policy.GatewayApi.Status;

/** One connection to a backend: at most one attempt at a time, and what its answer means. */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject>
    implements Attempt.Carrier {

  /**
   * Answers that tell a length up to this are passed on when whole, so that a cut one can be tried
   * again.
   */
  private static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** So much of an answer that tells no length is held before it is passed on as it comes. */
  private static final int MAX_BUFFERED_UNKNOWN_LENGTH_BYTES = 16 * 1024;

  /** What a look reads is of no use: the connection is closed behind it. */
  private static final ByteBuffer PROBE_BUFFER = ByteBuffer.allocateDirect(1);

  private final BackendPool pool;
  final BackendPool.Backend backend;

  /** The backend's as this connection was begun. */
  final int generation;

  private final EventCounters counters;
  private final ResponseDecoder decoder = new ResponseDecoder();
  private Channel channel;
  private Attempt current;

  /** The one that was carried last, also when it has ended. */
  private Attempt lastAttempt;

  /**
   * The answer that is being read: its head, what is held of its body, whether it is passed on
   * already.
   */
  private HttpResponse head;

  private ByteBuf bufferedBody;
  private boolean forwarding;

  /** Answered in full, but what else the backend sent with that answer is not looked at yet. */
  private boolean responseComplete;

  /** It has carried a request before the one that it carries. */
  private boolean reused;

  double idleSince;

  BackendConnection(
      BackendPool pool, BackendPool.Backend backend, int generation, EventCounters counters) {
    this.pool = pool;
    this.backend = backend;
    this.generation = generation;
    this.counters = counters;
  }

  /** Reads answers; to be put into the channel's pipeline ahead of this. */
  ResponseDecoder decoder() {
    return decoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  boolean usable() {
    return channel.isActive() && !decoder.hasUnconsumedData();
  }

  /**
   * Whether the kernel has neither bytes nor an end of it: the loop may not have looked since they
   * came.
   */
  boolean nothingToRead() {
    try {
      return !(channel instanceof UnixChannel u && u.fd() instanceof Socket socket)
          || socket.recv(PROBE_BUFFER, 0, PROBE_BUFFER.capacity()) == 0;
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
    if (lastAttempt != null && lastAttempt.written() && !lastAttempt.message().leavesAtOnce()) {
      try {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
      } catch (ChannelException e) {
        // It is closed already, or the system knows no such close.
      }
    }
    channel.close();
  }

  @Override
  public void read(boolean on) {
    channel.config().setAutoRead(on);
  }

  /** Writes the attempt's request; nothing below the module ever writes it again. */
  void send(Attempt attempt) {
    current = attempt;
    lastAttempt = attempt;
    attempt.carriedBy(this);
    HttpRequest request = attempt.message().message(pool.leftMs(attempt));
    if (attempt.message().whole()) {
      written(attempt, channel.writeAndFlush(request), true);
      // What the kernel takes later would be written at a time that nobody looks at.
      if (!attempt.written() && attempt.writtenBy() < Double.POSITIVE_INFINITY) {
        attempt.abandon(Status.UNREACHABLE);
      }
      return;
    }
    channel.write(request);
    written(
        attempt, channel.writeAndFlush(new DefaultHttpContent(attempt.message().prefix())), false);
    if (!attempt.ended()) {
      attempt.message().passTo(this);
    }
  }

  private void written(Attempt attempt, ChannelFuture write, boolean last) {
    if (write
        .isDone()) { // listeners may be called later, and what ends the attempt meanwhile must know
      onWriteComplete(attempt, write, last);
    } else {
      write.addListener((ChannelFuture f) -> onWriteComplete(attempt, f, last));
    }
  }

  private void onWriteComplete(Attempt attempt, ChannelFuture write, boolean last) {
    attempt.written(last && write.isSuccess());
    if (!write.isSuccess()) {
      attempt.abandon(Status.UNREACHABLE);
    }
  }

  @Override
  public void piece(HttpContent piece) {
    Attempt attempt = current;
    boolean last = piece instanceof LastHttpContent;
    attempt.onSpent();
    written(attempt, channel.writeAndFlush(piece), last);
    if (attempt.ended()) {
      return;
    }
    if (last) {
      attempt.message().detach(this);
      attempt.onSent();
    } else if (channel.isWritable()) {
      attempt.message().wantMore();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable() && current != null && current.message().passesTo(this)) {
      current.message().wantMore();
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (part.decoderResult().isFailure()) {
      onProtocolError(EventCounters.Event.ANSWER_UNREADABLE);
      return;
    }
    if (part instanceof HttpResponse response) {
      if (current == null) {
        onProtocolError(EventCounters.Event.ANSWER_UNASKED);
        return;
      }
      head = response;
      if (head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
        current.onHead();
      }
      if (isOk() && !current.written() && (reused || current.message().whole())) {
        onProtocolError(
            EventCounters.Event
                .ANSWER_UNASKED); // a backend begins a request once its last byte has come
        return;
      }
      if (isOk() && !hasFraming(head) && HttpUtil.isKeepAlive(head)) {
        onProtocolError(EventCounters.Event.ANSWER_UNREADABLE);
        return;
      }
      if (isOk() && Headers.bodyLength(head) > MAX_BUFFERED_BYTES) {
        startForwarding();
      }
    }
    if (part instanceof HttpContent content && head != null) {
      body(content);
    }
  }

  private boolean isOk() {
    return head.status().equals(HttpResponseStatus.OK);
  }

  private void body(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      head = last ? null : head;
      return;
    }
    if (isOk() && content.content().isReadable()) {
      if (forwarding) {
        current.onPiece(content.content().retain());
      } else {
        buffer(content.content());
      }
    }
    if (last && head != null) {
      completeResponse();
    }
  }

  private void buffer(ByteBuf piece) {
    if (bufferedBody == null) {
      bufferedBody = channel.alloc().buffer(piece.readableBytes());
    }
    bufferedBody.writeBytes(piece);
    if (Headers.bodyLength(head) < 0
        && bufferedBody.readableBytes() > MAX_BUFFERED_UNKNOWN_LENGTH_BYTES) {
      startForwarding();
    }
  }

  /** Passes the answer on from here on as it comes. */
  private void startForwarding() {
    if (!current.onBegin(head)) {
      Attempt attempt = current;
      clearCurrent();
      attempt.abandon(Status.CANCELLED);
      abort();
      return;
    }
    forwarding = true;
    if (bufferedBody != null) {
      ByteBuf piece = bufferedBody;
      bufferedBody = null;
      current.onPiece(piece);
    }
  }

  /** An answer that nobody asked for, or one that does not parse: nothing behind it can be read. */
  private void onProtocolError(EventCounters.Event what) {
    counters.count(what);
    pool.onUnsolicitedData(this);
    fail();
  }

  private void completeResponse() {
    Attempt attempt = current;
    HttpResponse answer = head;
    ByteBuf body = bufferedBody;
    bufferedBody = null;
    clearCurrent();
    reused = true;
    // An answer ahead of the request's end leaves the connection out of step.
    responseComplete =
        attempt.written() && !attempt.ended() && HttpUtil.isKeepAlive(answer) && hasFraming(answer);
    Status status = ResponseDecoder.status(answer);
    HttpResponse forwarded = status == Status.OK ? answer : null;
    try {
      if (responseComplete) {
        read(true);
        attempt.end(status, forwarded, body);
      } else {
        attempt.endClosed(status, forwarded, body);
        abort();
      }
    } finally {
      if (body != null) {
        body.release();
      }
    }
  }

  private void clearCurrent() {
    current = null;
    head = null;
    forwarding = false;
    responseComplete = false;
    if (bufferedBody != null) {
      bufferedBody.release();
      bufferedBody = null;
    }
  }

  /**
   * Whether a cut of the answer can be seen. Where the connection's end is the body's end, only a
   * reset tells of one, so the backend must have said that it closes.
   */
  private static boolean hasFraming(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
  }

  /**
   * The connection is free only once all that came with the answer is read: whatever follows it was
   * sent before the next request, and would be taken for that one's answer.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (responseComplete) {
      responseComplete = false;
      if (usable()) {
        pool.release(this);
      } else {
        ctx.close();
      }
    } else if (current == null && decoder.hasUnconsumedData()) {
      onProtocolError(EventCounters.Event.ANSWER_UNASKED);
    }
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.onClosed(this);
    fail();
  }

  /** A reset, or a fault of ours: this connection is of no more use, and its end ends no answer. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail();
  }

  private void fail() {
    Attempt attempt = current;
    clearCurrent();
    if (attempt != null) {
      attempt.abandon(attempt.broken());
    }
    abort();
  }
}
