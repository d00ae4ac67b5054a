package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Timers;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * The asker's side of one set. Runs on the loop; what it keeps is bounded, and only spares rounds.
 */
public final class RegisterClient implements Register {
  /** No single call of an attempt waits longer. */
  static final long CALL_MS = 1_200;

  private static final int MOST_KEPT = 512;
  private static final int BIGGEST_KEPT = 8 << 10;
  private static final long FIRST_WAIT_MS = 40;
  private static final long MOST_WAIT_MS = 150;
  private static final long LEAST_WAIT_MS = 5;

  /**
   * What this client's last change of a key left behind; {@code next} null: no promise to go on
   * with.
   */
  record Kept(Ballot next, Ballot accepted, byte[] value, VoterSet voterSet) {}

  private final String set;
  final RpcClient caller;
  final Timers timers;
  final VoterSetSource voterSets;
  private final long who;
  private final ToIntFunction<String> distance;
  private final Map<String, Kept> kept =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Kept> eldest) {
          return size() > MOST_KEPT;
        }
      };
  private final SplittableRandom chance;
  final RelayChoice relays;
  private long highestRound;

  /**
   * @param who of this client alone, in all processes and instances: drawn at random
   * @param ownAddress a replica there is asked first
   * @param distance of an inner address: the lower, the earlier it is asked for bytes
   */
  public RegisterClient(
      String set,
      RpcClient caller,
      Timers timers,
      VoterSetSource voterSets,
      long who,
      String ownAddress,
      ToIntFunction<String> distance) {
    this.set = set;
    this.caller = caller;
    this.timers = timers;
    this.voterSets = voterSets;
    this.who = who;
    chance = new SplittableRandom(who);
    relays = new RelayChoice(timers);
    this.distance =
        address -> address.equals(ownAddress) ? Integer.MIN_VALUE : distance.applyAsInt(address);
  }

  @Override
  public CompletableFuture<Versioned> read(String key, Ballot known, long timeoutMs) {
    QuorumRead reading = new QuorumRead(this, key, known == null ? new Ballot() : known, timeoutMs);
    reading.start();
    return reading.result();
  }

  @Override
  public CompletableFuture<Held> change(
      String key, Function<Found, Wanted> change, List<Blob> blobs, byte[] note, long timeoutMs) {
    Proposer changing =
        new Proposer(this, key, change, blobs == null ? List.of() : blobs, note, timeoutMs);
    changing.start();
    return changing.result();
  }

  @Override
  public CompletableFuture<byte[]> blob(String key, String name, long timeoutMs) {
    BlobRead search = new BlobRead(this, key, name, timeoutMs);
    search.start();
    return search.result();
  }

  String set() {
    return set;
  }

  Ballot nextBallot() {
    highestRound++;
    return Ballots.of(highestRound, who);
  }

  /** The ballot to ask the promise of, behind the one that is being accepted. */
  Ballot promiseAfter(Ballot ballot) {
    Ballot next = Ballots.of(Math.max(highestRound, ballot.round) + 1, who);
    highestRound = next.round;
    return next;
  }

  void seen(Ballot ballot) {
    if (ballot != null) {
      highestRound = Math.max(highestRound, ballot.round);
    }
  }

  Kept kept(String key) {
    return kept.get(key);
  }

  /** Each promise is good for one accept. */
  Kept takeKept(String key) {
    return kept.remove(key);
  }

  void keep(String key, Kept one) {
    boolean big = one.value != null && one.value.length > BIGGEST_KEPT;
    kept.put(key, big ? new Kept(null, new Ballot(), null, one.voterSet) : one);
  }

  /** Positions of the voter slots, the nearest first. */
  int[] nearestFirst(VoterSet voterSet) {
    List<Voter> voters = voterSet.voters;
    int[] order = new int[voters.size()];
    for (int i = 0; i < order.length; i++) {
      int at = i;
      int far = distance.applyAsInt(voters.get(i).address);
      while (at > 0 && distance.applyAsInt(voters.get(order[at - 1]).address) > far) {
        order[at] = order[at - 1];
        at--;
      }
      order[at] = i;
    }
    return order;
  }

  /** A random wait before try number {@code tries}, growing from 5 to 40 up to 150 ms. */
  long backoff(int tries) {
    long most = Math.min(MOST_WAIT_MS, FIRST_WAIT_MS << Math.min(tries, 4));
    return chance.nextLong(LEAST_WAIT_MS, most + 1);
  }

  static ElmsailException failure(ErrorCode code, String set, String key) {
    return new ElmsailException(code, set + " " + key);
  }
}
