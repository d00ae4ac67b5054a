package elmsail.runtime;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A port on loopback for a process that is yet to start, held until it is closed: bound by a socket
 * that never listens, so that the system gives it to no other process of its own accord, while one
 * that is told to listen at it can (with SO_REUSEADDR, as servers set it). A port that is found and
 * let go of is sooner or later another process's.
 */
public final class HeldPort implements Closeable {
  private static final int FIRST_FIXED = 20_000;
  private static final int END_OF_FIXED = 32_000;

  /** Bound exclusively by whoever holds a port of the fixed range: sockets to share may overlap. */
  private static final String MARKER_IP = "127.77.0.1";

  private final SocketChannel holder;
  private final Closeable marker;
  private final InetSocketAddress address;

  private HeldPort(int port, Closeable marker) throws IOException {
    this.marker = marker;
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

  /** A port that was free. */
  public static HeldPort any() throws IOException {
    return new HeldPort(0, () -> {});
  }

  /** So many ports that follow each other, outside the range that the system gives ports from. */
  public static List<HeldPort> consecutive(int count) throws IOException {
    for (int first = FIRST_FIXED; first + count < END_OF_FIXED; first += count) {
      List<HeldPort> held = new ArrayList<>();
      try {
        while (held.size() < count) {
          held.add(fixed(first + held.size()));
        }
        return held;
      } catch (BindException e) {
        for (HeldPort port : held) {
          port.close();
        }
      }
    }
    throw new IOException("no " + count + " free ports");
  }

  private static HeldPort fixed(int port) throws IOException {
    ServerSocket marker = new ServerSocket();
    try {
      marker.setReuseAddress(false);
      marker.bind(new InetSocketAddress(MARKER_IP, port));
      return new HeldPort(port, marker);
    } catch (IOException e) {
      marker.close();
      throw e;
    }
  }

  /** The address, on loopback. */
  public InetSocketAddress address() {
    return address;
  }

  /** The port's number. */
  public int port() {
    return address.getPort();
  }

  @Override
  public void close() throws IOException {
    holder.close();
    marker.close();
  }
}
