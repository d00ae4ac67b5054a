package elmsail.simulation;

import elmsail.rpc.MessageCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/** The directed links of a {@link SimNetwork}, each made when it is first used. */
final class SimLinkTable {
  private final MessageCodec codec = new MessageCodec();

  private record Ends(String from, String to) {}

  private final Map<Ends, SimLink> links = new LinkedHashMap<>();
  private final Map<String, SimUplink> uplinks = new LinkedHashMap<>();
  private long minDelayMs = 1;
  private long maxDelayMs = 5;
  private double lossRatio;

  /** The link from one address to another. */
  SimLink link(String from, String to) {
    return links.computeIfAbsent(new Ends(from, to), ends -> createLink());
  }

  private SimLink createLink() {
    SimLink link = new SimLink();
    link.delay(minDelayMs, maxDelayMs);
    link.lossRatio = lossRatio;
    return link;
  }

  /** Ms one way, for all links that there are and will be. */
  void delay(long minMs, long maxMs) {
    minDelayMs = minMs;
    maxDelayMs = maxMs;
    for (SimLink link : links.values()) {
      link.delay(minMs, maxMs);
    }
  }

  /** The part of messages that vanish, for all links that there are and will be. */
  void lossRatio(double ratio) {
    lossRatio = ratio;
    for (SimLink link : links.values()) {
      link.lossRatio = ratio;
    }
  }

  /** What the address sends shares an outgoing link of that rate from now on. */
  void uplink(String address, double bytesPerMs) {
    uplinks.put(address, new SimUplink(bytesPerMs));
  }

  /** Ms until a message has left the address whole; null is one without bytes. */
  long uplinkMs(String from, long now, Object message) {
    SimUplink uplink = uplinks.get(from);
    return uplink == null || message == null
        ? 0
        : uplink.transmitMs(now, codec.encodedBytes(message));
  }

  /** Ends the faults of all links. */
  void clearFaults() {
    for (SimLink link : links.values()) {
      link.fault = SimLink.Fault.NONE;
    }
  }
}
