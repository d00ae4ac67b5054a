package willowdoor.notices;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * One connection between two front doors. Each side sends a hello first. A side that sends no hello
 * within 3 s, or nothing for 15 s later on, is disconnected. An empty frame is a keep-alive.
 */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {
  private static final long HELLO_TIMEOUT_MS = 3_000;
  private static final byte[] KEEP_ALIVE = new byte[0];

  private final Peers peers;

  /**
   * Number of the peer that this side connected to, or -1 if the other side opened the connection.
   */
  private final int dialledPeer;

  private int peer = -1;
  private boolean helloReceived;
  private Future<?> helloTimeout;

  PeerChannel(Peers peers, int dialledPeer) {
    this.peers = peers;
    this.dialledPeer = dialledPeer;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    if (!peers.opened(context.channel(), dialledPeer)) {
      context.close();
      return;
    }
    helloTimeout =
        context
            .executor()
            .schedule(
                () -> {
                  if (!helloReceived) {
                    context.close();
                  }
                },
                HELLO_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    if (dialledPeer >= 0) {
      peers.write(context.channel(), PeerCodec.encode(peers.self()));
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
    if (frame.readableBytes() == 0 && helloReceived) {
      return;
    }
    byte[] bytes = ByteBufUtil.getBytes(frame);
    if (helloReceived) {
      peers.listener().message(peer, message(bytes));
      return;
    }
    PeerCodec.Hello hello = PeerCodec.hello(bytes);
    helloReceived = true;
    peer = hello.member();
    if (dialledPeer < 0) {
      peers.write(context.channel(), PeerCodec.encode(peers.self()));
    }
    if (!peers.helloReceived(context.channel(), dialledPeer, hello)) {
      context.close();
    }
  }

  /**
   * Decodes a message. Replies come on links that this side opened, all other messages on links
   * that the peer opened.
   */
  private PeerMessage message(byte[] bytes) throws IOException {
    PeerMessage message = PeerCodec.decode(bytes);
    if (message instanceof PeerMessage.Reply != dialledPeer >= 0) {
      throw new IOException("message type is not allowed in this direction of the link");
    }
    return message;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent idle) {
      if (idle.state() == IdleState.READER_IDLE) {
        context.close();
      } else if (helloReceived) {
        peers.write(context.channel(), KEEP_ALIVE);
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // A broken connection is an IOException too, but no invalid message, so it is not reported.
    if (!(cause instanceof java.net.SocketException)) {
      peers.listener().invalidMessage(peer, String.valueOf(cause.getMessage()));
    }
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (helloTimeout != null) {
      helloTimeout.cancel(false);
    }
    peers.ended(context.channel(), dialledPeer, peer);
  }
}
