package elmsail.batch.run;

import elmsail.batch.ItemServers;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The progress of one item at this gateway: the text of the events received so far, and the run in
 * flight if there is one. A new run resumes after the last event received. Confined to the
 * gateway's event loop.
 */
final class ItemRun {
  private static final int MAX_TEXT_BYTES = 4 << 20;
  private static final int TEXT_HEADROOM_BYTES = 32;
  private static final long NO_EVENT = -1;

  /** The index of the item in the job. */
  final int itemIndex;

  /** The number of responses with status 500, including those that former runners recorded. */
  int failedAttempts;

  /** The number of failed attempts that the record of the job contains. */
  int recordedFailedAttempts;

  /** The number of consecutive runs without an event, which determines the backoff. */
  int runsWithoutEvents;

  /** Whether the item has a result. */
  boolean done;

  private long lastEventId = NO_EVENT;
  private ByteArrayOutputStream text;

  private ItemServers.RunHandle handle;

  /**
   * Incremented by each start, end and cancellation, so that events of an earlier run are ignored.
   */
  private int runNumber;

  private boolean inFlight;
  private long sentAt;
  private boolean eventReceived;

  ItemRun(int itemIndex) {
    this.itemIndex = itemIndex;
  }

  /**
   * Starts a run.
   *
   * @return the number of the run, which identifies it in the other methods
   */
  int begin(long now) {
    runNumber++;
    inFlight = true;
    eventReceived = false;
    sentAt = now;
    return runNumber;
  }

  /**
   * Whether the run with this number has not ended, was not cancelled and was not followed by
   * another run.
   */
  boolean isCurrent(int run) {
    return runNumber == run;
  }

  /** Ends a run that could not be sent. */
  void abortStart(int run) {
    if (isCurrent(run)) {
      runNumber++;
      inFlight = false;
    }
  }

  /** Stores the handle of a run that was sent, or cancels the run if it is no longer current. */
  void onSent(int run, ItemServers.RunHandle sentHandle) {
    if (isCurrent(run) && inFlight) {
      handle = sentHandle;
    } else if (runNumber > run) {
      sentHandle.cancel();
    }
  }

  /** Marks the run in flight as ended; its connection is not closed. */
  void end() {
    handle = null;
    cancel();
  }

  /** Cancels the run in flight; later events of this run are ignored. */
  void cancel() {
    runNumber++;
    inFlight = false;
    if (handle != null) {
      handle.cancel();
      handle = null;
    }
  }

  /** Whether a run was started that has neither ended nor been cancelled. */
  boolean isInFlight() {
    return inFlight;
  }

  /** Whether an event of the current run, or else of the last run, was received. */
  boolean hasReceivedEvent() {
    return eventReceived;
  }

  /** When the current run, or else the last run, was sent, in ms of the steady clock. */
  long sentAt() {
    return sentAt;
  }

  /** The id of the last event received, after which a run resumes; -1 if there is none. */
  long lastEventId() {
    return lastEventId;
  }

  /**
   * Appends the data of an event to the text.
   *
   * @return false if the event is not the next event in sequence or the text would be too long; the
   *     caller must then cancel the run
   */
  boolean appendEvent(long id, byte[] data) {
    if (id < 0
        || lastEventId >= 0 && id != lastEventId + 1
        || textBytes() + data.length >= MAX_TEXT_BYTES) {
      return false;
    }
    if (text == null) {
      text = new ByteArrayOutputStream(data.length + TEXT_HEADROOM_BYTES);
    } else {
      text.write('\n');
    }
    text.write(data, 0, data.length);
    lastEventId = id;
    eventReceived = true;
    return true;
  }

  /** Whether any event has been received since the text was last discarded. */
  boolean hasText() {
    return text != null;
  }

  /** The length of the text as received, in bytes. */
  int textBytes() {
    return text == null ? 0 : text.size();
  }

  /** The text as valid UTF-8, with malformed sequences replaced. */
  byte[] text() {
    byte[] bytes = text == null ? new byte[0] : text.toByteArray();
    return new String(bytes, StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
  }

  /** Discards the text, so that the next run starts from the beginning. */
  void discardText() {
    text = null;
    lastEventId = NO_EVENT;
  }
}
