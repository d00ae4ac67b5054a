package elmsail.runtime;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Numeric IPv4 addresses, {@code ip:port}; host names are never resolved. */
public final class Addresses {

  private Addresses() {}

  /** Whether the text is an IPv4 address in dotted decimal form. */
  public static boolean isIpv4(String text) {
    return parseIpv4(text) != null;
  }

  /** Whether the text is {@code ip:port} with a port of 0 to 65535. */
  public static boolean isAddress(String text) {
    int colon = text.indexOf(':');
    return colon > 0 && isIpv4(text.substring(0, colon)) && parsePort(text, colon + 1) >= 0;
  }

  /**
   * Parses {@code ip:port}.
   *
   * @throws ElmsailException {@code INVALID_ARGUMENT} if the text is not {@code ip:port}
   */
  public static InetSocketAddress parse(String address) {
    int colon = address.indexOf(':');
    byte[] ip = colon < 0 ? null : parseIpv4(address.substring(0, colon));
    int port = ip == null ? -1 : parsePort(address, colon + 1);
    if (port < 0) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "not an address ip:port: " + address);
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (UnknownHostException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "four bytes are no address", e);
    }
  }

  /** The address as {@code ip:port}, the form that {@link #parse} reads. */
  public static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static byte[] parseIpv4(String text) {
    byte[] ip = new byte[4];
    int part = 0;
    int value = -1;
    for (int i = 0; i <= text.length(); i++) {
      char digit = i < text.length() ? text.charAt(i) : '.';
      if (digit == '.') {
        if (value < 0 || part == 4) {
          return null;
        }
        ip[part++] = (byte) value;
        value = -1;
      } else if (digit >= '0' && digit <= '9') {
        value = Math.max(value, 0) * 10 + digit - '0';
        if (value > 255) {
          return null;
        }
      } else {
        return null;
      }
    }
    return part == 4 ? ip : null;
  }

  /** The port that the rest of the text holds; -1 if it holds none. */
  private static int parsePort(String text, int from) {
    int port = from < text.length() ? 0 : -1;
    for (int i = from; i < text.length(); i++) {
      char digit = text.charAt(i);
      if (digit < '0' || digit > '9' || port > 65_535) {
        return -1;
      }
      port = port * 10 + digit - '0';
    }
    return port > 65_535 ? -1 : port;
  }
}
