package willowdoor.purge;

/** Sends datagrams to the other gateways: unreliable, unordered and non-blocking. */
public interface Datagrams {
  /** Sends up to 1,400 bytes to a member of the roster, or drops them. */
  void send(int member, byte[] datagram);
}
