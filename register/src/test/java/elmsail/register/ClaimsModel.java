package elmsail.register;

import elmsail.inner.words.Ballot;
import elmsail.inner.words.ClaimAsk;
import elmsail.inner.words.ClaimTold;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.inner.words.VoteTold;
import java.util.ArrayDeque;
import java.util.List;

/**
 * All that can happen, in whatever order, with one key of three seats (A, B, C) and two claims at once: S
 * takes A's seat, X takes C's. A and C may live on, or be silent for good from any moment on, which is what
 * the loss of their memory is. Decisions on claims, sources and votes are the production classes'.
 */
final class ClaimsModel {
  private static final int SEATS = 3;
  private static final int S = 3;
  private static final int X = 4;
  private static final int PROCESSES = 5;
  /** Fields of a process: promised, accepted, marks, copied, known claims (1: S's, 2: X's). */
  private static final int FIELDS = 5;
  private static final int ROUNDS = PROCESSES * FIELDS;
  private static final int BEGUN = 0;
  private static final int SEATED = 1;
  /** Whether the other claim was known when this one was sent. */
  private static final int ASKED = 2;
  /** 1: B acknowledged; 2: and knew the other claim. */
  private static final int OF_B = 3;
  /** 1: the other seat's holder acknowledged; 2: it isn't seated, and noted it. */
  private static final int OF_OTHER = 4;
  /** 1: the one before in the other seat acknowledged; 2: it is replaced, and noted it. */
  private static final int OF_BEFORE = 5;
  private static final int COPIED_B = 6;
  private static final int COPIED_OTHER = 7;
  private static final int RESTARTED = 8;
  private static final int ROUND = 9;
  private static final int ASKERS = ROUNDS + 2 * ROUND;
  /** Fields of a ballot: phase, seating, promises, best ballot, best marks, accepts. */
  private static final int ASKER = 6;
  private static final int BALLOTS = 2;
  private static final int SIZE = ASKERS + BALLOTS * ASKER;
  private static final int[] BITS = new int[SIZE];
  private static final String[] NAMES = {"a", "b", "c", "s", "x"};

  /** What is done otherwise than it ought to be. */
  enum Defect {
    NONE, SUCCESSOR_NOT_ASKED, SUCCESSOR_NOTES_NOTHING, RECORDS_DROPPED, REPLACED_NOT_ASKED, STALE_SOURCE,
    COPY_UNDER_OLD_SEATING
  }

  static {
    for (int i = 0; i < ROUNDS; i++) {
      BITS[i] = new int[] {2, 2, 2, 1, 2}[i % FIELDS];
    }
    for (int i = ROUNDS; i < ASKERS; i++) {
      BITS[i] = new int[] {1, 1, 1, 2, 2, 2, 1, 1, 1}[(i - ROUNDS) % ROUND];
    }
    for (int i = ASKERS; i < SIZE; i++) {
      BITS[i] = new int[] {2, 2, 3, 2, 2, 3}[(i - ASKERS) % ASKER];
    }
  }

  private final Defect defect;
  private final int ballots;
  private final boolean restarts;
  private final Seating[] seatings = new Seating[4];
  private final LongPairs seen = new LongPairs();
  private final ArrayDeque<long[]> open = new ArrayDeque<>();
  private String fault;

  /** @param restarts each newcomer may end once in the middle of its claim, and begin it again */
  ClaimsModel(Defect defect, int ballots, boolean restarts) {
    this.defect = defect;
    this.ballots = ballots;
    this.restarts = restarts;
    Seating founding = new Seating();
    for (int i = 0; i < SEATS; i++) {
      founding.seats.add(seat(i, 1));
    }
    for (int known = 0; known < 4; known++) {
      seatings[known] = founding;
      for (int claim = S; claim <= X; claim++) {
        if ((known & bit(claim)) != 0) {
          Seat holder = seat(claim, 2);
          Seat before = founding.seats.get(seatOf(claim));
          holder.beforeAddress = before.address;
          holder.beforeLife = before.life;
          holder.beforeIncarnation = before.incarnation;
          seatings[known] = SeatingRules.with(seatings[known], seatOf(claim), holder);
        }
      }
    }
  }

  private static Seat seat(int process, int incarnation) {
    Seat seat = new Seat();
    seat.address = NAMES[process];
    seat.station = NAMES[process];
    seat.life = process + 1;
    seat.incarnation = incarnation;
    return seat;
  }

