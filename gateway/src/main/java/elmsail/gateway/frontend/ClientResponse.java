package elmsail.gateway.frontend;

import elmsail.gateway.requests.ResponseSink;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The response to one request. A response that has not ended never looks complete to the client.
 * All methods must be called on the event loop.
 */
final class ClientResponse implements ResponseSink {
  /** A client that is still sending has this time to read the response and close its side. */
  private static final long LINGER_MS = 500;

  private final ClientConnection connection;
  private final ClientListener listener;
  private final Channel channel;
  private final boolean clientKeepsAlive;
  private final boolean supportsChunks;
  private final boolean isHeadRequest;
  private boolean lingers;
  private boolean finished;
  private boolean keepAlive;
  private boolean flushScheduled;

  ClientResponse(
      ClientConnection connection,
      ClientListener listener,
      Channel channel,
      boolean clientKeepsAlive,
      boolean supportsChunks,
      boolean isHeadRequest) {
    this.connection = connection;
    this.listener = listener;
    this.channel = channel;
    this.clientKeepsAlive = clientKeepsAlive;
    this.supportsChunks = supportsChunks;
    this.isHeadRequest = isHeadRequest;
  }

  /**
   * Delays the close of the connection after the response, as the client may still be sending. A
   * close with unread bytes would reset the connection, and the client would lose the response.
   */
  void linger() {
    lingers = true;
  }

  /** Drops all further writes, as the client has disconnected. */
  void onClientDisconnect() {
    finished = true;
  }

  @Override
  public void sendResponse(int status, HttpHeaders headers, ByteBuf body) {
    if (finished) {
      body.release();
      return;
    }
    boolean bodiless = status == 204 || status == 304 || isHeadRequest;
    if (bodiless) {
      body.release();
    }
    DefaultFullHttpResponse out =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            bodiless ? Unpooled.EMPTY_BUFFER : body,
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    if (!bodiless) {
      headers.set("Content-Length", Integer.toString(body.readableBytes()));
    }
    setConnectionHeaders(headers);
    finish(channel.writeAndFlush(out));
  }

  @Override
  public void sendHead(int status, HttpHeaders headers, long length) {
    if (finished) {
      return;
    }
    HttpResponse out =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
    if (length >= 0) {
      headers.set("Content-Length", Long.toString(length));
    } else if (supportsChunks) {
      headers.set("Transfer-Encoding", "chunked");
    }
    setConnectionHeaders(headers);
    channel.write(out);
  }

  /**
   * Announces either a keep-alive timeout or that the connection closes. For a client without
   * support for chunked encoding, the close marks the end of the body.
   */
  private void setConnectionHeaders(HttpHeaders headers) {
    keepAlive = clientKeepsAlive && !listener.isDraining();
    if (keepAlive) {
      headers.set("Keep-Alive", "timeout=" + connection.announceKeepAlive());
    } else {
      headers.set("Connection", "close");
    }
  }

  @Override
  public void sendData(ByteBuf bytes) {
    if (finished) {
      bytes.release();
      return;
    }
    channel.write(new DefaultHttpContent(bytes));
    if (!flushScheduled) {
      flushScheduled = true;
      channel.eventLoop().execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    channel.flush();
  }

  @Override
  public void sendEnd() {
    if (!finished) {
      finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }
  }

  private void finish(ChannelFuture written) {
    finished = true;
    if (!keepAlive && lingers) {
      written.addListener((ChannelFuture f) -> shutdownOutput());
    } else if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    connection.onResponseWritten(this, keepAlive);
  }

  private void shutdownOutput() {
    if (channel instanceof SocketChannel socket && channel.isActive()) {
      socket.shutdownOutput();
      listener.timers().schedule(LINGER_MS, channel::close);
    } else {
      channel.close();
    }
  }

  @Override
  public void abort() {
    if (finished) {
      return;
    }
    finished = true;
    if (!supportsChunks) {
      channel
          .config()
          .setOption(
              ChannelOption.SO_LINGER, 0); // a normal close would mark the end of the response
    }
    channel.flush();
    connection.onResponseWritten(this, false);
    channel.close();
  }

  @Override
  public boolean isWritable() {
    return !finished && channel.isWritable();
  }
}
