package elmsail.simulation;

import java.util.LinkedHashMap;
import java.util.Map;

/** The directed links of a {@link SimNet}, each made when it is first used. */
final class SimLinks {

  private record Ends(String from, String to) {}

  private final Map<Ends, SimPath> links = new LinkedHashMap<>();
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

  /** Ends the faults of all links. */
  void heal() {
    for (SimPath link : links.values()) {
      link.fault = SimPath.Fault.NONE;
    }
  }
}
