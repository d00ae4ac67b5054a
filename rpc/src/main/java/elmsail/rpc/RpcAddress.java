package elmsail.rpc;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses "ip:port"; host names are never resolved. */
final class RpcAddress {

  private RpcAddress() {}

  /** Parses an address; fails with INVALID_SETTINGS if it is none. */
  static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
    try {
      if (ip != null) {
        return new InetSocketAddress(
            InetAddress.getByAddress(ip), Integer.parseInt(address.substring(colon + 1)));
      }
    } catch (UnknownHostException | IllegalArgumentException e) {
      throw new ElmsailException(ErrorCode.INVALID_SETTINGS, "no address: " + address, e);
    }
    throw new ElmsailException(ErrorCode.INVALID_SETTINGS, "no address: " + address);
  }
}
