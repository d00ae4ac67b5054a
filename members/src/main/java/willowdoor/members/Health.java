package willowdoor.members;

/** The local health score: how little this process may trust its own judgement, from 0. */
final class Health {

  private final int most;
  private int score;

  /** With 0 at most it stays there. */
  Health(int most) {
    this.most = most;
  }

  void change(long by) {
    score = (int) Math.max(0, Math.min(most, score + by));
  }

  int score() {
    return score;
  }

  long scaled(long ms) {
    return ms * (score + 1);
  }
}
