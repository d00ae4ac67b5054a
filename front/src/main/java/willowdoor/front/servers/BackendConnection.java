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

/**
 * One connection to a backend. Carries at most one attempt at a time and maps the response to the
 * attempt's result.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject>
    implements Attempt.Connection {

  /**
   * A response with a known length up to this size is buffered and forwarded when complete, so that
   * a truncated response can be retried.
   */
  private static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /**
   * This much of a response without a known length is buffered before the response is forwarded as
   * it arrives.
   */
  private static final int MAX_BUFFERED_UNKNOWN_LENGTH_BYTES = 16 * 1024;

  /**
   * Receives the byte that a probe reads. The byte is discarded, because the connection is closed
   * after the probe has read anything.
   */
  private static final ByteBuffer PROBE_BUFFER = ByteBuffer.allocateDirect(1);

  private final BackendPool pool;
  final BackendPool.Backend backend;

  /** The backend's generation when this connection was opened. */
  final int generation;

  private final EventCounters counters;
  private final ResponseDecoder decoder = new ResponseDecoder();
  private Channel channel;
  private Attempt current;

  /** The last attempt on this connection, including one that has ended. */
  private Attempt lastAttempt;

  /**
   * The response being read: its head, the buffered part of its body, and whether the response is
   * already being forwarded.
   */
  private HttpResponse head;

  private ByteBuf bufferedBody;
  private boolean forwarding;

  /**
   * The response is complete, but other bytes that the backend sent with the response are not read
   * yet.
   */
  private boolean responseComplete;

  /** This connection carried another request before the current one. */
  private boolean reused;

  double idleSince;

  BackendConnection(
      BackendPool pool, BackendPool.Backend backend, int generation, EventCounters counters) {
    this.pool = pool;
    this.backend = backend;
    this.generation = generation;
    this.counters = counters;
  }

  /** Decodes responses. Must precede this handler in the channel's pipeline. */
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
   * Whether the kernel has received neither bytes nor an end of stream for this connection. The
   * event loop may not have polled since they arrived.
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
   * Aborts the connection. After an ordinary close, the kernel would still send the buffered part
   * of a long request at any later time, so the connection is reset in that case.
   */
  @Override
  public void abort() {
    if (lastAttempt != null
        && lastAttempt.written()
        && !lastAttempt.message().fitsInitialWindow()) {
      try {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
      } catch (ChannelException e) {
        // The channel is closed already, or the system does not support SO_LINGER.
      }
    }
    channel.close();
  }

  @Override
  public void setReading(boolean on) {
    channel.config().setAutoRead(on);
  }

  /**
   * Writes the attempt's request. No layer below the policy module writes the same attempt again.
   */
  void send(Attempt attempt) {
    current = attempt;
    lastAttempt = attempt;
    attempt.assignConnection(this);
    HttpRequest request = attempt.message().message(pool.leftMs(attempt));
    if (attempt.message().whole()) {
      written(attempt, channel.writeAndFlush(request), true);
      // A write that the kernel accepts later would happen unobserved, past the attempt's write
      // deadline.
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
    // Listeners may run later, and code that ends the attempt must see the result.
    if (write.isDone()) {
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
        current.onResponseHead();
      }
      if (isOk() && !current.written() && (reused || current.message().whole())) {
        // A backend starts a request only after its last byte.
        onProtocolError(EventCounters.Event.ANSWER_UNASKED);
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
        current.onResponsePiece(content.content().retain());
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

  /** From here on, forwards the response as it arrives. */
  private void startForwarding() {
    if (!current.onStreamedResponse(head)) {
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
      current.onResponsePiece(piece);
    }
  }

  /**
   * Handles an unsolicited or malformed response: nothing that follows can be parsed reliably, so
   * the connection is aborted.
   */
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
    // A response before the end of the request leaves the connection out of sync.
    responseComplete =
        attempt.written() && !attempt.ended() && HttpUtil.isKeepAlive(answer) && hasFraming(answer);
    Status status = ResponseDecoder.status(answer);
    HttpResponse forwarded = status == Status.OK ? answer : null;
    try {
      if (responseComplete) {
        setReading(true);
        attempt.end(status, forwarded, body);
      } else {
        attempt.endAndClose(status, forwarded, body);
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
   * Whether a truncated response can be detected. Where the end of the connection marks the end of
   * the body, only a reset indicates truncation, so the backend must have announced that it closes
   * the connection.
   */
  private static boolean hasFraming(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
  }

  /**
   * Releases the connection only after all bytes received with the response are read. Any bytes
   * that follow the response were sent before the next request and would be mistaken for its
   * response.
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

  /**
   * Handles a reset or an internal error: the connection is unusable, and its end does not complete
   * a response.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail();
  }

  private void fail() {
    Attempt attempt = current;
    clearCurrent();
    if (attempt != null) {
      attempt.abandon(attempt.statusIfBroken());
    }
    abort();
  }
}