  private static int bit(int claim) {
    return 1 << claim - S;
  }

  private static int seatOf(int claim) {
    return claim == S ? 0 : 2;
  }

  private static int holder(int seat, int known) {
    return seat == 0 && (known & 1) != 0 ? S : seat == 2 && (known & 2) != 0 ? X : seat;
  }

  private static int at(int claim) {
    return ROUNDS + (claim - S) * ROUND;
  }

  /** Goes through all states, at most so many; null if none breaks a rule. */
  String check(int most) {
    push(new int[SIZE]);
    while (!open.isEmpty() && fault == null) {
      if (seen.size() > most) {
        throw new IllegalStateException("more than " + most + " states");
      }
      int[] state = unpacked(open.pollLast());
      judge(state);
      newcomer(state, S);
      newcomer(state, X);
      for (int b = 0; b < ballots; b++) {
        asker(state, b);
      }
    }
    return fault;
  }

  int states() {
    return seen.size();
  }

  private void push(int[] state) {
    long[] packed = {0, 0};
    int at = 0;
    for (int i = 0; i < SIZE; i++) {
      at = at < 64 && at + BITS[i] > 64 ? 64 : at;
      packed[at / 64] |= (long) state[i] << at % 64;
      at += BITS[i];
    }
    if (seen.add(packed[0], packed[1])) {
      open.addLast(packed);
    }
  }

  private static int[] unpacked(long[] packed) {
    int[] state = new int[SIZE];
    int at = 0;
    for (int i = 0; i < SIZE; i++) {
      at = at < 64 && at + BITS[i] > 64 ? 64 : at;
      state[i] = (int) (packed[at / 64] >>> at % 64) & (1 << BITS[i]) - 1;
      at += BITS[i];
    }
    return state;
  }

  private static Ballot ballot(int round) {
    return Ballots.of(round, round == 0 ? 0 : 7);
  }

  private static KeyState key(int[] state, int process) {
    int at = process * FIELDS;
    byte[] value = state[at + 1] == 0 ? null : new byte[] {(byte) state[at + 2]};
    return new KeyState(ballot(state[at]), ballot(state[at + 1]), state[at + 3] == 1, value);
  }

  private static void put(int[] state, int process, KeyState key) {
    int at = process * FIELDS;
    state[at] = (int) key.promised().round;
    state[at + 1] = (int) key.accepted().round;
    state[at + 2] = key.value() == null ? 0 : key.value()[0];
    state[at + 3] = key.copied() ? 1 : 0;
  }

  private static int knows(int[] state, int process) {
    return state[process * FIELDS + 4];
  }

  private void learn(int[] state, int process, int known) {
    state[process * FIELDS + 4] |= known;
    boolean replaced = process == 0 && (known & 1) != 0 || process == 2 && (known & 2) != 0;
    if (replaced && defect == Defect.RECORDS_DROPPED) {
      put(state, process, KeyState.EMPTY);
    }
  }

  private static int known(Seating seating) {
    return (seating.seats.get(0).life == S + 1 ? 1 : 0) | (seating.seats.get(2).life == X + 1 ? 2 : 0);
  }

  private Membership membership(int[] state, int process) {
    int caughtUp = process < S ? 1 : 2 * state[at(process) + SEATED];
    return new Membership(NAMES[process], NAMES[process], process + 1, seatings[knows(state, process)],
        caughtUp);
  }

  private static boolean absent(int[] state, int process) {
    return process >= S && state[at(process) + BEGUN] == 0;
  }

  /** How a voter answers an ask under that seating, which it may learn on the way. */
  private int vote(int[] state, int process, int asked) {
    Membership membership = membership(state, process);
    if (membership.vote(seatings[asked]) != VoteTold.OLD_SEATING && membership.learn(seatings[asked])) {
      learn(state, process, asked);
    }
    return membership.vote(seatings[asked]);
  }

  private boolean votes(int[] state, int process, int asked) {
    return !absent(state, process) && vote(state, process, asked) == VoteTold.DONE;
  }

