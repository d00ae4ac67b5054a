package elmsail.timetable.pull;

import elmsail.inner.words.PullTold;
import elmsail.station.Timers;
import java.util.ArrayList;
import java.util.List;

/** The pull held open at one notary: its pace, and that notary's own versions. Times in ms. */
final class Line {
  private static final long APART_MS = 20;
  private static final long FIRST_PAUSE_MS = 100;
  private static final long LONGEST_PAUSE_MS = 500;

  final String address;
  final long openedAt;
  /** Of this notary's rosters; those of different notaries, or of its lives, are not comparable. */
  long rosterVersion;
  List<String> clerks = new ArrayList<>();
  long heardAt = -1;
  boolean open = true;
  Timers.Timer next;
  private long askedAt;
  private long pauseMs = FIRST_PAUSE_MS;

  Line(String address, long now) {
    this.address = address;
    this.openedAt = now;
  }

  void asked(long now) {
    askedAt = now;
  }

  /** How long the next ask waits after an answer. */
  long afterAnswer(long now) {
    pauseMs = FIRST_PAUSE_MS;
    return Math.max(0, askedAt + APART_MS - now);
  }

  /** How long the next ask waits after a failure, or an answer that could not be read. */
  long afterFailure() {
    long pause = pauseMs;
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    return pause;
  }

  /** Takes this notary's version: if it has gone on without a roster, the next ask fetches the roster. */
  void heard(PullTold told, long now) {
    heardAt = now;
    if (told.roster != null) {
      rosterVersion = told.rosterVersion;
      clerks = told.roster.clerks;
    } else if (told.rosterVersion != rosterVersion) {
      rosterVersion = 0;
    }
  }

  /** When it last said something, or was begun to be asked. */
  long lastSign() {
    return heardAt < 0 ? openedAt : heardAt;
  }

  void close() {
    open = false;
    if (next != null) {
      next.cancel();
    }
  }
}
