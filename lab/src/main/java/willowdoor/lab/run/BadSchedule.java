package willowdoor.lab.run;

/** A schedule that cannot be played, and why, in a sentence that names the key. */
public final class BadSchedule extends Exception {

  private static final long serialVersionUID = 1;

  BadSchedule(String reason) {
    super(reason);
  }
}
