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

    void onEnded();
  }

  private record Waiting(double readMs, double holdMs, Client client) {}

  private final ManualTimers timers;
  private final int slots;
  private final int maxQueued;

  /** Of a server of usual speed: 1; of a slower one more. */
  private final double slowness;

  private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
  private int running;
  private double readUntil;
  int rejections;

  SimulatedServer(ManualTimers timers, int slots, int maxQueued, double slowness) {
    this.timers = timers;
    this.slots = slots;
    this.maxQueued = maxQueued;
    this.slowness = slowness;
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
  double backlogMs() {
    double queued = queue.stream().mapToDouble(Waiting::readMs).sum() * slowness;
    return Math.max(0, readUntil - timers.now()) + queued;
  }

  void submit(double readMs, double holdMs, Client client) {
    if (running < slots) {
      run(new Waiting(readMs, holdMs, client));
    } else if (queue.size() < maxQueued) {
      queue.add(new Waiting(readMs, holdMs, client));
    } else {
      rejections++;
      timers.execute(client::onRejected);
    }
  }

  private void run(Waiting one) {
    running++;
    readUntil = Math.max(readUntil, (double) timers.now()) + one.readMs * slowness;
    long first = Math.round(readUntil - timers.now());
    timers.schedule(first, one.client::onFirstToken);
    timers.schedule(first + Math.round(one.holdMs * slowness), () -> end(one));
  }

  private void end(Waiting one) {
    running--;
    if (!queue.isEmpty()) {
      run(queue.poll());
    }
    one.client.onEnded();
  }
}
