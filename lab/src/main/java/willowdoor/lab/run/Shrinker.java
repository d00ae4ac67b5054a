package willowdoor.lab.run;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Makes a failing list smaller: leaves out one after the other as long as it still fails. */
final class Shrinker {

  /** Plays what is left. */
  interface Trial<T> {
    boolean fails(List<T> left) throws IOException, InterruptedException, BadSchedule;
  }

  private Shrinker() {}

  /**
   * The smallest that was found in so many trials; if they sufficed, it needs each that is left to
   * fail.
   */
  static <T> List<T> shrink(List<T> failing, int mostTrials, Trial<T> trial)
      throws IOException, InterruptedException, BadSchedule {
    List<T> smallest = new ArrayList<>(failing);
    int trials = 0;
    int sinceSmaller = 0;
    int at = 0;
    while (!smallest.isEmpty() && sinceSmaller < smallest.size() && trials < mostTrials) {
      at = at % smallest.size();
      List<T> less = new ArrayList<>(smallest);
      less.remove(at);
      trials++;
      if (trial.fails(less)) {
        smallest = less;
        sinceSmaller = 0;
      } else {
        at++;
        sinceSmaller++;
      }
    }
    return smallest;
  }
}
