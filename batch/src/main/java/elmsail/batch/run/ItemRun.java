package elmsail.batch.run;

import elmsail.batch.ItemServers;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** One item on its way to a result: the text of the events kept so far, and the run under way. */
final class ItemRun {
  private static final int MAX_TEXT_BYTES = 4 << 20;

  final int itemIndex;

  /** The last event kept, -1: none. */
  long lastEventId = -1;

  /** Answers of 500, those that former runners recorded too. */
  int failedAttempts;

  /** How many of them stand in the job's record. */
  int recordedFailedAttempts;

  /** Tries that led nowhere in a row, for the backoff. */
  int runsWithoutEvents;

  ItemServers.RunHandle handle;

  /** Goes up with each run and each cancel, so that what a former run brings is not taken. */
  int runNumber;

  boolean inFlight;

  /** When the run under way was sent, by the steady clock. */
  long sentAt;

  /** Whether an event of this run came. */
  boolean eventReceived;

  boolean done;
  private ByteArrayOutputStream text;

  ItemRun(int index) {
    this.itemIndex = index;
  }

  /** Keeps an event if it is the next one; false for a gap or a repeat, which spoils the run. */
  boolean appendEvent(long id, byte[] data) {
    if (id < 0
        || lastEventId >= 0 && id != lastEventId + 1
        || textBytes() + data.length >= MAX_TEXT_BYTES) {
      return false;
    }
    if (text == null) {
      text = new ByteArrayOutputStream(data.length + 32);
    } else {
      text.write('\n');
    }
    text.write(data, 0, data.length);
    lastEventId = id;
    eventReceived = true;
    return true;
  }

  boolean hasText() {
    return text != null;
  }

  int textBytes() {
    return text == null ? 0 : text.size();
  }

  /** The whole text as UTF-8, whatever the server sent. */
  byte[] text() {
    byte[] bytes = text == null ? new byte[0] : text.toByteArray();
    return new String(bytes, StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
  }

  void discardText() {
    text = null;
    lastEventId = -1;
  }

  /** Ends the run under way; nothing of it is taken any more. */
  void cancel() {
    runNumber++;
    inFlight = false;
    if (handle != null) {
      handle.cancel();
      handle = null;
    }
  }
}
