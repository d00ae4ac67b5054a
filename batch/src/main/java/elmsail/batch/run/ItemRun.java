package elmsail.batch.run;

import elmsail.batch.ItemServers;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** One item on its way to a result: the text of the events kept so far, and the run under way. */
final class ItemRun {
  private static final int MOST_TEXT = 4 << 20;

  final int index;

  /** The last event kept, -1: none. */
  long last = -1;

  /** Answers of 500, those that former runners recorded too. */
  int failures;

  /** How many of them stand in the job's record. */
  int recordedFailures;

  /** Tries that led nowhere in a row, for the backoff. */
  int vain;

  ItemServers.Running running;

  /** Goes up with each run and each cancel, so that what a former run brings is not taken. */
  int run;

  boolean underWay;

  /** When the run under way was sent, by the steady clock. */
  long sentAt;

  /** Whether an event of this run came. */
  boolean answered;

  boolean done;
  private ByteArrayOutputStream text;

  ItemRun(int index) {
    this.index = index;
  }

  /** Keeps an event if it is the next one; false for a gap or a repeat, which spoils the run. */
  boolean event(long id, byte[] data) {
    if (id < 0 || last >= 0 && id != last + 1 || bytes() + data.length >= MOST_TEXT) {
      return false;
    }
    if (text == null) {
      text = new ByteArrayOutputStream(data.length + 32);
    } else {
      text.write('\n');
    }
    text.write(data, 0, data.length);
    last = id;
    answered = true;
    return true;
  }

  boolean any() {
    return text != null;
  }

  int bytes() {
    return text == null ? 0 : text.size();
  }

  /** The whole text as UTF-8, whatever the server sent. */
  byte[] text() {
    byte[] bytes = text == null ? new byte[0] : text.toByteArray();
    return new String(bytes, StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
  }

  void forgetText() {
    text = null;
    last = -1;
  }

  /** Ends the run under way; nothing of it is taken any more. */
  void cancel() {
    run++;
    underWay = false;
    if (running != null) {
      running.cancel();
      running = null;
    }
  }
}
