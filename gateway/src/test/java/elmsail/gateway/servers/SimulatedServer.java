package elmsail.gateway.servers;

import elmsail.runtime.ManualTimers;
import java.util.ArrayDeque;

/**
 * A simulated model server with batching: requests wait in a FIFO queue for one of a number of
 * slots, prefill runs for one prompt at a time, and a slot is held until the last token. The server
 * rejects requests when its queue is full.
 */
final class SimulatedServer {
  /** Receives the events of one request. */
  interface Client {
    /** The request was rejected and will not run. */
    void onRejected();

    void onFirstToken();

    void onLastToken();
  }

  private record SimulatedRequest(double prefillMs, double decodeMs, Client client) {}

  private final ManualTimers timers;
  private final int slots;
  private final int maxQueued;

  /** Factor on all times: 1 for a server of normal speed, more for a slower one. */
  private final double slowdownFactor;

  private final ArrayDeque<SimulatedRequest> queue = new ArrayDeque<>();
  private int running;
  private double prefillBusyUntil;
  int rejections;

  SimulatedServer(ManualTimers timers, int slots, int maxQueued, double slowdownFactor) {
    this.timers = timers;
    this.slots = slots;
    this.maxQueued = maxQueued;
    this.slowdownFactor = slowdownFactor;
  }

  /** Running and queued requests. Gateways cannot observe this number; only the oracle uses it. */
  int openRequests() {
    return running + queue.size();
  }

  /** The value of the load header: running requests, queued requests, slots. */
  String loadHeader() {
    return running + "," + queue.size() + "," + slots;
  }

  /** Time until the prefill of a request submitted now could start, in ms. */
  double prefillBacklogMs() {
    double queuedPrefillMs =
        queue.stream().mapToDouble(SimulatedRequest::prefillMs).sum() * slowdownFactor;
    return Math.max(0, prefillBusyUntil - timers.now()) + queuedPrefillMs;
  }

  void submit(double prefillMs, double decodeMs, Client client) {
    if (running < slots) {
      run(new SimulatedRequest(prefillMs, decodeMs, client));
    } else if (queue.size() < maxQueued) {
      queue.add(new SimulatedRequest(prefillMs, decodeMs, client));
    } else {
      rejections++;
      timers.execute(client::onRejected);
    }
  }

  private void run(SimulatedRequest request) {
    running++;
    prefillBusyUntil =
        Math.max(prefillBusyUntil, (double) timers.now()) + request.prefillMs * slowdownFactor;
    long firstTokenDelayMs = Math.round(prefillBusyUntil - timers.now());
    timers.schedule(firstTokenDelayMs, request.client::onFirstToken);
    timers.schedule(
        firstTokenDelayMs + Math.round(request.decodeMs * slowdownFactor), () -> complete(request));
  }

  private void complete(SimulatedRequest request) {
    running--;
    if (!queue.isEmpty()) {
      run(queue.poll());
    }
    request.client.onLastToken();
  }
}
