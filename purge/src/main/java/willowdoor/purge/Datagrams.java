package willowdoor.purge;

/** The way to the other front doors: unsure, unordered, and never waiting. */
public interface Datagrams {
  /** Sends up to 1,400 bytes to a member of the roster, or drops them. */
  void send(int member, byte[] datagram);
}
