package elmsail.simulation;

import elmsail.rpc.MessageCodec;
import java.util.LinkedHashMap;
import java.util.Map;

/** The directed links of a {@link SimNetwork}, each created when it is first used. */
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

  /** Sets the delay of all links that exist and will exist, in ms. */
  void delay(long minMs, long maxMs) {
    minDelayMs = minMs;
    maxDelayMs = maxMs;
    for (SimLink link : links.values()) {
      link.delay(minMs, maxMs);
    }
  }

  /** Sets the share of messages, 0 to 1, that are lost on all links that exist and will exist. */
  void lossRatio(double ratio) {
    lossRatio = ratio;
    for (SimLink link : links.values()) {
      link.lossRatio = ratio;
    }
  }

  /** Limits the rate at which the address sends from now on. */
  void uplink(String address, double bytesPerMs) {
    uplinks.put(address, new SimUplink(bytesPerMs));
  }

  /** Time until a message has left the address completely; 0 for one without content (null). */
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
