package willowdoor.wire;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses addresses in lists and configurations. Only numeric addresses are valid, as there is no
 * DNS.
 */
public final class Address {

  private Address() {}

  /** Parses a numeric address and port; returns null if the text is invalid. */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      int port = ip == null ? -1 : Integer.parseInt(text.substring(colon + 1));
      return port < 0 || port > 65_535
          ? null
          : new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (NumberFormatException | UnknownHostException e) {
      return null;
    }
  }
}
