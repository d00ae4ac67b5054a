package elmsail.soak;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Loaded by Netty in the processes of the soak: opens each connection to another process by way of
 * the relay, and each other connection from the machine's own address. What is said on it stays as
 * it is, so the handshake of the inner calls still names the process that is meant.
 */
public final class RelayedConnects extends ChannelInitializerExtension {

  /** Pairs {@code ADDRESS=FACE}, split by commas: where connections to an address go instead. */
  static final String FACES = "elmsail.soak.faces";

  /** The address that this process's other connections come from. */
  static final String OWN_IP = "elmsail.soak.ip";

  private final Map<String, InetSocketAddress> faces = new HashMap<>();
  private final String ownIp;

  /** Reads what the process was started with; without it all stays as it is. */
  public RelayedConnects() {
    ownIp = System.getProperty(OWN_IP);
    for (String pair : System.getProperty(FACES, "").split(",")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        faces.put(pair.substring(0, equals), address(pair.substring(equals + 1)));
      }
    }
  }

  private static InetSocketAddress address(String text) {
    int colon = text.indexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public void postInitializeClientChannel(Channel channel) {
    if (ownIp != null) {
      channel.pipeline().addFirst(new Connects());
    }
  }

  private final class Connects extends ChannelOutboundHandlerAdapter {
    @Override
    public void connect(
        ChannelHandlerContext ctx,
        SocketAddress remote,
        SocketAddress local,
        ChannelPromise promise)
        throws Exception {
      InetSocketAddress meant = (InetSocketAddress) remote;
      InetSocketAddress face =
          faces.get(meant.getAddress().getHostAddress() + ':' + meant.getPort());
      SocketAddress from = local == null ? new InetSocketAddress(ownIp, 0) : local;
      ctx.connect(face == null ? remote : face, from, promise);
    }
  }
}
