package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.runtime.ManualTimers;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Three voters that are also candidates, under freezes, restarts, and lost or delayed messages.
 * Guards against two holders at one time.
 */
class LeaseTest {
  private static final int VOTERS = 3;

  private final ManualTimers timers = new ManualTimers();
  private final LeaseVoter[] voters = new LeaseVoter[VOTERS];
  private final Lease[] leases = new Lease[VOTERS];
  private final long[] frozenUntilMs = new long[VOTERS];
  private final long[] processIds = new long[VOTERS];
  private Random random;
  private double lossRate;

  private void createVotersAndCandidates(long seed, boolean isFirstStart) {
    random = new Random(seed);
    for (int i = 0; i < VOTERS; i++) {
      voters[i] = new LeaseVoter(timers.now(), isFirstStart);
      leases[i] = new Lease(timers.now(), i);
      processIds[i] = i + 1L;
    }
  }

  private void send(int candidate, Lease.Round round) {
    Lease lease = leases[candidate];
    long processId = processIds[candidate];
    for (int v = 0; v < VOTERS; v++) {
      int voter = v;
      if (random.nextDouble() < lossRate) {
        continue;
      }
      long requestDelayMs = random.nextInt(random.nextInt(20) == 0 ? 3_000 : 20);
      long responseDelayMs = random.nextInt(random.nextInt(20) == 0 ? 3_000 : 20);
      timers.schedule(
          requestDelayMs,
          () -> onRequest(voter, candidate, lease, processId, round, responseDelayMs));
    }
  }

  private void onRequest(
      int voter,
      int candidate,
      Lease lease,
      long processId,
      Lease.Round round,
      long responseDelayMs) {
    if (timers.now() < frozenUntilMs[voter]) {
      timers.schedule(
          frozenUntilMs[voter] - timers.now(),
          () -> onRequest(voter, candidate, lease, processId, round, responseDelayMs));
      return;
    }
    if (round.kind() == Lease.Round.Kind.RELEASE) {
      voters[voter].release(processId, round.number(), timers.now());
      return;
    }
    long remainingMs = voters[voter].tryGrant(processId, round.number(), timers.now());
    timers.schedule(responseDelayMs, () -> onResponse(voter, candidate, lease, round, remainingMs));
  }

  private void onResponse(
      int voter, int candidate, Lease lease, Lease.Round round, long remainingMs) {
    if (timers.now() < frozenUntilMs[candidate]) {
      timers.schedule(
          frozenUntilMs[candidate] - timers.now(),
          () -> onResponse(voter, candidate, lease, round, remainingMs));
    } else if (remainingMs == 0) {
      lease.onGranted(round.number(), voter, timers.now());
    } else {
      lease.onRefused(round.number(), remainingMs);
    }
  }

  /** Advances time by 10 ms; returns the number of lease holders at that moment. */
  private int step() {
    timers.advance(10);
    int holders = 0;
    for (int i = 0; i < VOTERS; i++) {
      if (timers.now() >= frozenUntilMs[i]) {
        int candidate = i;
        leases[i].poll(timers.now(), VOTERS).ifPresent(round -> send(candidate, round));
      }
      holders += leases[i].isHeld(timers.now()) ? 1 : 0;
    }
    return holders;
  }

  @Test
  void firstCandidateHoldsTheLeaseFromTheStartAndKeepsIt() {
    createVotersAndCandidates(1, true);
    int held = 0;
    for (int i = 0; i < 1_000; i++) {
      step();
      held += leases[0].isHeld(timers.now()) ? 1 : 0;
    }
    assertThat(held, greaterThan(980));
  }

  @Test
  void restartedVotersGrantNothingForOneLeaseDuration() {
    createVotersAndCandidates(1, false);
    int held = 0;
    for (int i = 0; i < 199; i++) {
      held += step();
    }
    assertThat(held, is(0));
    for (int i = 0; i < 150; i++) {
      held += step();
    }
    assertThat(held, greaterThan(50));
  }

  @Test
  void anotherCandidateTakesOverAfterTheHolderIsLost() {
    createVotersAndCandidates(3, true);
    for (int i = 0; i < 200; i++) {
      step();
    }
    assertThat(leases[0].isHeld(timers.now()), is(true));
    frozenUntilMs[0] = Long.MAX_VALUE;
    int stepsWithoutHolder = 0;
    while (!leases[1].isHeld(timers.now()) && !leases[2].isHeld(timers.now())) {
      step();
      stepsWithoutHolder++;
      assertThat(stepsWithoutHolder, lessThanOrEqualTo(450));
    }
  }

  @Test
  void neverTwoHoldersUnderRandomFaults() {
    long held = 0;
    for (int seed = 0; seed < 60; seed++) {
      createVotersAndCandidates(seed, true);
      for (int i = 0; i < VOTERS; i++) {
        frozenUntilMs[i] = 0;
      }
      lossRate = seed % 3 * 0.15;
      // Lets the remaining messages of the previous seed arrive.
      timers.advance(10_000);
      createVotersAndCandidates(seed, true);
      for (int i = 0; i < 4_000; i++) {
        int holders = step();
        assertThat("seed " + seed, holders, lessThanOrEqualTo(1));
        held += holders;
        injectFaults();
      }
    }
    assertThat("steps with a holder", held, greaterThan(60 * 4_000L / 4));
  }

  private void injectFaults() {
    if (random.nextInt(300) == 0) {
      frozenUntilMs[random.nextInt(VOTERS)] = timers.now() + random.nextInt(4_000);
    }
    if (random.nextInt(500) == 0) {
      int restarted = random.nextInt(VOTERS);
      frozenUntilMs[restarted] = timers.now() + random.nextInt(500);
      voters[restarted] = new LeaseVoter(timers.now(), false);
      leases[restarted] = new Lease(timers.now(), restarted);
      processIds[restarted] = random.nextLong();
    }
  }

  /** The slot's previous holder may have granted the lease right before the takeover. */
  @Test
  void voterThatTookOverASlotWaitsForOneLeaseDuration() {
    LeaseVoter voter = new LeaseVoter(0, true);
    assertThat(voter.tryGrant(1, 1, 10), is(0L));
    voter.onSlotTakenOver(1_000);
    assertThat(voter.tryGrant(1, 2, 1_001), is(LeaseVoter.LEASE_DURATION_MS - 1));
    assertThat(voter.tryGrant(2, 1, 1_000 + LeaseVoter.LEASE_DURATION_MS), is(0L));
  }
}
