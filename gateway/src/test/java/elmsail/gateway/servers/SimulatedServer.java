package elmsail.gateway.servers;

import elmsail.runtime.ManualTimers;
import java.util.ArrayDeque;

/**
 * A model server that batches: some places, a queue before them in the order of arrival, prompts
 * read one after the other, and a place held until the last token. It tells no load and refuses
 * where its queue is full.
 */
final class SimulatedServer {
  /** What becomes of a request there. */
  interface Client {
    /** It was not taken, and will not run. */
    void onRejected();

    void onFirstToken();

    void onLastToken();
  }

  private record SimulatedRequest(double prefillMs, double decodeMs, Client client) {}

  private final ManualTimers timers;
  private final int slots;
  private final int maxQueued;

  /** Of a server of usual speed: 1; of a slower one more. */
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

  /** Requests there, running and waiting: what nobody but an oracle sees. */
  int openRequests() {
    return running + queue.size();
  }

  /** The value of the load header: requests that run, requests that wait, slots. */
  String loadHeader() {
    return running + "," + queue.size() + "," + slots;
  }

  /** How long a prompt that is let in now waits for those before it, in ms. */
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
