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

/** The one answer to one request. An answer that is not ended never looks complete. */
final class ClientResponse implements ResponseSink {
  /** So long a client that is still sending has to read the answer and end its side. */
  private static final long LINGER_MS = 500;

  private final ClientConnection connection;
  private final ClientListener front;
  private final Channel channel;
  private final boolean keep;
  private final boolean chunks;
  private final boolean headOnly;
  private boolean lingers;
  private boolean over;
  private boolean kept;
  private boolean flushing;

  ClientResponse(
      ClientConnection connection,
      ClientListener front,
      Channel channel,
      boolean keep,
      boolean chunks,
      boolean headOnly) {
    this.connection = connection;
    this.front = front;
    this.channel = channel;
    this.keep = keep;
    this.chunks = chunks;
    this.headOnly = headOnly;
  }

  /**
   * Its client may still be sending: a close over bytes that are not read would take the answer
   * with it.
   */
  void linger() {
    lingers = true;
  }

  /** The client has left. */
  void gone() {
    over = true;
  }

  @Override
  public void whole(int status, HttpHeaders headers, ByteBuf body) {
    if (over) {
      body.release();
      return;
    }
    boolean empty = status == 204 || status == 304 || headOnly;
    if (empty) {
      body.release();
    }
    DefaultFullHttpResponse out =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            empty ? Unpooled.EMPTY_BUFFER : body,
            headers,
            DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    if (!empty) {
      headers.set("Content-Length", Integer.toString(body.readableBytes()));
    }
    connectionOf(headers);
    ended(channel.writeAndFlush(out));
  }

  @Override
  public void head(int status, HttpHeaders headers, long length) {
    if (over) {
      return;
    }
    HttpResponse out =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
    if (length >= 0) {
      headers.set("Content-Length", Long.toString(length));
    } else if (chunks) {
      headers.set("Transfer-Encoding", "chunked");
    }
    connectionOf(headers);
    channel.write(out);
  }

  /**
   * Its end is told in the head, or this is not kept: a client that knows no chunks sees the close.
   */
  private void connectionOf(HttpHeaders headers) {
    kept = keep && !front.ending();
    if (kept) {
      headers.set("Keep-Alive", "timeout=" + connection.toldSeconds());
    } else {
      headers.set("Connection", "close");
    }
  }

  @Override
  public void data(ByteBuf piece) {
    if (over) {
      piece.release();
      return;
    }
    channel.write(new DefaultHttpContent(piece));
    if (!flushing) {
      flushing = true;
      channel.eventLoop().execute(this::flush);
    }
  }

  private void flush() {
    flushing = false;
    channel.flush();
  }

  @Override
  public void end() {
    if (!over) {
      ended(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }
  }

  private void ended(ChannelFuture written) {
    over = true;
    if (!kept && lingers) {
      written.addListener((ChannelFuture f) -> endSending());
    } else if (!kept) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    connection.answered(this, kept);
  }

  private void endSending() {
    if (channel instanceof SocketChannel socket && channel.isActive()) {
      socket.shutdownOutput();
      front.timers().schedule(LINGER_MS, channel::close);
    } else {
      channel.close();
    }
  }

  @Override
  public void breakOff() {
    if (over) {
      return;
    }
    over = true;
    if (!chunks) {
      channel
          .config()
          .setOption(ChannelOption.SO_LINGER, 0); // else the close would be the answer's end
    }
    channel.flush();
    connection.answered(this, false);
    channel.close();
  }

  @Override
  public boolean writable() {
    return !over && channel.isWritable();
  }
}
