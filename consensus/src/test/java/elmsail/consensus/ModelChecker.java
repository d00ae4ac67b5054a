package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Voter;
import java.util.ArrayDeque;

/**
 * A model checker: visits each reachable state of a model once. A state is an array of small
 * numbers: first {@link #FIELDS} numbers for each process, then the fields of the model.
 */
abstract class ModelChecker {
  /**
   * The number of fields of a process: promised ballot, accepted ballot, marks, whether the value
   * is from a state transfer, known claims.
   */
  static final int FIELDS = 5;

  /** The index of the field with the claims that a process knows. */
  static final int KNOWN_CLAIMS = 4;

  private final int[] bits;
  private final LongPairSet seen = new LongPairSet();
  private final ArrayDeque<long[]> unvisited = new ArrayDeque<>();

  /** The violation of an invariant; null if none was found. */
  String violation;

  /**
   * @param bits the number of bits of each field, at most 128 in total
   */
  ModelChecker(int[] bits) {
    this.bits = bits;
  }

  /** Checks the invariants of a state, and pushes each state that may follow it. */
  abstract void visit(int[] state);

  /** Visits all states, at most {@code maxStates}; returns the violation, or null. */
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
            + (found == null ? "no violation" : found));
    return found;
  }

  /** Adds a state to the unvisited states, unless it was added before. */
  final void push(int[] state) {
    long[] packed = {0, 0};
    int bit = 0;
    for (int i = 0; i < bits.length; i++) {
      bit = bit < 64 && bit + bits[i] > 64 ? 64 : bit;
      packed[bit / 64] |= (long) state[i] << bit % 64;
      bit += bits[i];
    }
    if (seen.add(packed[0], packed[1])) {
      unvisited.addLast(packed);
    }
  }

  private int[] unpacked(long[] packed) {
    int[] state = new int[bits.length];
    int bit = 0;
    for (int i = 0; i < bits.length; i++) {
      bit = bit < 64 && bit + bits[i] > 64 ? 64 : bit;
      state[i] = (int) (packed[bit / 64] >>> bit % 64) & (1 << bits[i]) - 1;
      bit += bits[i];
    }
    return state;
  }

  static Ballot ballot(int round) {
    return Ballots.of(round, round == 0 ? 0 : 7);
  }

  static AcceptorState key(int[] state, int process) {
    int offset = process * FIELDS;
    byte[] value = state[offset + 1] == 0 ? null : new byte[] {(byte) state[offset + 2]};
    return new AcceptorState(
        ballot(state[offset]), ballot(state[offset + 1]), state[offset + 3] == 1, value);
  }

  static void putKey(int[] state, int process, AcceptorState key) {
    int offset = process * FIELDS;
    state[offset] = (int) key.promised().round;
    state[offset + 1] = (int) key.accepted().round;
    state[offset + 2] = key.value() == null ? 0 : key.value()[0];
    state[offset + 3] = key.fromStateTransfer() ? 1 : 0;
  }

  /** The voter of the process with this number. */
  static Voter voter(String name, int process, int epoch) {
    Voter voter = new Voter();
    voter.address = name;
    voter.machine = name;
    voter.instanceId = process + 1L;
    voter.epoch = epoch;
    return voter;
  }
}