  private void newcomer(int[] state, int claim) {
    int at = at(claim);
    if (state[at + BEGUN] == 0) {
      int other = claim == S ? X : S;
      for (int knowing = 0; knowing <= state[at(other) + BEGUN]; knowing++) {
        int[] next = state.clone();
        next[at + BEGUN] = 1;
        next[at + ASKED] = knowing;
        learn(next, claim, bit(claim) | knowing * bit(other));
        push(next);
      }
      return;
    }
    if (state[at + SEATED] == 1) {
      return;
    }
    ClaimAnswers answers = answers(state, claim);
    List<Seat> sources = answers.sources();
    if (sources == null) {
      for (int field = OF_B; field <= OF_BEFORE; field++) {
        ask(state, claim, field);
      }
    } else {
      for (Seat source : sources) {
        copy(state, claim, (int) source.life - 1, source == answers.replaced(), knows(state, claim));
        if (defect == Defect.COPY_UNDER_OLD_SEATING) {
          copy(state, claim, (int) source.life - 1, source == answers.replaced(), bit(claim));
        }
      }
      if (state[at + COPIED_B] == 1 && state[at + COPIED_OTHER] == 1) {
        int[] next = state.clone();
        ended(next, at);
        next[at + SEATED] = 1;
        push(next);
      }
    }
    if (restarts && state[at + RESTARTED] == 0) {
      int[] next = state.clone();
      ended(next, at);
      next[at + RESTARTED] = 1;
      next[at + ASKED] = (knows(state, claim) & ~bit(claim)) == 0 ? 0 : 1;
      put(next, claim, KeyState.EMPTY);
      push(next);
    }
  }

  private static void ended(int[] next, int at) {
    for (int field = ASKED; field <= COPIED_OTHER; field++) {
      next[at + field] = 0;
    }
  }

  /** Whom a claim asks: the seat of B, the other claimed seat's holder, or the one before in that. */
  private static int asked(int[] state, int claim, int field) {
    int other = claim == S ? X : S;
    if (field == OF_B) {
      return 1;
    }
    return field == OF_OTHER && state[at(claim) + ASKED] == 1 ? other : seatOf(other);
  }

  private ClaimAnswers answers(int[] state, int claim) {
    int at = at(claim);
    int other = claim == S ? X : S;
    int all = bit(claim) | bit(other);
    int known = bit(claim) | state[at + ASKED] * bit(other);
    ClaimAnswers answers = new ClaimAnswers(seatings[known], seatOf(claim), claim + 1);
    if (state[at + OF_B] != 0) {
      answers.told(1, told(1, true, state[at + OF_B] == 2 ? all : bit(claim)));
    }
    if (state[at + OF_OTHER] != 0) {
      answers.told(seatOf(other), told(asked(state, claim, OF_OTHER), state[at + OF_OTHER] == 1, known));
    } else if (defect == Defect.SUCCESSOR_NOT_ASKED && state[at + ASKED] == 1) {
      answers.told(seatOf(other), told(other, false, known));
    }
    int before = seatOf(other);
    if (state[at + OF_BEFORE] != 0) {
      answers.toldBefore(before, told(before, state[at + OF_BEFORE] == 1,
          state[at + OF_BEFORE] == 1 ? bit(claim) : all));
    }
    return answers;
  }

  private ClaimTold told(int by, boolean held, int known) {
    ClaimTold told = new ClaimTold();
    told.life = by + 1;
    told.held = held;
    told.noted = !held;
    told.replaced = !held && by < S;
    told.seating = seatings[known];
    return told;
  }

  private void ask(int[] state, int claim, int field) {
    int at = at(claim);
    int process = asked(state, claim, field);
    if (state[at + field] != 0 || field == OF_BEFORE && state[at + ASKED] == 0 || absent(state, process)) {
      return;
    }
    ClaimAsk ask = new ClaimAsk();
    ask.seat = seatOf(claim);
    ask.holder = seatings[bit(claim)].seats.get(ask.seat);
    Membership membership = membership(state, process);
    ClaimTold told = membership.answer(ask);
    int[] next = state.clone();
    if (!(defect == Defect.SUCCESSOR_NOTES_NOTHING && told.noted && !told.replaced)) {
      learn(next, process, known(membership.seating()));
    }
    push(next.clone());
    learn(next, claim, known(membership.seating()));
    if (told.held && field == OF_B) {
      next[at + field] = known(membership.seating()) == 3 ? 2 : 1;
    } else if (told.held) {
      next[at + field] = 1;
    } else if (field == OF_BEFORE ? told.noted && told.replaced : told.noted && !told.replaced) {
      next[at + field] = 2;
    }
    push(next);
  }

