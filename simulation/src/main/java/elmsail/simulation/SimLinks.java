package elmsail.simulation;

import elmsail.rpc.Codec;
import java.util.LinkedHashMap;
import java.util.Map;

/** The directed links of a {@link SimNet}, each made when it is first used. */
final class SimLinks {
  private final Codec codec = new Codec();

  private record Ends(String from, String to) {}

  private final Map<Ends, SimPath> links = new LinkedHashMap<>();
  private final Map<String, SimUplink> uplinks = new LinkedHashMap<>();
  private long leastMs = 1;
  private long mostMs = 5;
  private double loss;

  /** The link from one address to another. */
  SimPath link(String from, String to) {
    return links.computeIfAbsent(new Ends(from, to), ends -> made());
  }

  private SimPath made() {
    SimPath link = new SimPath();
    link.delay(leastMs, mostMs);
    link.loss = loss;
    return link;
  }

  /** Ms one way, for all links that there are and will be. */
  void delay(long least, long most) {
    leastMs = least;
    mostMs = most;
    for (SimPath link : links.values()) {
      link.delay(least, most);
    }
  }

  /** The part of messages that vanish, for all links that there are and will be. */
  void loss(double part) {
    loss = part;
    for (SimPath link : links.values()) {
      link.loss = part;
    }
  }

  /** What the address sends shares an outgoing link of that rate from now on. */
  void uplink(String address, double bytesPerMs) {
    uplinks.put(address, new SimUplink(bytesPerMs));
  }

  /** Ms until a message has left the address whole; null is one without bytes. */
  long uplinkMs(String from, long now, Object message) {
    SimUplink uplink = uplinks.get(from);
    return uplink == null || message == null ? 0 : uplink.send(now, codec.size(message));
  }

  /** Ends the faults of all links. */
  void heal() {
    for (SimPath link : links.values()) {
      link.fault = SimPath.Fault.NONE;
    }
  }
}
