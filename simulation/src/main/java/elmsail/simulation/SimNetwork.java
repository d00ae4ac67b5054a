package elmsail.simulation;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ManualTimers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * A network of processes in one test, driven by one seed and one clock that the test advances.
 * Faults belong to directed links and affect requests and responses alike. Messages may overtake
 * each other; all are copied through the codec, so that processes share nothing. Single-threaded.
 */
public final class SimNetwork {

  /** Time until a call to a machine without power fails with NOT_SENT. */
  public static final long CONNECT_TIMEOUT_MS = 700;

  /** The period over which a processor's quota is dealt out. */
  public static final long QUOTA_PERIOD_MS = 100;

  private final Random random;
  private final ManualTimers timers;
  private final Map<String, SimNode> nodes = new LinkedHashMap<>();
  private final SimLinkTable links = new SimLinkTable();
  private final SimTransport transport;

  /** The part of each period for which the process at an address runs; absent: all of it. */
  private final Map<String, Long> quotaMs = new HashMap<>();

  /** Addresses whose process was killed; true if its machine has lost its power. */
  private final Map<String, Boolean> poweredOff = new LinkedHashMap<>();

  /** A network without processes, with delays of 1 to 5 ms in each direction and no faults. */
  public SimNetwork(long seed, ManualTimers timers) {
    this.random = new Random(seed);
    this.timers = timers;
    transport = new SimTransport(random, timers, links, nodes::get, this::isPoweredOff);
  }

  /** Starts a process at that address; one that runs there is killed first. */
  public SimNode startNode(String address) {
    if (nodes.containsKey(address)) {
      kill(address);
    }
    poweredOff.remove(address);
    SimNode node = new SimNode(this, address, timers);
    nodes.put(address, node);
    if (quotaMs.containsKey(address)) {
      timers.schedule(random.nextInt((int) QUOTA_PERIOD_MS), () -> renewQuota(address, node));
    }
    return node;
  }

  /** The process that runs at the address, or null. */
  public SimNode nodeAt(String address) {
    return nodes.get(address);
  }

  /** The clock that all processes share. */
  public ManualTimers timers() {
    return timers;
  }

  /** Sets the delay of all links that exist and will exist, drawn for each message. */
  public void delay(long minMs, long maxMs) {
    links.delay(minMs, maxMs);
  }

  /** Sets the delay of one link, drawn for each message. */
  public void delay(String from, String to, long minMs, long maxMs) {
    links.link(from, to).delay(minMs, maxMs);
  }

  /** Limits the rate at which the address sends, over all its links; others are unlimited. */
  public void uplink(String address, double bytesPerMs) {
    links.uplink(address, bytesPerMs);
  }

  /** Sets the share of messages, 0 to 1, that are lost on all links. */
  public void loss(double ratio) {
    links.lossRatio(ratio);
  }

  /** Sets the share of messages, 0 to 1, that are lost on one link. */
  public void loss(String from, String to, double ratio) {
    links.link(from, to).lossRatio = ratio;
  }

  /** Drops all messages of one direction, also those in flight. */
  public void cut(String from, String to) {
    links.link(from, to).fault = SimLink.Fault.CUT;
  }

  /** Drops all messages of both directions, also those in flight. */
  public void cutBoth(String one, String other) {
    cut(one, other);
    cut(other, one);
  }

  /** Cuts all links between the address and the running processes. */
  public void isolate(String address) {
    for (String other : new ArrayList<>(nodes.keySet())) {
      if (!other.equals(address)) {
        cutBoth(address, other);
      }
    }
  }

  /**
   * Calls of that direction, also open ones, fail with CONNECTION_LOST; the request may still
   * arrive, as drawn.
   */
  public void resetCalls(String from, String to) {
    links.link(from, to).fault = SimLink.Fault.RESET;
    transport.breakOpenCalls(from, to);
  }

  /** Open calls of that direction fail with CONNECTION_LOST; later ones are not affected. */
  public void breakOpenCallsOnce(String from, String to) {
    transport.breakOpenCalls(from, to);
  }