  private void copy(int[] state, int claim, int process, boolean ofReplaced, int seating) {
    int[] next = state.clone();
    int code = vote(next, process, seating);
    if (membership(next, process).serves(code, ofReplaced || defect == Defect.STALE_SOURCE)) {
      put(next, claim, key(next, claim).withCopyOf(key(next, process)));
      next[at(claim) + (process == 1 ? COPIED_B : COPIED_OTHER)] = 1;
    }
    if (defect == Defect.REPLACED_NOT_ASKED && process < S && process != 1) {
      next[at(claim) + COPIED_OTHER] = 1;
    }
    push(next);
  }

  private void asker(int[] state, int b) {
    int at = ASKERS + b * ASKER;
    if (state[at] == 0) {
      for (int seating = 0; seating < 4; seating++) {
        if ((seating & ~(state[at(S) + BEGUN] | 2 * state[at(X) + BEGUN])) == 0) {
          int[] next = state.clone();
          next[at] = 1;
          next[at + 1] = seating;
          push(next);
        }
      }
      return;
    }
    if (state[at] == 1 && Integer.bitCount(state[at + 2]) >= SeatingRules.majority(SEATS)) {
      int[] next = state.clone();
      next[at] = 2;
      next[at + 2] = 0;
      next[at + 4] |= 1 << b;
      push(next);
    }
    for (int seat = 0; seat < SEATS; seat++) {
      prepare(state, b, at, seat);
      if (state[at] == 2) {
        accept(state, b, at, seat);
      }
    }
  }

  private void prepare(int[] state, int b, int at, int seat) {
    int[] next = state.clone();
    int process = holder(seat, state[at + 1]);
    if (votes(next, process, state[at + 1])) {
      Acceptor.Decision decision = Acceptor.prepare(key(next, process), ballot(b + 1));
      if (decision.write() != null) {
        put(next, process, decision.write());
      }
      if (decision.answer().code == VoteTold.DONE && state[at] == 1 && (state[at + 2] >> seat & 1) == 0) {
        int[] told = next.clone();
        told[at + 2] |= 1 << seat;
        if (decision.answer().accepted.round > told[at + 3]) {
          told[at + 3] = (int) decision.answer().accepted.round;
          told[at + 4] = decision.answer().value[0];
        }
        push(told);
      }
    }
    push(next);
  }

  private void accept(int[] state, int b, int at, int seat) {
    int[] next = state.clone();
    int process = holder(seat, state[at + 1]);
    if (votes(next, process, state[at + 1])) {
      Acceptor.Decision decision = Acceptor.accept(key(next, process), ballot(b + 1), new Ballot(),
          new byte[] {(byte) state[at + 4]});
      if (decision.write() != null) {
        put(next, process, decision.write());
      }
      if (decision.answer().code == VoteTold.DONE) {
        next[at + 5] |= 1 << seat;
      }
    }
    push(next);
  }

  private void judge(int[] state) {
    int newest = 0;
    for (int b = 0; b < ballots; b++) {
      newest = decided(state, b) ? b + 1 : newest;
    }
    if (newest == 2 && decided(state, 0) && (state[ASKERS + ASKER + 4] & 1) == 0) {
      fault = "ballot 2 was decided without what ballot 1 decided";
    }
    for (int seating = 0; seating < 4; seating++) {
      for (int without = 0; without < SEATS; without++) {
        read(state, seating, without, newest);
      }
    }
  }

  /** A read by two seats at once. */
  private void read(int[] state, int seating, int without, int newest) {
    int found = -1;
    for (int seat = 0; seat < SEATS; seat++) {
      if (seat == without) {
        continue;
      }
      int process = holder(seat, seating);
      KeyState key = key(state, process);
      int told = (int) key.accepted().round;
      if (!votes(state.clone(), process, seating) || key.copied() || found >= 0 && told != found) {
        return;
      }
      found = told;
    }
    if (found < newest) {
      fault = "a majority tells of ballot " + found + " where " + newest + " is decided";
    } else if (found > 0 && !decided(state, found - 1)) {
      fault = "a majority tells of ballot " + found + ", which isn't decided";
    }
  }

  private static boolean decided(int[] state, int b) {
    return Integer.bitCount(state[ASKERS + b * ASKER + 5]) >= SeatingRules.majority(SEATS);
  }
}
