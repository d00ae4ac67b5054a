package willowdoor.front.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import willowdoor.front.requests.Headers;

/**
 * Writes the responses to a client, and decides for each whether the connection stays open after
 * it.
 */
final class ResponseWriter {

  private final Channel channel;
  private final BooleanSupplier mayKeepAlive;
  private boolean headRequest;
  private boolean chunksAllowed;
  private boolean keepAlive;

  /**
   * {@code mayKeepAlive} is evaluated when a response begins; if it is false, the connection ends
   * after that response.
   */
  ResponseWriter(Channel channel, BooleanSupplier mayKeepAlive) {
    this.channel = channel;
    this.mayKeepAlive = mayKeepAlive;
  }

  /** Sets the request that the next response answers. */
  void setRequest(HttpRequest request) {
    headRequest = request.method().equals(HttpMethod.HEAD);
    chunksAllowed = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    keepAlive = HttpUtil.isKeepAlive(request);
  }

  /** Ends the connection after the next response. */
  void closeAfterResponse() {
    keepAlive = false;
  }

  boolean keepAlive() {
    return keepAlive;
  }

  void sendContinue() {
    channel.writeAndFlush(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  /**
   * Sends a template server's response. The caller keeps ownership of the head and the body; the
   * body is null if it is empty.
   */
  void sendResponse(HttpResponse response, ByteBuf body) {
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.OK,
            body == null ? Unpooled.EMPTY_BUFFER : body.retain());
    copyType(response, answer);
    write(answer);
  }

  private static void copyType(HttpResponse from, HttpResponse to) {
    String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
    if (type != null) {
      to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    }
  }

  void sendRefusal(double retryAfterMs) {
    FullHttpResponse answer =
        emptyResponse(
            retryAfterMs > 0
                ? HttpResponseStatus.TOO_MANY_REQUESTS
                : HttpResponseStatus.SERVICE_UNAVAILABLE);
    if (retryAfterMs > 0) {
      answer
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000));
    }
    write(answer);
  }

  void sendStatus(HttpResponseStatus status) {
    write(emptyResponse(status));
  }

  void sendStatus(HttpResponseStatus status, String reason) {
    write(textResponse(status, reason));
  }

  /**
   * Sends an error for input that cannot be read any further, whatever the request was. The
   * connection ends after it.
   */
  ChannelFuture sendLastError(HttpResponseStatus status, String reason) {
    FullHttpResponse answer = textResponse(status, reason);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return channel.writeAndFlush(answer);
  }

  private static FullHttpResponse textResponse(HttpResponseStatus status, String reason) {
    ByteBuf text = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.US_ASCII);
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
  }

  private static FullHttpResponse emptyResponse(HttpResponseStatus status) {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
  }

  private void write(FullHttpResponse answer) {
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
    if (headRequest) {
      answer.content().clear();
    }
    setConnectionHeader(answer);
    channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /**
   * Begins a streamed response. It has the declared length of the backend's response, or is sent in
   * chunks.
   */
  void beginResponse(HttpResponse response) {
    HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    copyType(response, answer);
    long length = Headers.bodyLength(response);
    if (length >= 0) {
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    } else if (chunksAllowed) {
      HttpUtil.setTransferEncodingChunked(answer, true);
    } else {
      keepAlive = false;
    }
    setConnectionHeader(answer);
    channel.write(answer);
  }

  void sendPiece(ByteBuf piece) {
    channel.writeAndFlush(new DefaultHttpContent(piece));
  }

  void finishResponse() {
    channel
        .writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  private void setConnectionHeader(HttpResponse answer) {
    keepAlive &= mayKeepAlive.getAsBoolean();
    if (!keepAlive) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }
}
