package willowdoor.members;

/** The local health score: how little this process may trust its own judgement, from 0. */
final class LocalHealth {

  private final int maxScore;
  private int score;

  /** With 0 at most it stays there. */
  LocalHealth(int maxScore) {
    this.maxScore = maxScore;
  }

  void change(long by) {
    score = (int) Math.max(0, Math.min(maxScore, score + by));
  }

  int score() {
    return score;
  }

  long scaled(long ms) {
    return ms * (score + 1);
  }
}
