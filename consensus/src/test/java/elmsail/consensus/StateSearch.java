package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Voter;
import java.util.ArrayDeque;

/**
 * A model checker: visits all states that a model can reach, each once. A state is an array of
 * small numbers: first {@link #FIELDS} for each process, then the fields of the model.
 */
abstract class StateSearch {
  /** Fields of a process: promised, accepted, marks, copied, known claims. */
  static final int FIELDS = 5;

  /** The field of the claims that a process knows. */
  static final int KNOWN_CLAIMS = 4;

  private final int[] bits;
  private final LongPairs seen = new LongPairs();
  private final ArrayDeque<long[]> unvisited = new ArrayDeque<>();

  /** The invariant that was violated; null as long as none was. */
  String violation;

  /** A search whose fields have so many bits each, at most 128 in all. */
  StateSearch(int[] bits) {
    this.bits = bits;
  }

  /** Checks the invariants of a state, and pushes each state that may follow it. */
  abstract void visit(int[] state);

  /** Visits all states, at most so many; returns the violation, or null. */
  final String check(int maxStates) {
    push(new int[bits.length]);
    while (!unvisited.isEmpty() && violation == null) {
      if (seen.size() > maxStates) {
        throw new IllegalStateException("more than " + maxStates + " states");
      }
      visit(unpacked(unvisited.pollLast()));
    }
    return violation;
  }

  /** As {@link #check}, and prints the number of states and the time. */
  final String checkAndPrint(String name, int maxStates) {
    long from = System.nanoTime();
    String found = check(maxStates);
    System.out.println(
        name
            + ": "
            + seen.size()
            + " states in "
            + (System.nanoTime() - from) / 1_000_000
            + " ms, "
            + (found == null ? "no fault" : found));
    return found;
  }

  /** Adds a state to those that will be visited, unless it was before. */
  final void push(int[] state) {
    long[] packed = {0, 0};
    int at = 0;
    for (int i = 0; i < bits.length; i++) {
      at = at < 64 && at + bits[i] > 64 ? 64 : at;
      packed[at / 64] |= (long) state[i] << at % 64;
      at += bits[i];
    }
    if (seen.add(packed[0], packed[1])) {
      unvisited.addLast(packed);
    }
  }

  private int[] unpacked(long[] packed) {
    int[] state = new int[bits.length];
    int at = 0;
    for (int i = 0; i < bits.length; i++) {
      at = at < 64 && at + bits[i] > 64 ? 64 : at;
      state[i] = (int) (packed[at / 64] >>> at % 64) & (1 << bits[i]) - 1;
      at += bits[i];
    }
    return state;
  }

  static Ballot ballot(int round) {
    return Ballots.of(round, round == 0 ? 0 : 7);
  }

  static AcceptorState key(int[] state, int process) {
    int at = process * FIELDS;
    byte[] value = state[at + 1] == 0 ? null : new byte[] {(byte) state[at + 2]};
    return new AcceptorState(ballot(state[at]), ballot(state[at + 1]), state[at + 3] == 1, value);
  }

  static void put(int[] state, int process, AcceptorState key) {
    int at = process * FIELDS;
    state[at] = (int) key.promised().round;
    state[at + 1] = (int) key.accepted().round;
    state[at + 2] = key.value() == null ? 0 : key.value()[0];
    state[at + 3] = key.fromStateTransfer() ? 1 : 0;
  }

  /** A voter for the process of this number. */
  static Voter voter(String name, int process, int epoch) {
    Voter voter = new Voter();
    voter.address = name;
    voter.machine = name;
    voter.instanceId = process + 1L;
    voter.epoch = epoch;
    return voter;
  }
}
