package willowdoor.front;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * Reserves a loopback port for a process that is started later, until closed. The port is bound by
 * a socket that never listens, so the system assigns the port to no other process, while a process
 * configured to listen on the port can do so with SO_REUSEADDR, as servers set it. A free port that
 * is found and then released is sooner or later assigned to another process.
 */
public final class ReservedPort implements Closeable {
  private final SocketChannel holder;
  private final InetSocketAddress address;

  private ReservedPort(int port) throws IOException {
    holder = SocketChannel.open();
    try {
      holder.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    } catch (IOException e) {
      holder.close();
      throw e;
    }
    address = (InetSocketAddress) holder.getLocalAddress();
  }

  /** Reserves a free port. */
  public static ReservedPort any() throws IOException {
    return new ReservedPort(0);
  }

  /** Returns the loopback address with the port. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns the port number. */
  public int port() {
    return address.getPort();
  }

  @Override
  public void close() throws IOException {
    holder.close();
  }
}