  /** Calls of that direction fail with NOT_SENT at once; open ones continue. */
  public void refuseCalls(String from, String to) {
    links.link(from, to).fault = SimLink.Fault.REFUSE;
  }

  /** Ends a cut, reset or refusal of one direction; its delay and loss remain. */
  public void heal(String from, String to) {
    links.link(from, to).fault = SimLink.Fault.NONE;
  }

  /** Ends the faults of both directions. */
  public void healBoth(String one, String other) {
    heal(one, other);
    heal(other, one);
  }

  /** Ends every cut, reset and refusal; delays and losses remain. */
  public void healAll() {
    links.clearFaults();
  }

  private boolean isPoweredOff(String address) {
    return poweredOff.getOrDefault(address, false);
  }

  /** Kills the process; whether its callers see connections reset is drawn. */
  public void kill(String address) {
    kill(address, random.nextBoolean());
  }

  /**
   * Kills the process: nothing of it runs any more; its messages in flight may arrive or not.
   *
   * @param resetsConnections true: open calls to it fail with CONNECTION_LOST, later ones with
   *     NOT_SENT at once (the process died); false: open ones fail with TIMEOUT, later ones with
   *     NOT_SENT after {@link #CONNECT_TIMEOUT_MS} (the machine lost its power)
   */
  public void kill(String address, boolean resetsConnections) {
    SimNode node = nodes.remove(address);
    if (node == null) {
      return;
    }
    node.kill();
    poweredOff.put(address, !resetsConnections);
    if (resetsConnections) {
      for (SimNode other : new ArrayList<>(nodes.values())) {
        transport.breakOpenCalls(other.address(), address);
      }
    }
  }

  /** Defers the messages and timers of the process from now on; its clock continues. */
  public void freeze(String address) {
    nodes.get(address).freeze();
  }

  /** Runs what was deferred, messages first, each in its order. */
  public void thaw(String address) {
    nodes.get(address).thaw();
  }

  /**
   * From now on every process at that address runs for a part of each {@link #QUOTA_PERIOD_MS} and
   * stands still for the rest: the worst that a quota of the processor does to a busy process. The
   * periods of different processes are not aligned.
   *
   * @param share above 0, below 1
   */
  public void limitProcessor(String address, double share) {
    quotaMs.put(address, Math.max(1, Math.round(share * QUOTA_PERIOD_MS)));
    SimNode node = nodes.get(address);
    if (node != null) {
      timers.schedule(random.nextInt((int) QUOTA_PERIOD_MS), () -> renewQuota(address, node));
    }
  }

  private void renewQuota(String address, SimNode node) {
    if (nodes.get(address) == node) {
      node.renewQuota();
      timers.schedule(quotaMs.get(address), node::spendQuota);
      timers.schedule(QUOTA_PERIOD_MS, () -> renewQuota(address, node));
    }
  }

  /** How many messages were sent, including lost ones. */
  public long messagesSent() {
    return transport.messagesSent();
  }

  /** Counts the bytes of all messages from and to that address from now on, from 0. */
  public void countBytes(String address) {
    transport.trace().countBytes(address);
  }

  /** Bytes of messages, without frames, since {@link #countBytes}. */
  public long countedBytes() {
    return transport.trace().countedBytes();
  }

  /** How many messages were lost by loss or by a cut. */
  public long messagesLost() {
    return transport.messagesLost();
  }

  /** What handlers failed with other than {@link ElmsailException}; empty in a correct run. */
  public List<Throwable> handlerFaults() {
    return transport.trace().faults();
  }

  /** A digest of all messages, their times and addresses: equal for equal runs. */
  public long digest() {
    return transport.trace().digest();
  }

  <A> CompletableFuture<A> call(
      SimNode from, String to, Object request, Class<A> responseType, long timeoutMs) {
    return transport.call(from, to, request, responseType, timeoutMs);
  }
}
